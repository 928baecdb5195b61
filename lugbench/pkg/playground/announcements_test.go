package playground

import (
	"fmt"
	"net/http"
	"sync"
	"testing"
	"time"

	"marigoldlug.example/lugbench/pkg/targetfake"
)

// TestFleetKeepsToWhatTargetsAnnounce sends 60 requests a second to VMs whose targets announce a limit,
// leave, or want nothing for a time. Each must get as few requests as it announces, and nearly all
// requests must be served by the others.
func TestFleetKeepsToWhatTargetsAnnounce(t *testing.T) {
	pgr := start(t, 3)
	settle()
	limited, leaving, paused := pgr.Targets[0], pgr.Targets[1], pgr.Targets[2]
	limited.Announce(targetfake.Announcements{Limits: []string{"1.5"}})
	leaving.Announce(targetfake.Announcements{Leaving: "1"})
	paused.Announce(targetfake.Announcements{RetryAfter: "30"})
	var mut sync.Mutex
	var wgr sync.WaitGroup
	served := 0
	const requests = 420
	for num := range requests {
		time.Sleep(time.Second / 60)
		wgr.Go(func() {
			res := pgr.send(num%3, http.MethodGet, "/recipes/x", fmt.Sprint("read-", num), Key)
			mut.Lock()
			defer mut.Unlock()
			if res.Status == http.StatusOK {
				served++
			}
		})
	}
	wgr.Wait()
	if served < requests*95/100 {
		t.Errorf("%d of %d requests were served", served, requests)
	}
	// Until each VM has heard of it, requests are on their way, and they may be hedged.
	end := time.Now()
	if cnt := arrivals(limited, end.Add(-4*time.Second)); cnt > 1.5*4*1.5+5 || cnt == 0 {
		t.Errorf("%d requests in 4 s reached a target that takes 1.5 a second", cnt)
	}
	if cnt := arrivals(leaving, end.Add(-5*time.Second)); cnt > 0 {
		t.Errorf("%d requests reached a target two seconds after it said that it leaves", cnt)
	}
	if cnt := len(paused.Arrivals()); cnt > 3*3 {
		t.Errorf("%d requests reached a target that wanted none", cnt)
	}
}

// arrivals returns how many requests have reached a target since a time.
func arrivals(tgt *targetfake.Target, since time.Time) (cnt int) {
	for _, arr := range tgt.Arrivals() {
		if arr.At.After(since) {
			cnt++
		}
	}
	return cnt
}

// TestServiceWithLimitedTargetsRefusesAtOnce sends more requests than the targets of a service take by
// what they announce. Those that cannot be served must be refused at once, with a time to return.
func TestServiceWithLimitedTargetsRefusesAtOnce(t *testing.T) {
	pgr := start(t, 3)
	settle()
	for _, tgt := range pgr.Targets {
		tgt.Announce(targetfake.Announcements{Limits: []string{"2"}})
	}
	var mut sync.Mutex
	var wgr sync.WaitGroup
	served, refused := 0, 0
	for num := range 300 {
		time.Sleep(time.Second / 60)
		wgr.Go(func() {
			began := time.Now()
			res := pgr.send(num%3, http.MethodGet, "/recipes/x", fmt.Sprint("read-", num), Key)
			mut.Lock()
			defer mut.Unlock()
			switch {
			case res.Status == http.StatusOK:
				served++
			case res.Status != http.StatusServiceUnavailable || res.RetryAfter == "":
				t.Errorf("got %+v", res)
			case time.Since(began) > 500*time.Millisecond:
				t.Errorf("refused after %v", time.Since(began))
			default:
				refused++
			}
		})
	}
	wgr.Wait()
	if served < 45 || refused < 100 {
		t.Errorf("%d served of the 60 that the targets take in 5 s, %d refused", served, refused)
	}
}
