// Package trace records OpenTelemetry spans, one for each request of a caller and one for each
// attempt at a target, and exports them by OTLP over HTTP.
package trace

import (
	"context"
	"fmt"
	"net/http"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/exporters/otlp/otlptrace/otlptracehttp"
	"go.opentelemetry.io/otel/propagation"
	"go.opentelemetry.io/otel/sdk/resource"
	sdktrace "go.opentelemetry.io/otel/sdk/trace"
	"go.opentelemetry.io/otel/trace"
	"go.opentelemetry.io/otel/trace/noop"
)

// instrumentationScope names the code that records the spans.
const instrumentationScope = "marigoldlug.example/lugd"

// Tracer starts the spans of one VM.
type Tracer struct {
	tracer     trace.Tracer
	propagator propagation.TextMapPropagator
	shutdown   func(ctx context.Context) error
}

// New returns a tracer that exports to endpoint, the URL of an OTLP endpoint. It samples share
// of the traces that begin at this VM; for others the caller's sampling decision holds. If
// endpoint is empty, it records nothing and forwards the caller's trace context unchanged.
func New(ctx context.Context, endpoint, vmID string, share float64) (*Tracer, error) {
	trc := &Tracer{
		tracer:     noop.NewTracerProvider().Tracer(instrumentationScope),
		propagator: propagation.TraceContext{},
		shutdown:   func(context.Context) error { return nil },
	}
	if endpoint == "" {
		return trc, nil
	}
	exp, err := otlptracehttp.New(ctx, otlptracehttp.WithEndpointURL(endpoint))
	if err != nil {
		return nil, fmt.Errorf("cannot export traces to %q: %w", endpoint, err)
	}
	pro := sdktrace.NewTracerProvider(
		sdktrace.WithBatcher(exp),
		sdktrace.WithSampler(sdktrace.ParentBased(sdktrace.TraceIDRatioBased(share))),
		sdktrace.WithResource(resource.NewSchemaless(
			attribute.String("service.name", "lugd"), attribute.String("service.instance.id", vmID))),
	)
	trc.tracer = pro.Tracer(instrumentationScope)
	trc.shutdown = pro.Shutdown
	return trc, nil
}

// Shutdown exports the remaining spans and stops the tracer.
func (trc *Tracer) Shutdown(ctx context.Context) error { return trc.shutdown(ctx) }

// StartRequest starts the span of a request, as a child of the caller's span if hdr names one.
func (trc *Tracer) StartRequest(ctx context.Context, hdr http.Header) (context.Context, trace.Span) {
	ctx = trc.propagator.Extract(ctx, propagation.HeaderCarrier(hdr))
	return trc.tracer.Start(ctx, "entry", trace.WithSpanKind(trace.SpanKindServer))
}

// StartAttempt starts the span of an attempt at a target.
func (trc *Tracer) StartAttempt(ctx context.Context, target string, attempt int) (context.Context, trace.Span) {
	return trc.tracer.Start(ctx, "target attempt", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("target", target), attribute.Int("attempt", attempt)))
}

// Inject writes the trace context of the current span, if there is one, into hdr.
func (trc *Tracer) Inject(ctx context.Context, hdr http.Header) {
	if trace.SpanContextFromContext(ctx).IsValid() {
		trc.propagator.Inject(ctx, propagation.HeaderCarrier(hdr))
	}
}
