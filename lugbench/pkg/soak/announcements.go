package soak

import (
	"context"
	"math/rand/v2"
	"strconv"
	"strings"
	"time"

	"marigoldlug.example/lugbench/pkg/targetfake"
	"marigoldlug.example/lugd/pkg/driver"
)

const (
	// noticeTime is how long after a VM has passed on what a target announces it is held to it.
	noticeTime = 500 * time.Millisecond
	// limitWindow is the time in which a target may get limitFactor times what its limit allows, and
	// limitSlack requests more, from VMs that have heard of the limit.
	limitWindow = 4 * time.Second
	limitFactor = 1.5
	limitSlack  = 5
	// pauseSlack is how many requests a VM may send to a target that wants none from it.
	pauseSlack = 2
	// stableTime is how long after a pause or a cut of its links a VM is not held to limits.
	stableTime = 3 * time.Second
	// minAnnouncedTime and announcedSpread say how long a target announces something.
	minAnnouncedTime = 3 * time.Second
	announcedSpread  = 4 * time.Second
)

// announcements are what targets announce, some of them not well-formed.
var announcements = []targetfake.Announcements{
	{Limits: []string{"2.5"}},
	{Limits: []string{"1"}},
	{Limits: []string{"0"}},
	{Limits: []string{"5", "1.5"}},
	{Limits: []string{"many", "2"}},
	{Limits: []string{"-1"}},
	{Limits: []string{"NaN"}},
	{Limits: []string{""}},
	{Limits: []string{strings.Repeat("9", 60)}},
	{Leaving: "1"},
	{Leaving: "yes"},
	{RetryAfter: "1.5"},
	{RetryAfter: "3"},
	{RetryAfter: "-2"},
	{RetryAfter: "soon"},
	{Limits: []string{"2"}, RetryAfter: "1"},
	{Limits: []string{"2"}, Leaving: "1"},
	{Limits: []string{"1"}, Leaving: "1", RetryAfter: "2"},
}

// announce lets random targets announce something, and sometimes all of them, until ctx is done. A target
// that has left starts again.
func (flt *fleet) announce(ctx context.Context, stream uint64) {
	rnd := rand.New(rand.NewPCG(flt.set.Seed, firstAnnouncementStream+stream))
	for ctx.Err() == nil {
		ann := announcements[rnd.IntN(len(announcements))]
		first, cnt := rnd.IntN(len(flt.pgr.Targets)), 1
		if rnd.IntN(8) == 0 && ann.Leaving == "" {
			cnt = len(flt.pgr.Targets)
		}
		lasts := minAnnouncedTime + time.Duration(rnd.Int64N(int64(announcedSpread)))
		flt.rep.faultf("%d targets from %s announce %+v for %v", cnt, flt.pgr.Targets[first].ID(), ann, lasts)
		for num := range cnt {
			flt.pgr.Targets[(first+num)%len(flt.pgr.Targets)].Announce(ann)
		}
		if ann.Leaving == "1" {
			flt.withdrawEntry(rnd, first)
		}
		driver.Sleep(ctx, lasts)
		for num := range cnt {
			flt.endAnnouncement(rnd, (first+num)%len(flt.pgr.Targets), ann)
		}
		driver.Sleep(ctx, time.Duration(rnd.Int64N(int64(time.Second))))
	}
}

const (
	// firstAnnouncementStream separates the random numbers of announcements from those of the lifecycles.
	firstAnnouncementStream = 1 << 32
	// announcementStreams is how many announcements are played at a time. A later one may end an
	// earlier one of the same target.
	announcementStreams = 2
)

// endAnnouncement lets a target announce nothing any more; one that leaves does so as another run.
func (flt *fleet) endAnnouncement(rnd *rand.Rand, num int, ann targetfake.Announcements) {
	if ann.Leaving == "" {
		flt.pgr.Targets[num].Announce(targetfake.Announcements{})
		return
	}
	flt.startAgain(rnd, num)
}

// parseLimit returns the lowest readable limit, and whether there is one.
func parseLimit(lines []string) (lowest float64, found bool) {
	for _, line := range lines {
		num, err := strconv.ParseFloat(line, 64)
		if err == nil && num >= 0 && (!found || num < lowest) {
			lowest, found = num, true
		}
	}
	return lowest, found
}

// heardBy identifies a run of a VM that has heard what a target announces.
type heardBy struct {
	vm  *process
	run *programRun
}

// announcedPeriod is a time in which a target announced the same, by its arrivals.
type announcedPeriod struct {
	announced targetfake.Announcements
	arrivals  []targetfake.Arrival
	// heardAt holds when each run of a VM first passed on such a response.
	heardAt map[heardBy]time.Time
}

// verifyAnnouncements checks that VMs keep to what they have passed on of targets' announcements.
func (rep *Report) verifyAnnouncements(flt *fleet) {
	reqs := make(map[string]sentRequest)
	for _, req := range rep.requests {
		reqs[req.id] = req
	}
	for num, tgt := range flt.pgr.Targets {
		for _, per := range periods(tgt.Arrivals(), reqs) {
			rep.verifyLimit(tgt.ID(), per, reqs)
			rep.verifyLeaving(tgt.ID(), per, reqs)
			rep.verifyPauses(flt.targetProxies[num], tgt.ID(), per, reqs)
		}
	}
}

// periods divides the arrivals of a target by what it announced in the responses.
func periods(arrivals []targetfake.Arrival, reqs map[string]sentRequest) []announcedPeriod {
	var out []announcedPeriod
	for _, arr := range arrivals {
		last := len(out) - 1
		if last < 0 || !arr.AnsweredAt.IsZero() && !sameAnnouncements(out[last].announced, arr.Announced) {
			out = append(out, announcedPeriod{announced: arr.Announced, heardAt: make(map[heardBy]time.Time)})
			last++
		}
		out[last].arrivals = append(out[last].arrivals, arr)
		req := reqs[arr.Request]
		if by := (heardBy{req.vm, req.run}); req.passedOn(arr) && (out[last].heardAt[by].IsZero() || req.endedAt.Before(out[last].heardAt[by])) {
			out[last].heardAt[by] = req.endedAt
		}
	}
	return out
}

func sameAnnouncements(one, two targetfake.Announcements) bool {
	return strings.Join(one.Limits, ",") == strings.Join(two.Limits, ",") && one.Leaving == two.Leaving && one.RetryAfter == two.RetryAfter
}

// passedOn reports whether the caller of a request got the response to an arrival.
func (req sentRequest) passedOn(arr targetfake.Arrival) bool {
	return !req.failed && !arr.AnsweredAt.IsZero() && req.limits == strings.Join(arr.Announced.Limits, ",") && req.leaving == arr.Announced.Leaving
}

// verifyLimit checks that a target got no more than its limit allows from VMs that have heard of it.
func (rep *Report) verifyLimit(target string, per announcedPeriod, reqs map[string]sentRequest) {
	limit, found := parseLimit(per.announced.Limits)
	if !found {
		return
	}
	var times []time.Time
	for _, arr := range per.arrivals {
		req := reqs[arr.Request]
		heardAt, heard := per.heardAt[heardBy{req.vm, req.run}]
		if heard && arr.At.Sub(heardAt) >= noticeTime && !req.vm.unstable(arr.At) {
			times = append(times, arr.At)
		}
	}
	if cnt, most := maxInWindow(times, limitWindow), limitFactor*limit*limitWindow.Seconds()+limitSlack; float64(cnt) > most {
		rep.violationf("%s got %d requests in %v from VMs that had heard of its limit of %v a second, at most %v may", target, cnt, limitWindow, limit, most)
	}
}

// verifyLeaving checks that a VM sends nothing more to a target soon after it heard that the target leaves.
func (rep *Report) verifyLeaving(target string, per announcedPeriod, reqs map[string]sentRequest) {
	if per.announced.Leaving != "1" {
		return
	}
	for _, arr := range per.arrivals {
		req := reqs[arr.Request]
		heardAt, heard := per.heardAt[heardBy{req.vm, req.run}]
		if heard && req.at.Sub(heardAt) > leaveTolerance && !req.vm.pauses.overlaps(heardAt, arr.At) {
			rep.violationf("%s ran at %s, sent %v after %s had passed on that it leaves", req.id, target, req.at.Sub(heardAt), req.vm.set.Name)
		}
	}
}

// verifyPauses checks that a VM sends nothing to a target that wants nothing from it for a time.
func (rep *Report) verifyPauses(link *proxy, target string, per announcedPeriod, reqs map[string]sentRequest) {
	sec, err := strconv.ParseFloat(per.announced.RetryAfter, 64)
	if err != nil || sec <= 0 {
		return
	}
	for _, one := range per.arrivals {
		from, until := one.AnsweredAt.Add(noticeTime), one.AnsweredAt.Add(time.Duration(sec*float64(time.Second)))
		by := reqs[one.Request]
		if one.AnsweredAt.IsZero() || link.faulty.overlaps(one.At, until) || by.vm.pauses.overlaps(one.At, until) {
			continue // The VM may not have got the refusal.
		}
		cnt := 0
		for _, arr := range per.arrivals {
			req := reqs[arr.Request]
			if req.vm == by.vm && req.run == by.run && arr.At.After(from) && arr.At.Before(until) {
				cnt++
			}
		}
		if cnt > pauseSlack {
			rep.violationf("%s got %d requests of %s within %vs after it wanted none", target, cnt, by.vm.set.Name, sec)
			return
		}
	}
}

// unstable reports whether a VM was paused or cut off from others at a time, or shortly before.
func (prc *process) unstable(at time.Time) bool {
	return prc.pauses.overlaps(at.Add(-stableTime), at) || prc.peers.faulty.overlaps(at.Add(-stableTime), at)
}
