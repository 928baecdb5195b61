package quota

import (
	"time"

	"marigoldlug.example/core/rate"
)

// The shares of Excess and Slack that may be used when VMs spend tokens without a server
// (local), and at once by a new server that does not know what its predecessor granted
// (initial). The remainder allows for tokens that are spent after the window in which they were
// granted.
const (
	localExcess   = 0.8
	localSlack    = 0.5
	initialExcess = 0.25
	initialSlack  = 0.3
)

// Policy defines how strictly the limits of organisations are enforced. In any window an
// organisation may make as many requests as its rate yields in that time plus its burst, and may
// exceed this number by a share of it plus a fixed number of requests. A Policy is immutable.
type Policy struct {
	// Window is the length of a window, above 0.
	Window time.Duration
	// Excess is the share, and Slack the number of requests, by which a limit may be
	// exceeded in a window. Neither is negative.
	Excess float64
	Slack  float64
}

// perServer returns the policy that one of serverCount servers enforces for its share.
func (pol Policy) perServer(serverCount int) Policy {
	pol.Slack /= float64(serverCount)
	return pol
}

// initialGrant returns what a new server may grant at once beyond an organisation's window limit,
// which is what its rate yields in a window plus its burst.
func (pol Policy) initialGrant(windowLimit rate.Tokens) rate.Tokens {
	return rate.Tokens(float64(windowLimit)*pol.Excess*initialExcess) + rate.Requests(pol.Slack*initialSlack)
}

// fleetLocalRate returns the rate at which all VMs together may spend tokens while they reach
// no server.
func (pol Policy) fleetLocalRate(lim rate.Limit) rate.PerSecond {
	spare := rate.RequestsPerSecond(pol.Slack * localSlack / pol.Window.Seconds())
	return rate.PerSecond(float64(lim.Rate)*pol.Excess*localExcess) + spare
}
