// Package verdict says whether a request may have run on a target.
package verdict

// Header carries a verdict on refusals sent to callers.
const Header = "Marigoldlug-Verdict"

// Verdict states what is known about the execution of one request.
type Verdict uint8

const (
	// NotRun means that no target has executed any part of the request.
	NotRun Verdict = iota
	// MayHaveRun means that a target may have executed the request.
	MayHaveRun
	// Answered means that a target executed the request and answered it.
	Answered
)

// String returns the form of the verdict used on the wire and in logs.
func (ver Verdict) String() string {
	switch ver {
	case NotRun:
		return "not-run"
	case MayHaveRun:
		return "may-have-run"
	case Answered:
		return "answered"
	}
	return "unknown"
}

// Worse returns the verdict that admits more execution of the two.
func (ver Verdict) Worse(other Verdict) Verdict {
	return max(ver, other)
}
