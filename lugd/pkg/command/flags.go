package command

import (
	"strings"
	"time"

	"github.com/urfave/cli/v3"

	"marigoldlug.example/lugd/pkg/settings"
)

const environmentPrefix = "LUGD_"

// environment returns the environment variable of a flag.
func environment(name string) cli.ValueSourceChain {
	return cli.EnvVars(environmentPrefix + strings.ToUpper(strings.ReplaceAll(name, "-", "_")))
}

func text(name, usage string, dst *string) cli.Flag {
	return &cli.StringFlag{Name: name, Usage: usage, Value: *dst, Destination: dst, Sources: environment(name)}
}

func duration(name, usage string, dst *time.Duration) cli.Flag {
	return &cli.DurationFlag{Name: name, Usage: usage, Value: *dst, Destination: dst, Sources: environment(name)}
}

func whole(name, usage string, dst *int) cli.Flag {
	return &cli.IntFlag{Name: name, Usage: usage, Value: *dst, Destination: dst, Sources: environment(name)}
}

func number(name, usage string, dst *float64) cli.Flag {
	return &cli.FloatFlag{Name: name, Usage: usage, Value: *dst, Destination: dst, Sources: environment(name)}
}

func flags(set *settings.Settings) []cli.Flag {
	return []cli.Flag{
		text("name", "name of the VM", &set.Name),
		text("failure-domain", "failure domain of the VM", &set.FailureDomain),
		text("caller-address", "IP address and port for callers", &set.CallerAddress),
		text("peer-address", "IP address and port for other VMs", &set.PeerAddress),
		text("operator-address", "IP address and port for operators, health and metrics", &set.OperatorAddress),
		text("advertise-address", "IP address and port at which other VMs reach this one, if not peer-address", &set.AdvertiseAddress),
		text("platform", "URL of the platform's object API", &set.PlatformURL),
		text("platform-reads", "consistent if the platform answers every read with its newest value, else lagging", &set.PlatformReads),
		text("caller-certificate", "file of the certificate shown to callers", &set.CallerFiles.Certificate),
		text("caller-key", "file of the key of caller-certificate", &set.CallerFiles.Key),
		text("peer-certificate", "file of the certificate shown to VMs and operators", &set.PeerFiles.Certificate),
		text("peer-key", "file of the key of peer-certificate", &set.PeerFiles.Key),
		text("peer-authority", "file of the authority that signs the certificates of VMs and operators", &set.PeerFiles.Authority),
		&cli.StringSliceFlag{Name: "plain-text", Usage: "what is served without TLS: callers, peers, operators", Destination: &set.PlainText, Sources: environment("plain-text")},
		&cli.StringSliceFlag{Name: "peers", Usage: "addresses of VMs to ask while the platform is away", Destination: &set.Peers, Sources: environment("peers")},
		number("ejection-threshold", "evidence at which targets are ejected: 6 detects soonest, 20 ejects fewest healthy targets", &set.EjectionThreshold),
		number("platform-calls", "budget of platform calls a second", &set.PlatformCalls),
		duration("lease-duration", "longest time to serve keyed routes without proof of the newest configuration", &set.LeaseDuration),
		duration("balancer-lag", "time that the balancer takes to notice that a VM is not ready", &set.BalancerLag),
		duration("drain-timeout", "longest time that a stop waits for requests", &set.DrainTimeout),
		duration("body-timeout", "longest time for the body of a request to arrive", &set.BodyTimeout),
		duration("header-timeout", "longest time for the headers of a request to arrive", &set.HeaderTimeout),
		duration("idle-timeout", "longest time to keep an idle caller connection", &set.IdleTimeout),
		whole("max-header-bytes", "greatest size of the headers of a request", &set.MaxHeaderBytes),
		&cli.Int64Flag{Name: "max-body-bytes", Usage: "greatest size of the body of a request", Value: set.MaxBodyBytes, Destination: &set.MaxBodyBytes, Sources: environment("max-body-bytes")},
		duration("dial-timeout", "longest time to open a connection to a target", &set.DialTimeout),
		whole("idle-per-target", "idle connections kept to each target", &set.IdlePerTarget),
		text("log-format", "json or text", &set.LogFormat),
		text("log-verbose", "subsystems that write debug messages, separated by commas", &set.LogVerbose),
		text("trace-endpoint", "URL of an OTLP endpoint for traces; empty for none", &set.TraceEndpoint),
		number("trace-share", "share of requests that are traced, from 0 to 1", &set.TraceShare),
	}
}
