// Package settings holds what an operator may set for lugd, in flags and
// environment variables, and checks it as a whole.
package settings

import (
	"errors"
	"fmt"
	"net/netip"
	"net/url"
	"slices"
	"strings"
	"time"

	"marigoldlug.example/core/health"
	"marigoldlug.example/lugd/pkg/certificate"
)

// Settings are the values for one VM.
type Settings struct {
	Name          string
	FailureDomain string
	// CallerAddress, PeerAddress and OperatorAddress are IP addresses and
	// ports to listen on.
	CallerAddress   string
	PeerAddress     string
	OperatorAddress string
	// AdvertiseAddress is where peers reach this VM; empty means PeerAddress.
	AdvertiseAddress string
	PlatformURL      string
	// PlatformReads is ConsistentReads where the platform answers every read
	// with its newest value, and LaggingReads where it may not.
	PlatformReads string
	// CallerFiles are the certificate and key shown to callers, PeerFiles those
	// shown to other VMs and to operators, with the authority that signs theirs.
	CallerFiles certificate.Files
	PeerFiles   certificate.Files
	// PlainText lists what is served without TLS: callers, peers, operators.
	PlainText []string
	// Peers lists addresses of VMs to ask while the platform is away.
	Peers []string
	// EjectionThreshold is the evidence at which targets are ejected.
	EjectionThreshold float64
	// PlatformCalls is the budget of calls to the platform a second.
	PlatformCalls  float64
	LeaseDuration  time.Duration
	BalancerLag    time.Duration
	DrainTimeout   time.Duration
	BodyTimeout    time.Duration
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
	MaxHeaderBytes int
	MaxBodyBytes   int64
	DialTimeout    time.Duration
	IdlePerTarget  int
	LogFormat      string
	LogVerbose     string
	TraceEndpoint  string
	TraceShare     float64
}

// What can be served without TLS.
const (
	PlainCallers   = "callers"
	PlainPeers     = "peers"
	PlainOperators = "operators"
)

// Plain reports whether something is served without TLS.
func (set Settings) Plain(what string) bool { return slices.Contains(set.PlainText, what) }

// checkTLS reports what is neither given certificates nor said to be plain.
func (set Settings) checkTLS() []error {
	var errs []error
	for _, what := range set.PlainText {
		if !slices.Contains([]string{PlainCallers, PlainPeers, PlainOperators}, what) {
			errs = append(errs, fault("plain-text", "%q is not %s, %s or %s", what, PlainCallers, PlainPeers, PlainOperators))
		}
	}
	if fls := set.CallerFiles; !set.Plain(PlainCallers) && (fls.Certificate == "" || fls.Key == "") {
		errs = append(errs, fault("caller-certificate", "callers need a certificate and a key, or plain-text=%s", PlainCallers))
	}
	fls := set.PeerFiles
	if (!set.Plain(PlainPeers) || !set.Plain(PlainOperators)) && (fls.Certificate == "" || fls.Key == "" || fls.Authority == "") {
		errs = append(errs, fault("peer-certificate", "VMs and operators need a certificate, a key and an authority, or plain-text=%s,%s", PlainPeers, PlainOperators))
	}
	return errs
}

// The values of PlatformReads.
const (
	ConsistentReads = "consistent"
	LaggingReads    = "lagging"
)

// Default returns the settings in force where nothing is set.
func Default() Settings {
	return Settings{
		CallerAddress:     "127.0.0.1:8080",
		PeerAddress:       "127.0.0.1:8081",
		OperatorAddress:   "127.0.0.1:8082",
		PlatformReads:     LaggingReads,
		EjectionThreshold: float64(health.ThresholdBalanced),
		PlatformCalls:     20,
		LeaseDuration:     5 * time.Second,
		BalancerLag:       5 * time.Second,
		DrainTimeout:      60 * time.Second,
		BodyTimeout:       60 * time.Second,
		HeaderTimeout:     5 * time.Second,
		IdleTimeout:       90 * time.Second,
		MaxHeaderBytes:    32 << 10,
		MaxBodyBytes:      64 << 20,
		DialTimeout:       250 * time.Millisecond,
		IdlePerTarget:     8,
		LogFormat:         "json",
		TraceShare:        1,
	}
}

// fault names one setting that is wrong.
func fault(name, format string, args ...any) error {
	return fmt.Errorf("setting %s: %s", name, fmt.Sprintf(format, args...))
}

// Check returns one error for every setting that is wrong, joined.
func (set Settings) Check() error {
	var errs []error
	for name, val := range map[string]string{"name": set.Name, "failure-domain": set.FailureDomain} {
		if val == "" || strings.ContainsAny(val, " /\t\n") {
			errs = append(errs, fault(name, "%q must be a word without spaces and slashes", val))
		}
	}
	errs = append(errs, set.checkAddresses()...)
	if loc, err := url.Parse(set.PlatformURL); err != nil || loc.Host == "" || loc.Scheme != "http" && loc.Scheme != "https" {
		errs = append(errs, fault("platform", "%q must be an http or https URL", set.PlatformURL))
	}
	if set.PlatformReads != ConsistentReads && set.PlatformReads != LaggingReads {
		errs = append(errs, fault("platform-reads", "%q must be %s or %s", set.PlatformReads, ConsistentReads, LaggingReads))
	}
	errs = append(errs, set.checkTLS()...)
	errs = append(errs, set.checkDurations()...)
	errs = append(errs, set.checkNumbers()...)
	return errors.Join(errs...)
}

func (set Settings) checkAddresses() []error {
	addresses := map[string]string{
		"caller-address": set.CallerAddress, "peer-address": set.PeerAddress, "operator-address": set.OperatorAddress,
	}
	if set.AdvertiseAddress != "" {
		addresses["advertise-address"] = set.AdvertiseAddress
	}
	for idx, peer := range set.Peers {
		addresses[fmt.Sprintf("peers[%d]", idx)] = peer
	}
	var errs []error
	for name, val := range addresses {
		if _, err := netip.ParseAddrPort(val); err != nil {
			errs = append(errs, fault(name, "%q must be an IP address and port", val))
		}
	}
	return errs
}

func (set Settings) checkDurations() []error {
	var errs []error
	for _, one := range []struct {
		name           string
		val, low, high time.Duration
	}{
		{"lease-duration", set.LeaseDuration, time.Second, time.Minute},
		{"balancer-lag", set.BalancerLag, 0, 10 * time.Minute},
		{"drain-timeout", set.DrainTimeout, time.Second, time.Hour},
		{"body-timeout", set.BodyTimeout, time.Second, time.Hour},
		{"header-timeout", set.HeaderTimeout, 100 * time.Millisecond, time.Minute},
		{"idle-timeout", set.IdleTimeout, time.Second, time.Hour},
		{"dial-timeout", set.DialTimeout, time.Millisecond, time.Minute},
	} {
		if one.val < one.low || one.val > one.high {
			errs = append(errs, fault(one.name, "%v must be from %v to %v", one.val, one.low, one.high))
		}
	}
	return errs
}

func (set Settings) checkNumbers() []error {
	var errs []error
	for _, one := range []struct {
		name           string
		val, low, high float64
	}{
		{"platform-calls", set.PlatformCalls, 0.1, 1000},
		{"max-header-bytes", float64(set.MaxHeaderBytes), 1 << 10, 1 << 20},
		{"max-body-bytes", float64(set.MaxBodyBytes), 0, 1 << 40},
		{"idle-per-target", float64(set.IdlePerTarget), 0, 10000},
		{"ejection-threshold", set.EjectionThreshold, float64(health.ThresholdQuick), float64(health.ThresholdCareful)},
		{"trace-share", set.TraceShare, 0, 1},
	} {
		if one.val < one.low || one.val > one.high {
			errs = append(errs, fault(one.name, "%v must be from %v to %v", one.val, one.low, one.high))
		}
	}
	return errs
}
