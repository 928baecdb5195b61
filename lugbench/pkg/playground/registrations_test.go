package playground

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"marigoldlug.example/lugbench/pkg/targetfake"
)

// TestTargetThatLeavesBeforeItIsRegisteredGetsNoRequest has a target start again under its name and say in
// its responses that it leaves, while its first registration is still on the way to the store; another one
// leaves by its entry, and a write of before follows. Once each VM has heard of it, neither may get a request.
func TestTargetThatLeavesBeforeItIsRegisteredGetsNoRequest(t *testing.T) {
	const perSecond, registered, heard, length = 60, 3 * time.Second, 2500 * time.Millisecond, 7 * time.Second
	pgr := start(t, 2)
	settle()
	again, leaving := pgr.Targets[0], pgr.Targets[1]
	began := time.Now()
	again.Restart()
	again.Announce(targetfake.Announcements{Leaving: "1"})
	for _, err := range []error{
		again.RegisterLate(pgr.TargetAddresses[0], registered), leaving.RegisterLate(pgr.TargetAddresses[1], registered),
		leaving.Register(pgr.TargetAddresses[1], true),
	} {
		if err != nil {
			t.Fatal(err)
		}
	}
	var wgr sync.WaitGroup
	for num := 0; time.Since(began) < length; num++ {
		time.Sleep(time.Second / perSecond)
		wgr.Go(func() {
			if res := pgr.send(num%2, http.MethodGet, "/recipes/x", fmt.Sprint("read-", num), Key); res.Status != http.StatusOK {
				t.Errorf("request %d got %+v", num, res)
			}
		})
	}
	wgr.Wait()
	for _, tgt := range []*targetfake.Target{again, leaving} {
		if cnt := arrivals(tgt, began.Add(heard)); cnt > 0 {
			t.Errorf("%d requests reached %s after it had said that it leaves", cnt, tgt.ID())
		}
	}
	if len(again.Arrivals()) == 0 {
		t.Error("no VM has heard that the target leaves")
	}
}
