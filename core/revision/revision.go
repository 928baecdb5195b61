// Package revision orders the revisions of the platform's store across its eras. The store may be restored from
// a copy that is older than what it had acknowledged; its revisions then go back and are given out again. Each
// restore begins a new era, so that a revision together with its era never stands for two states.
package revision

// Era numbers the restores of the store. It never decreases. 0 means that the store has told none.
type Era uint64

// Told returns the number by which the store tells the era. known is false if it has told none.
func (era Era) Told() (number uint64, known bool) {
	if era == 0 {
		return 0, false
	}
	return uint64(era) - 1, true
}

// EraTold returns the era that the store tells by a number, which must be less than MaxEra. 0 is an era, too: it
// differs from none.
func EraTold(number uint64) Era { return Era(number + 1) }

const (
	// numberBits is how many of the low bits of a joined revision hold the store's own number.
	numberBits = 50
	// MaxNumber is the greatest number that the store may give a revision.
	MaxNumber = 1<<numberBits - 1
	// MaxEra is the last era that a joined revision can hold.
	MaxEra Era = 1<<(64-numberBits) - 1
)

// Join returns the revision that stands for the store's number in an era: any one of a later era is greater. In
// era 0 it is the number itself. number must be MaxNumber at most, and era MaxEra.
func Join(era Era, number uint64) uint64 { return uint64(era)<<numberBits | number }

// EraOf returns the era of a joined revision.
func EraOf(joined uint64) Era { return Era(joined >> numberBits) }

// Number returns the store's own number of a joined revision.
func Number(joined uint64) uint64 { return joined & MaxNumber }

// Covers reports whether a proof that the revision proven was up to date also holds for a copy at the revision
// held. A proof of another era says nothing about the copy.
func Covers(held, proven uint64) bool { return EraOf(held) == EraOf(proven) && held >= proven }
