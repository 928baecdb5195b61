package health

import (
	"cmp"
	"maps"
	"slices"

	"marigoldlug.example/core/clock"
)

// dueReport reports at once where there is something bad to tell, and seldom
// where there is little to tell.
func (svc *service) dueReport(now clock.Instant) bool {
	elapsed := now.Mono - svc.reported.Mono
	switch {
	case svc.counts == 0:
		return false
	case svc.bad:
		return elapsed >= urgentSpacing
	case svc.counts >= busyCounts:
		return elapsed >= busyInterval
	}
	return elapsed >= quietInterval
}

func (pol *Pool) report(now clock.Instant, svc *service) {
	svc.reported = now
	svc.sequence++
	dig := Digest{Service: svc.name, Sequence: svc.sequence, Median: svc.median, Ejected: svc.ejections(now)}
	for _, tgt := range svc.targets {
		cnt := tgt.counts
		cnt.Target = tgt.ID
		tgt.counts = Counts{}
		if cnt.OK+cnt.Bad > 0 {
			dig.Counts = append(dig.Counts, cnt)
		}
	}
	svc.counts, svc.bad = 0, false
	if svc.owner == pol.self.ID {
		pol.digested(now, pol.self.ID, pol.self.FailureDomain, dig)
	} else if svc.owner != "" {
		pol.sends = append(pol.sends, Send{To: svc.owner, Message: dig})
	}
}

func (svc *service) ejections(now clock.Instant) []Ejection {
	var out []Ejection
	for _, tgt := range svc.targets {
		if tgt.ejectedAt(now) {
			out = append(out, Ejection{Target: tgt.ID, Left: tgt.until.Mono - now.Mono, Times: tgt.times})
		}
	}
	return out
}

// digested judges the service, answers the VM and tells all when an ejection
// begins.
func (pol *Pool) digested(now clock.Instant, from, domain string, dig Digest) {
	svc := pol.services[dig.Service]
	if svc == nil || svc.owner != pol.self.ID {
		return
	}
	jud := pol.judges[dig.Service]
	if jud == nil {
		jud = newJudge(pol.threshold, svc.floor)
		ids := make([]string, 0, len(svc.targets))
		for _, tgt := range svc.targets {
			ids = append(ids, tgt.ID)
		}
		jud.setTargets(now, svc.floor, ids)
		pol.judges[dig.Service] = jud
	}
	began := jud.digest(now, from, domain, dig)
	ver := jud.speak(now, dig.Service)
	svc.apply(now, ver)
	if !began {
		if from != pol.self.ID {
			pol.sends = append(pol.sends, Send{To: from, Message: ver})
		}
		return
	}
	for _, id := range slices.Sorted(maps.Keys(jud.members)) {
		if id != pol.self.ID {
			pol.sends = append(pol.sends, Send{To: id, Message: ver})
		}
	}
}

// apply takes the owner's verdict.
func (svc *service) apply(now clock.Instant, ver Verdict) {
	svc.heard = now
	svc.fleetMedian = ver.Median
	svc.working = ver.Working
	for _, tgt := range svc.targets {
		tgt.percent = 100
	}
	for _, eje := range ver.Ejected {
		if tgt := svc.target(eje.Target); tgt != nil {
			tgt.percent, tgt.times = 0, eje.Times
			tgt.until = now.Add(eje.Left)
		}
	}
	svc.keepFloor(now)
	for _, wei := range ver.Weighted {
		if tgt := svc.target(wei.Target); tgt != nil {
			tgt.percent = wei.Percent
		}
	}
}

// keepFloor takes targets back into use, those first whose ejections end first,
// where the owner has ejected more than the floor allows. The owner may have
// judged before targets were withdrawn or the floor was raised.
func (svc *service) keepFloor(now clock.Instant) {
	ejected := slices.DeleteFunc(slices.Clone(svc.targets), func(tgt *pooled) bool { return !tgt.ejectedAt(now) })
	slices.SortStableFunc(ejected, func(one, two *pooled) int { return cmp.Compare(one.until.Mono, two.until.Mono) })
	for _, tgt := range ejected[:max(len(ejected)-len(svc.targets)+svc.floor, 0)] {
		tgt.percent = 100
	}
}
