package edge

import (
	"time"

	"marigoldlug.example/core/health"
	"marigoldlug.example/lugd/pkg/metrics"
)

// counter turns the course of requests into metrics.
type counter struct {
	set *metrics.Set
}

// Request counts a request that ended.
func (ctr *counter) Request(route, result string, elapsed, waited time.Duration) {
	ctr.set.Request(route, result, elapsed, waited)
}

// Attempt counts an attempt that ended.
func (ctr *counter) Attempt(service string, outcome health.Outcome) {
	ctr.set.Attempt(service, outcome.String())
}

func (dmn *Daemon) register(met *metrics.Set) {
	met.Gauge("config_version", "Version of the configuration in force.", func() float64 {
		sta, _ := dmn.driver.Status()
		return float64(sta.Version)
	})
	met.Gauge("config_proof_age_seconds", "Time since the configuration was last known to be the newest.", func() float64 {
		sta, _ := dmn.driver.Status()
		return sta.Ages.Config.Seconds()
	})
	met.Gauge("fleet_vms", "VMs that are listed.", func() float64 {
		sta, _ := dmn.driver.Status()
		return float64(sta.VMs)
	})
	met.Gauge("targets_suspected", "Targets that the VM, as a placer, takes to be sick.", func() float64 {
		sta, _ := dmn.driver.Status()
		return float64(len(sta.Suspected))
	})
	met.Gauge("caller_connections", "Open connections of callers.", func() float64 { return float64(dmn.callers.Connections()) })
	met.Counter("peer_sent_bytes", "Bytes sent to other VMs.", func() float64 {
		sent, _ := dmn.transport.Bytes()
		return float64(sent)
	})
	met.Counter("peer_received_bytes", "Bytes received from other VMs.", func() float64 {
		_, received := dmn.transport.Bytes()
		return float64(received)
	})
}
