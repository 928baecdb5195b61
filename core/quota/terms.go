package quota

import (
	"time"

	"marigoldlug.example/core/rate"
)

// The parts of what may be granted beyond the limits: without servers, and at
// once by a server that does not know what its predecessor granted. What is left
// covers tokens that are spent after the window in which they were granted.
const (
	lonelyExcess  = 0.8
	lonelySlack   = 0.5
	openingExcess = 0.25
	openingSlack  = 0.3
)

// Policy are those under which organisations are counted: in any window they may
// make as many requests as their rate yields in it and their burst, a share of
// that beyond it, and a number of requests. It is immutable.
type Policy struct {
	// Window is above 0.
	Window time.Duration
	// Excess is the share and Slack the number of requests beyond a limit in a
	// window; neither is negative.
	Excess float64
	Slack  float64
}

// part returns the terms of one of so many equal parts.
func (trm Policy) part(parts int) Policy {
	trm.Slack /= float64(parts)
	return trm
}

// opening returns what a server may grant at once where a window allows so much.
func (trm Policy) opening(allowed rate.Tokens) rate.Tokens {
	return rate.Tokens(float64(allowed)*trm.Excess*openingExcess) + rate.Requests(trm.Slack*openingSlack)
}

// lonely returns what all VMs together may spend a second without servers.
func (trm Policy) lonely(lim rate.Limit) rate.PerSecond {
	spare := rate.RequestsPerSecond(trm.Slack * lonelySlack / trm.Window.Seconds())
	return rate.PerSecond(float64(lim.Rate)*trm.Excess*lonelyExcess) + spare
}
