package release

import (
	"context"
	"errors"
	"fmt"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cenkalti/backoff/v5"

	"marigoldlug.example/core/chunk"
	"marigoldlug.example/core/config"
	"marigoldlug.example/core/fence"
	"marigoldlug.example/core/member"
	"marigoldlug.example/core/note"
	"marigoldlug.example/lugd/pkg/platform"
)

const maxCommitTries = 20

// ErrReused is returned for a release ID that another note has used.
var ErrReused = errors.New("release ID belongs to another note")

// BaseError reports a note whose base is not in the history.
type BaseError struct {
	Base   uint64
	Oldest uint64
	Newest uint64
}

// Error names the versions that may be a base.
func (err *BaseError) Error() string {
	return fmt.Sprintf("base %d is not a version of the configuration between %d and %d", err.Base, err.Oldest, err.Newest)
}

// Result describes a release that is written.
type Result struct {
	ID      string
	Version uint64
	Head    fence.Head
	// Repeated is set when the same note had been applied before.
	Repeated bool
}

// Committer writes releases and views. It is safe for concurrent use.
type Committer struct {
	client *platform.Client
	chunks PlatformChunks
	// writer is unique to this process.
	writer   string
	sequence atomic.Uint64
	clock    func() time.Time
}

// NewCommitter returns a committer that signs its updates as writer.
func NewCommitter(cli *platform.Client, writer string, clock func() time.Time) *Committer {
	return &Committer{client: cli, chunks: PlatformChunks{Client: cli}, writer: writer, clock: clock}
}

// state is what the platform holds at the start of one try.
type state struct {
	head     fence.Head
	object   uint64
	manifest chunk.Manifest
	history  []Entry
}

func (com *Committer) state(ctx context.Context) (state, error) {
	var sta state
	var err error
	if sta.head, sta.object, err = ReadHead(ctx, com.client); err != nil {
		return sta, err
	}
	if sta.manifest, err = loadManifest(ctx, com.chunks, sta.head.Manifest); err != nil {
		return sta, err
	}
	if sta.head.History == (chunk.ID{}) {
		return sta, nil
	}
	raw, err := com.chunks.Chunk(ctx, sta.head.History)
	if err != nil {
		return sta, err
	}
	sta.history, err = decodeHistory(raw)
	return sta, err
}

// Apply commits a release note. Applying the same note again returns the
// release that it made the first time. The error is of type note.FaultsError,
// *note.ConflictError or *BaseError when the note is at fault.
func (com *Committer) Apply(ctx context.Context, doc []byte, operator string) (Result, error) {
	nte, err := note.Read(doc)
	if err != nil {
		return Result{}, err
	}
	return retry(ctx, func() (Result, error) { return com.tryApply(ctx, nte, chunk.IDOf(doc), operator) })
}

// Check applies a note without writing and returns the configurations before
// and after it.
func (com *Committer) Check(ctx context.Context, doc []byte) (before, after config.Content, err error) {
	nte, err := note.Read(doc)
	if err != nil {
		return before, after, err
	}
	sta, err := com.state(ctx)
	if err != nil {
		return before, after, err
	}
	return com.applied(ctx, sta, nte)
}

// retry repeats a conditional update while others win the race or its answer
// is lost. A repeat finds by itself whether the update took effect.
func retry[T any](ctx context.Context, try func() (T, error)) (T, error) {
	return backoff.Retry(ctx, func() (T, error) {
		res, err := try()
		var conflict *platform.ConflictError
		if err != nil && !errors.As(err, &conflict) && !errors.Is(err, errUncertain) {
			return res, backoff.Permanent(err)
		}
		return res, err
	}, backoff.WithMaxTries(maxCommitTries), backoff.WithBackOff(commitBackOff()))
}

func commitBackOff() *backoff.ExponentialBackOff {
	bof := backoff.NewExponentialBackOff()
	bof.InitialInterval = 10 * time.Millisecond
	bof.MaxInterval = 500 * time.Millisecond
	return bof
}

// errUncertain marks an update whose answer was lost.
var errUncertain = errors.New("the update may have taken effect")

func (com *Committer) tryApply(ctx context.Context, nte *note.Note, doc chunk.ID, operator string) (Result, error) {
	sta, err := com.state(ctx)
	if err != nil {
		return Result{}, err
	}
	if idx := slices.IndexFunc(sta.history, func(ent Entry) bool { return ent.ID == nte.ID }); idx >= 0 {
		ent := sta.history[idx]
		if ent.Note != doc {
			return Result{}, ErrReused
		}
		return Result{ID: ent.ID, Version: ent.Version, Head: sta.head, Repeated: true}, nil
	}
	before, after, err := com.applied(ctx, sta, nte)
	if err != nil {
		return Result{}, err
	}
	next := com.next(sta.head)
	after, limitSet := after.WithLimitVersions(before, next.Version)
	if limitSet {
		next.LimitsVersion = next.Version
	}
	man, chunks := chunk.Build(after)
	next.Release = nte.ID
	next.ReleaseVersion = next.Version
	next.Manifest = chunk.IDOf(man.Encode())
	chunks[next.Manifest] = man.Encode()
	history, err := encodeHistory(append(sta.history[max(0, len(sta.history)+1-maxHistory):], Entry{
		ID: nte.ID, Version: next.Version, Operator: operator, Time: com.clock().UTC(), Manifest: next.Manifest, Note: doc,
	}))
	if err != nil {
		return Result{}, err
	}
	next.History = chunk.IDOf(history)
	chunks[next.History] = history
	if err := com.putChunks(ctx, chunks, sta.manifest); err != nil {
		return Result{}, err
	}
	if err := com.putHead(ctx, next, sta.object); err != nil {
		return Result{}, err
	}
	// A sweeper may have deleted a chunk that existed before the head named it.
	if err := com.putChunks(ctx, chunks, sta.manifest); err != nil {
		return Result{}, err
	}
	return Result{ID: nte.ID, Version: next.Version, Head: next}, nil
}

// applied returns the configuration before and after a note.
func (com *Committer) applied(ctx context.Context, sta state, nte *note.Note) (before, after config.Content, err error) {
	now, err := com.content(ctx, sta.head.Manifest)
	if err != nil {
		return before, after, err
	}
	base, err := com.base(ctx, sta, nte.Base, now)
	if err != nil {
		return before, after, err
	}
	after, err = nte.Apply(base, now, sta.head.Version)
	return now, after, err
}

// base returns the configuration that was in force at a version.
func (com *Committer) base(ctx context.Context, sta state, version uint64, now config.Content) (config.Content, error) {
	if version >= sta.head.ReleaseVersion && version <= sta.head.Version {
		return now, nil
	}
	for idx := len(sta.history) - 1; idx >= 0; idx-- {
		if ent := sta.history[idx]; ent.Version <= version {
			if version > sta.head.Version {
				break
			}
			return com.content(ctx, ent.Manifest)
		}
	}
	if len(sta.history) < maxHistory && (len(sta.history) == 0 || version < sta.history[0].Version) {
		return config.Content{}, nil
	}
	return config.Content{}, &BaseError{Base: version, Oldest: sta.history[0].Version, Newest: sta.head.Version}
}

func (com *Committer) content(ctx context.Context, manifest chunk.ID) (config.Content, error) {
	cts, err := NewLoader().Load(ctx, com.chunks, fence.Head{Manifest: manifest})
	if err != nil {
		return config.Content{}, err
	}
	return cts.Snapshot.Content(), nil
}

// next returns the head that follows hea, signed by this writer.
func (com *Committer) next(hea fence.Head) fence.Head {
	hea.Version++
	hea.Writer = com.writer
	hea.Sequence = com.sequence.Add(1)
	return hea
}

// putChunks writes the chunks that the manifest before does not name. A chunk
// that exists has the right content, for its name states it.
func (com *Committer) putChunks(ctx context.Context, chunks map[chunk.ID][]byte, before chunk.Manifest) error {
	for _, plc := range chunk.NewManifest().Differing(before) {
		delete(chunks, before.At(plc.Section, plc.Number))
	}
	for id, content := range chunks {
		_, err := com.client.Put(ctx, platform.ChunkName(id), content, 0)
		var conflict *platform.ConflictError
		if err != nil && !errors.As(err, &conflict) {
			return fmt.Errorf("cannot write chunk %v: %w", id, err)
		}
	}
	return nil
}

func (com *Committer) putHead(ctx context.Context, hea fence.Head, object uint64) error {
	_, err := com.client.Put(ctx, platform.HeadName, platform.EncodeHead(hea), object)
	var conflict *platform.ConflictError
	if err == nil || errors.As(err, &conflict) || errors.Is(err, platform.ErrBudget) {
		return err
	}
	// The answer was lost: the head itself tells whether the update took effect.
	now, _, rerr := ReadHead(ctx, com.client)
	if rerr != nil {
		return fmt.Errorf("%w: %w", errUncertain, err)
	}
	if now.Writer == hea.Writer && now.Sequence == hea.Sequence {
		return nil
	}
	return fmt.Errorf("%w: %w", errUncertain, err)
}

// ErrMoved is returned for a change of a view that is not the newest.
var ErrMoved = errors.New("the view has changed since")

// ChangeView commits a change of the view of an epoch and returns the head that
// holds the next one.
func (com *Committer) ChangeView(ctx context.Context, chg member.Change) (fence.Head, error) {
	return retry(ctx, func() (fence.Head, error) { return com.tryChangeView(ctx, chg) })
}

func (com *Committer) tryChangeView(ctx context.Context, chg member.Change) (fence.Head, error) {
	hea, object, err := ReadHead(ctx, com.client)
	if err != nil {
		return hea, err
	}
	if hea.Epoch != chg.Epoch {
		return hea, ErrMoved
	}
	vie, err := LoadView(ctx, com.chunks, hea.View)
	if err != nil {
		return hea, err
	}
	next := com.next(hea)
	raw := vie.With(next.Version, chg.Added, chg.Removed).Encode()
	next.Epoch = next.Version
	next.PriorView = hea.View
	next.View = chunk.IDOf(raw)
	if err := com.putChunks(ctx, map[chunk.ID][]byte{next.View: raw}, chunk.NewManifest()); err != nil {
		return hea, err
	}
	return next, com.putHead(ctx, next, object)
}

// History returns the latest releases, the newest last, and the head.
func (com *Committer) History(ctx context.Context) ([]Entry, fence.Head, error) {
	sta, err := com.state(ctx)
	return sta.history, sta.head, err
}

// Content returns the configuration that was in force at a version.
func (com *Committer) Content(ctx context.Context, version uint64) (config.Content, error) {
	sta, err := com.state(ctx)
	if err != nil {
		return config.Content{}, err
	}
	now, err := com.content(ctx, sta.head.Manifest)
	if err != nil {
		return config.Content{}, err
	}
	return com.base(ctx, sta, version, now)
}
