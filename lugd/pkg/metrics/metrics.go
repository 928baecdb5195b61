// Package metrics holds the Prometheus metrics of a VM.
package metrics

import (
	"net/http"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
)

const namespace = "marigoldlug"

// latencyBuckets are the upper bounds of the latency histograms in seconds.
var latencyBuckets = prometheus.ExponentialBuckets(0.0005, 2, 16)

// Set holds the metrics of one VM.
type Set struct {
	registry *prometheus.Registry
	requests *prometheus.CounterVec
	attempts *prometheus.CounterVec
	latency  *prometheus.HistogramVec
	added    prometheus.Histogram
	events   *prometheus.CounterVec
	calls    *prometheus.CounterVec
}

// New returns metrics at zero.
func New() *Set {
	set := &Set{
		registry: prometheus.NewRegistry(),
		requests: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "requests_total", Help: "Requests of callers by route and result.",
		}, []string{"route", "result"}),
		attempts: prometheus.NewCounterVec(prometheus.CounterOpts{
			Namespace: namespace, Name: "attempts_total", Help: "Attempts sent to targets by service and outcome.",
		}, []string{"service", "outcome"}),
		latency: prometheus.NewHistogramVec(prometheus.HistogramOpts{
			Namespace: namespace, Name: "request_seconds", Help: "Time from arrival to the end of the answer.", Buckets: latencyBuckets,
		}, []string{"route"}),
		added: prometheus.NewHistogram(prometheus.HistogramOpts{
			Namespace: namespace, Name: "added_seconds", Help: "Time of a request not spent waiting for targets.", Buckets: latencyBuckets,
		}),
	}
	set.events = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "events_total", Help: "Decisions and changes of belief, as the logs name them.",
	}, []string{"event"})
	set.calls = prometheus.NewCounterVec(prometheus.CounterOpts{
		Namespace: namespace, Name: "platform_calls_total", Help: "Calls of the platform's store by kind of object, call and outcome.",
	}, []string{"kind", "call", "outcome"})
	set.registry.MustRegister(set.events, set.calls)
	set.registry.MustRegister(set.requests, set.attempts, set.latency, set.added, collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	return set
}

// Gauge registers a gauge whose value read returns when metrics are collected.
func (set *Set) Gauge(name, help string, read func() float64) {
	set.registry.MustRegister(prometheus.NewGaugeFunc(prometheus.GaugeOpts{Namespace: namespace, Name: name, Help: help}, read))
}

// Counter registers a counter whose value read returns when metrics are collected.
func (set *Set) Counter(name, help string, read func() float64) {
	set.registry.MustRegister(prometheus.NewCounterFunc(prometheus.CounterOpts{Namespace: namespace, Name: name, Help: help}, read))
}

// LabelledCounter registers a counter with one label. When metrics are collected, read
// returns its counts by the values of the label.
func (set *Set) LabelledCounter(name, help, label string, read func() map[string]uint64) {
	labelled(set, prometheus.CounterValue, name, help, label, read)
}

// LabelledGauge registers a gauge with one label. When metrics are collected, read returns its values
// by the values of the label.
func (set *Set) LabelledGauge(name, help, label string, read func() map[string]float64) {
	labelled(set, prometheus.GaugeValue, name, help, label, read)
}

func labelled[T uint64 | float64](set *Set, kind prometheus.ValueType, name, help, label string, read func() map[string]T) {
	set.registry.MustRegister(&labelledCollector[T]{
		desc: prometheus.NewDesc(prometheus.BuildFQName(namespace, "", name), help, []string{label}, nil), kind: kind, read: read,
	})
}

// labelledCollector is a prometheus.Collector for a metric with one label whose values are kept
// elsewhere.
type labelledCollector[T uint64 | float64] struct {
	desc *prometheus.Desc
	kind prometheus.ValueType
	read func() map[string]T
}

// Describe implements prometheus.Collector.
func (lct *labelledCollector[T]) Describe(out chan<- *prometheus.Desc) { out <- lct.desc }

// Collect implements prometheus.Collector.
func (lct *labelledCollector[T]) Collect(out chan<- prometheus.Metric) {
	for label, cnt := range lct.read() {
		out <- prometheus.MustNewConstMetric(lct.desc, lct.kind, float64(cnt), label)
	}
}

// Event counts a decision or a state change by the name of its log event.
func (set *Set) Event(name string) { set.events.WithLabelValues(name).Inc() }

// PlatformCall counts a call of the platform's store by kind of object, call and outcome.
func (set *Set) PlatformCall(kind, call, outcome string) {
	set.calls.WithLabelValues(kind, call, outcome).Inc()
}

// Request counts a request that has ended and observes its latency. waited is the time spent
// waiting for targets, added up over the attempts; the rest of elapsed is the latency that the
// VM added. If waited is longer than elapsed, since attempts ran at the same time, that is 0.
func (set *Set) Request(route, result string, elapsed, waited time.Duration) {
	set.requests.WithLabelValues(route, result).Inc()
	set.latency.WithLabelValues(route).Observe(elapsed.Seconds())
	set.added.Observe(max(elapsed-waited, 0).Seconds())
}

// Attempt counts an attempt that has failed or whose response has begun.
func (set *Set) Attempt(service, outcome string) {
	set.attempts.WithLabelValues(service, outcome).Inc()
}

// Handler serves the metrics in the Prometheus text format.
func (set *Set) Handler() http.Handler {
	return promhttp.HandlerFor(set.registry, promhttp.HandlerOpts{})
}
