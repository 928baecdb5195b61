// Package quarantine keeps requests that crash their targets from being sent on. It counts by the content
// of a request, whoever sends it and wherever it runs, how many runs of targets have ended under it. From the
// first one on the whole fleet sends the content to one target at a time; after provenEnds it is sent to
// none any more.
package quarantine

import (
	"slices"
	"time"

	"marigoldlug.example/core/health"
	"marigoldlug.example/core/request"
)

// provenEnds is the count of ended runs from which on a content is quarantined. Fewer may end by chance, or
// under another request that ran beside.
const provenEnds = 3

// End is the end of a run of a target under a content.
type End struct {
	Run health.Run
	// Separate is set if the end counts by itself: the attempt was the only one with the content in the whole
	// fleet, at a target that ran no other suspect, or the VM had known for sameMoment that the content is
	// suspected.
	Separate bool
	// Age is the time since the end was observed; 0 if it is not known.
	Age time.Duration
}

// State says whether a content may be sent to targets.
type State uint8

const (
	// Clear contents are sent like any other.
	Clear State = iota
	// Suspected contents are sent to one target at a time in the whole fleet; see Keeper.
	Suspected
	// Quarantined contents are not sent.
	Quarantined
)

// String returns the name of the state used in logs.
func (sta State) String() string {
	names := [...]string{"clear", "suspected", "quarantined"}
	if int(sta) < len(names) {
		return names[sta]
	}
	return "unknown"
}

// Report is what is known of a content. Two reports of the same content are combined, in any order and any
// number of times: the one of the later epoch holds, and of the same epoch all ends.
type Report struct {
	Content request.Fingerprint
	// Epoch counts how often the content was cleared: it was answered, or an operator has lifted its
	// quarantine.
	Epoch uint64
	// Ends holds the runs that have ended under the content since then.
	Ends []End
	// Trials is the number of trials that were allowed since then while the content was quarantined.
	Trials int
}

// WithAge returns the report with the given age of all its ends.
func (rep Report) WithAge(age time.Duration) Report {
	rep.Ends = slices.Clone(rep.Ends)
	for num := range rep.Ends {
		rep.Ends[num].Age = age
	}
	return rep
}

// Message is a message between a VM and the keeper.
type Message interface{ quarantineMessage() }

// Ask asks the keeper whether a suspected content may be sent to a target.
type Ask struct {
	// Number identifies the attempt that the sender wants to make. It is the same if the sender asks again.
	Number uint64
	// TimeLeft is the time until the deadline of the request.
	TimeLeft time.Duration
	Known    Report
}

// Ruling is the reply to an Ask with the same number.
type Ruling struct {
	Number uint64
	// Allowed is set if one attempt may be made.
	Allowed bool
	Known   Report
}

// Ended tells the keeper that the attempt which it allowed has ended or was not made, and what is known of
// the content now.
type Ended struct {
	Number uint64
	Known  Report
}

// News tells the keeper, or by the keeper all other VMs, what has changed.
type News struct {
	Reports []Report
	// Wanted is set if the sender wants to be told what the receiver knows.
	Wanted bool
}

func (Ask) quarantineMessage()    {}
func (Ruling) quarantineMessage() {}
func (Ended) quarantineMessage()  {}
func (News) quarantineMessage()   {}
