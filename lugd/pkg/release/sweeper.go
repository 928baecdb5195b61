package release

import (
	"context"
	"errors"
	"time"

	"marigoldlug.example/core/chunk"
	"marigoldlug.example/core/fence"
	"marigoldlug.example/lugd/pkg/platform"
)

const (
	// sweepAge is how long a chunk must have been unreferenced before it is
	// deleted: far longer than a commit takes, and than a VM takes to load a
	// head that another has replaced meanwhile.
	sweepAge = 30 * time.Minute
	// sweepPace spreads the calls of a sweep.
	sweepPace = 100 * time.Millisecond
)

// Sweeper deletes the chunks that no release in the history needs. It is not
// safe for concurrent use.
type Sweeper struct {
	client *platform.Client
	chunks PlatformChunks
	clock  func() time.Time
	pace   time.Duration
	// unreferenced holds when each chunk was first seen unreferenced.
	unreferenced map[string]time.Time
}

// NewSweeper returns a sweeper that has seen nothing.
func NewSweeper(cli *platform.Client, clock func() time.Time) *Sweeper {
	return &Sweeper{client: cli, chunks: PlatformChunks{Client: cli}, clock: clock, pace: sweepPace, unreferenced: make(map[string]time.Time)}
}

// Sweep looks through all chunks once and returns how many it deleted. The head
// is read after the chunks are listed, so that a chunk listed before a commit
// is not taken for unreferenced by it.
func (swe *Sweeper) Sweep(ctx context.Context) (int, error) {
	names, err := swe.client.List(ctx, platform.ChunkPrefix)
	if err != nil {
		return 0, err
	}
	referenced, err := swe.referenced(ctx)
	if err != nil {
		return 0, err
	}
	now, deleted := swe.clock(), 0
	listed := make(map[string]bool, len(names))
	for _, name := range names {
		listed[name] = true
		if referenced[name] {
			delete(swe.unreferenced, name)
			continue
		}
		first, seen := swe.unreferenced[name]
		if !seen {
			swe.unreferenced[name] = now
			continue
		}
		if now.Sub(first) < sweepAge {
			continue
		}
		if err := swe.client.Delete(ctx, name); err != nil {
			return deleted, err
		}
		delete(swe.unreferenced, name)
		deleted++
		if err := swe.pause(ctx); err != nil {
			return deleted, err
		}
	}
	for name := range swe.unreferenced {
		if !listed[name] {
			delete(swe.unreferenced, name)
		}
	}
	return deleted, nil
}

func (swe *Sweeper) pause(ctx context.Context) error {
	select {
	case <-ctx.Done():
		return ctx.Err()
	case <-time.After(swe.pace):
		return nil
	}
}

// referenced returns the names of the chunks that the head and every release in
// its history need.
func (swe *Sweeper) referenced(ctx context.Context) (map[string]bool, error) {
	hea, _, err := ReadHead(ctx, swe.client)
	if err != nil {
		return nil, err
	}
	if hea == (fence.Head{}) {
		return nil, errors.New("the platform holds no head")
	}
	out := make(map[string]bool)
	for _, id := range []chunk.ID{hea.Manifest, hea.History, hea.View, hea.PriorView} {
		out[platform.ChunkName(id)] = true
	}
	manifests := []chunk.ID{hea.Manifest}
	if hea.History != (chunk.ID{}) {
		raw, err := swe.chunks.Chunk(ctx, hea.History)
		if err != nil {
			return nil, err
		}
		ens, err := decodeHistory(raw)
		if err != nil {
			return nil, err
		}
		for _, ent := range ens {
			manifests = append(manifests, ent.Manifest)
		}
	}
	for _, id := range manifests {
		if err := swe.addManifest(ctx, id, out); err != nil {
			return nil, err
		}
	}
	return out, nil
}

func (swe *Sweeper) addManifest(ctx context.Context, id chunk.ID, out map[string]bool) error {
	man, err := loadManifest(ctx, swe.chunks, id)
	if err != nil {
		return err
	}
	out[platform.ChunkName(id)] = true
	for _, plc := range man.Differing(chunk.NewManifest()) {
		out[platform.ChunkName(plc.ID)] = true
	}
	return swe.pause(ctx)
}
