package release

import (
	"context"
	"errors"
	"fmt"

	"marigoldlug.example/core/chunk"
	"marigoldlug.example/core/config"
	"marigoldlug.example/core/fence"
	"marigoldlug.example/core/member"
	"marigoldlug.example/lugd/pkg/platform"
)

// chunkSource obtains the content of chunks.
type chunkSource interface {
	Chunk(ctx context.Context, id chunk.ID) ([]byte, error)
}

// Loader turns heads into configurations and views. It obtains only the chunks
// that differ from those of the configuration loaded last. It is not safe for
// concurrent use.
type Loader struct {
	manifest chunk.Manifest
	snapshot *config.Snapshot
}

// NewLoader returns a loader that holds the empty configuration.
func NewLoader() *Loader {
	return &Loader{manifest: chunk.NewManifest(), snapshot: config.New(config.Content{})}
}

// Contents is what a head names.
type Contents struct {
	Snapshot *config.Snapshot
	View     member.View
	Prior    member.View
}

// Load obtains from src what a head names.
func (loa *Loader) Load(ctx context.Context, src chunkSource, hea fence.Head) (Contents, error) {
	var cts Contents
	var err error
	if cts.View, err = LoadView(ctx, src, hea.View); err != nil {
		return cts, err
	}
	if cts.Prior, err = LoadView(ctx, src, hea.PriorView); err != nil {
		return cts, err
	}
	man, err := loadManifest(ctx, src, hea.Manifest)
	if err != nil {
		return cts, err
	}
	var rpls []config.Replacement
	for _, plc := range man.Differing(loa.manifest) {
		rpl, err := loadPlace(ctx, src, plc)
		if err != nil {
			return cts, err
		}
		rpls = append(rpls, rpl)
	}
	if len(rpls) > 0 {
		loa.snapshot = loa.snapshot.With(rpls)
	}
	loa.manifest = man
	cts.Snapshot = loa.snapshot
	return cts, nil
}

// Snapshot returns the configuration loaded last.
func (loa *Loader) Snapshot() *config.Snapshot { return loa.snapshot }

// Manifest returns the manifest of the configuration loaded last.
func (loa *Loader) Manifest() chunk.Manifest { return loa.manifest }

// LoadView returns the view that a chunk holds; the zero ID names the empty one.
func LoadView(ctx context.Context, src chunkSource, id chunk.ID) (member.View, error) {
	if id == (chunk.ID{}) {
		return member.View{}, nil
	}
	raw, err := src.Chunk(ctx, id)
	if err != nil {
		return member.View{}, err
	}
	return member.Decode(raw)
}

func loadManifest(ctx context.Context, src chunkSource, id chunk.ID) (chunk.Manifest, error) {
	if id == (chunk.ID{}) {
		return chunk.NewManifest(), nil
	}
	raw, err := src.Chunk(ctx, id)
	if err != nil {
		return chunk.Manifest{}, err
	}
	return chunk.DecodeManifest(raw)
}

func loadPlace(ctx context.Context, src chunkSource, plc chunk.Place) (config.Replacement, error) {
	if plc.ID == (chunk.ID{}) {
		return chunk.Decode(plc, nil)
	}
	raw, err := src.Chunk(ctx, plc.ID)
	if err != nil {
		return config.Replacement{}, err
	}
	return chunk.Decode(plc, raw)
}

// PlatformChunks obtains chunks from the platform.
type PlatformChunks struct {
	Client *platform.Client
}

// Chunk returns the content of a chunk, whose name it checks.
func (pch PlatformChunks) Chunk(ctx context.Context, id chunk.ID) ([]byte, error) {
	obj, err := pch.Client.Get(ctx, platform.ChunkName(id))
	if err != nil {
		return nil, fmt.Errorf("cannot get chunk %v: %w", id, err)
	}
	if chunk.IDOf(obj.Value) != id {
		return nil, fmt.Errorf("chunk %v does not have the content that its name states", id)
	}
	return obj.Value, nil
}

// ReadHead returns the head that the platform holds and the version of its
// object; both are zero before the first.
func ReadHead(ctx context.Context, cli *platform.Client) (fence.Head, uint64, error) {
	obj, err := cli.Get(ctx, platform.HeadName)
	if errors.Is(err, platform.ErrNotFound) {
		return fence.Head{}, 0, nil
	}
	if err != nil {
		return fence.Head{}, 0, err
	}
	hea, err := platform.DecodeHead(obj.Value)
	return hea, obj.Version, err
}
