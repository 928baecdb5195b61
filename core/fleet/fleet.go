// Package fleet keeps a VM's copy of the fleet list, which the platform's store holds: the VMs
// of the fleet, and which of them hold the roles of the token servers.
package fleet

import (
	"strconv"
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/member"
	"marigoldlug.example/core/quarantine"
	"marigoldlug.example/core/quota"
	"marigoldlug.example/core/revision"
	"marigoldlug.example/core/table"
)

const (
	// LeaseTime is how long the holder of a role may serve after the list was last confirmed to
	// be up to date, and how long its successor waits before it serves, so that the two never
	// serve at once.
	LeaseTime = 5 * time.Second
	// clockDriftMargin is added to the wait of the successor, because the clocks of two VMs may run
	// at different rates.
	clockDriftMargin = 50 * time.Millisecond
	// claimInterval is the minimum time between two claims of the same role by one VM.
	claimInterval = 700 * time.Millisecond
)

// TokenServerCount is the number of VMs that grant rate-limit tokens, each an equal share of every
// organisation's. They are in different failure domains, as far as there are enough, so that the
// loss of a failure domain stops only one of them.
const TokenServerCount = 3

const tokenServerPrefix = "duty.quota-"

// TokenServerName returns the name of the object that records the holder of the role of token
// server num.
func TokenServerName(num int) string { return tokenServerPrefix + strconv.Itoa(num) }

// QuarantineName is the name of the object that holds the contents of requests that crash targets. It has
// a holder, its last writer, so that programs that do not know it take it for a role.
const QuarantineName = "duty.quarantine"

// ProofName is the name of the object that records in which era of the store a VM has last found that the store holds the
// newest configuration. Like the quarantine's it has a holder, its writer.
const ProofName = "duty.proof"

const vmPrefix = "vm."

// VMName returns the name of the object of the VM with the given name.
func VMName(name string) string { return vmPrefix + name }

// Row is one object of the fleet list: a VM, or the holder of a token server's role.
type Row struct {
	VM member.VM
	// Name is the VM's name, which stays the same when its process restarts.
	Name string
	// Holder is the ID of the VM that holds the role; empty in rows of VMs.
	Holder string
	// Released is set when the holder has stopped serving and given up the role.
	Released bool
	// Era is the store's era in which the claim or the proof was written; 0 in rows of VMs, and in those of programs that know
	// no eras. In a later era it proves nothing: the store may have lost what came after it.
	Era revision.Era
	// Waiting is set in a claim whose holder had to wait for previous holders when it was written.
	Waiting bool
	// Busy lists the busy organisations of the holder: those that it may grant their whole
	// window limit.
	Busy quota.Busy
	// Quarantine holds contents under which targets have ended; empty but for the object QuarantineName.
	Quarantine []quarantine.Report
	// Malformed is the number of contents in the object that could not be read.
	Malformed int
}

// Fleet is the fleet list as one VM knows it. It is not safe for concurrent use.
type Fleet struct {
	self        member.VM
	name        string
	rows        *table.Table[Row]
	view        member.View
	confirmedAt clock.Moment
	// successors holds the runs of VMs that are known to have replaced listed ones, by VM name.
	successors map[string]successor
	roles      [TokenServerCount]role
	// restored is set once the store is known to have been restored, so that claims may be lost.
	restored bool
}

// successor is the run of a VM that has replaced the listed run with the ID replaced.
type successor struct {
	replaced string
	run      member.VM
}

// New returns the fleet list of a VM that has not read it yet. self is the present run of the
// VM's process, and name stays the same when the process restarts.
func New(self member.VM, name string) *Fleet {
	return &Fleet{self: self, name: name, rows: table.New[Row](), successors: make(map[string]successor)}
}

// Revision returns the revision of the list.
func (fle *Fleet) Revision() uint64 { return fle.rows.Revision() }

// Since returns the changes of the list that a reader at the given revision lacks.
func (fle *Fleet) Since(revision uint64) table.Delta[Row] { return fle.rows.Since(revision) }

// View returns the VMs of the fleet.
func (fle *Fleet) View() member.View { return fle.view }

// Confirm records that the list was up to date at the given time. It has no effect if a later
// time is recorded.
func (fle *Fleet) Confirm(at clock.Instant) {
	fle.confirmedAt = fle.confirmedAt.Later(clock.MomentOf(at))
}

// ConfirmedAt returns when the list was last known to be up to date.
func (fle *Fleet) ConfirmedAt() clock.Moment { return fle.confirmedAt }

// Apply applies a delta and reports whether the list changed.
func (fle *Fleet) Apply(now clock.Instant, del table.Delta[Row]) bool {
	before := fle.rows.Revision()
	if !fle.rows.Apply(del) || del.Empty() {
		return false
	}
	if before != 0 && fle.Era() > revision.EraOf(before) {
		fle.enterEra(now)
	}
	fle.updateView()
	for num := range fle.roles {
		fle.setHolder(now, num)
	}
	return true
}

// updateView makes the view from the list and from what is known of runs that have replaced listed
// ones. This run replaces any other one that is listed under its name.
func (fle *Fleet) updateView() {
	var vms []member.VM
	for _, row := range fle.rows.Rows() {
		if row.Value.Holder != "" {
			continue
		}
		vmm := row.Value.VM
		name := member.Name(vmm.ID)
		if suc, found := fle.successors[name]; found && suc.replaced == vmm.ID {
			vmm = suc.run
		} else {
			delete(fle.successors, name)
		}
		if name == fle.name {
			vmm = fle.self
		}
		vms = append(vms, vmm)
	}
	fle.view = member.NewView(fle.rows.Revision(), vms)
}

// HandleExit records that a listed run has exited and which run of the VM has replaced it. So this VM
// reaches the new run before the list shows it: when many VMs restart together, the list lags behind.
// HandleExit reports whether the view changed.
func (fle *Fleet) HandleExit(id string, run member.VM) bool {
	name := member.Name(id)
	if _, listed := fle.view.VM(id); !listed || run.ID == id || member.Name(run.ID) != name {
		return false
	}
	row, _ := fle.rows.Get(VMName(name))
	fle.successors[name] = successor{replaced: row.Value.VM.ID, run: run}
	fle.updateView()
	return true
}

// Era returns the era of the store that the list is of.
func (fle *Fleet) Era() revision.Era { return revision.EraOf(fle.rows.Revision()) }

// Listed reports whether this run of the VM is listed, and returns the revision of the
// object with the VM's name, 0 if there is none.
func (fle *Fleet) Listed() (listed bool, revision uint64) {
	row, _ := fle.rows.Get(VMName(fle.name))
	return row.Value.VM == fle.self, row.Revision
}

// Predecessor returns the ID of an earlier run of this VM that is still listed, or an empty
// string. A graceful stop takes the run off the list.
func (fle *Fleet) Predecessor() string {
	row, _ := fle.rows.Get(VMName(fle.name))
	if row.Value.VM == fle.self {
		return ""
	}
	return row.Value.VM.ID
}

// ObjectRevision returns the revision of the object with the given name, 0 if there is none.
func (fle *Fleet) ObjectRevision(name string) uint64 {
	row, _ := fle.rows.Get(name)
	return row.Revision
}

// Row returns the row of the VM with the given ID and whether it is listed.
func (fle *Fleet) Row(id string) (table.Row[Row], bool) {
	row, _ := fle.rows.Get(VMName(member.Name(id)))
	return row, row.Value.VM.ID == id
}

// Quarantine returns the contents under which targets have ended, as the store holds them, and how many
// others could not be read.
func (fle *Fleet) Quarantine() (rps []quarantine.Report, malformed int) {
	row, _ := fle.rows.Get(QuarantineName)
	return row.Value.Quarantine, row.Value.Malformed
}

// Proof returns in which era a VM has last recorded that the store holds the newest configuration, and the revision of the
// record; both are 0 if there is none.
func (fle *Fleet) Proof() (era revision.Era, rev uint64) {
	row, _ := fle.rows.Get(ProofName)
	return row.Value.Era, row.Revision
}
