// Package member lists the VMs that make up the fleet, and ranks them for work that one or a
// few of them do for the others, such as granting tokens.
package member

import (
	"cmp"
	"maps"
	"slices"
	"strings"

	"github.com/cespare/xxhash/v2"
)

// VM is one run of the process on a VM of the fleet. The run after a restart has another ID and
// counts as another VM.
type VM struct {
	// ID is unique to the run.
	ID string
	// Address is the IP address and port at which peers reach the VM.
	Address       string
	FailureDomain string
	// Capacity is how much work the VM can do relative to the others; 0 or more. A VM sets one
	// above 0 for itself, but an object in the store may state none.
	Capacity float64
}

// Name returns the name of the VM from the ID of one of its runs: the name, a dot, and a part that is
// unique to the run.
func Name(id string) string {
	if at := strings.LastIndexByte(id, '.'); at >= 0 {
		return id[:at]
	}
	return id
}

// View is an immutable list of VMs.
type View struct {
	revision uint64
	// vms is sorted by ID and has no duplicates.
	vms []VM
	// domains lists the failure domains in sorted order, and byDomain has the VMs of each.
	domains  []string
	byDomain map[string][]VM
}

// NewView returns the view of the given VMs at a revision of the fleet list.
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

// Revision returns the revision of the fleet list from which the view was made.
func (vie View) Revision() uint64 { return vie.revision }

// Same reports whether two views are copies of one.
func (vie View) Same(other View) bool {
	return len(vie.vms) == len(other.vms) && (len(vie.vms) == 0 || &vie.vms[0] == &other.vms[0])
}

// VMs returns the members sorted by ID. The caller must not change the slice.
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

// Ranked returns the cnt members that rank first for a key, in the order of the function
// Ranked.
func (vie View) Ranked(key string, cnt int) []VM {
	return Ranked(vie.vms, key, cnt)
}

// Domain returns the members in one failure domain. The caller must not change them.
func (vie View) Domain(domain string) []VM { return slices.Clip(vie.byDomain[domain]) }

// Domains returns the sorted names of the failure domains. The caller must not change the
// slice.
func (vie View) Domains() []string { return vie.domains }

const (
	// largeRatio is the minimum ratio of a large VM's capacity to the greatest capacity.
	largeRatio = 0.5
	// largeShare is the minimum share of the total capacity that the large VMs must have
	// together. With less, they cannot do the work for all, and all VMs rank alike.
	largeShare = 0.125
)

// largeThreshold returns the minimum capacity of a large VM, or 0 if the large VMs have less
// than largeShare of the total capacity together. Large VMs rank first, so that small ones are
// spared the work that is done for others.
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

// Ranked returns the cnt VMs of vms that rank first for a key, which names a piece of work: large
// VMs before others, and within each group those with the highest rendezvous hash of their names. Keys
// are thus spread evenly, a VM that joins or leaves moves only its own keys, and one that restarts
// moves none.
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
		_, _ = dig.WriteString(Name(vmm.ID))
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
