// Package verdict states whether a request may have been executed by a target.
package verdict

// Header is the response header that carries the verdict of a refusal to the caller.
const Header = "Marigoldlug-Verdict"

// Verdict states what is known about the execution of a request.
type Verdict uint8

const (
	// NotRun means that no target has executed any part of the request.
	NotRun Verdict = iota
	// MayHaveRun means that a target may have executed the request.
	MayHaveRun
	// Answered means that a target executed the request and answered it.
	Answered
)

// String returns the name of the verdict on the wire and in logs.
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

// Worse returns the one of the two verdicts under which more of the request may have been executed.
func (ver Verdict) Worse(other Verdict) Verdict {
	return max(ver, other)
}
