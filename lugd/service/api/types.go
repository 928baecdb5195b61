// Package api defines the JSON types of lugd's operator API and their conversions from the
// internal types, which can change without changing the API.
package api

// The paths of the operator API.
const (
	PathVMs     = "/v1/vms"
	PathTargets = "/v1/targets"
	// PathContents lists the contents of requests that have crashed targets.
	PathContents = "/v1/contents"
	// PathDomains lists the failure domains that have targets or are drained.
	PathDomains = "/v1/domains"
	// PathRollout is followed by the version of a configuration.
	PathRollout = "/v1/spread/"
)

// Rollout is how far a version of the configuration is rolled out to the listed VMs.
type Rollout struct {
	Version uint64 `json:"version"`
	// InForce is set once every listed VM has reported that it holds the version or a newer one.
	InForce bool `json:"inForce"`
	// VMs is the number of listed VMs, and Holding how many of them hold the version.
	VMs     int `json:"members"`
	Holding int `json:"holding"`
	// Lagging lists the IDs of the other VMs, which do not hold it or have not answered.
	Lagging []string `json:"lagging,omitempty"`
}

// VM is the state of one VM, as the VM itself reports it.
type VM struct {
	ID            string `json:"id"`
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain"`
	// Version is the version of the configuration in force at the VM.
	Version uint64 `json:"version"`
	// VMs is the number of VMs on the list as the VM knows it.
	VMs   int  `json:"members"`
	Ready bool `json:"ready"`
	// Reading is set if the VM reads the store of the platform itself. Otherwise Follows
	// is the ID of the VM from which it receives updates.
	Reading bool   `json:"reading"`
	Follows string `json:"follows,omitempty"`
	// ConfigAgeSeconds is how long ago the configuration was last confirmed to be the
	// newest.
	ConfigAgeSeconds float64 `json:"proofAgeSeconds"`
	// Requests is the number of in-flight requests.
	Requests int `json:"requests"`
	// Suspected lists the IDs of the targets that the VM, as their placer, takes to be sick.
	Suspected []string `json:"suspected,omitempty"`
	// StoreEra is how often the platform's store was restored, as it tells and as far as the VM knows; nil if it
	// tells nothing.
	StoreEra *uint64 `json:"storeEra,omitempty"`
}

// Target is a registered target as one VM sees it.
type Target struct {
	ID            string `json:"id"`
	Service       string `json:"service"`
	Address       string `json:"address"`
	FailureDomain string `json:"failureDomain"`
	// Leaving is set once the target accepts no new requests.
	Leaving bool `json:"leaving"`
	// Doubted is set while the registration is not believed, since it goes back behind an earlier one.
	Doubted bool `json:"doubted,omitempty"`
	// LimitPerSecond is the most requests that the target announces to take from the whole fleet; nil if
	// the VM knows of no limit.
	LimitPerSecond *float64 `json:"limitPerSecond,omitempty"`
	// PausedSeconds is for how long the target wants no request from the VM.
	PausedSeconds float64 `json:"pausedSeconds,omitempty"`
	// Placer is the ID of the VM that places requests on the target.
	Placer string `json:"placer,omitempty"`
	// Sick is the probability that the target is failing, as estimated by the VM that
	// answers.
	Sick float64 `json:"sick"`
	// Requests is the number of requests that run at the target or wait there: those of the fleet if the VM that
	// answers is the placer, else those of that VM. Slots is for how many the target has room.
	Requests int `json:"requests"`
	Slots    int `json:"slots"`
}

// Content is the content of requests under which targets have ended, as one VM knows it.
type Content struct {
	// Content is the fingerprint, by which logs name it, too.
	Content string `json:"content"`
	// State is "suspected" or "quarantined", and Ends the number of ended runs that count.
	State string `json:"state"`
	Ends  int    `json:"ends"`
	// Targets lists the targets whose runs ended, the last one last.
	Targets []string `json:"targets"`
	// LastEndSeconds is the time since the last of them was observed, as far as the VM knows.
	LastEndSeconds float64 `json:"lastEndSeconds"`
	// Trials is the number of trials since the content was quarantined.
	Trials int `json:"trials"`
}

// Domain is a failure domain as one VM sees it.
type Domain struct {
	Name string `json:"name"`
	// Drained is set while nothing more is sent to the targets there.
	Drained bool `json:"drained"`
	// Retained is set if the store does not show the drain after a restore, so that it ends unless it is written again.
	Retained bool `json:"retained,omitempty"`
	// DrainedSeconds is how long ago the VM learned of the drain.
	DrainedSeconds float64 `json:"drainedSeconds,omitempty"`
	// Targets is the number of registered targets, and Requests the number of requests of the VM that still run there.
	Targets  int `json:"targets"`
	Requests int `json:"requests"`
}

// CodeMalformed is the only value of Error.Code.
const CodeMalformed = "malformed"

// Error is the JSON body of the response to a malformed request. The responses 403, 404 and
// 405 carry no Error.
type Error struct {
	Code    string `json:"code"`
	Message string `json:"message"`
}

// Error returns the message.
func (err *Error) Error() string { return err.Message }
