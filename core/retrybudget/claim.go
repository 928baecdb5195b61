package retrybudget

import "marigoldlug.example/core/admission"

// Purpose is why a request gets another attempt.
type Purpose int

// The purposes. After a refusal the request has certainly not run, and no work is repeated; after a failure work may be
// repeated; a hedge runs beside an attempt that likely answers.
const (
	AfterRefusal Purpose = iota
	AfterFailure
	Hedge
)

// Claim describes an attempt beyond the first that a request asks for.
type Claim struct {
	Purpose Purpose
	// Priority ranks the request; 0 is the highest.
	Priority int
	// Late is set if the answer would likely come after the latency goal.
	Late bool
}

const (
	// hedgeWindowShare is the share of the window's attempts up to which hedges are allowed. The rest is kept
	// for requests that failed, that were shed, or that were answered by another target.
	hedgeWindowShare = 0.6
	// The reserves are the parts of the depth of the bucket that a claim leaves to more urgent ones: hedgeReserve for a
	// hedge; after a refusal priorityReserve for each priority below the highest, and lateReserve for a late answer.
	priorityReserve = 0.2
	hedgeReserve    = 0.25
	lateReserve     = 0.2
)

// windowShare returns the share of the window's attempts up to which the claim is allowed.
func (cla Claim) windowShare() float64 {
	if cla.Purpose == Hedge {
		return hedgeWindowShare
	}
	return 1
}

// reserve returns the part of the bucket that the claim leaves to more urgent ones. After a failure it leaves nothing, for
// the reason given at Budget.paced.
func (cla Claim) reserve() float64 {
	switch cla.Purpose {
	case AfterFailure:
		return 0
	case Hedge:
		return hedgeReserve
	case AfterRefusal:
	}
	out := priorityReserve * float64(admission.BoundPriority(cla.Priority))
	if cla.Late {
		out += lateReserve
	}
	return out
}

// kinds is the number of kinds of claims of which each is certain of a part of the budget: a priority, with hedges
// apart.
const kinds = 2 * (admission.LowestPriority + 1)

// kind returns the number of the claim's kind.
func (cla Claim) kind() int {
	out := admission.BoundPriority(cla.Priority)
	if cla.Purpose == Hedge {
		out += admission.LowestPriority + 1
	}
	return out
}
