// Package fleet keeps the list of the fleet's VMs that the platform holds, and
// who holds the duties to serve tokens.
package fleet

import (
	"slices"
	"strconv"
	"strings"
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/member"
	"marigoldlug.example/core/quota"
	"marigoldlug.example/core/table"
)

const (
	// LeaseTime is how long the holder of a duty acts without proof that it
	// still holds it, and how long its successor waits for that to end.
	LeaseTime = 5 * time.Second
	// leaseSlack covers clocks that run at different rates.
	leaseSlack = 50 * time.Millisecond
	// claimInterval is the least time between two claims of one VM.
	claimInterval = 700 * time.Millisecond
)

// TokenServers is the number of VMs that serve tokens, each a part of them. They are
// of different failure domains, so that one of them can be lost.
const TokenServers = 3

const tokenServerPrefix = "duty.quota-"

// TokenServerName returns the name of the object that says who holds a duty.
func TokenServerName(num int) string { return tokenServerPrefix + strconv.Itoa(num) }

const vmPrefix = "vm."

// VMName returns the name of the object of a VM with the given name.
func VMName(name string) string { return vmPrefix + name }

// Row is one object of the fleet: a VM, or the holder of a duty.
type Row struct {
	VM member.VM
	// Name is the VM's name, which it keeps when its process starts anew.
	Name string
	// Holder is the ID of the VM that holds the duty; empty on rows of VMs.
	Holder string
	// Released is set when the holder has ceased to act.
	Released bool
	// Busy are the organisations that the holder may grant all tokens.
	Busy quota.Busy
}

// Fleet follows the table of the fleet. It is not safe for concurrent use.
type Fleet struct {
	self        member.VM
	name        string
	rows        *table.Table[Row]
	view        member.View
	confirmedAt clock.Instant
	roles       [TokenServers]role
}

// role is what is known of one duty.
type role struct {
	// holder is the ID of the VM that holds it, or empty.
	holder string
	// heldSince is when this VM learned that it holds the duty, and patience how
	// long it waits from then before it acts.
	heldSince clock.Instant
	delay     time.Duration
	claimedAt clock.Instant
	// inheritedBusy is what the holder before this VM stated, as of the claim, which
	// is made on condition that it has not changed.
	inheritedBusy quota.Busy
}

// New returns the fleet as seen by one VM that knows nothing yet.
func New(self member.VM, name string) *Fleet {
	return &Fleet{self: self, name: name, rows: table.New[Row]()}
}

// Revision returns the revision of the list.
func (fle *Fleet) Revision() uint64 { return fle.rows.Revision() }

// Since returns what a reader at the given revision lacks.
func (fle *Fleet) Since(revision uint64) table.Delta[Row] { return fle.rows.Since(revision) }

// View returns the VMs of the fleet.
func (fle *Fleet) View() member.View { return fle.view }

// Confirm notes that the list was the newest at a time.
func (fle *Fleet) Confirm(at clock.Instant) {
	if fle.confirmedAt == (clock.Instant{}) || fle.confirmedAt.Before(at) {
		fle.confirmedAt = at
	}
}

// ConfirmedAt returns when the list was last known to be the newest.
func (fle *Fleet) ConfirmedAt() clock.Instant { return fle.confirmedAt }

// Apply takes a delta and reports whether the list changed.
func (fle *Fleet) Apply(now clock.Instant, del table.Delta[Row]) bool {
	if !fle.rows.Apply(del) || del.Empty() {
		return false
	}
	var vms []member.VM
	for _, row := range fle.rows.Rows() {
		if row.Value.Holder == "" {
			vms = append(vms, row.Value.VM)
		}
	}
	fle.view = member.NewView(fle.rows.Revision(), vms)
	for num := range fle.roles {
		fle.setHolder(now, num)
	}
	return true
}

// setHolder takes over who holds a duty. A new holder waits until its
// predecessor can no longer act, unless that has given the duty up or ended.
func (fle *Fleet) setHolder(now clock.Instant, num int) {
	rol := &fle.roles[num]
	before := rol.holder
	row, _ := fle.rows.Get(TokenServerName(num))
	rol.holder = row.Value.Holder
	if row.Value.Released {
		rol.holder = ""
	}
	if rol.holder != fle.self.ID || before == fle.self.ID {
		return
	}
	rol.heldSince = now
	rol.delay = LeaseTime + leaseSlack
	if before == "" && fle.confirmedAt != (clock.Instant{}) || before != "" && fle.HasExited(before) {
		rol.delay = 0
	}
}

// HasExited reports whether the process with an ID is known to have ended, since
// another runs under the same name.
func (fle *Fleet) HasExited(id string) bool {
	row, found := fle.rows.Get(VMName(nameOf(id)))
	return found && row.Value.VM.ID != id
}

// nameOf returns the name of the VM of which an ID names a run.
func nameOf(id string) string {
	at := strings.LastIndexByte(id, '.')
	return id[:max(at, 0)]
}

// Listed reports whether the list has this run of the VM, and the revision of
// the object under the VM's name.
func (fle *Fleet) Listed() (listed bool, revision uint64) {
	row, _ := fle.rows.Get(VMName(fle.name))
	return row.Value.VM == fle.self, row.Revision
}

// Predecessor returns the ID of an earlier run of this VM that is still listed,
// or "". A planned stop takes a run off the list.
func (fle *Fleet) Predecessor() string {
	row, _ := fle.rows.Get(VMName(fle.name))
	if row.Value.VM == fle.self {
		return ""
	}
	return row.Value.VM.ID
}

// ObjectRevision returns the revision of the object with a name, 0 if there is none.
func (fle *Fleet) ObjectRevision(name string) uint64 {
	row, _ := fle.rows.Get(name)
	return row.Revision
}

// Row returns the row of the VM with an ID.
func (fle *Fleet) Row(id string) (table.Row[Row], bool) {
	row, _ := fle.rows.Get(VMName(nameOf(id)))
	return row, row.Value.VM.ID == id
}

// Holder returns the ID of the VM that holds a duty, or nothing.
func (fle *Fleet) Holder(num int) string { return fle.roles[num].holder }

// Holders returns the IDs of the VMs that hold the duties, with nothing where
// none does.
func (fle *Fleet) Holders() []string {
	out := make([]string, 0, TokenServers)
	for _, rol := range fle.roles {
		out = append(out, rol.holder)
	}
	return out
}

// Vacant reports whether it is known that no VM acts on any duty. A list that
// was never proven may be old.
func (fle *Fleet) Vacant() bool {
	if fle.rows.Revision() == 0 || fle.confirmedAt == (clock.Instant{}) {
		return false
	}
	for _, rol := range fle.roles {
		if rol.holder != "" && !fle.HasExited(rol.holder) {
			return false
		}
	}
	return true
}

// MayServe reports whether this VM may act on a duty.
func (fle *Fleet) MayServe(now clock.Instant, num int) bool {
	rol := fle.roles[num]
	return rol.holder == fle.self.ID && now.Since(fle.confirmedAt) <= LeaseTime && now.Since(rol.heldSince) >= rol.delay
}

// ShouldClaim reports whether this VM is to claim a duty now: the holder is no longer
// listed, and this VM ranks first for it.
func (fle *Fleet) ShouldClaim(now clock.Instant, num int) bool {
	rol := &fle.roles[num]
	if fle.view.Size() == 0 || rol.claimedAt != (clock.Instant{}) && now.Since(rol.claimedAt) < claimInterval {
		return false
	}
	if _, alive := fle.view.VM(rol.holder); alive {
		return false
	}
	if fle.candidate(num) != fle.self.ID {
		return false
	}
	rol.claimedAt = now
	rol.inheritedBusy = quota.Busy{All: true}
	if row, found := fle.rows.Get(TokenServerName(num)); found {
		rol.inheritedBusy = row.Value.Busy
	}
	return true
}

// InheritedBusy returns which organisations the holder of a duty before this VM may
// have granted all tokens.
func (fle *Fleet) InheritedBusy(num int) quota.Busy { return fle.roles[num].inheritedBusy }

// Busy returns which organisations the holder of a duty may grant all tokens.
func (fle *Fleet) Busy(num int) quota.Busy {
	row, _ := fle.rows.Get(TokenServerName(num))
	return row.Value.Busy
}

// candidate returns the VM that is to hold a duty: the first of a failure domain
// of its own, as far as there are enough. A VM that has released the duty stops,
// though it may still be listed.
func (fle *Fleet) candidate(num int) string {
	row, _ := fle.rows.Get(TokenServerName(num))
	domains := fle.view.Domains()
	for off := range domains {
		vms := slices.Clone(fle.view.Domain(domains[(num+off)%len(domains)]))
		vms = slices.DeleteFunc(vms, func(vmm member.VM) bool { return row.Value.Released && vmm.ID == row.Value.Holder })
		if first := member.Ranked(vms, TokenServerName(num), 1); len(first) > 0 {
			return first[0].ID
		}
	}
	return ""
}
