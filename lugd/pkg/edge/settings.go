// Package edge assembles one VM of the fleet on the platform from its parts and
// runs it.
package edge

import (
	"bufio"
	"errors"
	"fmt"
	"net/netip"
	"os"
	"strings"
	"time"

	"github.com/urfave/cli/v3"
)

// Settings are the values for one VM.
type Settings struct {
	Name          string
	FailureDomain string
	// CallerAddress, ReadyAddress, PeerAddress and MetricsAddress are IP
	// addresses and ports to listen on.
	CallerAddress   string
	ReadyAddress    string
	PeerAddress     string
	MetricsAddress  string
	PlatformAddress string
	// RevokeTime is how long after its withdrawal a key may still work.
	RevokeTime time.Duration
	// RetryShare, RetryExtra and RetryWindow bound the fleet's retries for a
	// service.
	RetryShare  float64
	RetryExtra  float64
	RetryWindow time.Duration
	// QuotaWindow is the time over which the rate and burst of organisations
	// are counted.
	QuotaWindow time.Duration
	// StopTime is how long a planned stop may take.
	StopTime time.Duration
	// BalancerLag is how long the balancer takes to notice that a VM is not
	// ready.
	BalancerLag    time.Duration
	HeaderBytes    int
	BodyBytes      int64
	HeaderTimeout  time.Duration
	IdleTimeout    time.Duration
	BodyTimeout    time.Duration
	DialTimeout    time.Duration
	MemoryMiB      int
	LogFormat      string
	LogVerbose     string
	LogLinesPerSec int
}

// DefaultSettings returns the values in force where an operator sets none.
func DefaultSettings() Settings {
	return Settings{
		RevokeTime:     5 * time.Second,
		RetryShare:     0.1,
		RetryExtra:     20,
		RetryWindow:    10 * time.Second,
		QuotaWindow:    5 * time.Second,
		StopTime:       10 * time.Second,
		BalancerLag:    2200 * time.Millisecond,
		HeaderBytes:    16 << 10,
		BodyBytes:      64 << 20,
		HeaderTimeout:  5 * time.Second,
		IdleTimeout:    60 * time.Second,
		BodyTimeout:    30 * time.Second,
		DialTimeout:    500 * time.Millisecond,
		MemoryMiB:      256,
		LogFormat:      "json",
		LogLinesPerSec: 200,
	}
}

// Check returns an error that names every wrong setting.
func (set Settings) Check() error {
	var errs []error
	fault := func(name, format string, args ...any) {
		errs = append(errs, fmt.Errorf("%s: %s", name, fmt.Sprintf(format, args...)))
	}
	if set.Name == "" {
		fault("name", "must be given")
	}
	if set.FailureDomain == "" {
		fault("failure-domain", "must be given")
	}
	for _, one := range []struct{ name, val string }{
		{"caller-address", set.CallerAddress}, {"ready-address", set.ReadyAddress},
		{"peer-address", set.PeerAddress}, {"platform-address", set.PlatformAddress},
	} {
		if _, err := netip.ParseAddrPort(one.val); err != nil {
			fault(one.name, "%q is not an IP address and port", one.val)
		}
	}
	if set.MetricsAddress != "" {
		if _, err := netip.ParseAddrPort(set.MetricsAddress); err != nil {
			fault("metrics-address", "%q is not an IP address and port", set.MetricsAddress)
		}
	}
	for _, one := range []struct {
		name string
		val  time.Duration
	}{
		{"revoke-time", set.RevokeTime}, {"retry-window", set.RetryWindow}, {"quota-window", set.QuotaWindow}, {"stop-time", set.StopTime},
		{"header-timeout", set.HeaderTimeout}, {"idle-timeout", set.IdleTimeout}, {"body-timeout", set.BodyTimeout}, {"dial-timeout", set.DialTimeout},
	} {
		if one.val <= 0 {
			fault(one.name, "%v is not above 0", one.val)
		}
	}
	if set.BalancerLag < 0 || set.BalancerLag >= set.StopTime {
		fault("balancer-lag", "%v is not below stop-time, %v", set.BalancerLag, set.StopTime)
	}
	if set.RetryShare < 0 || set.RetryExtra < 0 {
		fault("retry-share", "%v and retry-extra, %v, must not be negative", set.RetryShare, set.RetryExtra)
	}
	if set.HeaderBytes < 1<<10 || set.BodyBytes < 0 || set.MemoryMiB < 16 {
		fault("max-header-bytes", "the bounds of sizes are too low")
	}
	if set.LogFormat != "json" && set.LogFormat != "text" {
		fault("log-format", "%q is not json or text", set.LogFormat)
	}
	return errors.Join(errs...)
}

const environmentPrefix = "LUGD_"

func environment(name string) cli.ValueSourceChain {
	return cli.EnvVars(environmentPrefix + strings.ToUpper(strings.ReplaceAll(name, "-", "_")))
}

// Flags returns the flags that fill set.
func (set *Settings) Flags() []cli.Flag {
	text := func(name, usage string, dst *string) cli.Flag {
		return &cli.StringFlag{Name: name, Usage: usage, Value: *dst, Destination: dst, Sources: environment(name)}
	}
	duration := func(name, usage string, dst *time.Duration) cli.Flag {
		return &cli.DurationFlag{Name: name, Usage: usage, Value: *dst, Destination: dst, Sources: environment(name)}
	}
	whole := func(name, usage string, dst *int) cli.Flag {
		return &cli.IntFlag{Name: name, Usage: usage, Value: *dst, Destination: dst, Sources: environment(name)}
	}
	number := func(name, usage string, dst *float64) cli.Flag {
		return &cli.FloatFlag{Name: name, Usage: usage, Value: *dst, Destination: dst, Sources: environment(name)}
	}
	return []cli.Flag{
		text("name", "name of the VM", &set.Name),
		text("failure-domain", "failure domain of the VM", &set.FailureDomain),
		text("caller-address", "IP address and port for callers", &set.CallerAddress),
		text("ready-address", "IP address and port at which the balancer asks whether the VM is ready", &set.ReadyAddress),
		text("peer-address", "IP address and port for other VMs", &set.PeerAddress),
		text("metrics-address", "IP address and port for metrics; empty for none", &set.MetricsAddress),
		text("platform-address", "IP address and port of the platform's store", &set.PlatformAddress),
		duration("revoke-time", "how long after its withdrawal a key may still work", &set.RevokeTime),
		number("retry-share", "retries that the fleet may make, as a share of the requests for a service", &set.RetryShare),
		number("retry-extra", "retries that the fleet may make beside retry-share in a retry-window", &set.RetryExtra),
		duration("retry-window", "time over which retries are counted", &set.RetryWindow),
		duration("quota-window", "time over which the rate and burst of organisations are counted", &set.QuotaWindow),
		duration("stop-time", "how long a planned stop may take", &set.StopTime),
		duration("balancer-lag", "time that the balancer takes to notice that a VM is not ready", &set.BalancerLag),
		whole("max-header-bytes", "greatest size of the head of a request", &set.HeaderBytes),
		&cli.Int64Flag{Name: "max-body-bytes", Usage: "greatest size of the body of a request", Value: set.BodyBytes, Destination: &set.BodyBytes, Sources: environment("max-body-bytes")},
		duration("header-timeout", "longest time for the head of a request to arrive", &set.HeaderTimeout),
		duration("idle-timeout", "longest time to keep an idle connection of a caller", &set.IdleTimeout),
		duration("body-timeout", "longest time for the body of a request to arrive", &set.BodyTimeout),
		duration("dial-timeout", "longest time to open a connection to a target", &set.DialTimeout),
		whole("memory-mib", "memory of the VM", &set.MemoryMiB),
		text("log-format", "json or text", &set.LogFormat),
		text("log-verbose", "subsystems that write debug messages, separated by commas", &set.LogVerbose),
		whole("log-lines", "greatest number of log lines a second", &set.LogLinesPerSec),
	}
}

// readFile returns the settings of a file as flags. Its lines have the form
// name=value; empty lines and those that begin with # are skipped.
func readFile(path string) ([]string, error) {
	src, err := os.Open(path)
	if err != nil {
		return nil, err
	}
	defer func() { _ = src.Close() }()
	var args []string
	scn := bufio.NewScanner(src)
	for num := 1; scn.Scan(); num++ {
		line := strings.TrimSpace(scn.Text())
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
	return args, scn.Err()
}
