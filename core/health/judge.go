package health

import (
	"maps"
	"slices"
	"time"

	"marigoldlug.example/core/clock"
)

// The rules by which the owner of a service judges its targets.
const (
	// evidenceTime is the time constant of the counts from which the rates of
	// a target's peers are taken.
	evidenceTime = 5 * time.Second
	// momentTime is the same for what befalls all targets at the moment.
	momentTime  = 700 * time.Millisecond
	minBadRate  = 0.002
	minSlowRate = 0.02
	// badStep and slowStep are how far the rate of a failing target is taken
	// to lie above that of its peers, besides a factor.
	badStep     = 0.06
	slowStep    = 0.25
	riseFactor  = 3.0
	maxRiseRate = 0.95
	priorCounts = 50.0
	// standOutFactor and standOutCount are how far a target's trouble must
	// exceed that of the median of its peers.
	standOutFactor = 3.0
	standOutCount  = 3.0
	// topShare is the greatest part of the evidence that one VM may give.
	topShare = 0.75
	// memberLife is how long a VM's digest counts.
	memberLife    = 3 * time.Second
	baseEjection  = 2 * time.Second
	maxEjection   = 60 * time.Second
	rampTime      = 4 * time.Second
	firstPercent  = 5
	forgiveTime   = 60 * time.Second
	retrialFactor = 0.5
	maxStatistic  = 4.0
)

// Threshold is the evidence at which a target is ejected, in units of the
// natural logarithm of the odds. Lower values detect sooner and eject more
// healthy targets.
type Threshold float64

// The ends of the useful range and the value between them.
const (
	ThresholdQuick    Threshold = 6
	ThresholdBalanced Threshold = 12
	ThresholdCareful  Threshold = 20
)

// judge is what the owner of a service knows of it.
type judge struct {
	threshold Threshold
	floor     int
	targets   map[string]*suspect
	members   map[string]*reporter
	median    time.Duration
	working   clock.Instant
}

// reporter is a VM that sends digests.
type reporter struct {
	domain string
	at     clock.Instant
	median time.Duration
}

func newJudge(threshold Threshold, floor int) *judge {
	return &judge{threshold: threshold, floor: floor, targets: make(map[string]*suspect), members: make(map[string]*reporter)}
}

func (jud *judge) target(now clock.Instant, id string) *suspect {
	sus := jud.targets[id]
	if sus == nil {
		sus = &suspect{decayed: now, domains: make(map[string]*evidence), blame: make(map[string]float64)}
		jud.targets[id] = sus
	}
	return sus
}

// setTargets replaces the targets and keeps the evidence on those that stay.
func (jud *judge) setTargets(now clock.Instant, floor int, ids []string) {
	jud.floor = floor
	for _, id := range ids {
		jud.target(now, id)
	}
	maps.DeleteFunc(jud.targets, func(id string, _ *suspect) bool { return !slices.Contains(ids, id) })
	jud.keepFloor(now)
}

// keepFloor ends ejections, those first that would end first, where targets
// were withdrawn or the floor was raised.
func (jud *judge) keepFloor(now clock.Instant) {
	for jud.ejectedCount(now) > len(jud.targets)-jud.floor {
		var next *suspect
		for _, id := range slices.Sorted(maps.Keys(jud.targets)) {
			if sus := jud.targets[id]; sus.ejectedAt(now) && (next == nil || sus.until.Before(next.until)) {
				next = sus
			}
		}
		next.ejected = false
		next.back = now
	}
}

// digest takes the report of a VM and returns whether an ejection began.
func (jud *judge) digest(now clock.Instant, from, domain string, dig Digest) bool {
	rep := jud.members[from]
	if rep == nil {
		rep = new(reporter)
		jud.members[from] = rep
		jud.inherit(now, dig.Ejected)
	}
	rep.domain, rep.at, rep.median = domain, now, dig.Median
	for _, cnt := range dig.Counts {
		if sus := jud.targets[cnt.Target]; sus != nil {
			jud.weigh(now, from, domain, cnt, sus)
		}
	}
	jud.updateMedian(now)
	return jud.eject(now)
}

// inherit takes over ejections that a VM still applies from an earlier owner.
func (jud *judge) inherit(now clock.Instant, ejs []Ejection) {
	for _, eje := range ejs {
		sus := jud.targets[eje.Target]
		if sus == nil || sus.ejected || sus.times > 0 || jud.ejectedCount(now)+1 > len(jud.targets)-jud.floor {
			continue
		}
		sus.ejected, sus.times = true, eje.Times
		sus.until = now.Add(min(eje.Left, maxEjection))
	}
}

// weigh adds the counts of a VM to the evidence on a target.
func (jud *judge) weigh(now clock.Instant, from, domain string, cnt Counts, sus *suspect) {
	sus.decay(now)
	if cnt.OK > 0 {
		jud.working = now
	}
	badRate, slowRate := jud.peerRates(now, sus)
	evi := sus.domains[domain]
	if evi == nil {
		evi = new(evidence)
		sus.domains[domain] = evi
	}
	top := maxStatistic * float64(jud.threshold)
	before := evi.bad + evi.slow
	evi.bad = cusum(evi.bad, cnt.Bad, cnt.OK, badRate, min(badRate*riseFactor+badStep, maxRiseRate), top)
	evi.slow = cusum(evi.slow, cnt.Slow, cnt.OK-cnt.Slow, slowRate, min(slowRate*riseFactor+slowStep, maxRiseRate), top)
	if gain := evi.bad + evi.slow - before; gain > 0 {
		sus.blame[from] += gain
	}
	seen := counts{ok: float64(cnt.OK), bad: float64(cnt.Bad), slow: float64(cnt.Slow)}
	sus.lately.add(seen)
	sus.moment.add(seen)
}

// peerRates returns the rates of bad and slow attempts of the other targets, so
// that what befalls all of them is not held against one.
func (jud *judge) peerRates(now clock.Instant, self *suspect) (bad, slow float64) {
	var lately, moment counts
	for _, sus := range jud.targets {
		if sus == self || sus.ejected {
			continue
		}
		sus.decay(now)
		lately.add(sus.lately)
		moment.add(sus.moment)
	}
	bad, slow = lately.rates()
	badNow, slowNow := moment.rates()
	bad, slow = max(bad, badNow), max(slow, slowNow)
	return min(max(bad, minBadRate), maxRiseRate/2), min(max(slow, minSlowRate), maxRiseRate/2)
}

// updateMedian takes the median of the medians that the VMs report.
func (jud *judge) updateMedian(now clock.Instant) {
	var meds []time.Duration
	for _, rep := range jud.members {
		if rep.median > 0 && now.Mono-rep.at.Mono < memberLife {
			meds = append(meds, rep.median)
		}
	}
	if len(meds) > 0 {
		slices.Sort(meds)
		jud.median = meds[len(meds)/2]
	}
}

func (jud *judge) ejectedCount(now clock.Instant) int {
	cnt := 0
	for _, sus := range jud.targets {
		if sus.ejectedAt(now) {
			cnt++
		}
	}
	return cnt
}

// eject takes the targets with enough evidence out of use, the worst first,
// while the floor allows it. It returns whether any was.
func (jud *judge) eject(now clock.Instant) bool {
	began := false
	for {
		worst, id := 0.0, ""
		for _, one := range slices.Sorted(maps.Keys(jud.targets)) {
			if sum := jud.targets[one].guilt(now, jud); sum > worst {
				worst, id = sum, one
			}
		}
		if id == "" || jud.ejectedCount(now)+1 > len(jud.targets)-jud.floor {
			return began
		}
		jud.targets[id].eject(now)
		began = true
	}
}

// guilt returns the evidence on a target in use, or 0 where it does not suffice:
// it must reach the threshold, also without the failure domain that blames the
// target most, since the link from there may be cut, and come from several VMs.
func (sus *suspect) guilt(now clock.Instant, jud *judge) float64 {
	if sus.ejectedAt(now) {
		return 0
	}
	need := float64(jud.threshold)
	if sus.times > 0 && now.Mono-sus.back.Mono < rampTime {
		need *= retrialFactor
	}
	sum, first := sus.sums()
	if sum < need {
		return 0
	}
	if !jud.standsOut(now, sus) {
		return 0
	}
	domains, vms := jud.reporting(now)
	if domains > 1 && sum-first < need || vms > 1 && sus.topBlame() > topShare {
		return 0
	}
	return sum
}

// standsOut reports whether a target has much more trouble than the median of
// its peers, at the moment or lately. Where all targets begin to fail at once
// the evidence on each grows before the rates of its peers do.
func (jud *judge) standsOut(now clock.Instant, self *suspect) bool {
	var lately, moment []counts
	for _, sus := range jud.targets {
		if sus != self && !sus.ejected {
			sus.decay(now)
			lately = append(lately, sus.lately)
			moment = append(moment, sus.moment)
		}
	}
	self.decay(now)
	return self.lately.exceeds(lately) || self.moment.exceeds(moment)
}

func (jud *judge) reporting(now clock.Instant) (domains, vms int) {
	seen := make(map[string]bool)
	for _, rep := range jud.members {
		if now.Mono-rep.at.Mono < memberLife {
			vms++
			seen[rep.domain] = true
		}
	}
	return len(seen), vms
}

// tick ends ejections whose time is over and forgets VMs that are silent.
func (jud *judge) tick(now clock.Instant) {
	for _, sus := range jud.targets {
		if sus.ejected && !now.Before(sus.until) {
			sus.ejected = false
			sus.back = now
			clear(sus.domains)
			clear(sus.blame)
		}
	}
	maps.DeleteFunc(jud.members, func(_ string, rep *reporter) bool { return now.Mono-rep.at.Mono > 4*memberLife })
}

// speak returns the verdict on the service.
func (jud *judge) speak(now clock.Instant, service string) Verdict {
	ver := Verdict{
		Service: service, Median: jud.median,
		Working: jud.working != (clock.Instant{}) && now.Mono-jud.working.Mono < memberLife,
	}
	for _, id := range slices.Sorted(maps.Keys(jud.targets)) {
		sus := jud.targets[id]
		switch pct := sus.percent(now); {
		case pct == 0:
			ver.Ejected = append(ver.Ejected, Ejection{Target: id, Left: sus.until.Mono - now.Mono, Times: sus.times})
		case pct < 100:
			ver.Weighted = append(ver.Weighted, Weighted{Target: id, Percent: pct})
		}
	}
	return ver
}
