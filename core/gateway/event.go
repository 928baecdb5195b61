// Package gateway combines the decisions of one VM into a state machine that does no input or
// output: a driver feeds it events and carries out the actions that it returns.
package gateway

import (
	"time"

	"marigoldlug.example/core/announcement"
	"marigoldlug.example/core/clock"
	"marigoldlug.example/core/config"
	"marigoldlug.example/core/fleet"
	"marigoldlug.example/core/health"
	"marigoldlug.example/core/member"
	"marigoldlug.example/core/registry"
	"marigoldlug.example/core/request"
	"marigoldlug.example/core/revision"
	"marigoldlug.example/core/table"
	"marigoldlug.example/core/verdict"
)

// Event is something that happened to the VM.
type Event interface{ event() }

// Arrived delivers a request from a caller.
type Arrived struct {
	Request request.Request
}

// Response describes a target's HTTP response.
type Response struct {
	Status int
	// Shed is set if the target states that it has not run the request.
	Shed bool
	// Misdirected is set if another target responded at the address.
	Misdirected bool
	// Announcement is what the target that responded announces.
	Announcement announcement.Announcement
}

// Answered reports a target's response: the whole of it, or its beginning if the rest is streamed
// to the caller.
type Answered struct {
	Request  request.ID
	Attempt  int
	Response Response
}

// AttemptFailed reports that an attempt ended without a response.
type AttemptFailed struct {
	Request request.ID
	Attempt int
	Outcome health.Outcome
	// Verdict says whether the target may have run the request.
	Verdict verdict.Verdict
	Detail  string
	// Announcement is what the head of a response announced whose body was then lost; nil if no head
	// was read.
	Announcement *announcement.Announcement
	// PortClosed is set if the target closed the connection and then refused a new one: its process is
	// gone.
	PortClosed bool
}

// RelayEnded reports the end of a response that was passed on to the caller.
type RelayEnded struct {
	Request request.ID
	Outcome health.Outcome
	// PortClosed is as in AttemptFailed.
	PortClosed bool
}

// CallerLeft reports that the caller gave up its request.
type CallerLeft struct {
	Request request.ID
}

// ConfigRead delivers the newest configuration, as read from the platform.
type ConfigRead struct {
	// RequestedAt is when the read was sent to the platform; it has never come if the result may be stale.
	RequestedAt clock.Moment
	// Update is nil if the configuration has not changed.
	Update *Config
	// Revision is the store's revision up to which the configuration was read; see revision.Join.
	Revision uint64
	// Absent is set if the store holds no configuration.
	Absent bool
}

// TargetsRead delivers the changes to the registered targets.
type TargetsRead struct {
	// RequestedAt is as in ConfigRead.
	RequestedAt clock.Moment
	Update      table.Delta[registry.Entry]
}

// FleetRead delivers the changes to the list of VMs.
type FleetRead struct {
	// RequestedAt is as in ConfigRead.
	RequestedAt clock.Moment
	Update      table.Delta[fleet.Row]
}

// Received delivers a message from another VM: one of this package, or of feed, quota or placement.
type Received struct {
	From    string
	Message any
}

// PeerExited reports that a run of a VM has exited: another run answers at its address.
type PeerExited struct {
	ID string
	// Successor is the run that answers; its ID is empty if it is not known.
	Successor member.VM
}

// Ticked reports that time has passed. It is expected every TickInterval.
type Ticked struct {
	// Wall is the time of day.
	Wall time.Time
}

// StopBegan starts a graceful stop.
type StopBegan struct {
	// TimeLeft is the time until StopDeadline; 0 if that is not known.
	TimeLeft time.Duration
}

// StopDeadline is the last moment of a graceful stop at which callers can still be answered.
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
func (PeerExited) event()    {}
func (Ticked) event()        {}
func (StopBegan) event()     {}
func (StopDeadline) event()  {}

// Action is something that the driver must do.
type Action interface{ action() }

// Dispatch sends a request to a target. Earlier attempts continue unless they are cancelled.
type Dispatch struct {
	Request request.ID
	// Attempt numbers the attempts of the request from 1.
	Attempt int
	Target  health.Target
	Service string
	// Timeout limits the time until the end of the response.
	Timeout time.Duration
	// Idempotent is set if the route's requests are idempotent.
	Idempotent bool
	// Connections limits the connections of this VM to the target.
	Connections int
	// Forwarding says how another VM sends the request to the target; nil if this one does.
	Forwarding *Forwarding
	// Route and Organisation label traces and metrics.
	Route        string
	Organisation string
}

// CancelAttempt ends an attempt of a request that continues, and closes its response.
type CancelAttempt struct {
	Request request.ID
	Attempt int
}

// Relay passes the response to an attempt on to the caller.
type Relay struct {
	Request request.ID
	Attempt int
}

// Refuse answers the caller without a target's response.
type Refuse struct {
	Request request.ID
	Refusal request.Refusal
}

// SetReading starts or stops the reading of the platform.
type SetReading struct {
	On bool
	// Sparing is set unless the VM ranks first in its failure domain (see Machine.follow). The first
	// VM reads for the others. Any other VM reads while it has no VM to follow, and reads less often,
	// as many may do so at the same time.
	Sparing bool
	// Drains is set if the drained failure domains are read, too.
	Drains bool
	// FleetOnly is set while the VM has just started and looks for one to follow: it reads the list of
	// VMs alone.
	FleetOnly bool
}

// Send sends a message to another VM.
type Send struct {
	To      string
	Message any
}

// Write stores an object of the fleet, on condition that the stored one has the given revision, 0
// for a new object.
type Write struct {
	Name     string
	Row      fleet.Row
	Revision uint64
}

// Delete removes an object of the fleet, on condition that it has the given revision.
type Delete struct {
	Name     string
	Revision uint64
}

// LogEntry is a decision that is written to the logs for operators.
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

// Config is one version of the configuration. It is immutable.
type Config struct {
	Version  uint64
	Content  config.Content
	Snapshot *config.Snapshot
}

// NewConfig returns a configuration with an index of its content.
func NewConfig(version uint64, con config.Content) *Config {
	return &Config{Version: version, Content: con, Snapshot: config.New(con)}
}

// Patch turns the configuration of version Base into that of Version.
type Patch struct {
	Base, Version uint64
	Change        config.Patch
}

// neverAge stands for the age of what has never been confirmed.
const neverAge = time.Hour

// Ages tell how long ago a VM's copy of each kind of object was last known to be up to date.
type Ages struct {
	Config, Targets, Fleet time.Duration
	// Contact is the time since the platform last answered a read of the configuration by the VM;
	// other reads do not count. It is long if the VM does not read the platform. An age of neverAge or more stands for no
	// confirmation or contact at all.
	Contact time.Duration
}

// Update tells a follower what has changed. Number is that of the query that it answers, 0 if it
// answers none.
type Update struct {
	Number uint64
	// Ages tell how long ago Version, and the revisions of Targets and Fleet, were last known to be
	// up to date.
	Ages Ages
	// Era is the store's latest era that the sender knows; 0 if it knows none. The revisions of Targets and Fleet
	// have an era of their own.
	Era revision.Era
	// Version is the version of the sender's configuration.
	Version uint64
	// Config is the whole configuration, or Patch what has changed in it; both are nil if the
	// follower is believed to hold it already.
	Config  *Config
	Patch   *Patch
	Targets table.Delta[registry.Entry]
	Fleet   table.Delta[fleet.Row]
}

// Ping asks whether a VM is alive.
type Ping struct{}

// Pong answers a Ping.
type Pong struct{}
