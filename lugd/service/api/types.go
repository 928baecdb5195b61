// Package api defines the wire types of the operator API of lugd, apart from
// the types that the program uses itself.
package api

// The paths of the operator API.
const (
	PathVMs     = "/v1/vms"
	PathTargets = "/v1/targets"
	// PathRollout is followed by a version.
	PathRollout = "/v1/spread/"
)

// Rollout says how far a version of the configuration has come.
type Rollout struct {
	Version uint64 `json:"version"`
	// InForce is set once every listed VM has said that it holds the version.
	InForce bool     `json:"inForce"`
	Members int      `json:"members"`
	Holding int      `json:"holding"`
	Lagging []string `json:"lagging,omitempty"`
}

// VM is the state of one VM.
type VM struct {
	ID            string `json:"id"`
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain"`
	Version       uint64 `json:"version"`
	Members       int    `json:"members"`
	Ready         bool   `json:"ready"`
	// Reading is set where the VM reads the platform, Follows the VM from which
	// it learns otherwise.
	Reading          bool     `json:"reading"`
	Follows          string   `json:"follows,omitempty"`
	ConfigAgeSeconds float64  `json:"proofAgeSeconds"`
	Requests         int      `json:"requests"`
	Suspected        []string `json:"suspected,omitempty"`
}

// Target is a registered target as one VM sees it.
type Target struct {
	ID            string `json:"id"`
	Service       string `json:"service"`
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain"`
	Leaving       bool   `json:"leaving"`
	// Placer is the VM that places the requests to the target, and Sick the
	// probability that it is sick by what the VM asked knows.
	Placer string  `json:"placer,omitempty"`
	Sick   float64 `json:"sick"`
}

// The codes of errors.
const (
	CodeMalformed = "malformed"
	CodeForbidden = "forbidden"
)

// Error is the body of every answer that is not a success.
type Error struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// Error returns the message.
func (err *Error) Error() string { return err.Message }
