// Package config holds the immutable configuration that a release puts in
// force, and finds in it the route and the organisation of a request.
package config

import (
	"crypto/sha256"
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

// Organisation is a tenant whose callers share one rate and burst.
type Organisation struct {
	Name  string
	Limit rate.Limit
	// Weight is at least 1 and sets the share of contended slots.
	Weight int
	// Priority takes precedence over that of the route; nil where none is set.
	Priority *Priority
	// Created and Changed are the versions of the head at which the
	// organisation was created and its limit last set.
	Created uint64
	Changed uint64
}

// WithVersions returns a copy of the organisation that was created and had its
// limit set at the given versions.
func (org Organisation) WithVersions(created, changed uint64) Organisation {
	org.Created, org.Changed = created, changed
	return org
}

// Allowance returns the limit of the organisation and its age.
func (org Organisation) Allowance() rate.Allowance {
	return rate.Allowance{Limit: org.Limit, Created: org.Created, Changed: org.Changed}
}

// Key admits its bearer as one organisation.
type Key struct {
	ID           string
	Organisation string
	Digest       Digest
}

// Priority ranks requests that compete for a service; 0 is the highest.
type Priority int

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
	// Methods is sorted; empty matches every method.
	Methods []string
	Access  Access
	// Organisations is sorted; empty admits every organisation.
	Organisations []string
	// Service is empty where Split is set.
	Service string
	// Split divides the requests among services; empty where all go to Service.
	Split []Share
	// Idempotent allows a request to be sent to a target more than once.
	Idempotent bool
	// Timeout bounds the time from arrival to the first byte of the answer.
	Timeout time.Duration
	// TargetLatency is the time within which an answer is of full use; 0 where
	// none is stated.
	TargetLatency time.Duration
	Priority      Priority
	// MaxAttempts is at least 1.
	MaxAttempts int
}

// Target is one worker of a service.
type Target struct {
	Name string
	// Address is an IP address and port.
	Address       string
	FailureDomain string
	// Slots is the number of requests that the target runs at a time.
	Slots int
	// Connections bounds the connections from the whole fleet.
	Connections int
}

// Service is a set of interchangeable targets.
type Service struct {
	Name string
	// HealthyFloor is the share of targets, above 0 and at most 1, that
	// ejection must leave in use.
	HealthyFloor float64
	// Targets is sorted by name; empty where targets register themselves.
	Targets []Target
	// HealthPath is the path at which targets report their health.
	HealthPath string
	// Connections bounds the connections from the whole fleet to one target;
	// 0 where the targets state it.
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

// Floor returns the least number of targets that must stay in use.
func (svc Service) Floor() int {
	cnt := int(svc.HealthyFloor * float64(len(svc.Targets)))
	if float64(cnt) < svc.HealthyFloor*float64(len(svc.Targets)) {
		cnt++
	}
	return min(max(cnt, 1), len(svc.Targets))
}

// WithLimitVersions returns the content with the versions of each organisation
// set: those of before where the limit is the same, and version where it was
// set or the organisation is new. It reports whether any limit was set.
func (con Content) WithLimitVersions(before Content, version uint64) (Content, bool) {
	old := make(map[string]Organisation, len(before.Organisations))
	for _, org := range before.Organisations {
		old[org.Name] = org
	}
	set := false
	orgs := make([]Organisation, 0, len(con.Organisations))
	for _, org := range con.Organisations {
		was, found := old[org.Name]
		switch {
		case !found:
			org = org.WithVersions(version, version)
		case was.Limit != org.Limit:
			org = org.WithVersions(was.Created, version)
		default:
			org = org.WithVersions(was.Created, was.Changed)
		}
		set = set || org.Changed == version
		orgs = append(orgs, org)
	}
	con.Organisations = orgs
	return con, set
}

// Content lists every object of a configuration, each sorted by name.
type Content struct {
	Organisations []Organisation
	Keys          []Key
	Routes        []Route
	Services      []Service
	Bounds        Bounds
}
