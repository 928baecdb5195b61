// Package config holds the immutable configuration that operators have released, and looks up
// the route and the organisation of a request in it.
package config

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"marigoldlug.example/core/rate"
)

// Digest is the SHA-256 hash of an API key. It identifies the key without revealing it.
type Digest [sha256.Size]byte

// DigestOf returns the digest of an API key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// Access says whether the callers of a route need an API key.
type Access string

// The values of Access: an open route needs no API key, a keyed one does.
const (
	AccessOpen  Access = "open"
	AccessKeyed Access = "keyed"
)

// Priority ranks requests that compete for a service; 0 is the highest.
type Priority int

// Organisation is a group of callers that share one rate and one burst.
type Organisation struct {
	Name string
	// Limit is the zero value if the organisation has no limit.
	Limit rate.Limit
	// Priority takes precedence over the priority of the route; nil if it is not set.
	Priority *Priority
}

// Key is an API key. Its bearer is admitted as a caller of one organisation.
type Key struct {
	Organisation string
	Digest       Digest
	// Secret is the key itself. VMs do not hold it; only the tools of operators do.
	Secret string
}

// ID returns a name of the key that does not reveal it.
func (key Key) ID() string { return key.Organisation + "." + hex.EncodeToString(key.Digest[:idBytes]) }

// idBytes is the number of bytes of the digest in the ID of a key.
const idBytes = 6

// WithoutSecret returns the key without its secret, which is how VMs hold it.
func (key Key) WithoutSecret() Key {
	key.Secret = ""
	return key
}

// Share is the part of a route's requests that goes to one service.
type Share struct {
	Service string
	// Weight is above 0 and relative to the weights of the route's other shares.
	Weight float64
}

// Route maps requests to a service, or divides them among several.
type Route struct {
	Name string
	// Host is in lower case and without a port; empty matches every host.
	Host string
	// PathPrefix starts with a slash and matches whole path segments. A prefix that ends with a
	// slash does not match the path without that slash.
	PathPrefix string
	Access     Access
	// Service is empty where Split is set.
	Service string
	// Split divides the requests among services; empty if all go to Service.
	Split []Share
	// Idempotent allows a request to be sent to a target again after one may have run it.
	Idempotent bool
	// Timeout is the maximum time from the arrival of a request to its response.
	Timeout time.Duration
	// LatencyGoal is the time within which a response has its full value for the caller; 0 if
	// none is set.
	LatencyGoal time.Duration
	Priority    Priority
	// MaxAttempts is the maximum number of attempts at one request that may have run it, at
	// least 1. An attempt that is known not to have run does not count. core/gateway also limits
	// attempts of both kinds together, to 6 (maxDispatches), so greater values act like 6.
	MaxAttempts int
	// LargeResponses is set if responses are large, some hundred times as large as those of other routes.
	LargeResponses bool
}

// Service is a set of interchangeable targets, which register themselves.
type Service struct {
	Name string
	// HealthPath is the path at which targets report their health.
	HealthPath string
	// Connections is the maximum number of connections from the whole fleet to one target; 0
	// means that none is stated. Each VM may open an equal share of it, but always one: without
	// a stated maximum a VM thus has a single connection to each target, and a maximum below
	// the number of VMs may be exceeded.
	Connections int
}

// Bounds limit the size of requests and how long a caller may take. Where a field is 0, the
// VM's own setting applies.
type Bounds struct {
	// HeaderBytes and BodyBytes are the maximum sizes of the header and the body of a request.
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout is the maximum time for the header of a request to arrive, and IdleTimeout
	// the maximum time for which an idle connection is kept.
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Content lists every object of a configuration. Organisations, routes and services are sorted
// by name; the order of keys depends on where the content comes from.
type Content struct {
	Organisations []Organisation
	Keys          []Key
	Routes        []Route
	Services      []Service
	Bounds        Bounds
}

// Len returns the number of objects.
func (con Content) Len() int {
	return len(con.Organisations) + len(con.Keys) + len(con.Routes) + len(con.Services)
}
