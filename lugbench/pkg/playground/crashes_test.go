package playground

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldlug.example/lugbench/pkg/targetfake"
	"marigoldlug.example/lugctl/pkg/client"
	"marigoldlug.example/platform/pkg/objects"
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
			if err := pgr.startVM(context.Background(), 3, pgr.StoreAddress, Settings{Log: io.Discard}); err != nil {
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
			liftAndSend(t, pgr, path)
			// The route allows two attempts, and only an idempotent request gets both.
			if got := pgr.crashes(); got <= crashed || got > crashed+2 {
				t.Errorf("%d targets crashed after the quarantine was lifted, %d before", got, crashed)
			}
		})
	}
}

// liftAndSend lets an operator look up and lift the only quarantine, waits until the VMs know that, and sends
// the request once.
func liftAndSend(t *testing.T, pgr *Playground, path string) {
	t.Helper()
	cli := client.New("http://"+pgr.OperatorAddresses[1], http.DefaultClient)
	listed, err := cli.Contents(context.Background())
	if err != nil || len(listed) != 1 || listed[0].State != "quarantined" || listed[0].Ends != 3 {
		t.Fatalf("listed %+v, %v", listed, err)
	}
	log := logrus.New()
	log.SetOutput(io.Discard)
	if err := objects.NewOperatorStore(objects.New(pgr.StoreAddress, log)).Lift(context.Background(), listed[0].Content); err != nil {
		t.Fatal(err)
	}
	for end := time.Now().Add(3 * time.Second); len(listed) > 0; time.Sleep(50 * time.Millisecond) {
		if listed, err = cli.Contents(context.Background()); err != nil || time.Now().After(end) {
			t.Fatalf("3 s after the lift: %+v, %v", listed, err)
		}
	}
	res := pgr.send(1, http.MethodGet, path+"?"+targetfake.CrashParameter+"=one", "again", Key)
	if res.Status != http.StatusBadGateway && res.Status != http.StatusServiceUnavailable {
		t.Errorf("got %+v", res)
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
