// Package request describes a caller's request, the ways in which it can be
// refused and what became of the attempts to have it answered.
package request

import (
	"time"

	"marigoldlug.example/core/config"
	"marigoldlug.example/core/verdict"
)

// ID numbers a request within one VM.
type ID uint64

// Request is what the decisions need to know of a caller's request.
type Request struct {
	ID ID
	// Label names the request in logs: the identifier that its caller gave it.
	Label string
	// Host is lower case and without port.
	Host string
	Path string
	// Keys holds the digest of every distinct key that the request carries.
	Keys []config.Digest
	// Timeout is the time that the caller allows; 0 means no bound.
	Timeout time.Duration
}

// Reason names why a request was refused.
type Reason string

// The reasons for refusals.
const (
	NoConfiguration Reason = "noConfiguration"
	NoRoute         Reason = "noRoute"
	NoKey           Reason = "noKey"
	ManyKeys        Reason = "manyKeys"
	UnknownKey      Reason = "unknownKey"
	LeaseLapsed     Reason = "leaseLapsed"
	RateExceeded    Reason = "rateExceeded"
	NoTarget        Reason = "noTarget"
	Overloaded      Reason = "overloaded"
	TargetFailed    Reason = "targetFailed"
	TimedOut        Reason = "timedOut"
	Malformed       Reason = "malformed"
	TooLarge        Reason = "tooLarge"
	HeadTooLarge    Reason = "headTooLarge"
	TooSlow         Reason = "tooSlow"
)

var statuses = map[Reason]int{
	NoConfiguration: 503,
	NoRoute:         404,
	NoKey:           401,
	ManyKeys:        400,
	UnknownKey:      401,
	LeaseLapsed:     503,
	RateExceeded:    429,
	NoTarget:        503,
	Overloaded:      503,
	TargetFailed:    502,
	TimedOut:        504,
	Malformed:       400,
	TooLarge:        413,
	HeadTooLarge:    431,
	TooSlow:         408,
}

// Status returns the HTTP status of a refusal for the reason.
func (rsn Reason) Status() int {
	if sta, found := statuses[rsn]; found {
		return sta
	}
	return 500
}

// Refusal is the final answer to a request that no target answered.
type Refusal struct {
	Reason  Reason
	Verdict verdict.Verdict
	Detail  string
	// RetryAfter is when a repeat may succeed; 0 means that none is advised.
	RetryAfter time.Duration
}
