package gateway

import (
	"fmt"
	"slices"
	"time"

	"marigoldlug.example/core/announcement"
	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/health"
	"marigoldlug.example/core/placement"
	"marigoldlug.example/core/request"
)

const (
	// localLimitShare is the share of a target's limit that all VMs together may use which place without
	// the placer. The rest allows for those that still reach it, and for chance.
	localLimitShare = 0.5
	// maxPauseRetry is the longest time after which a caller is told to return because all targets want no
	// request of this VM.
	maxPauseRetry = 5 * time.Second
	// forgetInterval is how often old announcements are dropped.
	forgetInterval = time.Minute
)

// heard records what a target announces in its response to an attempt, and tells the placer of the
// target what is new.
func (mac *Machine) heard(now clock.Instant, inf *inFlight, att *attempt, ann announcement.Announcement) {
	mac.heardFrom(now, att.startedAt, inf.service, health.RunOf(att.target), ann)
}

// heardFrom records what a run of a target announces in its response to a request that was sent at sentAt.
func (mac *Machine) heardFrom(now, sentAt clock.Instant, service string, run health.Run, ann announcement.Announcement) {
	before := mac.book.Limit(run)
	changed, notable := mac.book.Hear(now, sentAt, run, ann)
	if notable {
		mac.log("announced", "target", run.Target, "born", run.Born, "limit", ann.Limit.String(), "limitBefore", before.String(), "leaving", ann.Leaving,
			"retryAfter", ann.RetryAfter, "unreadable", ann.Unreadable)
	}
	mac.inheritAnnounced(now, run)
	if rep, known := mac.book.Report(now, run); changed && known {
		mac.reportAnnounced(now, mac.placerOf(service, run.Target), []announcement.Report{rep})
	}
}

// placerOf returns the VM that places the requests to a target of a service; empty if none is known.
func (mac *Machine) placerOf(service, target string) string {
	svc := mac.services[service]
	if svc == nil {
		return ""
	}
	return svc.partitions[partitionOf(target, len(svc.partitions))].placer
}

// reportAnnounced tells a placer what targets announce. If this VM is the placer itself, it knows that
// already.
func (mac *Machine) reportAnnounced(now clock.Instant, placer string, rps []announcement.Report) {
	if placer == "" || placer == mac.set.Self.ID || len(rps) == 0 {
		return
	}
	mac.send(now, placer, placement.Announced{Reports: rps})
}

// reportPartition tells a placer what the targets of its partition announce.
func (mac *Machine) reportPartition(now clock.Instant, par *partition, placer string) {
	if mac.book.Empty() {
		return
	}
	var rps []announcement.Report
	for _, tgt := range par.targets {
		if rep, known := mac.book.Report(now, health.RunOf(tgt)); known {
			rps = append(rps, rep)
		}
	}
	mac.reportAnnounced(now, placer, rps)
}

// learnAnnounced records what another VM reports.
func (mac *Machine) learnAnnounced(now clock.Instant, from string, rps []announcement.Report) {
	for _, rep := range rps {
		if mac.book.Learn(now, rep) {
			mac.log("announcementLearned", "target", rep.Run.Target, "born", rep.Run.Born, "limit", rep.Limit.String(), "leaving", rep.Leaving, "age", rep.HeardAge, "vm", from)
			mac.inheritAnnounced(now, rep.Run)
		}
	}
}

// refusing returns the targets of a partition that want no request of this VM by what they announce.
func (mac *Machine) refusing(now clock.Instant, par *partition) []string {
	if mac.book.Empty() {
		return nil
	}
	var out []string
	for _, tgt := range par.targets {
		run := health.RunOf(tgt)
		if mac.book.Leaving(run) || mac.book.Paused(now, run) > 0 {
			out = append(out, tgt.ID)
		}
	}
	return out
}

// holdBack decides, as the last step before a request is sent to a target, whether the target takes it
// by what it announces and by the drains as far as this VM knows. It returns what forbids it, or an
// empty text. placer is the VM that chose the target; empty if this VM did so without it. A placer that
// goes by another limit than this VM is told what this one knows.
func (mac *Machine) holdBack(now clock.Instant, par *partition, tgt health.Target, ans placement.Answer, placer string) string {
	if mac.drained(tgt) {
		return "drained"
	}
	if mac.book.Empty() {
		return ""
	}
	run := health.RunOf(tgt)
	if mac.book.Leaving(run) {
		return "leaving"
	}
	if left := mac.book.Paused(now, run); left > 0 {
		return fmt.Sprintf("retry after %v", left)
	}
	if placer == "" {
		return "" // The local placer has counted the request against this VM's share of the limit.
	}
	lim := mac.book.Limit(run)
	known := announcement.Limit{}
	if ans.Announced != nil && ans.Announced.Run == run {
		known = ans.Announced.Limit
	}
	if lim == known {
		return ""
	}
	mac.reportPartition(now, par, placer)
	if lim.StricterThan(known) {
		return fmt.Sprintf("limit %s, the placer goes by %s", lim, known)
	}
	return ""
}

// MaySend reports whether an attempt may still be sent to its target. Opening a connection may have
// taken long: the target may have announced meanwhile that it wants no requests, its failure domain
// may be drained, or the content of the request may be suspected to crash targets.
func (mac *Machine) MaySend(now clock.Instant, id request.ID, number int) bool {
	inf, att := mac.currentAttempt(id, number)
	if att == nil || !inf.permission.allows(mac.contents.book.State(inf.fingerprint)) {
		return false
	}
	run := health.RunOf(att.target)
	return !mac.drained(att.target) && !mac.book.Leaving(run) && mac.book.Paused(now, run) == 0
}

// limited returns the targets of a partition that announce a limit, as far as this VM knows.
func (mac *Machine) limited(par *partition) []string {
	var out []string
	for _, tgt := range par.targets {
		if mac.book.Limit(health.RunOf(tgt)).Limited {
			out = append(out, tgt.ID)
		}
	}
	return out
}

// tryOtherPartition asks once for a target of another partition, one that is not known to be full, if a
// request has none for lack of room or for what targets announce.
func (mac *Machine) tryOtherPartition(now clock.Instant, inf *inFlight, ans placement.Answer) bool {
	svc := mac.services[inf.service]
	eligible := ans.Reason == placement.NoRoom || ans.Reason == placement.Limited || ans.Reason == placement.NoTargetLeft && !mac.book.Empty()
	if svc == nil || len(svc.partitions) < 2 || inf.otherPartition || !eligible {
		return false
	}
	next, found := svc.chooser.Other(now, int(inf.priority), slices.Index(svc.partitions, inf.queriedPartition))
	if !found {
		return false
	}
	inf.otherPartition = true
	mac.otherPartitions++
	mac.placeAt(now, inf, svc.partitions[next])
	return true
}

// announcedRefusal completes the refusal of a request for which there is no target by what targets
// announce, and reports whether that is so.
func (mac *Machine) announcedRefusal(now clock.Instant, inf *inFlight, ans placement.Answer, ref *request.Refusal) bool {
	if ans.Reason == placement.Limited {
		ref.Detail = fmt.Sprintf("the targets with room take only %g requests a second, as they announce or since they may be cold", ans.Limits.Float())
		if inf.queriedPlacer == "" || now.Before(inf.queriedPartition.backoffUntil) {
			ref.RetryAfter = max(ref.RetryAfter, mac.randomRetryAfter()) // The placer may answer by then.
		}
		return true
	}
	if ans.Reason != placement.NoTargetLeft {
		return false
	}
	if pause, paused := mac.shortestPause(now, inf.service); paused {
		ref.Detail = fmt.Sprintf("no target takes requests of this VM for %v, as they announce", pause)
		// Other VMs, one of which the caller likely reaches next, may not have to wait for as long.
		ref.RetryAfter = min(pause, maxPauseRetry) + time.Duration(mac.rnd.Int64N(int64(minRetryAfter)))
		return true
	}
	if len(inf.heldBack) > 0 {
		ref.Detail, ref.RetryAfter = "the placer did not know yet what the targets with room announce", mac.randomRetryAfter()
		return true
	}
	return false
}

// shortestPause returns the shortest time for which a target of a service wants no request of this VM,
// and whether there is such a target.
func (mac *Machine) shortestPause(now clock.Instant, service string) (time.Duration, bool) {
	svc := mac.services[service]
	if svc == nil || mac.book.Empty() {
		return 0, false
	}
	least, found := time.Duration(0), false
	for _, par := range svc.partitions {
		for _, tgt := range par.targets {
			left := mac.book.Paused(now, health.RunOf(tgt))
			if left > 0 && (!found || left < least) {
				least, found = left, true
			}
		}
	}
	return least, found
}

// localShare returns the share of a target's limit that this VM may use while it places without the
// placer.
func (mac *Machine) localShare() float64 {
	return localLimitShare / float64(max(mac.fleet.View().Size(), minAssumedVMs))
}

// forgetAnnouncements drops the announcements of runs that exited long ago.
func (mac *Machine) forgetAnnouncements(now clock.Instant) {
	if mac.book.Empty() || now.Since(mac.forgotAt) < forgetInterval {
		return
	}
	mac.forgotAt = now
	registered := make(map[health.Run]bool)
	for _, tgs := range mac.registry.Targets() {
		for _, tgt := range tgs {
			registered[health.RunOf(tgt)] = true
		}
	}
	mac.book.Forget(now, registered)
}
