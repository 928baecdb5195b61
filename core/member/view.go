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

// spreadFactor is how many times as many VMs as wanted Spread looks at.
const spreadFactor = 4

// View is an agreed list of VMs. It is immutable.
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

// Epoch returns the number of the view: the version of the head that brought it.
func (vie View) Epoch() uint64 { return vie.epoch }

// VMs returns the members sorted by ID, which must not be changed.
func (vie View) VMs() []VM { return vie.vms }

// Size returns the number of members.
func (vie View) Size() int { return len(vie.vms) }

// Majority returns the least number of members that is more than half.
func (vie View) Majority() int { return len(vie.vms)/2 + 1 }

// VM returns the member with the given ID.
func (vie View) VM(id string) (VM, bool) {
	idx, found := slices.BinarySearchFunc(vie.vms, id, func(vmm VM, id string) int { return cmp.Compare(vmm.ID, id) })
	if !found {
		return VM{}, false
	}
	return vie.vms[idx], true
}

// With returns the view of a later epoch with some VMs added and some removed.
func (vie View) With(epoch uint64, added []VM, removed []string) View {
	vms := slices.DeleteFunc(slices.Clone(vie.vms), func(vmm VM) bool { return slices.Contains(removed, vmm.ID) })
	return NewView(epoch, append(vms, added...))
}

// Ranked returns the cnt members that rendezvous hashing puts first for a
// duty, the first of them first. Members of other duties are spread evenly and
// a change of the view moves only the duties of the VMs that came or went.
func (vie View) Ranked(duty string, cnt int) []VM {
	return Ranked(vie.vms, duty, cnt)
}

// Spread returns cnt members as Ranked does, but takes the next of a failure
// domain only after those of all others, so that few are lost together.
func (vie View) Spread(duty string, cnt int) []VM {
	if cnt <= 1 {
		return vie.Ranked(duty, cnt)
	}
	ranked := vie.Ranked(duty, cnt*spreadFactor)
	taken := make(map[string]int)
	out := make([]VM, 0, cnt)
	for round := 0; len(out) < min(cnt, len(ranked)); round++ {
		for _, vmm := range ranked {
			if len(out) < cnt && taken[vmm.FailureDomain] == round && !slices.Contains(out, vmm) {
				taken[vmm.FailureDomain]++
				out = append(out, vmm)
			}
		}
	}
	return out
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
