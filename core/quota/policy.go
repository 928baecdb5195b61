package quota

import (
	"time"

	"marigoldlug.example/core/rate"
)

// The parts of what may be granted beyond the limits: without servers, and at
// once by a server that does not know what its predecessor granted. What is left
// covers tokens that are spent after the window in which they were granted.
const (
	localExcess   = 0.8
	localSlack    = 0.5
	initialExcess = 0.25
	initialSlack  = 0.3
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

// perServer returns the terms of one of so many equal parts.
func (pol Policy) perServer(serverCount int) Policy {
	pol.Slack /= float64(serverCount)
	return pol
}

// initialGrant returns what a server may grant at once where a window allows so much.
func (pol Policy) initialGrant(allowed rate.Tokens) rate.Tokens {
	return rate.Tokens(float64(allowed)*pol.Excess*initialExcess) + rate.Requests(pol.Slack*initialSlack)
}

// fleetLocalRate returns what all VMs together may spend a second without servers.
func (pol Policy) fleetLocalRate(lim rate.Limit) rate.PerSecond {
	spare := rate.RequestsPerSecond(pol.Slack * localSlack / pol.Window.Seconds())
	return rate.PerSecond(float64(lim.Rate)*pol.Excess*localExcess) + spare
}
