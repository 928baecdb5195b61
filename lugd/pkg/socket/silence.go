package socket

import "time"

// reading is what the kernel tells of a connection at a moment.
type reading struct {
	// unacknowledged is how many sent bytes the other end has not acknowledged, with those that it has no room for.
	unacknowledged int
	// tellsAnswers is set if the kernel tells the fields below.
	tellsAnswers bool
	// dataUnanswered is set if the other end has not answered since data was last sent.
	dataUnanswered bool
	// probesUnanswered is set if the other end has not answered several probes of its closed window.
	probesUnanswered bool
	// lastAnswer is how long ago the other end's kernel last answered.
	lastAnswer time.Duration
}

// awaitsAnswer reports whether the other end has not answered what was sent to it.
func (rdg reading) awaitsAnswer() bool {
	return rdg.unacknowledged > 0 && (!rdg.tellsAnswers || rdg.dataUnanswered || rdg.probesUnanswered)
}

// silence tells for how long the other end of a connection has not answered what was sent to it.
type silence struct {
	// since is when the wait for an answer began, or when the last one came; zero while none is awaited.
	since time.Time
	// acknowledged is how many bytes the other end had acknowledged at the last reading.
	acknowledged int64
}

// with returns the silence after a reading of a connection on which a number of bytes have been sent in all. An end that
// reads nothing is not silent, since its kernel answers probes. Where the kernel tells no answers, only that more is
// acknowledged counts as one.
func (sil silence) with(rdg reading, sent int64, now time.Time) silence {
	acknowledged := sent - int64(rdg.unacknowledged)
	progress := acknowledged > sil.acknowledged
	sil.acknowledged = acknowledged
	switch {
	case !rdg.awaitsAnswer():
		sil.since = time.Time{}
	case rdg.probesUnanswered:
		sil.since = now.Add(-rdg.lastAnswer)
	case sil.since.IsZero(), !rdg.tellsAnswers && progress:
		sil.since = now
	case rdg.tellsAnswers && sil.since.Before(now.Add(-rdg.lastAnswer)):
		sil.since = now.Add(-rdg.lastAnswer)
	}
	return sil
}

// lasts returns for how long the other end has been silent.
func (sil silence) lasts(now time.Time) time.Duration {
	if sil.since.IsZero() {
		return 0
	}
	return now.Sub(sil.since)
}
