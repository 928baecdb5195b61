package playground

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"marigoldlug.example/lugbench/pkg/targetfake"
)

// TestRequestThatCrashesTargetsIsNotSentOn sends a request that crashes its targets five times a second to
// VMs in turn, beside others. At most three targets may crash, and none at a VM that is started later.
func TestRequestThatCrashesTargetsIsNotSentOn(t *testing.T) {
	for _, path := range []string{"/recipes/x", "/orders/x"} {
		t.Run(path, func(t *testing.T) {
			t.Parallel()
			pgr := start(t, 3)
			settle()
			playCrashes(t, pgr, path, 5*time.Second)
			crashed := pgr.crashes()
			if crashed == 0 || crashed > 3 {
				t.Errorf("%d targets crashed, want 1 to 3", crashed)
			}
			if err := pgr.startVM(context.Background(), 3, pgr.StoreAddress, io.Discard); err != nil {
				t.Fatal(err)
			}
			for num := range 4 {
				res := pgr.send(num, http.MethodGet, path+"?"+targetfake.CrashParameter+"=one", fmt.Sprint("late-", num), Key)
				if res.Status != http.StatusServiceUnavailable || res.RetryAfter == "" {
					t.Errorf("VM %d answered %+v", num, res)
				}
			}
			if got := pgr.crashes(); got != crashed {
				t.Errorf("%d targets crashed in the end, %d before", got, crashed)
			}
		})
	}
}

// crashes returns how often targets have crashed.
func (pgr *Playground) crashes() (cnt int) {
	for _, tgt := range pgr.Targets {
		cnt += len(tgt.Crashes())
	}
	return cnt
}

// playCrashes sends a request that crashes its targets, and others, for a time. The others must be served,
// but for those that ran beside it.
func playCrashes(t *testing.T, pgr *Playground, path string, length time.Duration) {
	const perSecond, each = 40, 8
	var mut sync.Mutex
	var wgr sync.WaitGroup
	sent, served := 0, 0
	for num := range int(length.Seconds()) * perSecond {
		time.Sleep(time.Second / perSecond)
		wgr.Go(func() {
			if num%each == 0 {
				res := pgr.send(num/each%3, http.MethodGet, path+"?"+targetfake.CrashParameter+"=one", fmt.Sprint("bad-", num), Key)
				if res.Status != http.StatusServiceUnavailable && res.Status != http.StatusBadGateway {
					t.Errorf("a request that crashes its targets got %+v", res)
				}
				return
			}
			res := pgr.send(num%3, http.MethodGet, "/recipes/"+fmt.Sprint(num), fmt.Sprint("good-", num), Key)
			mut.Lock()
			defer mut.Unlock()
			sent++
			if res.Status == http.StatusOK {
				served++
			}
		})
	}
	wgr.Wait()
	if served < sent*98/100 {
		t.Errorf("%d of %d other requests were served", served, sent)
	}
}
