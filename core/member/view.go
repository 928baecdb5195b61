// Package member lists the VMs that make up the fleet and assigns duties to
// them.
package member

import (
	"cmp"
	"maps"
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
	// Capacity is how much the VM can do, in proportion to others; above 0.
	Capacity float64
}

// View is a list of VMs. It is immutable.
type View struct {
	revision uint64
	// vms is sorted by ID and has no two VMs with the same ID.
	vms []VM
	// domains has the failure domains, sorted, and byDomain their VMs.
	domains  []string
	byDomain map[string][]VM
}

// NewView returns the view of an epoch with the given VMs.
func NewView(revision uint64, vms []VM) View {
	sorted := slices.Clone(vms)
	slices.SortFunc(sorted, func(one, two VM) int { return strings.Compare(one.ID, two.ID) })
	sorted = slices.CompactFunc(sorted, func(one, two VM) bool { return one.ID == two.ID })
	vie := View{revision: revision, vms: sorted, byDomain: make(map[string][]VM)}
	for _, vmm := range sorted {
		vie.byDomain[vmm.FailureDomain] = append(vie.byDomain[vmm.FailureDomain], vmm)
	}
	vie.domains = slices.Sorted(maps.Keys(vie.byDomain))
	return vie
}

// Revision returns the number of the view: the revision of the list it was read from.
func (vie View) Revision() uint64 { return vie.revision }

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

// Ranked returns the cnt members that come first for a duty, as the function
// Ranked orders them.
func (vie View) Ranked(key string, cnt int) []VM {
	return Ranked(vie.vms, key, cnt)
}

// Domain returns the members in one failure domain, which must not be changed.
func (vie View) Domain(domain string) []VM { return slices.Clip(vie.byDomain[domain]) }

// Domains returns the names of the failure domains, sorted, which must not be
// changed.
func (vie View) Domains() []string { return vie.domains }

const (
	// largeRatio is the part of the greatest capacity from which a VM is roomy.
	largeRatio = 0.5
	// largeShare is the share of the capacity of all VMs that the roomy ones
	// need to have to come before the others.
	largeShare = 0.125
)

// largeThreshold returns the least capacity of the VMs that come first for duties, so
// that small VMs are spared the work that is done for others; 0 where all do.
func largeThreshold(vms []VM) float64 {
	most, all := 0.0, 0.0
	for _, vmm := range vms {
		most, all = max(most, vmm.Capacity), all+vmm.Capacity
	}
	least, sum := largeRatio*most, 0.0
	for _, vmm := range vms {
		if vmm.Capacity >= least {
			sum += vmm.Capacity
		}
	}
	if sum < largeShare*all {
		return 0
	}
	return least
}

// Ranked returns the cnt VMs of vms that come first for a duty: roomy ones
// before others, and among them those with the highest rendezvous hash. Duties
// are thus spread evenly, and a VM that comes or goes moves only its own.
func Ranked(vms []VM, key string, cnt int) []VM {
	type scored struct {
		small bool
		hash  uint64
		vmm   VM
	}
	least := largeThreshold(vms)
	best := make([]scored, 0, cnt+1)
	var dig xxhash.Digest
	for _, vmm := range vms {
		dig.Reset()
		_, _ = dig.WriteString(key)
		_, _ = dig.WriteString("\x00")
		_, _ = dig.WriteString(vmm.ID)
		one := scored{small: vmm.Capacity < least, hash: dig.Sum64(), vmm: vmm}
		at, _ := slices.BinarySearchFunc(best, one, func(two, one scored) int {
			if one.small != two.small {
				if two.small {
					return 1
				}
				return -1
			}
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
