// Package release applies release notes. Each note becomes one conditional replacement
// of the configuration that the platform stores.
package release

import (
	"context"
	"errors"
	"fmt"
	"time"

	errs "github.com/juju/errors"

	"marigoldlug.example/core/config"
	"marigoldlug.example/core/inspection"
	"marigoldlug.example/core/issue"
	"marigoldlug.example/core/note"
)

// StoredConfig is the configuration as the platform stores it.
type StoredConfig struct {
	// Version is 0 if there is no configuration yet.
	Version uint64
	// Revision is the revision of the stored object. A replacement is conditional on it.
	Revision uint64
	Content  config.Content
	// Issues lists what could not be understood of the stored configuration. Replace keeps it as it is stored, as far as
	// the new content does not change it.
	Issues []issue.Issue
}

// Entry is a release in the history.
type Entry struct {
	// ID is the ID that the release note gives.
	ID       string
	Operator string
	Time     time.Time
	// Version is the version of the configuration that the release made.
	Version uint64
	// Note is the text of the release note.
	Note string
	// Content is the configuration after the release.
	Content config.Content
}

// Store stores the current configuration and the history of releases.
type Store interface {
	// Current returns the current configuration, or a zero value if there is none.
	Current(ctx context.Context) (StoredConfig, error)
	// Replace stores con as a version in place of before. It returns
	// ErrConcurrentChange if another configuration has been stored since before was
	// read.
	Replace(ctx context.Context, before StoredConfig, version uint64, con config.Content) error
	// Release returns the release that made a version, or ErrNoRelease.
	Release(ctx context.Context, version uint64) (Entry, error)
	// Releases returns the releases in the history, the oldest first.
	Releases(ctx context.Context) ([]Entry, error)
	// AddRelease adds a release to the history.
	AddRelease(ctx context.Context, ent Entry) error
}

var (
	// ErrConcurrentChange is returned if another configuration was stored between the
	// read and the replacement.
	ErrConcurrentChange = errors.New("another configuration was stored in the meantime, so the one of this release was not; apply the release again")
	// ErrNoRelease is returned if the history has no release of a version.
	ErrNoRelease = errors.New("no release of that version is kept")
	// ErrBaseLost is returned with ErrNoRelease if the base of a note is later than the current version: the
	// platform's store was restored from a copy without it.
	ErrBaseLost = errors.New("the store does not have the base of the note any more; it may have been restored from an older copy: apply the releases again that it has lost")
	// ErrIDReused is returned if the history has a release with the ID of the note but
	// another text.
	ErrIDReused = errors.New("another release already has the ID of the note")
)

// maxReplaces is how often Apply tries to replace the configuration while others store
// theirs at the same time.
const maxReplaces = 5

// Applier applies release notes.
type Applier struct {
	store Store
	now   func() time.Time
}

// New returns an applier for the configuration and the history in sto.
func New(sto Store, now func() time.Time) *Applier { return &Applier{store: sto, now: now} }

// Result is the outcome of applying a note.
type Result struct {
	ID          string
	Version     uint64
	Differences []note.Difference
	// Warnings lists what is suspicious in the configuration and was not so before.
	Warnings []inspection.Finding
	// AlreadyApplied is set if the same note had been applied before and nothing was
	// changed. Version is then that of the earlier release.
	AlreadyApplied bool
}

// Check returns what a note would change, without applying it.
func (app *Applier) Check(ctx context.Context, doc []byte) ([]note.Difference, error) {
	nte, err := note.Read(doc)
	if err != nil {
		return nil, err
	}
	cur, err := app.store.Current(ctx)
	if err != nil {
		return nil, errs.Annotate(err, "cannot read the configuration")
	}
	next, err := app.applyNote(ctx, nte, cur)
	if err != nil {
		return nil, err
	}
	return note.Diff(cur.Content, next), nil
}

// applyNote returns the content of cur with the changes of the note. Conflicts are found
// by comparison with the version that the note was written against.
func (app *Applier) applyNote(ctx context.Context, nte *note.Note, cur StoredConfig) (config.Content, error) {
	base := cur.Content
	switch nte.Base {
	case cur.Version:
	case 0:
		base = config.Content{} // Version 0 is the empty configuration before the first release.
	default:
		ent, err := app.store.Release(ctx, nte.Base)
		if errors.Is(err, ErrNoRelease) && nte.Base > cur.Version {
			err = fmt.Errorf("%w: %w", ErrBaseLost, err)
		}
		if errors.Is(err, ErrNoRelease) {
			return config.Content{}, errs.Annotatef(err, "the note has base %d and the configuration is at version %d; write the note against that version", nte.Base, cur.Version)
		}
		if err != nil {
			return config.Content{}, errs.Annotatef(err, "cannot read release %d", nte.Base)
		}
		base = ent.Content
	}
	return nte.Apply(base, cur.Content, cur.Version)
}

// Apply applies a note. It changes nothing if the history has a release of the same note.
func (app *Applier) Apply(ctx context.Context, doc []byte, operator string) (Result, error) {
	nte, err := note.Read(doc)
	if err != nil {
		return Result{}, err
	}
	for range maxReplaces {
		res, err := app.tryApply(ctx, nte, doc, operator)
		if !errors.Is(err, ErrConcurrentChange) {
			return res, err
		}
	}
	return Result{}, ErrConcurrentChange
}

// tryApply tries once to apply a note. It returns ErrConcurrentChange if another
// configuration was stored in the meantime.
func (app *Applier) tryApply(ctx context.Context, nte *note.Note, doc []byte, operator string) (Result, error) {
	earlier, err := app.findRelease(ctx, nte.ID)
	if err != nil {
		return Result{}, err
	}
	if earlier != nil {
		if earlier.Note != string(doc) {
			return Result{}, errs.Annotatef(ErrIDReused, "release %q at version %d", nte.ID, earlier.Version)
		}
		return Result{ID: nte.ID, Version: earlier.Version, AlreadyApplied: true}, nil
	}
	cur, err := app.store.Current(ctx)
	if err != nil {
		return Result{}, errs.Annotate(err, "cannot read the configuration")
	}
	next, err := app.applyNote(ctx, nte, cur)
	if err != nil {
		return Result{}, err
	}
	version := cur.Version + 1
	if err := app.store.Replace(ctx, cur, version, next); err != nil {
		return Result{}, errs.Annotatef(err, "cannot store version %d", version)
	}
	ent := Entry{ID: nte.ID, Operator: operator, Time: app.now().UTC(), Version: version, Note: string(doc), Content: next}
	if err := app.store.AddRelease(ctx, ent); err != nil {
		return Result{}, errs.Annotatef(err, "version %d is stored, but its release cannot be added to the history", version)
	}
	return Result{
		ID: nte.ID, Version: version, Differences: note.Diff(cur.Content, next), Warnings: inspection.New(cur.Content, next, inspection.Budget{}),
	}, nil
}

// findRelease returns the release with an ID, or nil.
func (app *Applier) findRelease(ctx context.Context, id string) (*Entry, error) {
	ens, err := app.store.Releases(ctx)
	if err != nil {
		return nil, errs.Annotate(err, "cannot read the releases")
	}
	for idx := range ens {
		if ens[idx].ID == id {
			return &ens[idx], nil
		}
	}
	return nil, nil
}

// History returns the releases in the history, the oldest first.
func (app *Applier) History(ctx context.Context) ([]Entry, error) { return app.store.Releases(ctx) }

// Show returns the configuration at a version, or the current one for 0, in the form of
// the added section of a note. Of the current one it also returns what could not be understood.
func (app *Applier) Show(ctx context.Context, version uint64) (string, []issue.Issue, error) {
	cur, err := app.store.Current(ctx)
	if err != nil {
		return "", nil, errs.Annotate(err, "cannot read the configuration")
	}
	if version == 0 || version == cur.Version {
		return note.Render(cur.Content), cur.Issues, nil
	}
	ent, err := app.store.Release(ctx, version)
	if err != nil {
		return "", nil, errs.Annotatef(err, "version %d", version)
	}
	return note.Render(ent.Content), nil, nil
}

// Version returns the version of the current configuration.
func (app *Applier) Version(ctx context.Context) (uint64, error) {
	cur, err := app.store.Current(ctx)
	return cur.Version, err
}
