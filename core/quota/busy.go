package quota

import (
	"slices"
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/rate"
)

const (
	// calmShare is the part of what a window allows that a server grants to an
	// organisation at most until the store says that it is busy.
	calmShare = 0.7
	// assumedShare is the part that its successor takes it to have granted. What
	// is between covers tokens that were spent late.
	assumedShare = 0.75
	// busyShare and restShare are the parts from which an organisation is to be
	// called busy, and below which it no longer is.
	busyShare = 0.65
	restShare = 0.5
	// weighInterval is the least time between two changes that a server wants
	// stated, pressedInterval the same once an organisation was granted less for
	// not being busy, and restInterval that between two by which organisations are
	// only taken out, so that those that come and go cost few writes.
	weighInterval   = 2 * time.Second
	pressedInterval = 300 * time.Millisecond
	restInterval    = 8 * time.Second
	// maxBusy bounds the organisations that are named one by one.
	maxBusy = 64
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
func (srv *Server) SetStored(bus Busy) { srv.stated = bus }

// Desired returns what the store is to hold of this server, and whether it is to be
// written now.
func (srv *Server) Desired(now clock.Instant) (want Busy, due bool) {
	interval := weighInterval
	if srv.pressed {
		interval = pressedInterval
	}
	if now.Since(srv.weighed) < interval {
		return srv.wanted, false
	}
	srv.weighed, srv.pressed = now, false
	if now.Since(srv.began) >= srv.terms.Window {
		// Until then the server does not know what its predecessor granted.
		srv.weigh(now)
	}
	return srv.wanted, !srv.wanted.Equal(srv.stated)
}

// weigh decides anew which organisations are busy. Those that are nearly so are
// stated with the others.
func (srv *Server) weigh(now clock.Instant) {
	var names []string
	more := false
	for name, acc := range srv.accounts {
		acc.advance(srv.slotAt(now))
		part := acc.sum.Float() / srv.allowed(acc.limit).Float()
		if part > restShare {
			names = append(names, name)
		}
		more = more || part >= busyShare && !srv.wanted.Has(name)
	}
	if !more && !srv.wanted.All && now.Since(srv.rested) < restInterval {
		return
	}
	srv.rested = now
	slices.Sort(names)
	srv.wanted = Busy{Names: names}
	if len(names) > maxBusy {
		srv.wanted = Busy{All: true}
	}
}

// most returns what an organisation may be granted in one window as long as the
// store holds what it does.
func (srv *Server) most(organisation string, lim rate.Limit) rate.Tokens {
	if srv.stated.Has(organisation) && srv.wanted.Has(organisation) {
		return srv.allowed(lim)
	}
	return srv.part(lim, calmShare)
}

// part returns a part of what an organisation may be granted in one window, one
// request at least.
func (srv *Server) part(lim rate.Limit, share float64) rate.Tokens {
	return max(rate.Tokens(float64(srv.allowed(lim))*share), rate.Request)
}
