package health

import "time"

// Message is what the pools of VMs send to one another.
type Message interface{ healthMessage() }

// Counts is what one VM saw of one target since its last digest.
type Counts struct {
	Target string
	OK     int
	// Bad counts failures, attempts without connection and overdue attempts.
	Bad int
	// Slow counts the answers among OK that took far longer than is usual for
	// the service.
	Slow int
}

// Digest reports what one VM saw of a service to the owner of the service.
type Digest struct {
	Service  string
	Sequence uint64
	// Median is the VM's estimate of the median latency; 0 where unknown.
	Median time.Duration
	Counts []Counts
	// Ejected repeats the ejections that the VM applies, so that a new owner
	// learns of them.
	Ejected []Ejection
}

// Ejection takes a target out of use for a time.
type Ejection struct {
	Target string
	Left   time.Duration
	// Times counts the ejections in a row.
	Times int
}

// Weighted is a target that is back in use in part.
type Weighted struct {
	Target string
	// Percent is the share of its usual traffic, above 0 and below 100.
	Percent int
}

// Verdict is the owner's answer to a Digest.
type Verdict struct {
	Service  string
	Median   time.Duration
	Ejected  []Ejection
	Weighted []Weighted
	// Working is set while any VM has answers from the service.
	Working bool
}

func (Digest) healthMessage()  {}
func (Verdict) healthMessage() {}

// Send sends a message to the VM with an ID.
type Send struct {
	To      string
	Message Message
}
