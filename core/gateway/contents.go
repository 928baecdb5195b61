package gateway

import (
	"slices"
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/fleet"
	"marigoldlug.example/core/health"
	"marigoldlug.example/core/quarantine"
	"marigoldlug.example/core/request"
	"marigoldlug.example/core/revision"
)

const (
	// quarantineKey is the key by which the VMs are ranked to choose the keeper.
	quarantineKey = "quarantine"
	// The keeper sends all VMs one message each newsInterval, and newsBurst at once after a quiet time: the
	// sooner a suspicion is known, the fewer targets run the request at the same time.
	newsInterval = 50 * time.Millisecond
	newsBurst    = 6
	// resendInterval is how long a VM waits for the keeper to pass on what it reported until it reports it
	// again.
	resendInterval = time.Second
	// maxNews bounds the reports in one message.
	maxNews = 64
	// storeInterval is the least time between two writes of the quarantine to the store.
	storeInterval = time.Second
	// storedAge is the age that ends of the store are taken to have, which is not kept there.
	storedAge = time.Hour
	// The keeper passes on what has changed maxRepeats times more, each after repeatInterval, since messages may
	// be lost, and after that while the store lacks it.
	maxRepeats     = 2
	repeatInterval = 2 * time.Second
	// brokenOffTime is how long an attempt that broke off is remembered, to learn from the registry whether
	// its target has started again. maxBrokenOff bounds their number.
	brokenOffTime = 10 * time.Second
	maxBrokenOff  = 256
)

// contents is what a VM needs to keep requests that crash targets from being sent on.
type contents struct {
	book   *quarantine.Book
	keeper *quarantine.Keeper
	// keeperID is the ID of the VM that is the keeper.
	keeperID string
	// greeted is set once a keeper was asked for what it knows.
	greeted bool
	// asks holds the requests that wait for a permit or have one, by the number of the question.
	asks map[uint64]request.ID
	// unconfirmed holds when each report was last sent to the keeper that it has not passed on yet.
	unconfirmed map[request.Fingerprint]clock.Instant
	// changed holds what the keeper has not passed on to all VMs yet.
	changed map[request.Fingerprint]bool
	// newsDueAt is the time from which on the keeper may pass on what changed without a burst.
	newsDueAt clock.Instant
	// writeDue is set while the store may lack something, and wroteAt is when it was last written.
	writeDue bool
	wroteAt  clock.Instant
	// repeats holds how often the keeper passes on the state of a content once more, and repeatedAt when it
	// last did so.
	repeats    map[request.Fingerprint]int
	repeatedAt clock.Instant
	// readRevision is the revision of the store's object that was last read.
	readRevision uint64
	forgotAt     clock.Instant
	// closedPorts holds attempts that broke off at targets whose ports were closed then, until it is known
	// whether the path was why.
	closedPorts []closedPort
	// brokenOff holds attempts that broke off at targets whose process was not known to be gone, the
	// oldest first.
	brokenOff []brokenOff
}

// brokenOff is an attempt that ended without a whole response.
type brokenOff struct {
	content request.Fingerprint
	end     quarantine.End
	at      clock.Instant
}

func newContents() contents {
	bok := quarantine.NewBook()
	return contents{
		book: bok, keeper: quarantine.NewKeeper(bok), asks: make(map[uint64]request.ID),
		unconfirmed: make(map[request.Fingerprint]clock.Instant), changed: make(map[request.Fingerprint]bool),
		repeats: make(map[request.Fingerprint]int),
	}
}

// brokeOff records an attempt that ended without a whole response, and reports whether it ends only once it is
// known why. A target that leaves ends with what it still runs, so that counts for nothing.
func (mac *Machine) brokeOff(now clock.Instant, inf *inFlight, att *attempt, evt AttemptFailed) (awaited bool) {
	run := health.RunOf(att.target)
	ent, registered := mac.registry.Entry(run.Target)
	if !registered || ent.Leaving || ent.Run(run.Target) != run || mac.book.Leaving(run) {
		return false
	}
	brk := brokenOff{content: inf.fingerprint, end: quarantine.End{Run: run, Separate: inf.permission.granted != nil}, at: now}
	if !evt.PortClosed || att.forwarder != "" {
		mac.contents.addBrokenOff(brk) // A VM that forwards judges by itself.
		return false
	}
	return mac.portClosed(now, closedPort{brokenOff: brk, service: inf.service, failed: evt})
}

func (con *contents) addBrokenOff(brk brokenOff) {
	con.brokenOff = append(con.brokenOff, brk)
	con.brokenOff = con.brokenOff[max(len(con.brokenOff)-maxBrokenOff, 0):]
}

// checkBrokenOff looks up whether targets at which attempts broke off have started again since. Their
// responses do not tell: another run may answer already.
func (mac *Machine) checkBrokenOff(now clock.Instant) {
	con := &mac.contents
	var left []brokenOff
	for _, brk := range con.brokenOff {
		ent, registered := mac.registry.Entry(brk.end.Run.Target)
		switch {
		case registered && ent.Run(brk.end.Run.Target).Born > brk.end.Run.Born:
			mac.runEnded(now, brk.content, brk.end)
		case registered && ent.Leaving:
		case now.Since(brk.at) < brokenOffTime:
			left = append(left, brk)
		}
	}
	con.brokenOff = left
}

// runEnded records that a run of a target has ended under a content.
func (mac *Machine) runEnded(now clock.Instant, fpr request.Fingerprint, end quarantine.End) {
	con := &mac.contents
	before := con.book.State(fpr)
	rep := con.book.EndReport(now, fpr, end)
	if !con.book.Merge(now, rep) {
		return
	}
	mac.log("runEnded", "content", fpr, "target", end.Run.Target, "born", end.Run.Born, "separate", end.Separate, "ends", mac.contents.book.Count(fpr))
	mac.contentChanged(now, fpr, before)
	mac.spread(now, fpr)
}

// contentAnswered records that a target has run a request to its end, which clears the content.
func (mac *Machine) contentAnswered(now clock.Instant, inf *inFlight) {
	before := mac.contents.book.State(inf.fingerprint)
	if mac.contents.book.Clear(now, inf.fingerprint) {
		mac.contentChanged(now, inf.fingerprint, before)
		mac.spread(now, inf.fingerprint)
	}
}

// learnContent adds what another VM reports.
func (mac *Machine) learnContent(now clock.Instant, from string, rep quarantine.Report) {
	con := &mac.contents
	before := con.book.State(rep.Content)
	if !con.book.Merge(now, rep) {
		return
	}
	mac.log("contentLearned", "content", rep.Content, "ends", con.book.Count(rep.Content), "vm", from)
	mac.contentChanged(now, rep.Content, before)
	if con.keeper.Serving() {
		mac.spread(now, rep.Content)
	}
}

// contentChanged acts on a change of what is known of a content.
func (mac *Machine) contentChanged(now clock.Instant, fpr request.Fingerprint, before quarantine.State) {
	con := &mac.contents
	con.writeDue = true
	sta := con.book.State(fpr)
	if sta != before {
		mac.log("content", "content", fpr, "state", sta, "before", before, "ends", con.book.Count(fpr), "targets", targetsOf(con.book.Report(now, fpr).Ends))
	}
	if sta == quarantine.Quarantined {
		mac.endQuarantined(now, fpr)
	}
}

func targetsOf(ends []quarantine.End) []string {
	var out []string
	for _, end := range ends {
		out = append(out, end.Run.Target)
	}
	return out
}

// endQuarantined ends the requests with a content that is quarantined, with their attempts: one that has
// not begun at its target may not begin any more.
func (mac *Machine) endQuarantined(now clock.Instant, fpr request.Fingerprint) {
	for _, id := range sortedRequests(mac.requests) {
		inf := mac.requests[id]
		if inf == nil || inf.fingerprint != fpr || inf.relaying || inf.permission.allows(quarantine.Quarantined) {
			continue
		}
		mac.endAllAttempts(now, inf, health.Canceled)
		mac.refuse(now, inf, mac.quarantineRefusal(now, inf))
	}
}

// spread passes on a change: the keeper to all VMs, any other VM to the keeper.
func (mac *Machine) spread(now clock.Instant, fpr request.Fingerprint) {
	con := &mac.contents
	if con.keeper.Serving() {
		con.changed[fpr], con.repeats[fpr] = true, maxRepeats
		mac.sendNews(now)
		return
	}
	con.unconfirmed[fpr] = now
	mac.sendQuarantine(now, con.keeperID, quarantine.News{Reports: []quarantine.Report{con.book.Report(now, fpr)}})
}

// sendNews sends what has changed from the keeper to all VMs.
func (mac *Machine) sendNews(now clock.Instant) {
	con := &mac.contents
	if len(con.changed) == 0 || con.newsDueAt.Mono-now.Mono > (newsBurst-1)*newsInterval {
		return
	}
	con.newsDueAt = clock.Later(con.newsDueAt, now).Add(newsInterval)
	var rps []quarantine.Report
	for _, fpr := range sortedContents(con.changed) {
		if len(rps) == maxNews {
			break
		}
		rps = append(rps, con.book.Report(now, fpr))
		delete(con.changed, fpr)
	}
	for _, vmm := range mac.fleet.View().VMs() {
		if vmm.ID != mac.set.Self.ID {
			mac.emit(Send{To: vmm.ID, Message: quarantine.News{Reports: rps}})
		}
	}
}

func sortedContents[T any](set map[request.Fingerprint]T) []request.Fingerprint {
	out := make([]request.Fingerprint, 0, len(set))
	for fpr := range set {
		out = append(out, fpr)
	}
	slices.SortFunc(out, request.Fingerprint.Compare)
	return out
}

// resendUnconfirmed reports to the keeper once more what it has not passed on.
func (mac *Machine) resendUnconfirmed(now clock.Instant) {
	con := &mac.contents
	var rps []quarantine.Report
	for _, fpr := range sortedContents(con.unconfirmed) {
		if len(rps) < maxNews && now.Since(con.unconfirmed[fpr]) >= resendInterval {
			con.unconfirmed[fpr] = now
			rps = append(rps, con.book.Report(now, fpr))
		}
	}
	if len(rps) > 0 {
		mac.sendQuarantine(now, con.keeperID, quarantine.News{Reports: rps})
	}
}

// setKeeper determines the keeper. A new one is told what this VM knows. The first one is asked for what it
// knows, since this VM has just started.
func (mac *Machine) setKeeper(now clock.Instant) {
	con := &mac.contents
	self, keeper := mac.set.Self.ID, mac.set.Self.ID
	vie := mac.fleet.View()
	if first := vie.Ranked(quarantineKey, 1); len(first) > 0 {
		keeper = first[0].ID
	}
	if keeper == con.keeperID {
		return
	}
	if keeper == self || con.keeperID == self {
		mac.log("keeper", "vm", keeper)
	}
	con.keeperID = keeper
	con.keeper.End()
	clear(con.unconfirmed)
	clear(con.changed)
	clear(con.repeats)
	if keeper == self {
		con.keeper.Begin(now, vie.Size() <= 1 && neverRestored(mac.restores.era)) // A restored list may lack the keeper of before.
		con.writeDue = true
	}
	if con.keeper.Serving() {
		return
	}
	rps := con.book.Reports(now, maxNews)
	if con.greeted && len(rps) == 0 {
		return
	}
	for _, rep := range rps {
		con.unconfirmed[rep.Content] = now
	}
	mac.emit(Send{To: keeper, Message: quarantine.News{Reports: rps, Wanted: !con.greeted}})
	con.greeted = true
}

// learnStored adds what the store holds.
func (mac *Machine) learnStored(now clock.Instant) {
	con := &mac.contents
	rev := mac.fleet.ObjectRevision(fleet.QuarantineName)
	if rev == con.readRevision {
		return
	}
	con.readRevision, con.writeDue = rev, true
	rps, malformed := mac.fleet.Quarantine()
	if malformed > 0 {
		mac.log("quarantineMalformed", "contents", malformed, "revision", revision.Number(rev))
	}
	for _, rep := range rps {
		mac.learnContent(now, "", rep.WithAge(storedAge))
	}
	con.book.MarkStored(rps)
	con.keeper.NoteStored(now, rps)
}

// storeQuarantine writes to the store what it lacks.
func (mac *Machine) storeQuarantine(now clock.Instant) {
	con := &mac.contents
	if !con.writeDue || !con.keeper.Serving() || mac.fleet.Revision() == 0 || now.Since(con.wroteAt) < storeInterval {
		return
	}
	want := con.book.Stored(now)
	held, malformed := mac.fleet.Quarantine()
	lacking := slices.ContainsFunc(want, func(rep quarantine.Report) bool {
		return !slices.ContainsFunc(held, func(one quarantine.Report) bool { return one.Content == rep.Content && one.Includes(rep) })
	})
	if !lacking && malformed == 0 {
		con.writeDue = false
		return
	}
	con.wroteAt = now
	mac.log("storeQuarantine", "contents", len(want), "before", len(held))
	mac.emit(Write{Name: fleet.QuarantineName, Row: fleet.Row{Holder: mac.set.Self.ID, Quarantine: want}, Revision: mac.fleet.ObjectRevision(fleet.QuarantineName)})
}

// repeatNews passes on once more what has changed lately, and what the store may lack.
func (mac *Machine) repeatNews(now clock.Instant) {
	con := &mac.contents
	if !con.keeper.Serving() || now.Since(con.repeatedAt) < repeatInterval {
		return
	}
	con.repeatedAt = now
	for fpr, left := range con.repeats {
		con.changed[fpr] = true
		if con.repeats[fpr]--; left <= 1 {
			delete(con.repeats, fpr)
		}
	}
	if con.writeDue {
		for _, rep := range con.book.Stored(now) {
			con.changed[rep.Content] = true
		}
	}
}

// tickContents does what is due for suspected and quarantined contents.
func (mac *Machine) tickContents(now clock.Instant) {
	con := &mac.contents
	mac.setKeeper(now)
	mac.judgeClosedPorts(now)
	if len(con.brokenOff) > 0 {
		mac.checkBrokenOff(now)
	}
	if con.book.Empty() {
		return
	}
	if fpr, counted := con.keeper.Tick(now); counted {
		mac.log("trialCounted", "content", fpr, "trials", con.book.Report(now, fpr).Trials)
		con.writeDue = true
		mac.spread(now, fpr)
	}
	mac.repeatNews(now)
	mac.sendNews(now)
	mac.resendUnconfirmed(now)
	mac.storeQuarantine(now)
	mac.tickWaiting(now)
	if now.Since(con.forgotAt) >= forgetInterval {
		con.forgotAt = now
		con.book.Forget(now)
	}
}
