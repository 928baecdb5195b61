package target

import "time"

// lateBudget bounds what is read of a body after the timeout of its request. Only the time for which the target is
// waited for counts: the caller may take longer to read what the target has sent in time.
type lateBudget struct {
	// from is when the timeout is over.
	from time.Time
	// time is how long the target may still be waited for after that, and bytes how much it may send.
	time  time.Duration
	bytes int
}

// left returns how long the target may be waited for from now on. It returns ErrOverdue if that is not at all.
func (bgt *lateBudget) left(now time.Time) (time.Duration, error) {
	if bgt.spent() {
		return 0, ErrOverdue
	}
	return max(bgt.from.Sub(now), 0) + bgt.time, nil
}

// spend counts a read that returned a number of bytes.
func (bgt *lateBudget) spend(began, ended time.Time, bytes int) {
	if !ended.After(bgt.from) {
		return
	}
	if began.Before(bgt.from) {
		began = bgt.from
	}
	bgt.time -= ended.Sub(began)
	bgt.bytes -= bytes
}

// spent reports whether nothing more may be read.
func (bgt *lateBudget) spent() bool { return bgt.time <= 0 || bgt.bytes <= 0 }
