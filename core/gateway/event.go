// Package gateway joins the decisions of one VM into a single machine without
// input or output: a driver steps it with events and carries out its actions.
package gateway

import (
	"time"

	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/config"
	"marigoldlug.example/core/fleet"
	"marigoldlug.example/core/health"
	"marigoldlug.example/core/registry"
	"marigoldlug.example/core/request"
	"marigoldlug.example/core/table"
	"marigoldlug.example/core/verdict"
)

// Event is something that happened to the VM.
type Event interface{ event() }

// Arrived is a request from a caller.
type Arrived struct {
	Request request.Request
}

// Response is what is known of a target's answer.
type Response struct {
	Status int
	// Shed is set when the target states that it has not run the request.
	Shed bool
	// Misdirected is set when another target answered at the address.
	Misdirected bool
}

// Answered is the whole answer of a target, or so much of it that the rest is
// passed on as it comes.
type Answered struct {
	Request  request.ID
	Attempt  int
	Response Response
}

// AttemptFailed is the end of an attempt that was not answered.
type AttemptFailed struct {
	Request request.ID
	Attempt int
	Outcome health.Outcome
	// Verdict says whether the target may have run the request.
	Verdict verdict.Verdict
	Detail  string
}

// RelayEnded is the end of an answer that was passed on.
type RelayEnded struct {
	Request request.ID
	Outcome health.Outcome
}

// CallerLeft is the end of a request that its caller gave up.
type CallerLeft struct {
	Request request.ID
}

// ConfigRead is the newest configuration at the platform.
type ConfigRead struct {
	// RequestedAt is when the question was sent.
	RequestedAt clock.Instant
	// Update is nil where the configuration has not changed.
	Update *Config
}

// TargetsRead is what has changed among the registered targets.
type TargetsRead struct {
	RequestedAt clock.Instant
	Update      table.Delta[registry.Entry]
}

// FleetRead is what has changed in the list of VMs.
type FleetRead struct {
	RequestedAt clock.Instant
	Update      table.Delta[fleet.Row]
}

// Received is a message from another VM: one of this package, or of the
// packages quota and health.
type Received struct {
	From    string
	Message any
}

// PeerGone says that a VM is known to have ended, because another run of the
// process answers at its address.
type PeerGone struct {
	ID string
}

// Ticked is the passing of time, expected every TickInterval.
type Ticked struct{}

// StopBegan is the start of a planned stop.
type StopBegan struct{}

// StopDeadline is the last moment of a planned stop at which callers can be
// answered.
type StopDeadline struct{}

func (Arrived) event()       {}
func (Answered) event()      {}
func (AttemptFailed) event() {}
func (RelayEnded) event()    {}
func (CallerLeft) event()    {}
func (ConfigRead) event()    {}
func (TargetsRead) event()   {}
func (FleetRead) event()     {}
func (Received) event()      {}
func (PeerGone) event()      {}
func (Ticked) event()        {}
func (StopBegan) event()     {}
func (StopDeadline) event()  {}

// Action is something that the driver is to do.
type Action interface{ action() }

// Dispatch sends a request to a target. Earlier attempts go on unless they are
// dropped.
type Dispatch struct {
	Request request.ID
	// Attempt numbers the attempts of the request from 1.
	Attempt int
	Target  health.Target
	Service string
	// Timeout bounds the time to the end of the answer.
	Timeout time.Duration
	// Idempotent is the property of the route.
	Idempotent bool
	// Connections bounds the connections of this VM to the target.
	Connections int
	// Route and Organisation label traces and metrics.
	Route        string
	Organisation string
}

// CancelAttempt ends an attempt of a request that goes on, and frees its answer.
type CancelAttempt struct {
	Request request.ID
	Attempt int
}

// Relay passes the answer of an attempt to the caller.
type Relay struct {
	Request request.ID
	Attempt int
}

// Refuse answers the caller without a target.
type Refuse struct {
	Request request.ID
	Refusal request.Refusal
}

// SetReading switches the reading of the platform on or off.
type SetReading struct {
	On bool
	// Sparing is set where the VM reads for itself only, because it reaches no
	// VM to follow. Many may do so at a time.
	Sparing bool
}

// Send sends a message to another VM.
type Send struct {
	To      string
	Message any
}

// Write stores an object of the fleet, which must have the given revision, 0
// for a new one.
type Write struct {
	Name     string
	Row      fleet.Row
	Revision uint64
}

// Delete removes an object of the fleet that must have the given revision.
type Delete struct {
	Name     string
	Revision uint64
}

// LogEntry is a decision that operators may want to read in the logs.
type LogEntry struct {
	Request request.ID
	Event   string
	Fields  []any
}

func (Dispatch) action()      {}
func (CancelAttempt) action() {}
func (Relay) action()         {}
func (Refuse) action()        {}
func (SetReading) action()    {}
func (Send) action()          {}
func (Write) action()         {}
func (Delete) action()        {}
func (LogEntry) action()      {}

// Config is a configuration at a version. It is immutable.
type Config struct {
	Version  uint64
	Content  config.Content
	Snapshot *config.Snapshot
}

// NewConfig indexes the content of a configuration.
func NewConfig(version uint64, con config.Content) *Config {
	return &Config{Version: version, Content: con, Snapshot: config.New(con)}
}

// Patch takes the configuration of version Base to that of Version.
type Patch struct {
	Base, Version uint64
	Change        config.Patch
}

// Ages are how old the knowledge of a VM is.
type Ages struct {
	Config, Targets, Fleet time.Duration
	// Contact is how long ago the platform last answered the VM; it is long
	// where the VM does not read the platform.
	Contact time.Duration
}

// Update tells a follower what has changed. It answers the ask of a number, or
// none where the number is 0.
type Update struct {
	Number uint64
	// Ages tell since when Version, and the revisions of Targets and Fleet, were
	// not known to be the newest.
	Ages Ages
	// Version is that of the configuration that the sender holds.
	Version uint64
	// Config is the configuration, or Patch what changed; both are nil where the
	// follower is thought to hold it.
	Config  *Config
	Patch   *Patch
	Targets table.Delta[registry.Entry]
	Fleet   table.Delta[fleet.Row]
}

// Ping asks whether a VM is alive; Pong says so.
type Ping struct{}

// Pong answers a Ping.
type Pong struct{}
