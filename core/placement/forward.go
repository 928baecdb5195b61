package placement

import (
	"slices"
	"time"

	"marigoldlug.example/core/clock"
)

const (
	// reachedTime is how long after a response a VM is taken to reach the target.
	reachedTime = 3 * time.Second
	// unfitTime is how long a VM is not asked to forward after it could not.
	unfitTime = time.Second
)

// forwarders is what a placer knows of the VMs that may forward requests for others.
type forwarders struct {
	// lost holds the VMs that reach no target, unfitUntil the time until which a VM is not asked to
	// forward, and domains the failure domain of each VM that has asked for a target.
	lost       map[string]bool
	unfitUntil map[string]clock.Instant
	domains    map[string]string
}

func newForwarders() forwarders {
	return forwarders{lost: make(map[string]bool), unfitUntil: make(map[string]clock.Instant), domains: make(map[string]string)}
}

// note records what the query of a VM tells.
func (fwd *forwarders) note(vmm string, cri Criteria) {
	fwd.domains[vmm] = cri.Domain
	if cri.PathsLost {
		fwd.lost[vmm] = true
		return
	}
	delete(fwd.lost, vmm)
}

// forget drops what is known of a VM that has exited.
func (fwd *forwarders) forget(vmm string) {
	delete(fwd.lost, vmm)
	delete(fwd.unfitUntil, vmm)
	delete(fwd.domains, vmm)
}

// fits reports whether a VM may forward.
func (fwd *forwarders) fits(now clock.Instant, vmm string) bool {
	return !fwd.lost[vmm] && !now.Before(fwd.unfitUntil[vmm])
}

// forwarder chooses the VM that forwards a request of another one to a target: one that has lately had a
// response of that target, or else of another one, near if possible. It returns an empty text if the
// placer knows none.
func (pla *Placer) forwarder(now clock.Instant, vmm string, cri Criteria, tgt *target) string {
	if one := pla.reaching(now, vmm, cri, tgt); one != "" {
		return one
	}
	for _, at := range pla.rnd.Perm(len(pla.targets)) {
		if one := pla.reaching(now, vmm, cri, pla.targets[at]); one != "" {
			return one
		}
	}
	return ""
}

// reaching returns a random VM other than vmm that reaches a target, one in the failure domain of the request
// or of the target if there is any.
func (pla *Placer) reaching(now clock.Instant, vmm string, cri Criteria, tgt *target) string {
	var near, far []string
	for id, at := range tgt.lastResponses {
		if id == "" || id == vmm || now.Since(at) >= reachedTime || !pla.forwarders.fits(now, id) {
			continue
		}
		if dom := pla.forwarders.domains[id]; dom == cri.Domain || dom == tgt.FailureDomain {
			near = append(near, id)
		} else {
			far = append(far, id)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return ""
	}
	slices.Sort(near) // So that the choice depends on the random numbers alone.
	return near[pla.rnd.IntN(len(near))]
}

// PathsLost records that a VM reaches no target. The attempts that it has running say nothing about the
// targets and likely hold no slot there, and the failures that it has reported are taken back.
func (pla *Placer) PathsLost(now clock.Instant, vmm string) {
	pla.forwarders.lost[vmm] = true
	for _, tgt := range pla.targets {
		for _, att := range slices.Clone(tgt.running) {
			if att.sender() == vmm {
				pla.remove(now, att)
			}
		}
		tgt.excuse(now, vmm)
		pla.updateSuspicion(now, tgt, "pathsLost", vmm)
	}
}
