// Package edge is the program of one VM of the proxy fleet: it reads the settings,
// assembles the VM from its parts and runs it until it is told to stop.
package edge

import (
	"errors"
	"fmt"
	"math"
	"net/netip"
	"slices"
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"marigoldlug.example/lugd/pkg/certificate"
)

// Settings are the settings of one VM. The usage texts in Flags describe those that have no
// comment here.
type Settings struct {
	Name          string
	FailureDomain string
	// CallerAddress, ReadyAddress, PeerAddress and OperatorAddress are IP
	// addresses and ports to listen on.
	CallerAddress   string
	ReadyAddress    string
	PeerAddress     string
	OperatorAddress string
	// PeerPublicAddress is where other VMs reach PeerAddress, if it differs.
	PeerPublicAddress string
	PlatformAddress   string
	// CallerFiles are the TLS certificate and key for callers, PeerFiles those for
	// other VMs and operators, with the certificate authority that signs the
	// certificates of both.
	CallerFiles certificate.Files
	PeerFiles   certificate.Files
	// PlainText lists what is served without TLS: callers, peers, operators.
	PlainText []string
	// RevokeTime is how long after its withdrawal a key may still work.
	RevokeTime time.Duration
	// RewriteTime is how long after a restore of the platform's store operators may take to write again what it has lost.
	RewriteTime time.Duration
	// FirstStart is set if the whole fleet starts for the first time.
	FirstStart bool
	// RetryShare, RetryExtra and RetryWindow set the fleet's retry budget for a
	// service: in any RetryWindow, a share of the requests plus a fixed number.
	RetryShare  float64
	RetryExtra  float64
	RetryWindow time.Duration
	// QuotaWindow is the time over which the rate and burst of organisations are
	// enforced.
	QuotaWindow time.Duration
	// QuotaExcess and QuotaSlack are what organisations may get beyond rate and burst
	// in a QuotaWindow while VMs are lost or cannot reach the others: a share of the
	// limit, plus a fixed number of requests.
	QuotaExcess float64
	QuotaSlack  float64
	// DrainTime is how long after an operator drained a failure domain requests may still be sent to its targets. 0
	// stands for a platform without such drains, which are not read then.
	DrainTime time.Duration
	// ColdExcess and ColdSlack are how many requests a cold target may get in a second: a factor of what it tolerates,
	// plus a fixed number. 0 for both sets no limit.
	ColdExcess float64
	ColdSlack  float64
	// StopTime is how long a graceful stop may take.
	StopTime time.Duration
	// BalancerLag is how long the balancer takes to notice that a VM is not
	// ready.
	BalancerLag   time.Duration
	HeaderBytes   int
	BodyBytes     int64
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
	BodyTimeout   time.Duration
	DialTimeout   time.Duration
	MemoryMiB     int
	// MaxFiles is how many descriptors the VM may have open; 0 means the limit of its process.
	MaxFiles int
	// Capacity is how much load the VM can take, in proportion to other VMs. VMs with at
	// least half of the greatest capacity come first for work that one VM does for the
	// fleet, unless they have less than an eighth of the total capacity together.
	Capacity       float64
	TraceEndpoint  string
	TraceShare     float64
	LogFormat      string
	LogVerbose     string
	LogLinesPerSec int
}

// DefaultSettings returns the settings in force where an operator sets none.
func DefaultSettings() Settings {
	return Settings{
		RevokeTime:     5 * time.Second,
		RewriteTime:    8 * time.Second,
		RetryShare:     0.1,
		RetryExtra:     20,
		RetryWindow:    10 * time.Second,
		QuotaWindow:    5 * time.Second,
		QuotaExcess:    0.1,
		QuotaSlack:     20,
		StopTime:       10 * time.Second,
		BalancerLag:    2200 * time.Millisecond,
		HeaderBytes:    16 << 10,
		BodyBytes:      64 << 20,
		HeaderTimeout:  5 * time.Second,
		IdleTimeout:    60 * time.Second,
		BodyTimeout:    30 * time.Second,
		DialTimeout:    500 * time.Millisecond,
		MemoryMiB:      256,
		Capacity:       1,
		LogFormat:      "json",
		LogLinesPerSec: 200,
	}
}

// Check returns an error that names every invalid setting. It checks the settings' values only: it
// opens no files and connects to no addresses. It does not check log-verbose, whose unknown
// subsystems make the start fail (see logflags.New), nor trace-endpoint.
func (set Settings) Check() error {
	var errs []error
	report := func(name, format string, args ...any) {
		errs = append(errs, fmt.Errorf("%s: %s", name, fmt.Sprintf(format, args...)))
	}
	if set.Name == "" {
		report("name", "is required")
	}
	if set.FailureDomain == "" {
		report("failure-domain", "is required")
	}
	for _, one := range []struct{ name, val string }{
		{"caller-address", set.CallerAddress},
		{"ready-address", set.ReadyAddress},
		{"peer-address", set.PeerAddress},
		{"platform-address", set.PlatformAddress},
	} {
		if _, err := netip.ParseAddrPort(one.val); err != nil {
			report(one.name, "%q is not an IP address and port", one.val)
		}
	}
	for _, one := range []struct{ name, val string }{
		{"operator-address", set.OperatorAddress},
		{"peer-public-address", set.PeerPublicAddress},
	} {
		if _, err := netip.ParseAddrPort(one.val); one.val != "" && err != nil {
			report(one.name, "%q is not an IP address and port", one.val)
		}
	}
	errs = append(errs, set.checkTLS()...)
	for _, one := range []struct {
		name string
		val  time.Duration
	}{
		{"revoke-time", set.RevokeTime},
		{"rewrite-time", set.RewriteTime},
		{"retry-window", set.RetryWindow},
		{"quota-window", set.QuotaWindow},
		{"stop-time", set.StopTime},
		{"header-timeout", set.HeaderTimeout},
		{"idle-timeout", set.IdleTimeout},
		{"body-timeout", set.BodyTimeout},
		{"dial-timeout", set.DialTimeout},
	} {
		if one.val <= 0 {
			report(one.name, "%v is not above 0", one.val)
		}
	}
	if set.BalancerLag < 0 || set.BalancerLag >= set.StopTime-deadlineMargin {
		report("balancer-lag", "%v is negative or too close to stop-time, %v", set.BalancerLag, set.StopTime)
	}
	errs = append(errs, set.checkSizes()...)
	if set.LogFormat != "json" && set.LogFormat != "text" {
		report("log-format", "%q is not json or text", set.LogFormat)
	}
	return errors.Join(errs...)
}

// checkSizes returns an error for each number that is out of range.
func (set Settings) checkSizes() []error {
	var errs []error
	if set.RetryShare < 0 || set.RetryExtra < 0 {
		errs = append(errs, fmt.Errorf("retry-share: must be at least 0, and so must retry-extra; they are %v and %v", set.RetryShare, set.RetryExtra))
	}
	if set.QuotaExcess < 0 || set.QuotaSlack < 0 {
		errs = append(errs, fmt.Errorf("quota-excess: must be at least 0, and so must quota-slack; they are %v and %v", set.QuotaExcess, set.QuotaSlack))
	}
	if set.ColdExcess < 0 || set.ColdSlack < 0 || math.IsInf(set.ColdExcess, 0) || math.IsInf(set.ColdSlack, 0) || math.IsNaN(set.ColdExcess+set.ColdSlack) {
		errs = append(errs, fmt.Errorf("cold-excess: must be a finite number of at least 0, and so must cold-slack; they are %v and %v", set.ColdExcess, set.ColdSlack))
	}
	if set.DrainTime != 0 && set.DrainTime < minDrainTime {
		errs = append(errs, fmt.Errorf("domain-drain-time: %v is neither 0 nor at least %v", set.DrainTime, minDrainTime))
	}
	if set.HeaderBytes < 1<<10 || set.BodyBytes < 0 || set.MemoryMiB < 16 {
		errs = append(errs, errors.New("max-header-bytes: must be at least 1024, max-body-bytes at least 0 and memory-mib at least 16"))
	}
	if set.MaxFiles != 0 && set.MaxFiles < minFiles {
		errs = append(errs, fmt.Errorf("max-files: %d is neither 0 nor at least %d", set.MaxFiles, minFiles))
	}
	if !(set.Capacity > 0) || math.IsInf(set.Capacity, 0) {
		errs = append(errs, fmt.Errorf("capacity: %v is not a finite number above 0", set.Capacity))
	}
	return errs
}

// minDrainTime is the least domain-drain-time. A watch of the drains that the store does not answer is given up after
// 2.8 s, or 3.3 s while the VM reads sparingly (see package driver), and only then repeated.
const minDrainTime = 4 * time.Second

// The values of Settings.PlainText: who can be served without TLS.
const (
	PlainCallers   = "callers"
	PlainPeers     = "peers"
	PlainOperators = "operators"
)

// isPlainText reports whether callers, peers or operators are served without TLS.
func (set Settings) isPlainText(what string) bool { return slices.Contains(set.PlainText, what) }

// checkTLS returns an error for listeners that are neither given the files for TLS nor set to
// plain text, for an unknown value of plain-text and for a trace-share out of range.
func (set Settings) checkTLS() []error {
	var errs []error
	for _, what := range set.PlainText {
		if !slices.Contains([]string{PlainCallers, PlainPeers, PlainOperators}, what) {
			errs = append(errs, fmt.Errorf("plain-text: %q is not %s, %s or %s", what, PlainCallers, PlainPeers, PlainOperators))
		}
	}
	if fls := set.CallerFiles; !set.isPlainText(PlainCallers) && (fls.Certificate == "" || fls.Key == "") {
		errs = append(errs, fmt.Errorf("caller-certificate: is required with caller-key to serve callers over TLS; plain-text=%s serves them without", PlainCallers))
	}
	needsPeerTLS := !set.isPlainText(PlainPeers) || set.OperatorAddress != "" && !set.isPlainText(PlainOperators)
	if fls := set.PeerFiles; needsPeerTLS && (fls.Certificate == "" || fls.Key == "" || fls.Authority == "") {
		errs = append(errs, fmt.Errorf("peer-certificate: is required with peer-key and peer-authority to serve VMs and operators over TLS; plain-text=%s,%s serves them without", PlainPeers, PlainOperators))
	}
	if set.TraceShare < 0 || set.TraceShare > 1 {
		errs = append(errs, fmt.Errorf("trace-share: %v is not between 0 and 1", set.TraceShare))
	}
	return errs
}

const envPrefix = "LUGD_"

// envVariable returns the name of the environment variable for a flag.
func envVariable(name string) string {
	return envPrefix + strings.ToUpper(strings.ReplaceAll(name, "-", "_"))
}

func envSource(name string) cli.ValueSourceChain { return cli.EnvVars(envVariable(name)) }

// Flags returns the command line flags that write to set. A flag that is not given takes its
// value from the environment, else its default from set.
func (set *Settings) Flags() []cli.Flag {
	stringFlag := func(name, usage string, dst *string) cli.Flag {
		return &cli.StringFlag{Name: name, Usage: usage, Value: *dst, Destination: dst, Sources: envSource(name)}
	}
	durationFlag := func(name, usage string, dst *time.Duration) cli.Flag {
		return &cli.DurationFlag{Name: name, Usage: usage, Value: *dst, Destination: dst, Sources: envSource(name)}
	}
	intFlag := func(name, usage string, dst *int) cli.Flag {
		return &cli.IntFlag{Name: name, Usage: usage, Value: *dst, Destination: dst, Sources: envSource(name)}
	}
	floatFlag := func(name, usage string, dst *float64) cli.Flag {
		return &cli.FloatFlag{Name: name, Usage: usage, Value: *dst, Destination: dst, Sources: envSource(name)}
	}
	return []cli.Flag{
		stringFlag("name", "name of the VM", &set.Name),
		stringFlag("failure-domain", "failure domain of the VM", &set.FailureDomain),
		stringFlag("caller-address", "IP address and port for callers", &set.CallerAddress),
		stringFlag("ready-address", "IP address and port at which the balancer asks whether the VM is ready", &set.ReadyAddress),
		stringFlag("peer-address", "IP address and port for other VMs", &set.PeerAddress),
		stringFlag("peer-public-address", "IP address and port at which other VMs reach peer-address, if it differs", &set.PeerPublicAddress),
		stringFlag("operator-address", "IP address and port for operators and metrics; empty for none", &set.OperatorAddress),
		stringFlag("platform-address", "IP address and port of the platform's store", &set.PlatformAddress),
		stringFlag("caller-certificate", "file of the certificate shown to callers", &set.CallerFiles.Certificate),
		stringFlag("caller-key", "file of the private key of caller-certificate", &set.CallerFiles.Key),
		stringFlag("peer-certificate", "file of the certificate shown to VMs and operators", &set.PeerFiles.Certificate),
		stringFlag("peer-key", "file of the private key of peer-certificate", &set.PeerFiles.Key),
		stringFlag("peer-authority", "file of the certificate authority that signs the certificates of VMs and operators", &set.PeerFiles.Authority),
		&cli.StringSliceFlag{Name: "plain-text", Usage: "who is served without TLS: callers, peers, operators", Destination: &set.PlainText, Sources: envSource("plain-text")},
		stringFlag("trace-endpoint", "URL of an OTLP endpoint for traces; empty for none", &set.TraceEndpoint),
		floatFlag("trace-share", "share of requests that are traced, from 0 to 1", &set.TraceShare),
		durationFlag("revoke-time", "how long after its withdrawal a key may still work", &set.RevokeTime),
		durationFlag("rewrite-time", "how long after a restore of the platform's store operators may take to write again what it has lost; a VM that starts without a proof that nothing is missing uses no key for so long", &set.RewriteTime),
		&cli.BoolFlag{Name: "first-start", Usage: "whether the whole fleet starts for the first time, so that a restored store needs no proof", Value: set.FirstStart, Destination: &set.FirstStart, Sources: envSource("first-start")},
		floatFlag("retry-share", "retry budget of the fleet for a service, as a share of the requests in a retry-window", &set.RetryShare),
		floatFlag("retry-extra", "retries in a retry-window that the fleet may make in addition to retry-share", &set.RetryExtra),
		durationFlag("retry-window", "time over which the retry budget is counted", &set.RetryWindow),
		durationFlag("quota-window", "time over which the rate and burst of organisations are enforced", &set.QuotaWindow),
		floatFlag("quota-excess", "what organisations may get beyond their limit in a quota-window while VMs are lost, as a share of the limit", &set.QuotaExcess),
		floatFlag("quota-slack", "requests in a quota-window that organisations may get in addition to quota-excess", &set.QuotaSlack),
		durationFlag("domain-drain-time", "how long after a failure domain was drained requests may still be sent to its targets; 0 if the platform has no such drains", &set.DrainTime),
		floatFlag("cold-excess", "requests that a cold target may get in a second, as a multiple of those that it tolerates", &set.ColdExcess),
		floatFlag("cold-slack", "requests that a cold target may get in a second in addition to cold-excess", &set.ColdSlack),
		durationFlag("stop-time", "how long a graceful stop may take", &set.StopTime),
		durationFlag("balancer-lag", "time that the balancer takes to notice that a VM is not ready", &set.BalancerLag),
		intFlag("max-header-bytes", "maximum size of the request line and headers of a request", &set.HeaderBytes),
		&cli.Int64Flag{Name: "max-body-bytes", Usage: "maximum size of the body of a request", Value: set.BodyBytes, Destination: &set.BodyBytes, Sources: envSource("max-body-bytes")},
		durationFlag("header-timeout", "maximum time for the request line and headers of a request to arrive", &set.HeaderTimeout),
		durationFlag("idle-timeout", "maximum time to keep an idle connection of a caller", &set.IdleTimeout),
		durationFlag("body-timeout", "maximum time for the body of a request to arrive", &set.BodyTimeout),
		durationFlag("dial-timeout", "maximum time to open a connection to a target", &set.DialTimeout),
		intFlag("memory-mib", "memory of the VM, in MiB", &set.MemoryMiB),
		intFlag("max-files", "maximum number of open descriptors; 0 for the limit of the process", &set.MaxFiles),
		floatFlag("capacity", "how much load the VM can take, in proportion to other VMs; those with at least half of the greatest capacity come first for work that one VM does for the fleet", &set.Capacity),
		stringFlag("log-format", "json or text", &set.LogFormat),
		stringFlag("log-verbose", "subsystems that write debug messages, separated by commas", &set.LogVerbose),
		intFlag("log-lines", "maximum number of log lines a second on decisions and state changes", &set.LogLinesPerSec),
	}
}

// parseFile returns the settings of a file as flags. Its lines have the form name=value;
// empty lines, comments (which begin with #) and settings without a value are skipped.
func parseFile(path string, raw []byte) ([]string, error) {
	var args []string
	num := 0
	for line := range strings.Lines(string(raw)) {
		num++
		line = strings.TrimSpace(line)
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		name, val, found := strings.Cut(line, "=")
		if !found {
			return nil, fmt.Errorf("%s, line %d: %q is not of the form name=value", path, num, line)
		}
		if val = strings.TrimSpace(val); val != "" {
			args = append(args, "--"+strings.TrimSpace(name)+"="+val)
		}
	}
	return args, nil
}
