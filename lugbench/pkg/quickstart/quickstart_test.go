package quickstart

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"

	"marigoldlug.example/lugbench/pkg/platformfake"
	"marigoldlug.example/lugd/pkg/platform"
	"marigoldlug.example/lugd/service/api"
)

func startFleet(t *testing.T) *Fleet {
	t.Helper()
	fle, err := Start(context.Background(), io.Discard)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() {
		if err := fle.Stop(); err != nil {
			t.Error(err)
		}
	})
	return fle
}

func applyNote(t *testing.T, fle *Fleet, doc []byte) api.Release {
	t.Helper()
	rel, err := fle.Apply(context.Background(), doc)
	if err != nil {
		t.Fatal(err)
	}
	if err := fle.AwaitVersion(context.Background(), rel.Version); err != nil {
		t.Fatal(err)
	}
	return rel
}

func read(t *testing.T, fle *Fleet, vmIndex int, path, key string) Answer {
	t.Helper()
	ans, err := fle.Request(context.Background(), vmIndex, http.MethodGet, path, key, t.Name())
	if err != nil {
		t.Fatal(err)
	}
	return ans
}

func TestWholePath(t *testing.T) {
	fle := startFleet(t)
	first := applyNote(t, fle, fle.Note())
	again := applyNote(t, fle, fle.Note())
	if !again.Repeated || again.Version != first.Version {
		t.Errorf("the same note made another release: %+v after %+v", again, first)
	}
	for num := range fle.VMs {
		if ans := read(t, fle, num, "/recipes/celadon", Key); ans.Status != http.StatusOK || !strings.Contains(ans.Body, "/recipes/celadon") {
			t.Errorf("vm-%d: got %+v", num+1, ans)
		}
		if ans := read(t, fle, num, "/recipes/celadon", "unknown"); ans.Status != http.StatusUnauthorized || ans.Verdict != "not-run" {
			t.Errorf("vm-%d: unknown key got %+v", num+1, ans)
		}
	}
	withdrawn := applyNote(t, fle, fmt.Appendf(nil, "release: withdraw\nbase: %d\nwithdrawn: {keys: [studio-1]}\n", first.Version))
	if withdrawn.Version <= first.Version {
		t.Errorf("version went from %d to %d", first.Version, withdrawn.Version)
	}
	for num := range fle.VMs {
		if ans := read(t, fle, num, "/recipes/celadon", Key); ans.Status != http.StatusUnauthorized {
			t.Errorf("vm-%d: withdrawn key got %+v", num+1, ans)
		}
	}
	for _, tgt := range fle.Targets {
		for _, hdr := range tgt.Headers() {
			if hdr.Get("Authorization") != "" {
				t.Error("a target saw a key")
			}
		}
	}
}

func TestApplyReportsEveryFault(t *testing.T) {
	fle := startFleet(t)
	_, err := fle.Apply(context.Background(), []byte("release: bad\nadded:\n  organisations:\n    - {name: Studio, rate: x, burst: 0}\n  kilns: []\n"))
	var fail *api.Error
	if !errors.As(err, &fail) || fail.Code != api.CodeFaults || len(fail.Faults) != 4 {
		t.Errorf("got %v", err)
	}
}

// A VM that is born while the platform is away takes the configuration from
// others, proves by them that it is the newest, and serves.
func TestBornWhileThePlatformIsAway(t *testing.T) {
	fle := startFleet(t)
	applyNote(t, fle, fle.Note())
	fle.Platform.SetFaults(platformfake.Faults{Away: true})
	if err := fle.AddVM(context.Background(), io.Discard); err != nil {
		t.Fatal(err)
	}
	if ans := read(t, fle, len(fle.VMs)-1, "/recipes/celadon", Key); ans.Status != http.StatusOK {
		t.Errorf("got %+v", ans)
	}
	if ans := read(t, fle, len(fle.VMs)-1, "/recipes/celadon", "unknown"); ans.Status != http.StatusUnauthorized {
		t.Errorf("unknown key got %+v", ans)
	}
	if _, err := fle.Apply(context.Background(), []byte("release: away\nbase: 1\n")); err == nil {
		t.Error("a release was written without the platform")
	}
	fle.Platform.SetFaults(platformfake.Faults{})
}

// A VM that starts loads the configuration from others and reads little more
// than the view from the platform.
func TestConfigurationIsLoadedFromOthers(t *testing.T) {
	fle := startFleet(t)
	applyNote(t, fle, fle.Note())
	stored := fle.Platform.Stored(platform.ChunkPrefix)
	before := fle.Platform.Reads(platform.ChunkPrefix)
	if err := fle.AddVM(context.Background(), io.Discard); err != nil {
		t.Fatal(err)
	}
	// The keeper and the new VM read views to change and to find others.
	const views = 6
	cnt := fle.Platform.Reads(platform.ChunkPrefix) - before
	t.Logf("%d chunks read of %d stored", cnt, stored)
	if cnt > views {
		t.Errorf("%d chunks were read from the platform, which holds %d", cnt, stored)
	}
	if ans := read(t, fle, len(fle.VMs)-1, "/recipes/celadon", Key); ans.Status != http.StatusOK {
		t.Errorf("got %+v", ans)
	}
}
