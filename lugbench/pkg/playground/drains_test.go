package playground

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"marigoldlug.example/lugbench/pkg/storefake"
	"marigoldlug.example/platform/pkg/objects"
)

// drainNotice is how long after a drain, or after it ends, all VMs know it while the store works.
const drainNotice = time.Second

// drainedName is the failure domain that is drained.
const drainedName = "domain-2"

// startDrainable starts VMs that keep to drains, and sends them requests until the test ends. lastRefused is the number
// of requests that were not answered by a target.
func startDrainable(t *testing.T) (pgr *Playground, ops *objects.OperatorStore, lastRefused *atomic.Int64) {
	t.Helper()
	pgr, err := Start(context.Background(), Settings{VMs: 4, Targets: 6, Latency: 20 * time.Millisecond, Log: io.Discard, DrainTime: 5 * time.Second})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(pgr.Close)
	settle()
	log := logrus.New()
	log.SetOutput(io.Discard)
	lastRefused = new(atomic.Int64)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		for num := 0; ctx.Err() == nil; num++ {
			if res := pgr.send(num%4, http.MethodGet, "/recipes/x", fmt.Sprint("drain-", num), Key); res.Status != http.StatusOK {
				lastRefused.Add(1)
			}
		}
	}()
	t.Cleanup(func() { cancel(); <-done })
	return pgr, objects.NewOperatorStore(objects.New(pgr.StoreAddress, log)), lastRefused
}

// arrivedAtDrained returns how many requests have reached the targets of the failure domain that is drained.
func (pgr *Playground) arrivedAtDrained() int {
	cnt := 0
	for _, tgt := range pgr.Targets {
		if tgt.FailureDomain() == drainedName {
			cnt += len(tgt.Arrivals())
		}
	}
	return cnt
}

// TestDrainedDomainGetsNoRequestsUntilItIsTakenBack guards against VMs that miss the drain or its end, whether they read
// the store or follow another VM, and against callers that notice.
func TestDrainedDomainGetsNoRequestsUntilItIsTakenBack(t *testing.T) {
	pgr, ops, refused := startDrainable(t)
	if err := ops.Drain(context.Background(), drainedName); err != nil {
		t.Fatal(err)
	}
	time.Sleep(drainNotice)
	before := pgr.arrivedAtDrained()
	time.Sleep(2 * time.Second)
	if after := pgr.arrivedAtDrained(); after != before {
		t.Errorf("%d requests reached the drained domain", after-before)
	}
	if err := ops.Restore(context.Background(), drainedName); err != nil {
		t.Fatal(err)
	}
	time.Sleep(drainNotice)
	if pgr.arrivedAtDrained() == before {
		t.Error("no request reached the domain after it was taken back")
	}
	if cnt := refused.Load(); cnt > 0 {
		t.Errorf("%d requests were not served", cnt)
	}
}

// TestDrainStaysWhileTheStoreIsAwayOrRestored guards against VMs that take a drain back since they cannot read it, or since
// the restored store has lost it.
func TestDrainStaysWhileTheStoreIsAwayOrRestored(t *testing.T) {
	pgr, ops, _ := startDrainable(t)
	bak := pgr.Store.Backup()
	if err := ops.Drain(context.Background(), drainedName); err != nil {
		t.Fatal(err)
	}
	time.Sleep(drainNotice)
	before := pgr.arrivedAtDrained()
	pgr.Store.SetFaults(storefake.Faults{Silent: true})
	time.Sleep(2 * time.Second)
	pgr.restore(bak)
	time.Sleep(3 * time.Second)
	if err := ops.Drain(context.Background(), drainedName); err != nil {
		t.Fatal(err)
	}
	time.Sleep(drainNotice)
	if after := pgr.arrivedAtDrained(); after != before {
		t.Errorf("%d requests reached the drained domain", after-before)
	}
}
