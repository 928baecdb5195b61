// Package request describes a caller's request, the reasons for which it can be refused, and the
// budget for its retries.
package request

import (
	"time"

	"marigoldlug.example/core/config"
	"marigoldlug.example/core/verdict"
)

// ID identifies a request within one VM.
type ID uint64

// Request is the part of a caller's request on which its routing, admission and placement depend.
type Request struct {
	ID ID
	// Label is the identifier that the caller gave the request; logs show it.
	Label string
	// Host is in lower case and has no port.
	Host string
	Path string
	// Content identifies the content of the request.
	Content Fingerprint
	// Keys holds the digests of the distinct keys that the request carries.
	Keys []config.Digest
	// Timeout is the timeout that the caller set; 0 means none.
	Timeout time.Duration
}

// Reason says why a request was refused.
type Reason string

// The reasons for refusals.
const (
	NoConfiguration Reason = "noConfiguration"
	NoRoute         Reason = "noRoute"
	NoKey           Reason = "noKey"
	// ManyKeys means that the request carries several distinct keys.
	ManyKeys   Reason = "manyKeys"
	UnknownKey Reason = "unknownKey"
	// StaleConfiguration means that the VM's configuration was last confirmed too long ago for the VM to
	// accept a key, which may have been withdrawn since.
	StaleConfiguration Reason = "leaseLapsed"
	RateExceeded       Reason = "rateExceeded"
	NoTarget           Reason = "noTarget"
	Overloaded         Reason = "overloaded"
	TargetFailed       Reason = "targetFailed"
	TimedOut           Reason = "timedOut"
	Malformed          Reason = "malformed"
	// TooLarge is for the body of the request, and HeadTooLarge for its head.
	TooLarge     Reason = "tooLarge"
	HeadTooLarge Reason = "headTooLarge"
	// Suspected means that targets have ended under requests with the same content, and that another one is
	// under way. Quarantined means that so many have ended that it is sent to none any more.
	Suspected   Reason = "suspected"
	Quarantined Reason = "quarantined"
	// TooSlow means that the caller took too long to send the request.
	TooSlow Reason = "tooSlow"
)

var statuses = map[Reason]int{
	NoConfiguration:    503,
	NoRoute:            404,
	NoKey:              401,
	ManyKeys:           400,
	UnknownKey:         401,
	StaleConfiguration: 503,
	RateExceeded:       429,
	NoTarget:           503,
	Overloaded:         503,
	TargetFailed:       502,
	TimedOut:           504,
	Malformed:          400,
	TooLarge:           413,
	HeadTooLarge:       431,
	Suspected:          503,
	Quarantined:        503,
	TooSlow:            408,
}

// Status returns the HTTP status code of a refusal for the reason.
func (rsn Reason) Status() int {
	if sta, found := statuses[rsn]; found {
		return sta
	}
	return 500
}

// Refusal is the final response to a request that no target answered.
type Refusal struct {
	Reason  Reason
	Verdict verdict.Verdict
	Detail  string
	// RetryAfter is the time after which a retry may succeed; 0 means that no retry is advised.
	RetryAfter time.Duration
}
