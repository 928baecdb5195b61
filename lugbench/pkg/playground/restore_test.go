package playground

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"slices"
	"testing"
	"time"

	"marigoldlug.example/lugbench/pkg/storefake"
)

// awayTime is how long the store is away before it is restored.
const awayTime = 300 * time.Millisecond

// heartbeats lets every target write a changed entry as often as given.
func (pgr *Playground) heartbeats(t *testing.T, count int) {
	t.Helper()
	for range count {
		for num, tgt := range pgr.Targets {
			if err := tgt.Register(pgr.TargetAddresses[num], false); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// restore takes the store away for awayTime and brings it back from a backup.
func (pgr *Playground) restore(bak *storefake.Backup) { pgr.restoreAfter(awayTime, bak) }

// restoreAfter takes the store away for a time and brings it back from a backup.
func (pgr *Playground) restoreAfter(away time.Duration, bak *storefake.Backup) {
	pgr.Store.SetFaults(storefake.Faults{Reset: true})
	time.Sleep(away)
	pgr.Store.Restore(bak)
	pgr.Store.SetFaults(storefake.Faults{})
}

// checkWithdrawn sends requests with a key that was withdrawn to a VM for some time. None may run, and the VM must learn of it.
func (pgr *Playground) checkWithdrawn(t *testing.T, vmm int, dur time.Duration) {
	t.Helper()
	refused := 0
	for num, end := 0, time.Now().Add(dur); time.Now().Before(end); num++ {
		switch res := pgr.send(vmm, http.MethodGet, "/recipes/x", fmt.Sprint("gap-", num), Key); res.Status {
		case http.StatusUnauthorized:
			refused++
		case http.StatusOK:
			t.Fatalf("request %d with the withdrawn key ran", num)
		}
		time.Sleep(2 * time.Millisecond)
	}
	if refused == 0 {
		t.Error("the VM never learned that the key is withdrawn")
	}
}

// TestWithdrawnKeyStopsAfterTheStoreWasRestored withdraws a key just after the store was restored, and lets targets write
// until the store's revision has passed the one before. A VM that goes on from that one never sees the change. The key
// must have stopped revoke-time (5 s) later, also after two restores in a row.
func TestWithdrawnKeyStopsAfterTheStoreWasRestored(t *testing.T) {
	for _, restores := range []int{1, 2} {
		pgr := start(t, 3)
		settle()
		bak := pgr.Store.Backup()
		pgr.heartbeats(t, 3)
		time.Sleep(500 * time.Millisecond)
		for range restores {
			pgr.restore(bak)
		}
		doc := "release: stop\nbase: 1\nwithdrawn: {keys: [" + keyID() + "]}\n"
		if _, err := pgr.Releases.Apply(context.Background(), []byte(doc), "test"); err != nil {
			t.Fatal(err)
		}
		pgr.heartbeats(t, 4)
		time.Sleep(5300 * time.Millisecond)
		for num := range 3 {
			if res := pgr.send(num, http.MethodGet, "/recipes/x", fmt.Sprint("late-", num), Key); res.Status != http.StatusUnauthorized {
				t.Errorf("after %d restores VM %d answers a withdrawn key with status %d", restores, num+1, res.Status)
			}
		}
	}
}

// TestRemovedTargetGetsNoRequestAfterTheStoreWasRestored removes the entry of a target after the store was restored, while
// its revision is still below the one before. A VM that drops what has a lower revision never sees the removal.
func TestRemovedTargetGetsNoRequestAfterTheStoreWasRestored(t *testing.T) {
	const drain = 2 * time.Second
	pgr := start(t, 2)
	settle()
	bak := pgr.Store.Backup()
	pgr.heartbeats(t, 30)
	time.Sleep(500 * time.Millisecond)
	pgr.restore(bak)
	pgr.heartbeats(t, 1)
	time.Sleep(time.Second)
	pgr.Targets[0].Deregister()
	removed := time.Now()
	for num := 0; time.Since(removed) < drain+time.Second; num++ {
		time.Sleep(10 * time.Millisecond)
		if res := pgr.send(num%2, http.MethodGet, "/recipes/x", fmt.Sprint("read-", num), Key); res.Status != http.StatusOK {
			t.Fatalf("request %d got %+v", num, res)
		}
	}
	if cnt := arrivals(pgr.Targets[0], removed.Add(drain)); cnt > 0 {
		t.Errorf("%d requests reached the target later than %v after its entry was removed", cnt, drain)
	}
}

// TestVMThatStartsInTheGapOfARestoreServesNoWithdrawnKey restores the store from a copy that lacks the withdrawal of a key, and
// starts a VM, the first one of its failure domain, before the operator has written it again. No request with the key may run there, from the first one on: the VM
// must ask the others before it relies on the store.
func TestVMThatStartsInTheGapOfARestoreServesNoWithdrawnKey(t *testing.T) {
	pgr := start(t, 2)
	settle()
	bak := pgr.Store.Backup()
	if _, err := pgr.Releases.Apply(context.Background(), []byte("release: stop\nbase: 1\nwithdrawn: {keys: ["+keyID()+"]}\n"), "test"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(500 * time.Millisecond)
	pgr.restore(bak)
	if err := pgr.startVM(context.Background(), 2, pgr.StoreAddress, Settings{Log: io.Discard}); err != nil {
		t.Fatal(err)
	}
	pgr.checkWithdrawn(t, 2, 2*time.Second)
}

// TestVMThatStartsWithAListThatLacksOthersServesNoWithdrawnKey restores the store from a copy that lists a VM of two, and starts that one again: it
// finds nobody else on the list, but the other one lives and knows that a key was withdrawn. No request with the key may run at
// the VM that starts: an old list does not prove that there is nobody to ask.
func TestVMThatStartsWithAListThatLacksOthersServesNoWithdrawnKey(t *testing.T) {
	pgr := start(t, 1)
	settle()
	bak := pgr.Store.Backup()
	if err := pgr.startVM(context.Background(), 1, pgr.StoreAddress, Settings{Log: io.Discard}); err != nil {
		t.Fatal(err)
	}
	if _, err := pgr.Releases.Apply(context.Background(), []byte("release: stop\nbase: 1\nwithdrawn: {keys: ["+keyID()+"]}\n"), "test"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(500 * time.Millisecond)
	starter := len(pgr.closers) - 2
	pgr.closers[starter]()
	pgr.closers = slices.Delete(pgr.closers, starter, starter+1)
	pgr.restoreAfter(2*time.Second, bak) // So long that the VM that lives does not put itself on the list at once.
	if _, err := pgr.launchVM(context.Background(), 0, pgr.StoreAddress, Settings{Log: io.Discard}); err != nil {
		t.Fatal(err)
	}
	pgr.checkWithdrawn(t, 2, 4*time.Second)
}

// TestVMsThatStartLongAfterARestoreServeSoon restores the store under a fleet, and lets all of it stop and start some seconds later.
// The VMs that start must serve within the time for which callers are queued: the ones before recorded that the store holds
// the newest configuration.
func TestVMsThatStartLongAfterARestoreServeSoon(t *testing.T) {
	pgr := start(t, 2)
	settle()
	pgr.restore(pgr.Store.Backup())
	time.Sleep(2 * time.Second)
	for range 2 {
		pgr.closers[len(pgr.closers)-1]()
		pgr.closers = pgr.closers[:len(pgr.closers)-1]
	}
	for num := range 2 {
		began := time.Now()
		if err := pgr.startVM(context.Background(), num, pgr.StoreAddress, Settings{Log: io.Discard}); err != nil {
			t.Fatal(err)
		}
		if res := pgr.send(num+2, http.MethodGet, "/recipes/x", fmt.Sprint("after-", num), Key); res.Status != http.StatusOK || time.Since(began) > 2*time.Second {
			t.Errorf("VM %d answers with status %d after %v", num, res.Status, time.Since(began))
		}
	}
}

// TestVMsOfAFirstStartDoNotWaitForAProof starts a VM whose settings say that the fleet starts for the first time, beside a store that
// was restored before. The setting had no effect: it was not passed on.
func TestVMsOfAFirstStartDoNotWaitForAProof(t *testing.T) {
	pgr := start(t, 0)
	pgr.Store.Restore(pgr.Store.Backup())
	began := time.Now()
	if err := pgr.startVM(context.Background(), 0, pgr.StoreAddress, Settings{Log: io.Discard, firstStart: true}); err != nil {
		t.Fatal(err)
	}
	if res := pgr.send(0, http.MethodGet, "/recipes/x", "first", Key); res.Status != http.StatusOK || time.Since(began) > 2*time.Second {
		t.Errorf("status %d after %v", res.Status, time.Since(began))
	}
}

// TestConfigurationInForceStaysAfterTheStoreWasRestored restores the store from a copy that lacks the last configuration.
// No VM may go back to the one before, nor may one that starts meanwhile; once the operator has written the lost
// one again, and a further one, that must be in force.
func TestConfigurationInForceStaysAfterTheStoreWasRestored(t *testing.T) {
	pgr := start(t, 3)
	settle()
	bak := pgr.Store.Backup()
	withdraw := []byte("release: stop\nbase: 1\nwithdrawn: {routes: [orders]}\n")
	if _, err := pgr.Releases.Apply(context.Background(), withdraw, "test"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(500 * time.Millisecond)
	pgr.restore(bak)
	if err := pgr.startVM(context.Background(), 3, pgr.StoreAddress, Settings{Log: io.Discard}); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Second)
	for num := range 4 {
		if res := pgr.send(num, http.MethodPost, "/orders/x", fmt.Sprint("gap-", num), Key); res.Status != http.StatusNotFound {
			t.Errorf("in the gap VM %d answers on a withdrawn route with status %d", num+1, res.Status)
		}
	}
	if _, err := pgr.Releases.Apply(context.Background(), withdraw, "test"); err != nil {
		t.Fatal(err)
	}
	if _, err := pgr.Releases.Apply(context.Background(), []byte("release: more\nbase: 2\nwithdrawn: {keys: ["+keyID()+"]}\n"), "test"); err != nil {
		t.Fatal(err)
	}
	time.Sleep(time.Second)
	for num := range 4 {
		if res := pgr.send(num, http.MethodGet, "/recipes/x", fmt.Sprint("after-", num), Key); res.Status != http.StatusUnauthorized {
			t.Errorf("VM %d answers a withdrawn key with status %d", num+1, res.Status)
		}
	}
}
