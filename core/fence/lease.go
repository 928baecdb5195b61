package fence

import (
	"time"

	"marigoldlug.example/core/clock"
)

// Proof states that at a moment no accepted head was newer than a version.
type Proof struct {
	Version uint64
	// Moment is when the question was sent whose answer is the proof, less the
	// age that the answer reports, on the clock of the VM that asked.
	Moment clock.Instant
}

// Lease is the permission of one VM to act on the head it holds. It is
// immutable.
type Lease struct {
	// duration bounds the age of the newest proof; see docs/design.
	duration time.Duration
	// held is the version of the head that the VM holds; 0 means none.
	held uint64
	// newest is the latest proof that covers held.
	newest Proof
	proved bool
	// ahead is the latest proof for a version that the VM does not hold yet.
	ahead Proof
}

// NewLease returns a lease without a head or a proof.
func NewLease(duration time.Duration) Lease { return Lease{duration: duration} }

// Held returns the version of the head held; 0 means none.
func (lea Lease) Held() uint64 { return lea.held }

// Wanted returns the newest version of which the VM has heard a proof.
func (lea Lease) Wanted() uint64 { return max(lea.held, lea.ahead.Version) }

// Duration returns the longest age of a proof that permits acting.
func (lea Lease) Duration() time.Duration { return lea.duration }

// WithHead returns the lease of a VM that now holds the head of a version.
// An older version than the one held changes nothing.
func (lea Lease) WithHead(version uint64) Lease {
	if version <= lea.held {
		return lea
	}
	lea.held = version
	if lea.ahead.Version != 0 && lea.ahead.Version <= version {
		lea = lea.extended(lea.ahead)
		lea.ahead = Proof{}
	}
	return lea
}

// WithProof returns the lease extended by a proof. A proof for a version that
// the VM does not hold counts from when the VM holds it.
func (lea Lease) WithProof(prf Proof) Lease {
	if lea.held == 0 || prf.Version > lea.held {
		if prf.Version > lea.ahead.Version || prf.Version == lea.ahead.Version && lea.ahead.Moment.Before(prf.Moment) {
			lea.ahead = prf
		}
		return lea
	}
	return lea.extended(prf)
}

func (lea Lease) extended(prf Proof) Lease {
	if !lea.proved || lea.newest.Moment.Before(prf.Moment) {
		lea.newest = prf
		lea.proved = true
	}
	return lea
}

// Active reports whether the VM may act at now.
func (lea Lease) Active(now clock.Instant) bool {
	return lea.held != 0 && lea.proved && now.Since(lea.newest.Moment) < lea.duration
}

// Age returns the age of the newest proof, and false when there is none.
func (lea Lease) Age(now clock.Instant) (time.Duration, bool) {
	if lea.held == 0 || !lea.proved {
		return 0, false
	}
	return max(now.Since(lea.newest.Moment), 0), true
}
