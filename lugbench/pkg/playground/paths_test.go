package playground

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"
)

// TestCallersOfAVMWithoutPathsToTargetsAreServed cuts one VM of three from all targets, with open connections
// reset or not, and later mends the links. From 1 s after the cut on every caller of it must be served, and no request
// may run twice that is not idempotent.
func TestCallersOfAVMWithoutPathsToTargetsAreServed(t *testing.T) {
	for _, reset := range []bool{true, false} {
		t.Run(fmt.Sprint("reset ", reset), func(t *testing.T) {
			const perSecond, settled, mended, length = 40, time.Second, 3 * time.Second, 5 * time.Second
			lnk := NewLinks()
			pgr, err := Start(context.Background(), Settings{VMs: 3, Targets: 6, Latency: 20 * time.Millisecond, Log: io.Discard, Links: map[int]*Links{0: lnk}})
			if err != nil {
				t.Fatal(err)
			}
			t.Cleanup(pgr.Close)
			settle()
			for num := range 6 {
				pgr.send(0, http.MethodGet, "/recipes/x", fmt.Sprint("warm-", num), Key)
			}
			began := time.Now()
			lnk.Cut(reset)
			var wgr sync.WaitGroup
			var served atomic.Int32
			for num, mending := 0, true; time.Since(began) < length; num++ {
				if mending && time.Since(began) > mended {
					mending = false
					if err := lnk.Mend(); err != nil {
						t.Fatal(err)
					}
				}
				time.Sleep(time.Second / perSecond)
				sentAfter, method, path := time.Since(began), http.MethodGet, "/recipes/x"
				if num%2 == 0 {
					method, path = http.MethodPost, "/orders/x"
				}
				wgr.Go(func() {
					res := pgr.send(0, method, path, fmt.Sprint("request-", num), Key)
					if res.Status == http.StatusOK {
						served.Add(1)
					} else if sentAfter > settled {
						t.Errorf("%s after %v got %+v", method, sentAfter, res)
					}
				})
			}
			wgr.Wait()
			for id, cnt := range pgr.runs() {
				if cnt > 1 && id[len(id)-1]%2 == 0 {
					t.Errorf("%s ran %d times", id, cnt)
				}
			}
			t.Logf("%d served", served.Load())
		})
	}
}
