package gateway

import (
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/member"
	"marigoldlug.example/core/path"
)

const (
	// maxWarned is the greatest number of VMs that are told at once of lost paths.
	maxWarned = 32
	// warnedQuietTime is how long after this VM has reached a target warnings do not concern it.
	warnedQuietTime = 100 * time.Millisecond
)

// PathsWarning tells another VM that the sender reaches no target of a service: it may not reach them either.
type PathsWarning struct{ Service string }

// warnOfPaths has other VMs look after their paths, so that they know before they risk a request.
func (mac *Machine) warnOfPaths(name string) {
	for _, vmm := range mac.otherVMs(maxWarned) {
		mac.emit(Send{To: vmm.ID, Message: PathsWarning{Service: name}})
	}
}

// otherVMs returns listed VMs other than this one, chosen at random, most at the most.
func (mac *Machine) otherVMs(most int) []member.VM {
	vms := mac.fleet.View().VMs()
	out := make([]member.VM, 0, most)
	for _, at := range mac.rnd.Perm(len(vms)) {
		if len(out) == most {
			break
		}
		if vms[at].ID != mac.set.Self.ID {
			out = append(out, vms[at])
		}
	}
	return out
}

// warnedOfPaths handles the warning of another VM.
func (mac *Machine) warnedOfPaths(now clock.Instant, name string) {
	if !mac.paths.ReachedSince(now.Add(-warnedQuietTime), name) {
		mac.doubt(now, name, "", path.Unanswered)
	}
}
