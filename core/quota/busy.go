package quota

import (
	"slices"
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/rate"
)

const (
	// notBusyShare is the part of what a window allows that a server grants to an
	// organisation at most until the store says that it is busy.
	notBusyShare = 0.7
	// assumedShare is the part that its successor takes it to have granted. What
	// is between covers tokens that were spent late.
	assumedShare = 0.75
	// busyEnterShare and restShare are the parts from which an organisation is to be
	// called busy, and below which it no longer is.
	busyEnterShare = 0.65
	busyLeaveShare = 0.5
	// updateInterval is the least time between two changes that a server wants
	// stated, pressedInterval the same once an organisation was granted less for
	// not being busy, and restInterval that between two by which organisations are
	// only taken out, so that those that come and go cost few writes.
	updateInterval  = 2 * time.Second
	urgentInterval  = 300 * time.Millisecond
	removalInterval = 8 * time.Second
	// maxBusyNames bounds the organisations that are named one by one.
	maxBusyNames = 64
)

// Busy says which organisations a server may grant all that their limits allow.
// It is stated in the store before the server does so. Whoever begins to serve
// after it knows that it granted the others no more than calmShare. It is
// immutable.
type Busy struct {
	// All is set where it may be any organisation, as it is while a server does
	// not know yet what its predecessor granted. Names is empty then.
	All bool
	// Names is sorted.
	Names []string
}

// Has reports whether an organisation is among them.
func (bus Busy) Has(organisation string) bool {
	if bus.All {
		return true
	}
	_, found := slices.BinarySearch(bus.Names, organisation)
	return found
}

// Equal reports whether two values say the same.
func (bus Busy) Equal(other Busy) bool {
	return bus.All == other.All && slices.Equal(bus.Names, other.Names)
}

// SetStored takes what the store holds of this server.
func (srv *Server) SetStored(bus Busy) { srv.stored = bus }

// Desired returns what the store is to hold of this server, and whether it is to be
// written now.
func (srv *Server) Desired(now clock.Instant) (want Busy, due bool) {
	interval := updateInterval
	if srv.urgent {
		interval = urgentInterval
	}
	if now.Since(srv.evaluatedAt) < interval {
		return srv.desired, false
	}
	srv.evaluatedAt, srv.urgent = now, false
	if now.Since(srv.startedAt) >= srv.policy.Window {
		// Until then the server does not know what its predecessor granted.
		srv.updateBusy(now)
	}
	return srv.desired, !srv.desired.Equal(srv.stored)
}

// updateBusy decides anew which organisations are busy. Those that are nearly so are
// stated with the others.
func (srv *Server) updateBusy(now clock.Instant) {
	var names []string
	more := false
	for name, acc := range srv.accounts {
		acc.advance(srv.slotAt(now))
		share := acc.sum.Float() / srv.allowed(acc.limit).Float()
		if share > busyLeaveShare {
			names = append(names, name)
		}
		more = more || share >= busyEnterShare && !srv.desired.Has(name)
	}
	if !more && !srv.desired.All && now.Since(srv.changedAt) < removalInterval {
		return
	}
	srv.changedAt = now
	slices.Sort(names)
	srv.desired = Busy{Names: names}
	if len(names) > maxBusyNames {
		srv.desired = Busy{All: true}
	}
}

// windowCap returns what an organisation may be granted in one window as long as the
// store holds what it does.
func (srv *Server) windowCap(organisation string, lim rate.Limit) rate.Tokens {
	if srv.stored.Has(organisation) && srv.desired.Has(organisation) {
		return srv.allowed(lim)
	}
	return srv.windowShare(lim, notBusyShare)
}

// windowShare returns a part of what an organisation may be granted in one window, one
// request at least.
func (srv *Server) windowShare(lim rate.Limit, share float64) rate.Tokens {
	return max(rate.Tokens(float64(srv.allowed(lim))*share), rate.Request)
}
