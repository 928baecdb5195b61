package balance

import (
	"cmp"
	"slices"
	"strconv"

	"github.com/cespare/xxhash/v2"
)

const (
	// subsetTargets is how many targets the preferred partitions of a VM have together, if the service has more. A VM
	// that spreads its requests over all targets of a large service seldom finds a connection that is still open.
	subsetTargets = 64
	// minPreferring is how many VMs must prefer a partition on average for VMs to prefer any. It makes a partition that
	// no VM prefers unlikely (e^-8).
	minPreferring = 8
	// explorationShare is the share of requests that may go to any partition, so that a VM knows the load of those that it
	// does not prefer.
	explorationShare = 1.0 / 16
	// overflowGain is by how much the load of a preferred partition, in requests per slot, must exceed that of the others
	// for a request to go to one of these.
	overflowGain = 0.2
)

// SetFleet sets the name of this VM, by which its preferred partitions differ from those of others, and the number of
// VMs.
func (cho *Chooser) SetFleet(name string, vms int) {
	if cho.name != name || cho.vms != vms {
		cho.name, cho.vms = name, vms
		cho.updateSubset()
	}
}

// updateSubset determines the preferred partitions: the first ones by rendezvous hashing that have enough targets.
func (cho *Chooser) updateSubset() {
	cho.subset = nil
	ranked := cho.ranked()
	targets, cnt := 0, 0
	for cnt < len(ranked) && targets < subsetTargets {
		targets += cho.partitions[ranked[cnt]].targets
		cnt++
	}
	if cnt == len(ranked) || cnt*cho.vms < minPreferring*len(ranked) {
		return
	}
	cho.subset = make([]bool, len(cho.partitions))
	for _, num := range ranked[:cnt] {
		cho.subset[num] = true
	}
}

// ranked returns the partitions that have targets, sorted by the hash of their number with the name of this VM.
func (cho *Chooser) ranked() []int {
	var out []int
	hashes := make(map[int]uint64, len(cho.partitions))
	for num, par := range cho.partitions {
		if par.targets > 0 {
			out = append(out, num)
			hashes[num] = xxhash.Sum64String(cho.name + "/" + strconv.Itoa(num))
		}
	}
	slices.SortFunc(out, func(one, two int) int { return cmp.Or(cmp.Compare(hashes[one], hashes[two]), cmp.Compare(one, two)) })
	return out
}

// prefers reports whether this VM prefers a partition to others.
func (cho *Chooser) prefers(number int) bool { return cho.subset == nil || cho.subset[number] }
