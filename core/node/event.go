// Package node joins the decisions of one VM into a single machine without
// input or output: a driver steps it with events and carries out its actions.
package node

import (
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/config"
	"marigoldlug.example/core/fence"
	"marigoldlug.example/core/health"
	"marigoldlug.example/core/member"
	"marigoldlug.example/core/request"
	"marigoldlug.example/core/verdict"
)

// Event is something that happened to the VM.
type Event interface{ event() }

// Arrived is a request from a caller.
type Arrived struct {
	Request request.Request
}

// AnswerBegan is the head of an answer from a target.
type AnswerBegan struct {
	Request request.ID
	Attempt int
	Status  int
	// Shed is set when the target states that it has not run the request.
	Shed bool
	// Leaving is set when the target states that it wants no new work.
	Leaving bool
	// Spent is set when the body of the request cannot be sent again.
	Spent bool
}

// AttemptEnded is the end of an attempt: its answer is complete, or it failed.
type AttemptEnded struct {
	Request request.ID
	Attempt int
	Outcome health.Outcome
	// Verdict says whether the target may have run the request.
	Verdict verdict.Verdict
	Detail  string
	// Spent is set when the body of the request cannot be sent again.
	Spent bool
}

// CallerLeft is the end of a request that its caller gave up.
type CallerLeft struct {
	Request request.ID
}

// HeadRead is the answer of the platform to ReadHead.
type HeadRead struct {
	// Asked is when the question was sent.
	Asked clock.Instant
	// Head is the zero head where the platform holds none yet.
	Head fence.Head
	// Failed is set when the platform gave no answer.
	Failed bool
}

// Loaded is the configuration and the views that a head names.
type Loaded struct {
	Head     fence.Head
	Snapshot *config.Snapshot
	View     member.View
	Prior    member.View
}

// LoadFailed says that what a head names could not be obtained.
type LoadFailed struct{}

// Message is a message from another VM: one of the messages of the packages
// fence, member, rate and health.
type Message any

// Received is a message from another VM.
type Received struct {
	From    string
	Message Message
}

// PeerGone says that a VM is known to have ended, because another run of the
// process answers at its address.
type PeerGone struct {
	ID string
}

// VMsListed is the platform's list of VMs by address.
type VMsListed struct {
	Addresses map[string]bool
}

// ViewCommitted ends a CommitView; the head follows by other events.
type ViewCommitted struct{}

// Ticked is the passing of time, expected every TickInterval.
type Ticked struct{}

// StopBegan is the start of a planned stop.
type StopBegan struct{}

func (Arrived) event()       {}
func (AnswerBegan) event()   {}
func (AttemptEnded) event()  {}
func (CallerLeft) event()    {}
func (HeadRead) event()      {}
func (Loaded) event()        {}
func (LoadFailed) event()    {}
func (Received) event()      {}
func (PeerGone) event()      {}
func (VMsListed) event()     {}
func (ViewCommitted) event() {}
func (Ticked) event()        {}
func (StopBegan) event()     {}

// Action is something that the driver is to do.
type Action interface{ action() }

// Dispatch sends a request to a target.
type Dispatch struct {
	Request request.ID
	// Attempt numbers the attempts of the request from 1.
	Attempt int
	Target  health.Target
	// Timeout bounds the time to the first byte of the answer.
	Timeout time.Duration
	// Idempotent is the property of the route.
	Idempotent bool
	// Connections bounds the connections of this VM to the target.
	Connections int
	// Route and Organisation label traces and metrics.
	Route        string
	Organisation string
}

// Relay passes the answer that has begun to the caller.
type Relay struct {
	Request request.ID
}

// Refuse answers the caller without a target.
type Refuse struct {
	Request request.ID
	Refusal request.Refusal
}

// ReadHead asks the platform for the head.
type ReadHead struct{}

// Load obtains the chunks that a head names.
type Load struct {
	Head fence.Head
	// From is a VM that holds them; empty means the platform.
	From string
}

// Send sends a message to another VM.
type Send struct {
	To      string
	Message Message
}

// AskPeers asks the VMs named in the settings for the head that they hold,
// because the platform is away and this VM holds none.
type AskPeers struct{}

// ListVMs reads the platform's list of VMs.
type ListVMs struct{}

// CommitView commits a change of the view.
type CommitView struct {
	Change member.Change
}

func (Dispatch) action()   {}
func (Relay) action()      {}
func (Refuse) action()     {}
func (ReadHead) action()   {}
func (Load) action()       {}
func (Send) action()       {}
func (AskPeers) action()   {}
func (ListVMs) action()    {}
func (CommitView) action() {}
