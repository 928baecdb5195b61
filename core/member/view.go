// Package member lists the VMs that make up the fleet and assigns duties to
// them.
package member

import (
	"cmp"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// VM is one process of the fleet. A process that starts anew is another VM.
type VM struct {
	// ID is unique to one run of the process.
	ID string
	// Address is the IP address and port at which peers reach the VM.
	Address       string
	FailureDomain string
}

// View is a list of VMs. It is immutable.
type View struct {
	epoch uint64
	// vms is sorted by ID and has no two VMs with the same ID.
	vms []VM
}

// NewView returns the view of an epoch with the given VMs.
func NewView(epoch uint64, vms []VM) View {
	sorted := slices.Clone(vms)
	slices.SortFunc(sorted, func(one, two VM) int { return strings.Compare(one.ID, two.ID) })
	sorted = slices.CompactFunc(sorted, func(one, two VM) bool { return one.ID == two.ID })
	return View{epoch: epoch, vms: sorted}
}

// Epoch returns the number of the view: the revision of the list it was read from.
func (vie View) Epoch() uint64 { return vie.epoch }

// VMs returns the members sorted by ID, which must not be changed.
func (vie View) VMs() []VM { return vie.vms }

// Size returns the number of members.
func (vie View) Size() int { return len(vie.vms) }

// VM returns the member with the given ID.
func (vie View) VM(id string) (VM, bool) {
	idx, found := slices.BinarySearchFunc(vie.vms, id, func(vmm VM, id string) int { return cmp.Compare(vmm.ID, id) })
	if !found {
		return VM{}, false
	}
	return vie.vms[idx], true
}

// Ranked returns the cnt members that rendezvous hashing puts first for a
// duty, the first of them first. Members of other duties are spread evenly and
// a change of the view moves only the duties of the VMs that came or went.
func (vie View) Ranked(duty string, cnt int) []VM {
	return Ranked(vie.vms, duty, cnt)
}

// Domain returns the members in one failure domain.
func (vie View) Domain(domain string) []VM {
	var out []VM
	for _, vmm := range vie.vms {
		if vmm.FailureDomain == domain {
			out = append(out, vmm)
		}
	}
	return out
}

// Domains returns the names of the failure domains, sorted.
func (vie View) Domains() []string {
	var out []string
	for _, vmm := range vie.vms {
		out = append(out, vmm.FailureDomain)
	}
	slices.Sort(out)
	return slices.Compact(out)
}

// Ranked returns the cnt VMs of vms with the highest rendezvous hash for duty.
func Ranked(vms []VM, duty string, cnt int) []VM {
	type scored struct {
		hash uint64
		vmm  VM
	}
	best := make([]scored, 0, cnt+1)
	var dig xxhash.Digest
	for _, vmm := range vms {
		dig.Reset()
		_, _ = dig.WriteString(duty)
		_, _ = dig.WriteString("\x00")
		_, _ = dig.WriteString(vmm.ID)
		one := scored{hash: dig.Sum64(), vmm: vmm}
		at, _ := slices.BinarySearchFunc(best, one, func(two, one scored) int {
			return cmp.Or(cmp.Compare(one.hash, two.hash), strings.Compare(two.vmm.ID, one.vmm.ID))
		})
		if at < cnt {
			best = slices.Insert(best, at, one)
			best = best[:min(len(best), cnt)]
		}
	}
	out := make([]VM, 0, len(best))
	for _, one := range best {
		out = append(out, one.vmm)
	}
	return out
}
