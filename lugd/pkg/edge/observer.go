package edge

import (
	"context"
	"net/http"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"marigoldlug.example/core/gateway"
	"marigoldlug.example/core/health"
	"marigoldlug.example/lugd/pkg/metrics"
	"marigoldlug.example/lugd/pkg/trace"
)

// observer records metrics and trace spans of requests and attempts.
type observer struct {
	set    *metrics.Set
	tracer *trace.Tracer
}

// StartRequest starts the span of a request. The returned function ends it.
func (obs *observer) StartRequest(ctx context.Context, hdr http.Header) (context.Context, func(result string)) {
	ctx, spn := obs.tracer.StartRequest(ctx, hdr)
	return ctx, func(result string) {
		spn.SetAttributes(attribute.String("result", result))
		spn.End()
	}
}

// StartAttempt starts the span of an attempt and adds its trace context to hdr, the headers
// that are sent to the target. The returned function ends the span.
func (obs *observer) StartAttempt(ctx context.Context, dis gateway.Dispatch, hdr http.Header) func() {
	ctx, spn := obs.tracer.StartAttempt(ctx, dis.Target.ID, dis.Attempt)
	obs.tracer.Inject(ctx, hdr)
	return func() { spn.End() }
}

// Request counts a request that has ended and observes its latency.
func (obs *observer) Request(route, result string, elapsed, waited time.Duration) {
	obs.set.Request(route, result, elapsed, waited)
}

// Attempt counts an attempt by its outcome.
func (obs *observer) Attempt(service string, outcome health.Outcome) {
	obs.set.Attempt(service, outcome.String())
}

// registerMetrics registers the metrics that are read when they are collected.
func (dmn *Daemon) registerMetrics() {
	met := dmn.metrics
	dmn.budgets.register(met)
	met.Gauge("config_version", "Version of the configuration in force.", func() float64 {
		sta, _ := dmn.driver.Status()
		return float64(sta.Version)
	})
	met.Gauge("config_proof_age_seconds", "Time since the configuration was last known to be the newest.", func() float64 {
		sta, _ := dmn.driver.Status()
		return sta.Ages.Config.Seconds()
	})
	met.Gauge("store_unread", "Fields and words of objects in the store that were not understood when this VM last read them. VMs that follow others read none.", func() float64 {
		return float64(dmn.driver.Unread())
	})
	met.Gauge("store_era", "Latest era that the platform's store has told: how often it was restored. -1 if it has told none.", func() float64 {
		sta, _ := dmn.driver.Status()
		if era, known := sta.Era.Told(); known {
			return float64(era)
		}
		return -1
	})
	met.Gauge("fleet_vms", "VMs that are listed.", func() float64 {
		sta, _ := dmn.driver.Status()
		return float64(sta.VMs)
	})
	met.Gauge("targets_suspected", "Targets that the VM, as a placer, takes to be sick.", func() float64 {
		sta, _ := dmn.driver.Status()
		return float64(len(sta.Suspected))
	})
	met.Gauge("contents_suspected", "Contents of requests under which targets have ended, and that are sent to one target at a time.", func() float64 {
		sta, _ := dmn.driver.Status()
		return float64(sta.SuspectedContents)
	})
	met.Gauge("contents_quarantined", "Contents of requests that are not sent to targets any more, because they crash them.", func() float64 {
		sta, _ := dmn.driver.Status()
		return float64(sta.QuarantinedContents)
	})
	met.Counter("contents_dropped", "Contents that were forgotten since there were too many.", func() float64 {
		sta, _ := dmn.driver.Status()
		return float64(sta.DroppedContents)
	})
	met.Gauge("domains_drained", "Failure domains that are drained: nothing more is sent to their targets.", func() float64 {
		sta, _ := dmn.driver.Status()
		return float64(sta.DrainedDomains)
	})
	met.Gauge("followers", "VMs that learn from this one.", func() float64 {
		sta, _ := dmn.driver.Status()
		return float64(sta.Followers)
	})
	met.LabelledCounter("placements_total", "Requests that the VM placed for the fleet, by outcome.", "outcome", func() map[string]uint64 {
		sta, _ := dmn.driver.Status()
		return sta.Placements
	})
	met.LabelledCounter("placements_refused_total", "Requests for which the VM as a placer had no target, by priority.", "priority", func() map[string]uint64 {
		sta, _ := dmn.driver.Status()
		return sta.Refusals
	})
	met.Counter("other_partitions_total", "Requests for which a second partition was asked for a target.", func() float64 {
		sta, _ := dmn.driver.Status()
		return float64(sta.OtherPartitions)
	})
	met.LabelledGauge("target_load_mean", "Requests per slot of the targets for which the VM is the placer.", "service", func() map[string]float64 {
		return dmn.loads(func(loa gateway.TargetLoad) float64 { return loa.Mean })
	})
	met.LabelledGauge("target_load_busiest", "Requests per slot of the busiest of these targets.", "service", func() map[string]float64 {
		return dmn.loads(func(loa gateway.TargetLoad) float64 { return loa.Busiest })
	})
	met.LabelledCounter("tokens_total", "Requests for which the VM was asked for tokens, by whether it granted them.", "outcome", func() map[string]uint64 {
		sta, _ := dmn.driver.Status()
		return sta.Tokens
	})
	met.Gauge("caller_connections", "Open connections of callers.", func() float64 { return float64(dmn.callerServer.Connections()) })
	met.Counter("peer_sent_bytes", "Bytes sent to other VMs.", func() float64 {
		sent, _ := dmn.transport.Bytes()
		return float64(sent)
	})
	met.Counter("peer_received_bytes", "Bytes received from other VMs.", func() float64 {
		_, received := dmn.transport.Bytes()
		return float64(received)
	})
}

// loads returns one value of the load of the targets that this VM places, by service.
func (dmn *Daemon) loads(value func(loa gateway.TargetLoad) float64) map[string]float64 {
	sta, _ := dmn.driver.Status()
	out := make(map[string]float64)
	for name, loa := range sta.Loads {
		out[name] = value(loa)
	}
	return out
}
