package gateway

import (
	"time"

	"marigoldlug.example/core/clock"
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
	vms := mac.fleet.View().VMs()
	for _, at := range mac.rnd.Perm(len(vms))[:min(len(vms), maxWarned)] {
		if vms[at].ID != mac.set.Self.ID {
			mac.emit(Send{To: vms[at].ID, Message: PathsWarning{Service: name}})
		}
	}
}

// warnedOfPaths handles the warning of another VM.
func (mac *Machine) warnedOfPaths(now clock.Instant, name string) {
	if !mac.paths.ReachedSince(now.Add(-warnedQuietTime), name) {
		mac.doubt(now, name, "", path.Unanswered)
	}
}
