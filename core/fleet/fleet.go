// Package fleet keeps the list of the fleet's VMs that the platform holds, and
// who holds the duty to serve tokens.
package fleet

import (
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/member"
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

// DutyName is the name of the object that says who serves tokens.
const DutyName = "duty.quota"

const vmPrefix = "vm."

// VMName returns the name of the object of a VM with the given name.
func VMName(name string) string { return vmPrefix + name }

// Row is one object of the fleet: a VM, or the holder of the duty.
type Row struct {
	VM member.VM
	// Name is the VM's name, which it keeps when its process starts anew.
	Name string
	// Holder is the ID of the VM that holds the duty; empty on rows of VMs.
	Holder string
	// Released is set when the holder has ceased to act.
	Released bool
}

// Fleet follows the table of the fleet. It is not safe for concurrent use.
type Fleet struct {
	self   member.VM
	name   string
	rows   *table.Table[Row]
	view   member.View
	proven clock.Instant
	// since is when this VM learned that it holds the duty, and patience how
	// long it waits from then before it acts.
	since    clock.Instant
	patience time.Duration
	holder   string
	claimed  clock.Instant
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

// Prove notes that the list was the newest at a time.
func (fle *Fleet) Prove(at clock.Instant) {
	if fle.proven == (clock.Instant{}) || fle.proven.Before(at) {
		fle.proven = at
	}
}

// Proven returns when the list was last known to be the newest.
func (fle *Fleet) Proven() clock.Instant { return fle.proven }

// Apply takes a delta and reports whether the list changed.
func (fle *Fleet) Apply(now clock.Instant, del table.Delta[Row]) bool {
	if !fle.rows.Apply(del) || del.Empty() {
		return false
	}
	before, beforeHeld := fle.holder, fle.holder != ""
	ended := beforeHeld && fle.ended(before)
	var vms []member.VM
	for _, row := range fle.rows.Rows() {
		if row.Value.Holder == "" {
			vms = append(vms, row.Value.VM)
		}
	}
	fle.view = member.NewView(fle.rows.Revision(), vms)
	duty, _ := fle.rows.Get(DutyName)
	fle.holder = duty.Value.Holder
	if duty.Value.Released {
		fle.holder = ""
	}
	if fle.holder == fle.self.ID && before != fle.self.ID {
		fle.since = now
		fle.patience = LeaseTime + leaseSlack
		if before == "" && fle.proven != (clock.Instant{}) || ended {
			fle.patience = 0
		}
	}
	return true
}

// ended reports whether the process with an ID is known to have ended, since
// another runs under the same name.
func (fle *Fleet) ended(id string) bool {
	for _, row := range fle.rows.Rows() {
		if row.Value.VM.ID != id && row.Value.Name != "" && sameName(id, row.Value.Name) {
			return true
		}
	}
	return false
}

// sameName reports whether an ID is that of a run of the VM with a name.
func sameName(id, name string) bool {
	return len(id) > len(name) && id[:len(name)] == name && id[len(name)] == '.'
}

// Listed reports whether the list has this run of the VM, and the revision of
// the object under the VM's name.
func (fle *Fleet) Listed() (listed bool, revision uint64) {
	row, _ := fle.rows.Get(VMName(fle.name))
	return row.Value.VM == fle.self, row.Revision
}

// Object returns the revision of the object with a name, 0 if there is none.
func (fle *Fleet) Object(name string) uint64 {
	row, _ := fle.rows.Get(name)
	return row.Revision
}

// Row returns the row of the VM with an ID.
func (fle *Fleet) Row(id string) (row table.Row[Row], found bool) {
	for _, row := range fle.rows.Rows() {
		if row.Value.VM.ID == id {
			return row, true
		}
	}
	return table.Row[Row]{}, false
}

// Holder returns the ID of the VM that holds the duty, or nothing.
func (fle *Fleet) Holder() string { return fle.holder }

// Vacant reports whether it is known that no VM acts on the duty.
func (fle *Fleet) Vacant() bool {
	if fle.rows.Revision() == 0 {
		return false
	}
	return fle.holder == "" || fle.ended(fle.holder)
}

// Acts reports whether this VM may act on the duty.
func (fle *Fleet) Acts(now clock.Instant) bool {
	return fle.holder == fle.self.ID && now.Since(fle.proven) <= LeaseTime && now.Since(fle.since) >= fle.patience
}

// Claims reports whether this VM is to claim the duty now: the holder is no
// longer listed, and this VM ranks first for it.
func (fle *Fleet) Claims(now clock.Instant) bool {
	if fle.view.Size() == 0 || fle.claimed != (clock.Instant{}) && now.Since(fle.claimed) < claimInterval {
		return false
	}
	if _, alive := fle.view.VM(fle.holder); alive {
		return false
	}
	first := fle.view.Ranked(DutyName, 1)
	if first[0].ID != fle.self.ID {
		return false
	}
	fle.claimed = now
	return true
}
