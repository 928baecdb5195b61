package gateway

import (
	"fmt"
	"maps"
	"slices"
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/health"
	"marigoldlug.example/core/quarantine"
	"marigoldlug.example/core/request"
)

const (
	// suspectWait is the longest time that a suspected request waits until it may be sent. Another one
	// with the same content may be answered by then, which clears both.
	suspectWait = 500 * time.Millisecond
	// keeperTimeout is how long a suspected request waits for the first reply of the keeper.
	keeperTimeout = 200 * time.Millisecond
	// askInterval is how long a VM waits until it asks the keeper again, which was busy or silent.
	askInterval = 100 * time.Millisecond
)

// permit is the keeper's permission for one attempt of a suspected request, or of a quarantined one as a
// trial.
type permit struct {
	keeper string
	number uint64
	trial  bool
}

// permission is what a request needs before it may be sent while its content is suspected.
type permission struct {
	// granted is nil without a permit.
	granted *permit
	// waiting is set while the request waits for one, until giveUpAt at the latest.
	waiting  bool
	giveUpAt clock.Instant
	// ruled is set once the keeper has replied to it.
	ruled bool
	// question is the number under which the keeper is asked until the wait ends, last at askedAt.
	question uint64
	askedAt  clock.Instant
}

// allows reports whether the request may be sent while its content is in the given state.
func (per *permission) allows(sta quarantine.State) bool {
	return sta == quarantine.Clear || per.granted != nil && (per.granted.trial || sta == quarantine.Suspected)
}

// holds reports whether the request has the permit that a keeper has given for a question.
func (per *permission) holds(keeper string, number uint64) bool {
	return per.granted != nil && !per.granted.trial && per.granted.keeper == keeper && per.granted.number == number
}

// quarantined reports whether the content of a request is quarantined.
func (mac *Machine) quarantined(inf *inFlight) bool {
	return mac.contents.book.State(inf.fingerprint) == quarantine.Quarantined
}

// takeTrial makes a request with a quarantined content its trial, if one is due.
func (mac *Machine) takeTrial(inf *inFlight) bool {
	if !mac.contents.keeper.TakeTrial(inf.fingerprint) {
		return false
	}
	inf.permission.granted = &permit{trial: true}
	mac.emit(LogEntry{Request: inf.ID, Event: "trial", Fields: []any{"content", inf.fingerprint, "ends", mac.contents.book.Count(inf.fingerprint)}})
	return true
}

// quarantineRefusal returns the refusal of a request whose content is quarantined.
func (mac *Machine) quarantineRefusal(now clock.Instant, inf *inFlight) request.Refusal {
	return request.Refusal{
		Reason: request.Quarantined, RetryAfter: mac.contents.book.RetryAfter(now, inf.fingerprint),
		Detail: fmt.Sprintf("%d runs of targets ended while they ran requests with the content %s", mac.contents.book.Count(inf.fingerprint), inf.fingerprint),
	}
}

// placePermitted asks for a target once the content of the request may be sent to one.
func (mac *Machine) placePermitted(now clock.Instant, inf *inFlight) {
	sta := mac.contents.book.State(inf.fingerprint)
	switch {
	case sta != quarantine.Clear && inf.running():
		mac.keepWaiting(now, inf, sta.String())
	case inf.permission.allows(sta):
		mac.place(now, inf)
	case sta == quarantine.Quarantined:
		mac.refuse(now, inf, mac.quarantineRefusal(now, inf))
	default:
		delete(mac.contents.asks, inf.permission.question)
		mac.number++
		inf.permission.waiting, inf.permission.question = true, mac.number
		mac.contents.asks[mac.number] = inf.ID
		inf.permission.giveUpAt = now.Add(min(keeperTimeout, inf.deadline.Mono-now.Mono))
		mac.ask(now, inf)
	}
}

// withhold decides, as the last step before a request is sent to a target, whether its content forbids
// that. It then gives the slot back and decides how the request continues.
func (mac *Machine) withhold(now clock.Instant, inf *inFlight, placer string) bool {
	sta := mac.contents.book.State(inf.fingerprint)
	if sta == quarantine.Clear || inf.permission.allows(sta) && !inf.running() {
		return false
	}
	mac.emit(LogEntry{Request: inf.ID, Event: "withheld", Fields: []any{
		"content", inf.fingerprint, "state", sta, "ends", mac.contents.book.Count(inf.fingerprint),
	}})
	mac.reportEnd(now, inf.queriedPartition, inf.queryNumber, placer, health.Canceled)
	mac.placePermitted(now, inf)
	return true
}

// ask asks the keeper whether a suspected request may be sent.
func (mac *Machine) ask(now clock.Instant, inf *inFlight) {
	con := &mac.contents
	inf.permission.askedAt = now
	mac.sendQuarantine(now, con.keeperID, quarantine.Ask{
		Number: inf.permission.question, TimeLeft: max(inf.deadline.Mono-now.Mono, 0), Known: con.book.Report(now, inf.fingerprint),
	})
}

// sendQuarantine sends a message to a VM, which may be this one.
func (mac *Machine) sendQuarantine(now clock.Instant, to string, msg quarantine.Message) {
	if to == mac.set.Self.ID || to == "" {
		mac.quarantineReceived(now, mac.set.Self.ID, msg)
		return
	}
	mac.emit(Send{To: to, Message: msg})
}

func (mac *Machine) quarantineReceived(now clock.Instant, from string, msg quarantine.Message) {
	con := &mac.contents
	switch msg := msg.(type) {
	case quarantine.Ask:
		mac.learnContent(now, from, msg.Known)
		allowed := con.keeper.Allow(now, from, msg)
		mac.log("ruled", "content", msg.Known.Content, "vm", from, "allowed", allowed, "ends", con.book.Count(msg.Known.Content))
		mac.sendQuarantine(now, from, quarantine.Ruling{Number: msg.Number, Allowed: allowed, Known: con.book.Report(now, msg.Known.Content)})
	case quarantine.Ruling:
		mac.learnContent(now, from, msg.Known)
		mac.ruled(now, from, msg)
	case quarantine.Ended:
		mac.learnContent(now, from, msg.Known)
		con.keeper.Ended(from, msg.Number)
	case quarantine.News:
		if rps := con.book.Reports(now, maxNews); msg.Wanted && len(rps) > 0 {
			mac.sendQuarantine(now, from, quarantine.News{Reports: rps})
		}
		for _, rep := range msg.Reports {
			mac.learnContent(now, from, rep)
			if from == con.keeperID && rep.Includes(con.book.Report(now, rep.Content)) {
				delete(con.unconfirmed, rep.Content)
			}
		}
	}
}

// ruled handles the keeper's reply for a suspected request.
func (mac *Machine) ruled(now clock.Instant, from string, msg quarantine.Ruling) {
	inf := mac.requests[mac.contents.asks[msg.Number]]
	if inf != nil && inf.permission.holds(from, msg.Number) {
		return // It has asked twice.
	}
	if inf == nil || !inf.permission.waiting {
		if msg.Allowed {
			mac.sendQuarantine(now, from, quarantine.Ended{Number: msg.Number, Known: msg.Known})
		}
		return
	}
	if msg.Allowed {
		inf.permission.granted = &permit{keeper: from, number: msg.Number}
		mac.continueWaiting(now, inf)
		return
	}
	if !inf.permission.ruled {
		inf.permission.ruled = true
		inf.permission.giveUpAt = now.Add(min(suspectWait, inf.deadline.Mono-now.Mono))
	}
}

// continueWaiting continues a request that waits for a permit and needs to wait no more.
func (mac *Machine) continueWaiting(now clock.Instant, inf *inFlight) {
	inf.permission.waiting, inf.permission.ruled = false, false
	mac.nextAttempt(now, inf, "the request is suspected to crash targets")
}

// returnPermit gives the permit of a request back, if it has one.
func (mac *Machine) returnPermit(now clock.Instant, inf *inFlight) {
	per := inf.permission.granted
	if per == nil {
		return
	}
	inf.permission.granted = nil
	delete(mac.contents.asks, inf.permission.question)
	switch {
	case per.trial:
	case per.keeper == mac.set.Self.ID:
		mac.contents.keeper.Ended(per.keeper, per.number)
	default:
		mac.emit(Send{To: per.keeper, Message: quarantine.Ended{Number: per.number, Known: mac.contents.book.Report(now, inf.fingerprint)}})
	}
}

// tickWaiting continues or refuses the requests that wait for a permit.
func (mac *Machine) tickWaiting(now clock.Instant) {
	asks := mac.contents.asks
	for _, question := range slices.Sorted(maps.Keys(asks)) {
		inf := mac.requests[asks[question]]
		if inf == nil || !inf.permission.waiting {
			continue
		}
		switch sta := mac.contents.book.State(inf.fingerprint); {
		case sta != quarantine.Suspected:
			mac.continueWaiting(now, inf)
		case !now.Before(inf.permission.giveUpAt):
			mac.refuse(now, inf, request.Refusal{
				Reason: request.Suspected, RetryAfter: mac.randomRetryAfter(),
				Detail: fmt.Sprintf("%d runs of targets ended under the content %s, and the keeper allows no attempt now", mac.contents.book.Count(inf.fingerprint), inf.fingerprint),
			})
		case now.Since(inf.permission.askedAt) >= askInterval:
			mac.ask(now, inf)
		}
	}
}
