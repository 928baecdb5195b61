// Package api defines the wire types of the operator API of lugd, apart from
// the types that the program uses itself.
package api

import "time"

// The paths of the operator API.
const (
	PathReleases = "/v1/releases"
	PathCheck    = "/v1/releases/check"
	PathStatus   = "/v1/status"
	PathVMs      = "/v1/vms"
	PathTargets  = "/v1/targets"
)

// OperatorHeader names the operator who makes a change.
const OperatorHeader = "Marigoldlug-Operator"

// Release is a release that is written.
type Release struct {
	ID       string    `json:"id"`
	Version  uint64    `json:"version"`
	Operator string    `json:"operator,omitempty"`
	Time     time.Time `json:"time,omitzero"`
	// Repeated is set when the same note had been applied before.
	Repeated bool `json:"repeated,omitempty"`
}

// History lists the latest releases, the newest last.
type History struct {
	Version  uint64    `json:"version"`
	Releases []Release `json:"releases"`
}

// Difference is one field that a note changes.
type Difference struct {
	Object string `json:"object"`
	Field  string `json:"field"`
	Before string `json:"before"`
	After  string `json:"after"`
}

// CheckResult is what a note would change.
type CheckResult struct {
	Differences []Difference `json:"differences"`
}

// Document is a text, such as a note.
type Document struct {
	Text string `json:"text"`
}

// Spread says how far a version of the head has come.
type Spread struct {
	Version uint64 `json:"version"`
	// Accepted is set once no VM can act for long without the version.
	Accepted bool `json:"accepted"`
	// InForce is set once every member VM has said that it holds the version.
	InForce bool     `json:"inForce"`
	Members int      `json:"members"`
	Holding int      `json:"holding"`
	Lagging []string `json:"lagging,omitempty"`
}

// VM is the state of one VM.
type VM struct {
	ID              string   `json:"id"`
	Address         string   `json:"address"`
	FailureDomain   string   `json:"failureDomain"`
	Version         uint64   `json:"version"`
	Release         string   `json:"release,omitempty"`
	Epoch           uint64   `json:"epoch"`
	Members         int      `json:"members"`
	Ready           bool     `json:"ready"`
	LeaseActive     bool     `json:"leaseActive"`
	ProofAgeSeconds float64  `json:"proofAgeSeconds"`
	Requests        int      `json:"requests"`
	Ejected         []string `json:"ejected,omitempty"`
}

// Target is the state of one target as one VM sees it.
type Target struct {
	ID            string `json:"id"`
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain"`
	Ejected       bool   `json:"ejected"`
}

// Fault is one error in a note.
type Fault struct {
	Line    int    `json:"line"`
	Field   string `json:"field"`
	Message string `json:"message"`
}

// Conflict is a field that the note sets and a later release has changed.
type Conflict struct {
	Object string `json:"object"`
	Field  string `json:"field"`
	Base   string `json:"base"`
	Now    string `json:"now"`
}

// The codes of errors.
const (
	CodeFaults      = "faults"
	CodeConflict    = "conflict"
	CodeBase        = "base"
	CodeReused      = "reused"
	CodeUnavailable = "unavailable"
	CodeMalformed   = "malformed"
)

// Error is the body of every answer that is not a success.
type Error struct {
	Code      string     `json:"code"`
	Message   string     `json:"message"`
	Faults    []Fault    `json:"faults,omitempty"`
	Conflicts []Conflict `json:"conflicts,omitempty"`
}

// Error returns the message.
func (err *Error) Error() string { return err.Message }
