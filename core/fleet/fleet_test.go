package fleet

import (
	"testing"
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/member"
	"marigoldlug.example/core/quota"
	"marigoldlug.example/core/table"
)

func vmRow(name, run string, revision uint64) table.Row[Row] {
	return table.Row[Row]{Name: VMName(name), Revision: revision, Value: Row{VM: member.VM{ID: name + "." + run, FailureDomain: "a"}, Name: name}}
}

func holderRow(id string, revision uint64) table.Row[Row] {
	return table.Row[Row]{Name: TokenServerName(0), Revision: revision, Value: Row{Holder: id}}
}

func newFleet(t *testing.T, now clock.Instant, rows ...table.Row[Row]) *Fleet {
	t.Helper()
	fle := New(member.VM{ID: "one.r1", FailureDomain: "a"}, "one")
	fle.Confirm(now)
	if !fle.Apply(now, table.Delta[Row]{Whole: true, Revision: 10, Rows: rows}) {
		t.Fatal("the list was not applied")
	}
	return fle
}

func change(fle *Fleet, now clock.Instant, revision uint64, rows ...table.Row[Row]) {
	fle.Apply(now, table.Delta[Row]{Since: revision - 1, Revision: revision, Rows: rows})
	fle.Confirm(now)
}

func TestFirstHolderServesAtOnceUntilLeaseExpires(t *testing.T) {
	now := clock.At(time.Hour)
	fle := newFleet(t, now, vmRow("one", "r1", 1))
	if !fle.ShouldClaim(now, 0) || fle.ShouldClaim(now, 0) {
		t.Fatal("a VM that is alone must claim the duty, once in a while")
	}
	change(fle, now, 11, holderRow("one.r1", 11))
	if !fle.MayServe(now, 0) {
		t.Error("the first holder does not act")
	}
	if fle.MayServe(now.Add(LeaseTime+time.Millisecond), 0) {
		t.Error("the holder acts without proof")
	}
}

// TestSuccessorWaitsUntilLeaseExpires lets a holder vanish that may still act.
func TestSuccessorWaitsUntilLeaseExpires(t *testing.T) {
	now := clock.At(time.Hour)
	fle := newFleet(t, now, vmRow("one", "r1", 1), vmRow("two", "r1", 2), holderRow("two.r1", 3))
	if fle.ShouldClaim(now, 0) {
		t.Fatal("claims the duty of a listed VM")
	}
	fle.Apply(now, table.Delta[Row]{Since: 10, Revision: 11, Removed: []string{VMName("two")}})
	if !fle.ShouldClaim(now, 0) {
		t.Fatal("does not claim the duty of a VM that is gone")
	}
	change(fle, now, 12, holderRow("one.r1", 12))
	early := now.Add(LeaseTime)
	fle.Confirm(early)
	if fle.MayServe(early, 0) {
		t.Error("acts while its predecessor may")
	}
	late := now.Add(LeaseTime + 2*leaseSlack)
	fle.Confirm(late)
	if !fle.MayServe(late, 0) {
		t.Error("does not act once its predecessor cannot")
	}
}

// TestReleasedRoleIsClaimedWhileHolderIsListed has the VM that ranks first for a
// duty release it and stay on the list, as it does where the store takes the release
// and not the delisting. Another VM is to claim the duty, and acts at once.
func TestReleasedRoleIsClaimedWhileHolderIsListed(t *testing.T) {
	now := clock.At(time.Hour)
	for _, others := range []int{1, 2} {
		vms := []table.Row[Row]{vmRow("one", "r1", 1), vmRow("two", "r1", 2), vmRow("three", "r1", 3)}
		first := newFleet(t, now, vms[:others+1]...).candidate(0)
		released := holderRow(first, 11)
		released.Value.Released = true
		claims := 0
		for _, row := range vms[:others+1] {
			fle := New(row.Value.VM, row.Value.Name)
			fle.Confirm(now)
			fle.Apply(now, table.Delta[Row]{Whole: true, Revision: 11, Rows: append([]table.Row[Row]{released}, vms[:others+1]...)})
			if !fle.ShouldClaim(now, 0) {
				continue
			}
			claims++
			change(fle, now, 12, holderRow(row.Value.VM.ID, 12))
			if row.Value.VM.ID == first || !fle.MayServe(now, 0) {
				t.Errorf("%s claims the duty that %s released, and acts: %v", row.Value.VM.ID, first, fle.MayServe(now, 0))
			}
		}
		if claims != 1 {
			t.Errorf("%d of %d VMs claim the duty", claims, others+1)
		}
	}
}

// TestReleasedRoleIsNotReclaimedBySameVM has the only VM release its duty.
func TestReleasedRoleIsNotReclaimedBySameVM(t *testing.T) {
	now := clock.At(time.Hour)
	released := holderRow("one.r1", 3)
	released.Value.Released = true
	if newFleet(t, now, vmRow("one", "r1", 1), released).ShouldClaim(now, 0) {
		t.Error("a VM claims the duty that it has released")
	}
}

// TestSuccessorOfExitedProcessServesAtOnce replaces the holder's process, which
// shows that the old one has ended.
func TestSuccessorOfExitedProcessServesAtOnce(t *testing.T) {
	now := clock.At(time.Hour)
	fle := newFleet(t, now, vmRow("one", "r1", 1), vmRow("two", "r1", 2), holderRow("two.r1", 3))
	change(fle, now, 11, vmRow("two", "r2", 11))
	if !fle.Vacant() {
		t.Error("the duty of a process that has ended is not vacant")
	}
	change(fle, now, 12, holderRow("one.r1", 12))
	if !fle.MayServe(now, 0) {
		t.Error("waits for a process that has ended")
	}
}

// TestTokenServersAreInDifferentFailureDomains lists VMs of three failure domains.
func TestTokenServersAreInDifferentFailureDomains(t *testing.T) {
	now := clock.At(time.Hour)
	var rows []table.Row[Row]
	for num, name := range []string{"one", "two", "three", "four", "five", "six"} {
		row := vmRow(name, "r1", uint64(num+1))
		row.Value.VM.FailureDomain = string(rune('a' + num%3))
		rows = append(rows, row)
	}
	fle := newFleet(t, now, rows...)
	domains := make(map[string]bool)
	for num := range TokenServers {
		vmm, _ := fle.View().VM(fle.candidate(num))
		domains[vmm.FailureDomain] = true
	}
	if len(domains) != 3 {
		t.Errorf("the duties lie in %v", domains)
	}
}

func TestRestartedVMIsNotListed(t *testing.T) {
	now := clock.At(time.Hour)
	fle := newFleet(t, now, vmRow("one", "old", 4))
	if listed, revision := fle.Listed(); listed || revision != 4 {
		t.Errorf("listed %v at revision %d, want the entry of the earlier run at 4", listed, revision)
	}
	if got := fle.Predecessor(); got != "one.old" {
		t.Errorf("the earlier run is %q", got)
	}
	change(fle, now, 11, vmRow("one", "r1", 11))
	if got := fle.Predecessor(); got != "" {
		t.Errorf("the listed run has the predecessor %q", got)
	}
}

// TestClaimKeepsBusyOfPreviousHolder takes a duty over twice: from a holder that
// named a busy organisation, and from one that had just begun.
func TestClaimKeepsBusyOfPreviousHolder(t *testing.T) {
	now := clock.At(time.Hour)
	busy := holderRow("two.r1", 3)
	busy.Value.Busy = quota.Busy{Names: []string{"org"}}
	fle := newFleet(t, now, vmRow("one", "r1", 1), busy)
	if !fle.ShouldClaim(now, 0) {
		t.Fatal("does not claim the duty of a VM that is gone")
	}
	mine := holderRow("one.r1", 11)
	mine.Value.Busy = quota.Busy{All: true}
	change(fle, now, 11, mine)
	if got := fle.InheritedBusy(0); !got.Equal(busy.Value.Busy) {
		t.Errorf("inherited %+v", got)
	}
	if !fle.Busy(0).All {
		t.Errorf("the store holds %+v of the new holder", fle.Busy(0))
	}
	begun := holderRow("two.r2", 12)
	begun.Value.Busy = quota.Busy{All: true}
	change(fle, now, 12, begun)
	later := now.Add(time.Minute)
	if !fle.ShouldClaim(later, 0) || !fle.InheritedBusy(0).All {
		t.Errorf("inherited %+v from a holder that had just begun", fle.InheritedBusy(0))
	}
}
