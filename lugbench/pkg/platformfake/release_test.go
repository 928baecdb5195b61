package platformfake

import (
	"context"
	"errors"
	"fmt"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"marigoldlug.example/core/config"
	"marigoldlug.example/core/member"
	"marigoldlug.example/core/note"
	"marigoldlug.example/lugd/pkg/platform"
	"marigoldlug.example/lugd/pkg/release"
)

const plenty = 1e6

func start(t *testing.T) (*Server, *platform.Client) {
	t.Helper()
	srv := New()
	web := httptest.NewServer(srv)
	t.Cleanup(web.Close)
	return srv, platform.New(web.URL, &http.Client{}, plenty, plenty)
}

func addOrganisation(num int) []byte {
	return fmt.Appendf(nil, "release: note-%d\nbase: 0\nadded: {organisations: [{name: org-%d, rate: 1, burst: 1}]}\n", num, num)
}

func mustApply(t *testing.T, com *release.Committer, doc string) release.Result {
	t.Helper()
	res, err := com.Apply(context.Background(), []byte(doc), "tester")
	if err != nil {
		t.Fatal(err)
	}
	return res
}

// Notes that touch different objects all land, however their operators race.
func TestRacingOperators(t *testing.T) {
	_, cli := start(t)
	var wgr sync.WaitGroup
	const cnt = 8
	for num := range cnt {
		wgr.Go(func() {
			com := release.NewCommitter(cli, fmt.Sprintf("writer-%d", num), time.Now)
			if _, err := com.Apply(context.Background(), addOrganisation(num), "tester"); err != nil {
				t.Errorf("note %d: %v", num, err)
			}
		})
	}
	wgr.Wait()
	com := release.NewCommitter(cli, "reader", time.Now)
	ens, hea, err := com.History(context.Background())
	if err != nil || len(ens) != cnt || hea.Version != cnt {
		t.Errorf("got %d releases at version %d, %v", len(ens), hea.Version, err)
	}
	con, err := com.Content(context.Background(), hea.Version)
	if err != nil || len(con.Organisations) != cnt {
		t.Errorf("got %d organisations, %v", len(con.Organisations), err)
	}
}

// An update whose answer is lost ends in one release.
func TestLostAnswers(t *testing.T) {
	srv, cli := start(t)
	com := release.NewCommitter(cli, "writer", time.Now)
	for num := range 5 {
		srv.SetFaults(Faults{LoseAnswers: num})
		res, err := com.Apply(context.Background(), addOrganisation(num), "tester")
		if err != nil {
			// A lost answer to a chunk is reported; applying again must be safe.
			srv.SetFaults(Faults{})
			if res, err = com.Apply(context.Background(), addOrganisation(num), "tester"); err != nil {
				t.Fatal(err)
			}
		}
		if res.Version != uint64(num+1) {
			t.Errorf("note %d is version %d", num, res.Version)
		}
	}
}

func TestConflictsNameTheFields(t *testing.T) {
	_, cli := start(t)
	com := release.NewCommitter(cli, "writer", time.Now)
	first := mustApply(t, com, string(addOrganisation(1)))
	base := first.Version
	mustApply(t, com, fmt.Sprintf("release: a\nbase: %d\nchanged: {organisations: [{name: org-1, rate: 2}]}\n", base))
	mustApply(t, com, fmt.Sprintf("release: b\nbase: %d\nchanged: {organisations: [{name: org-1, burst: 5}]}\n", base))
	_, err := com.Apply(context.Background(), fmt.Appendf(nil, "release: c\nbase: %d\nchanged: {organisations: [{name: org-1, rate: 3}]}\n", base), "tester")
	var conflict *note.ConflictError
	if !errors.As(err, &conflict) || len(conflict.Conflicts) != 1 || conflict.Conflicts[0].Field != "rate" {
		t.Errorf("got %v", err)
	}
	_, err = com.Apply(context.Background(), []byte("release: a\nbase: 0\nwithdrawn: {organisations: [org-1]}\n"), "tester")
	if !errors.Is(err, release.ErrReused) {
		t.Errorf("another note under a used ID: got %v", err)
	}
}

// Chunks that no release needs are deleted after a while, and no others.
func TestSweep(t *testing.T) {
	_, cli := start(t)
	ctx := context.Background()
	com := release.NewCommitter(cli, "writer", time.Now)
	for num := range 3 {
		mustApply(t, com, string(addOrganisation(num)))
	}
	for epoch := range 3 {
		hea, _, err := release.ReadHead(ctx, cli)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := com.ChangeView(ctx, member.Change{Epoch: hea.Epoch, Added: []member.VM{{ID: fmt.Sprint("vm-", epoch)}}}); err != nil {
			t.Fatal(err)
		}
	}
	now := time.Unix(0, 0)
	swe := release.NewSweeper(cli, func() time.Time { return now })
	if cnt, err := swe.Sweep(ctx); cnt != 0 || err != nil {
		t.Fatalf("the first sweep deleted %d, %v", cnt, err)
	}
	now = now.Add(time.Hour)
	// The view before the last two and two histories are in no use.
	if cnt, err := swe.Sweep(ctx); cnt != 3 || err != nil {
		t.Fatalf("the second sweep deleted %d, %v", cnt, err)
	}
	for version := range uint64(3) {
		con, err := com.Content(ctx, version+1)
		if err != nil || len(con.Organisations) != int(version)+1 {
			t.Errorf("version %d has %d organisations, %v", version+1, len(con.Organisations), err)
		}
	}
	if _, _, err := com.Check(ctx, addOrganisation(9)); err != nil {
		t.Error(err)
	}
}

// Every digest shown is that of the key, and no key is stored.
func TestKeysAreStoredAsDigests(t *testing.T) {
	srv, cli := start(t)
	com := release.NewCommitter(cli, "writer", time.Now)
	mustApply(t, com, string(addOrganisation(1)))
	const secret = "lug_secret"
	doc := note.KeyNote("key", 1, config.Key{ID: "k", Organisation: "org-1", Digest: config.DigestOf(secret)})
	mustApply(t, com, doc)
	for name, obj := range srv.objects {
		if strings.Contains(string(obj.Value), secret) {
			t.Errorf("object %s holds a key", name)
		}
	}
}
