package gateway

import (
	"fmt"
	"slices"

	"marigoldlug.example/core/announcement"
	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/health"
	"marigoldlug.example/core/member"
	"marigoldlug.example/core/path"
	"marigoldlug.example/core/quarantine"
	"marigoldlug.example/core/request"
)

// Forwarding describes a request that one VM has another one send to a target, since it reaches none itself.
// The VM that forwards makes one attempt and never has it forwarded once more.
type Forwarding struct {
	// VM is the one that forwards.
	VM      member.VM
	Service string
	Run     health.Run
	// Content is the fingerprint of the request, and Permitted the worst state in which the keeper allows
	// that content to be sent.
	Content   request.Fingerprint
	Permitted quarantine.State
	// From is the VM that has the caller, and Limit what the target announces as far as that VM knows.
	From  string
	Limit announcement.Limit
}

// Forwarded reports to the VM that has forwarded a request how that went.
type Forwarded struct {
	Forwarding Forwarding
	StartedAt  clock.Instant
	// Outcome is how the attempt ended.
	Outcome health.Outcome
	// PortClosed is as in AttemptFailed.
	PortClosed bool
	// Announcement is what the response announced; nil if there was none.
	Announcement *announcement.Announcement
}

func (Forwarded) event() {}

// vm returns the ID of the VM that forwards; empty if none does.
func (fwd *Forwarding) vm() string {
	if fwd == nil {
		return ""
	}
	return fwd.VM.ID
}

// forwarding returns how an attempt is forwarded, or nil if this VM sends it itself. placed is the VM that the
// placer has chosen for that; empty if it chose none.
func (mac *Machine) forwarding(inf *inFlight, tgt health.Target, placed string) *Forwarding {
	if !mac.paths.Lost(inf.service) {
		return nil
	}
	vmm, found := mac.forwarder(inf, placed)
	if !found {
		return nil
	}
	run := health.RunOf(tgt)
	fwd := &Forwarding{VM: vmm, Service: inf.service, Run: run, Content: inf.fingerprint, From: mac.set.Self.ID, Limit: mac.book.Limit(run)}
	if per := inf.permission.granted; per != nil {
		fwd.Permitted = quarantine.Suspected
		if per.trial {
			fwd.Permitted = quarantine.Quarantined
		}
	}
	return fwd
}

// forwarder returns the VM that the placer has chosen, or else any listed one that has not failed to forward
// the request before.
func (mac *Machine) forwarder(inf *inFlight, placed string) (member.VM, bool) {
	vie := mac.fleet.View()
	if vmm, listed := vie.VM(placed); listed && !slices.Contains(inf.unfit, placed) {
		return vmm, true
	}
	var fit []member.VM
	for _, vmm := range vie.VMs() {
		if vmm.ID != mac.set.Self.ID && !slices.Contains(inf.unfit, vmm.ID) {
			fit = append(fit, vmm)
		}
	}
	if len(fit) == 0 {
		return member.VM{}, false
	}
	return fit[mac.rnd.IntN(len(fit))], true
}

// refuseUnreachable refuses a request whose service this VM does not reach, once all others were asked to forward
// it in vain, and reports whether it did.
func (mac *Machine) refuseUnreachable(now clock.Instant, inf *inFlight, placer string) bool {
	if !mac.paths.Lost(inf.service) || len(inf.unfit) == 0 || inf.running() {
		return false
	}
	if _, found := mac.forwarder(inf, ""); found {
		return false
	}
	mac.reportEnd(now, inf.queriedPartition, inf.queryNumber, placer, health.Canceled)
	mac.refuse(now, inf, request.Refusal{Reason: request.Overloaded, Detail: "neither this VM nor those that it asked reach a target", RetryAfter: mac.randomRetryAfter()})
	return true
}

// Rejection says why a VM does not forward a request.
type Rejection struct {
	// Outcome is Shed if the target or the content is why, and NotForwarded if it is this VM.
	Outcome health.Outcome
	Detail  string
}

// MayForward decides, as the last step before a request is forwarded to a target, whether this VM does so. It
// returns the target and the greatest number of connections to it, or why not.
func (mac *Machine) MayForward(now clock.Instant, fwd Forwarding) (tgt health.Target, connections int, rej *Rejection) {
	tgt, found := mac.targetOf(fwd.Service, fwd.Run)
	switch {
	case mac.stopping:
		rej = &Rejection{Outcome: health.NotForwarded, Detail: "the VM stops"}
	case mac.runDrained(fwd.Run):
		rej = &Rejection{Outcome: health.Shed, Detail: "the failure domain of the target is drained"}
	case !found:
		rej = &Rejection{Outcome: health.NotForwarded, Detail: "the VM does not know the target"}
	case mac.paths.Lost(fwd.Service):
		rej = &Rejection{Outcome: health.NotForwarded, Detail: "the VM reaches no target either"}
	case mac.book.Leaving(fwd.Run) || mac.book.Paused(now, fwd.Run) > 0:
		rej = &Rejection{Outcome: health.Shed, Detail: "the target wants no requests"}
	case mac.book.Limit(fwd.Run).StricterThan(fwd.Limit):
		rej = &Rejection{Outcome: health.Shed, Detail: fmt.Sprintf("limit %s, the VM with the caller goes by %s", mac.book.Limit(fwd.Run), fwd.Limit)}
	case mac.contents.book.State(fwd.Content) > fwd.Permitted:
		rej = &Rejection{Outcome: health.Shed, Detail: "the content of the request crashes targets"}
	}
	return tgt, mac.connections(tgt), rej
}

// forwarded records what a forwarded request tells this VM about the target and the path to it.
func (mac *Machine) forwarded(now clock.Instant, evt Forwarded) {
	fwd := evt.Forwarding
	mac.log("forwarded", "vm", fwd.From, "service", fwd.Service, "target", fwd.Run.Target, "born", fwd.Run.Born, "content", fwd.Content, "outcome", evt.Outcome)
	if evt.Announcement != nil {
		mac.heardFrom(now, evt.StartedAt, fwd.Service, fwd.Run, *evt.Announcement)
	}
	switch evt.Outcome {
	case health.Unreachable:
		mac.connectFailed(now, fwd.Service, fwd.Run.Target)
	case health.Failure:
		mac.doubt(now, fwd.Service, fwd.Run.Target, path.Unanswered)
		if evt.PortClosed {
			end := quarantine.End{Run: fwd.Run, Separate: fwd.Permitted != quarantine.Clear}
			mac.portClosed(now, closedPort{brokenOff: brokenOff{content: fwd.Content, end: end, at: now}, service: fwd.Service})
		}
	case health.Success, health.ServerError, health.Shed:
		mac.paths.Responded(now, fwd.Service)
	default:
	}
}
