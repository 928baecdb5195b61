// Package config holds the immutable configuration that operators put in force,
// and finds in it the route and the organisation of a request.
package config

import (
	"crypto/sha256"
	"encoding/hex"
	"time"

	"marigoldlug.example/core/rate"
)

// Digest identifies a key without revealing it.
type Digest [sha256.Size]byte

// DigestOf returns the digest of a caller's key.
func DigestOf(key string) Digest { return sha256.Sum256([]byte(key)) }

// Access says who may use a route.
type Access string

// The kinds of access to a route.
const (
	AccessOpen  Access = "open"
	AccessKeyed Access = "keyed"
)

// Priority ranks requests that compete for a service; 0 is the highest.
type Priority int

// Organisation is a tenant whose callers share one rate and burst.
type Organisation struct {
	Name string
	// Limit is zero where there is none.
	Limit rate.Limit
	// Priority takes precedence over that of the route; nil where none is set.
	Priority *Priority
}

// Key admits its bearer as one organisation.
type Key struct {
	Organisation string
	Digest       Digest
	// Secret is the key itself; only the tools of operators hold it.
	Secret string
}

// ID names the key without revealing it.
func (key Key) ID() string { return key.Organisation + "." + hex.EncodeToString(key.Digest[:idBytes]) }

// idBytes is the number of bytes of the digest in the ID of a key.
const idBytes = 6

// WithoutSecret returns the key as VMs hold it.
func (key Key) WithoutSecret() Key {
	key.Secret = ""
	return key
}

// Share is the part of a route's requests that goes to one service.
type Share struct {
	Service string
	// Weight is above 0 and counts relative to the other shares of the route.
	Weight float64
}

// Route maps requests to a service.
type Route struct {
	Name string
	// Host is lower case and without port; empty matches every host.
	Host string
	// PathPrefix starts with a slash and matches whole segments. One that ends
	// with a slash matches only paths that go on behind it.
	PathPrefix string
	Access     Access
	// Service is empty where Split is set.
	Service string
	// Split divides the requests among services; empty where all go to Service.
	Split []Share
	// Idempotent allows a request to be sent to a target more than once.
	Idempotent bool
	// Timeout bounds the time from arrival to the answer.
	Timeout time.Duration
	// LatencyGoal is the time within which an answer is of full use; 0 where
	// none is stated.
	LatencyGoal time.Duration
	Priority    Priority
	// MaxAttempts is at least 1.
	MaxAttempts int
}

// Service is a set of interchangeable targets, which register themselves.
type Service struct {
	Name string
	// HealthPath is the path at which targets report their health.
	HealthPath string
	// Connections bounds the connections from the whole fleet to one target; 0
	// is no bound.
	Connections int
}

// Bounds limit what a caller may send and how long it may take.
type Bounds struct {
	// HeaderBytes and BodyBytes are 0 where the VM's own settings hold.
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Content lists every object of a configuration, each sorted by name.
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
