package health

import "marigoldlug.example/core/clock"

// Ticket names an attempt under way.
type Ticket uint64

// attempt is a request sent to a target.
type attempt struct {
	service string
	target  string
	began   clock.Instant
	// answered is set once the outcome has been counted.
	answered bool
	// overdue is set once the attempt has been counted as overdue.
	overdue bool
}

// attempts holds the attempts under way.
type attempts struct {
	next Ticket
	open map[Ticket]*attempt
}

func newAttempts() *attempts { return &attempts{open: make(map[Ticket]*attempt)} }

func (ats *attempts) begin(now clock.Instant, service, target string) Ticket {
	ats.next++
	ats.open[ats.next] = &attempt{service: service, target: target, began: now}
	return ats.next
}

// answer returns the attempt whose outcome is to be counted, once.
func (ats *attempts) answer(tic Ticket) *attempt {
	att := ats.open[tic]
	if att == nil || att.answered {
		return nil
	}
	att.answered = true
	return att
}
