package runner

import (
	"fmt"
	"math"
	"slices"
	"time"
)

const (
	// leftShare is the part of its usual work at or below which a target is
	// left alone.
	leftShare = 0.25
	// leftWindows is the number of windows in a row that it must be so.
	leftWindows = 2
	baseWindows = 16
)

// OnDone calls fun with the outcome of every request.
func (fle *Fleet) OnDone(fun func(out *Outcome)) { fle.onDone = fun }

// OnArrival calls fun with every request as it arrives.
func (fle *Fleet) OnArrival(fun func(out *Outcome)) { fle.onArrival = fun }

// OnAdmitted calls fun with every request when it is first sent to a target.
func (fle *Fleet) OnAdmitted(fun func(out *Outcome)) { fle.onAdmitted = fun }

// TargetOf returns the ID of one target of a service.
func (fle *Fleet) TargetOf(service string, num int) string {
	var ids []string
	for _, id := range fle.order {
		if fle.targets[id].service == service {
			ids = append(ids, id)
		}
	}
	return ids[num%len(ids)]
}

// SetFault gives a target a fault.
func (fle *Fleet) SetFault(target string, fau Fault) { fle.targets[target].setFault(fle.now, fau) }

// LeftAlone returns how long after a moment the fleet went on sending a target
// more than a quarter of its usual work. It is at most the time up to now.
func (fle *Fleet) LeftAlone(target string, from time.Duration) time.Duration {
	tgt := fle.targets[target]
	first := int(from / windowTime)
	usual := 0.0
	for win := first - baseWindows; win < first; win++ {
		usual += float64(tgt.dispatched[win]) / baseWindows
	}
	inRow := 0
	for win := first; win < int(fle.now/windowTime); win++ {
		if float64(tgt.dispatched[win]) > leftShare*usual {
			inRow = 0
			continue
		}
		inRow++
		if inRow == leftWindows {
			return time.Duration(win-leftWindows+1)*windowTime - from + windowTime/2
		}
	}
	return time.Duration(math.MaxInt64)
}

// FalseEjections returns the ejections of targets other than the faulty ones
// since the start, averaged over the VMs.
func (fle *Fleet) FalseEjections(faulty ...string) float64 {
	sum := 0
	for key, cnt := range fle.ejections {
		if !slices.Contains(faulty, key) {
			sum += cnt
		}
	}
	return float64(sum) / float64(len(fle.vms))
}

// observeEjections counts the ejections that begin, at every VM.
func (fle *Fleet) observeEjections(vmm *simVM) {
	now := fle.instant()
	for _, svc := range fle.dep.Services {
		for _, id := range vmm.mac.Ejected(now, svc.Name) {
			if !vmm.ejected[id] {
				fle.ejections[id]++
			}
			vmm.seen[id] = true
		}
	}
	vmm.ejected, vmm.seen = vmm.seen, vmm.ejected
	clear(vmm.seen)
}

// LeastInUse returns the least number of targets of a service that any VM has
// had in use.
func (fle *Fleet) LeastInUse(service string) int { return fle.least[service] }

// String names the fleet in reports.
func (fle *Fleet) String() string {
	return fmt.Sprintf("%s with %d VMs, seed %d", fle.dep.Name, len(fle.vms), fle.opt.Seed)
}
