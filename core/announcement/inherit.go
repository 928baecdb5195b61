package announcement

import (
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/health"
)

const (
	// clockSlack is the greatest error that is assumed of the start time of a run: the time of day may differ
	// between its target and this VM.
	clockSlack = 5 * time.Second
	// registrationDelay is the time after which a target that has said in a response that it leaves has changed
	// its registration, or has lost it.
	registrationDelay = 7 * time.Second
)

// origin says which of two runs has sent a response.
type origin uint8

const (
	earlierRun origin = iota
	unknownRun
	laterRun
)

// originOf returns which run has answered a request that was sent at sentAt, with a response that came at
// heardAt. The later of the two runs started at started; only one of them runs at a time.
func originOf(sentAt, heardAt, started clock.Instant) origin {
	switch {
	case !sentAt.Before(started.Add(clockSlack)):
		return laterRun
	case heardAt.Before(started.Add(-clockSlack)):
		return earlierRun
	}
	return unknownRun
}

// Inherit lets a run have what was filed under another run of its target but may be its own: responses do
// not name their run, and one that has just started may answer before its registration is known. started is
// when the run started, as far as is known. Inherit reports whether the run got anything new.
func (bok *Book) Inherit(now clock.Instant, run, from health.Run, started clock.Instant) bool {
	ent := bok.entries[from]
	return ent != nil && run != from && bok.inheritFrom(now, ent, run, started)
}

// inheritFrom passes on what one entry says. Whether a limit or a pause still holds shows with the next response;
// a target that may be leaving gets no request, so that its registration has to show it.
func (bok *Book) inheritFrom(now clock.Instant, from *entry, run health.Run, started clock.Instant) bool {
	limited := originOf(from.sentAt, from.heardAt, started) != earlierRun && from.limit.Limited
	paused := originOf(from.pauseSentAt, from.pauseHeardAt, started) != earlierRun && now.Before(from.pausedUntil)
	leaving := originOf(from.leftSentAt, from.leftHeardAt, started)
	certain := from.leaving && leaving == laterRun
	doubtful := from.leaving && leaving == unknownRun && !bok.settled(from.leftHeardAt)
	if !limited && !paused && !certain && !doubtful {
		return false
	}
	to := bok.entries[run]
	if to == nil {
		to = bok.add(now, run)
	}
	before := *to
	if limited {
		to.setLimit(from.limit, from.sentAt, from.heardAt)
	}
	if paused {
		to.pause(from.pausedUntil, from.pauseSentAt, from.pauseHeardAt)
	}
	if certain {
		to.leave(from.leftSentAt, from.leftHeardAt)
	}
	if doubtful {
		to.doubtfulSince = clock.Later(to.doubtfulSince, from.leftHeardAt)
	}
	return *to != before
}

// settled reports whether the registrations show by now whether a target leaves that said so at heardAt.
func (bok *Book) settled(heardAt clock.Instant) bool {
	return !bok.confirmedAt.Before(heardAt.Add(registrationDelay))
}

// Confirm records that the registrations were up to date at a time. Runs that may have said that they leave
// are used again if their registration does not say so by then.
func (bok *Book) Confirm(at clock.Instant) {
	bok.confirmedAt = clock.Later(bok.confirmedAt, at)
	for _, ent := range bok.entries {
		if bok.settled(ent.doubtfulSince) {
			ent.doubtfulSince = clock.Instant{}
		}
	}
}
