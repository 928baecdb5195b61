// Package release applies release notes: a note becomes one conditional replace
// of the configuration that the platform holds.
package release

import (
	"context"
	"errors"
	"time"

	errs "github.com/juju/errors"

	"marigoldlug.example/core/config"
	"marigoldlug.example/core/note"
)

// StoredConfig is the configuration as the platform holds it.
type StoredConfig struct {
	// Version is 0 where there is none yet.
	Version uint64
	// Revision is that of the object; a replace is conditional on it.
	Revision uint64
	Content  config.Content
}

// Entry is a release that was applied by a note.
type Entry struct {
	ID       string
	Operator string
	Time     time.Time
	Version  uint64
	Note     string
	Content  config.Content
}

// Store is where configurations and releases are kept.
type Store interface {
	Current(ctx context.Context) (StoredConfig, error)
	// Replace stores content as a version in place of before. The error is
	// ErrRaced where another configuration has been stored since.
	Replace(ctx context.Context, before StoredConfig, version uint64, con config.Content) error
	// Release returns the release of a version, or ErrNoRelease.
	Release(ctx context.Context, version uint64) (Entry, error)
	// Releases returns the releases that are kept, the oldest first.
	Releases(ctx context.Context) ([]Entry, error)
	// AddRelease stores a release.
	AddRelease(ctx context.Context, ent Entry) error
}

var (
	// ErrConcurrentChange says that another configuration was stored in the meantime.
	ErrConcurrentChange = errors.New("another configuration was stored in the meantime")
	// ErrNoRelease says that no release of a version is kept.
	ErrNoRelease = errors.New("no release of that version is kept")
	// ErrIDReused says that the ID of a note names another release.
	ErrIDReused = errors.New("the ID of the note names another release already")
)

// maxReplaces bounds the replaces that are tried while others store, too.
const maxReplaces = 5

// Applier applies notes.
type Applier struct {
	store Store
	now   func() time.Time
}

// New returns an applier that keeps configurations in sto.
func New(sto Store, now func() time.Time) *Applier { return &Applier{store: sto, now: now} }

// Result is the outcome of a note that was applied.
type Result struct {
	ID          string
	Version     uint64
	Differences []note.Difference
	// AlreadyApplied is set when the same note had been applied before.
	AlreadyApplied bool
}

// Check returns what a note would change, without changing it.
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

// applyNote returns the configuration as the note leaves it.
func (app *Applier) applyNote(ctx context.Context, nte *note.Note, cur StoredConfig) (config.Content, error) {
	base := cur.Content
	switch nte.Base {
	case cur.Version:
	case 0:
		base = config.Content{} // Before the first release there was nothing.
	default:
		ent, err := app.store.Release(ctx, nte.Base)
		if errors.Is(err, ErrNoRelease) {
			return config.Content{}, errs.Annotatef(err, "the note has base %d and the configuration is at %d; write it against that", nte.Base, cur.Version)
		}
		if err != nil {
			return config.Content{}, errs.Annotatef(err, "cannot read release %d", nte.Base)
		}
		base = ent.Content
	}
	return nte.Apply(base, cur.Content, cur.Version)
}

// Apply applies a note. One that was applied before changes nothing.
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

func (app *Applier) tryApply(ctx context.Context, nte *note.Note, doc []byte, operator string) (Result, error) {
	before, err := app.findRelease(ctx, nte.ID)
	if err != nil {
		return Result{}, err
	}
	if before != nil {
		if before.Note != string(doc) {
			return Result{}, errs.Annotatef(ErrIDReused, "release %q at version %d", nte.ID, before.Version)
		}
		return Result{ID: nte.ID, Version: before.Version, AlreadyApplied: true}, nil
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
		return Result{}, errs.Annotatef(err, "version %d is in force, but cannot be kept in the history", version)
	}
	return Result{ID: nte.ID, Version: version, Differences: note.Diff(cur.Content, next)}, nil
}

// findRelease returns the release of an ID, or nil.
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

// History returns the releases that are kept, the oldest first.
func (app *Applier) History(ctx context.Context) ([]Entry, error) { return app.store.Releases(ctx) }

// Show returns the configuration at a version, or the present one for 0.
func (app *Applier) Show(ctx context.Context, version uint64) (string, error) {
	cur, err := app.store.Current(ctx)
	if err != nil {
		return "", errs.Annotate(err, "cannot read the configuration")
	}
	if version == 0 || version == cur.Version {
		return note.Render(cur.Content), nil
	}
	ent, err := app.store.Release(ctx, version)
	if err != nil {
		return "", errs.Annotatef(err, "version %d", version)
	}
	return note.Render(ent.Content), nil
}

// Version returns the version of the present configuration.
func (app *Applier) Version(ctx context.Context) (uint64, error) {
	cur, err := app.store.Current(ctx)
	return cur.Version, err
}
