// Package trace records a span for each hop of a request and exports the
// spans by OTLP over HTTP.
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

const instrumentationScope = "marigoldlug.example/lugd"

// Tracer starts the spans of one VM.
type Tracer struct {
	tracer     trace.Tracer
	propagator propagation.TextMapPropagator
	shutdown   func(ctx context.Context) error
}

// New returns a tracer that exports to the OTLP endpoint, an URL; without an
// endpoint it records nothing and passes the trace context on as it came.
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

// Shutdown exports what is left.
func (trc *Tracer) Shutdown(ctx context.Context) error { return trc.shutdown(ctx) }

// StartRequest starts the span of a request as a child of the caller's, if any.
func (trc *Tracer) StartRequest(ctx context.Context, hdr http.Header) (context.Context, trace.Span) {
	ctx = trc.propagator.Extract(ctx, propagation.HeaderCarrier(hdr))
	return trc.tracer.Start(ctx, "entry", trace.WithSpanKind(trace.SpanKindServer))
}

// StartAttempt starts the span of an attempt at a target.
func (trc *Tracer) StartAttempt(ctx context.Context, target string, attempt int) (context.Context, trace.Span) {
	return trc.tracer.Start(ctx, "target attempt", trace.WithSpanKind(trace.SpanKindClient),
		trace.WithAttributes(attribute.String("target", target), attribute.Int("attempt", attempt)))
}

// Inject writes the context of the present span into the headers of a request.
func (trc *Tracer) Inject(ctx context.Context, hdr http.Header) {
	if trace.SpanContextFromContext(ctx).IsValid() {
		trc.propagator.Inject(ctx, propagation.HeaderCarrier(hdr))
	}
}
