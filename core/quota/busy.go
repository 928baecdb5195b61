package quota

import (
	"slices"
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/rate"
)

const (
	// notBusyShare is the share of its window limit (what its rate yields in a window plus
	// its burst) that a server grants to an organisation at most, unless the store lists the
	// organisation as busy.
	notBusyShare = 0.7
	// assumedShare is the share of the window limit that a server assumes its predecessor to
	// have granted to an organisation that is not listed as busy. It exceeds notBusyShare to
	// allow for tokens that VMs spend some time after they were granted.
	assumedShare = 0.75
	// An organisation becomes busy when it has been granted busyEnterShare of its window
	// limit in the last window, and stays busy while it has been granted more than
	// busyLeaveShare.
	busyEnterShare = 0.65
	busyLeaveShare = 0.5
	// updateInterval is the minimum time between two updates of the busy organisations
	// in the store. urgentInterval replaces it once an organisation was granted less than
	// it needed while it was not listed as busy. removalInterval is the minimum time between
	// an update and one that only removes organisations, so that organisations whose load
	// comes and goes cause few writes.
	updateInterval  = 2 * time.Second
	urgentInterval  = 300 * time.Millisecond
	removalInterval = 8 * time.Second
	// maxBusyNames is the maximum number of organisations that are listed by name. If
	// more are busy, all organisations count as busy.
	maxBusyNames = 64
)

// Busy lists the busy organisations of a server: those that it may grant their whole window limit.
// The list is written to the store before the server does so. The next VM in the role of that
// server thus knows that every other organisation was granted at most notBusyShare of its window
// limit. A Busy value is immutable.
type Busy struct {
	// All means that every organisation counts as busy. It is set while a server does not
	// know yet what its predecessor granted, and while more than maxBusyNames organisations
	// are busy. Names is empty then.
	All bool
	// Names lists the busy organisations, sorted.
	Names []string
}

// Has reports whether an organisation is busy.
func (bus Busy) Has(organisation string) bool {
	if bus.All {
		return true
	}
	_, found := slices.BinarySearch(bus.Names, organisation)
	return found
}

// Equal reports whether two values list the same organisations.
func (bus Busy) Equal(other Busy) bool {
	return bus.All == other.All && slices.Equal(bus.Names, other.Names)
}

// SetStored sets the busy organisations that the store lists for this server.
func (srv *Server) SetStored(bus Busy) { srv.stored = bus }

// Desired returns the busy organisations that the store should list for this server, and
// whether they have to be written now.
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
		// In its first window the server does not know what its predecessor granted.
		srv.updateBusy(now)
	}
	return srv.desired, !srv.desired.Equal(srv.stored)
}

// updateBusy recomputes which organisations are busy. An update also lists organisations that
// are between busyLeaveShare and busyEnterShare, which may soon become busy.
func (srv *Server) updateBusy(now clock.Instant) {
	var names []string
	more := false
	for name, acc := range srv.accounts {
		acc.advance(srv.bucketAt(now))
		if acc.unused(now) {
			delete(srv.accounts, name) // A new account will be the same.
			continue
		}
		share := acc.sum.Float() / srv.windowLimit(acc.limit).Float()
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

// windowCap returns the most that an organisation may be granted in one window: its window limit
// if both the store and the desired list contain it, otherwise notBusyShare of that.
func (srv *Server) windowCap(organisation string, lim rate.Limit) rate.Tokens {
	if srv.stored.Has(organisation) && srv.desired.Has(organisation) {
		return srv.windowLimit(lim)
	}
	return srv.windowShare(lim, notBusyShare)
}

// windowShare returns a share of an organisation's window limit, at least one request.
func (srv *Server) windowShare(lim rate.Limit, share float64) rate.Tokens {
	return max(rate.Tokens(float64(srv.windowLimit(lim))*share), rate.Request)
}
