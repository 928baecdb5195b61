package daemon

import (
	"context"
	"net/http"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/attribute"

	"marigoldlug.example/core/health"
	"marigoldlug.example/core/node"
	"marigoldlug.example/lugd/pkg/metrics"
	"marigoldlug.example/lugd/pkg/trace"
)

// observer turns the course of requests into metrics and spans.
type observer struct {
	metrics *metrics.Set
	tracer  *trace.Tracer
}

// waitedKey finds the time that a request has waited for targets.
type waitedKey struct{}

// Request starts the observation of a request.
func (obs *observer) Request(ctx context.Context, hdr http.Header) (context.Context, func(route, result string)) {
	began := time.Now()
	waited := new(atomic.Int64)
	ctx, spn := obs.tracer.Entry(context.WithValue(ctx, waitedKey{}, waited), hdr)
	return ctx, func(route, result string) {
		spn.SetAttributes(attribute.String("route", route), attribute.String("result", result))
		spn.End()
		obs.metrics.Request(route, result, time.Since(began), time.Duration(waited.Load()))
	}
}

// Queue starts the observation of the wait for the first attempt.
func (obs *observer) Queue(ctx context.Context) func() {
	spn := obs.tracer.Queue(ctx)
	return func() { spn.End() }
}

// Attempt starts the observation of an attempt.
func (obs *observer) Attempt(ctx context.Context, dis node.Dispatch) (context.Context, func(outcome health.Outcome)) {
	began := time.Now()
	ctx, spn := obs.tracer.Attempt(ctx, dis.Target.ID, dis.Attempt)
	return ctx, func(outcome health.Outcome) {
		if waited, ok := ctx.Value(waitedKey{}).(*atomic.Int64); ok {
			waited.Add(int64(time.Since(began)))
		}
		spn.SetAttributes(attribute.String("outcome", outcome.String()))
		spn.End()
		obs.metrics.Attempt(dis.Target.ID, outcome.String())
	}
}

// Inject passes the trace context on to a target.
func (obs *observer) Inject(ctx context.Context, hdr http.Header) { obs.tracer.Inject(ctx, hdr) }
