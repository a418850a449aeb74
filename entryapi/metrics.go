package entryapi

import (
	"context"
	"fmt"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/daisywall/daisywall/structs"
)

// instruments holds the metric instruments of the API.
type instruments struct {
	requests metric.Int64Counter
	latency  metric.Float64Histogram
	jobs     metric.Int64Counter
}

func newInstruments(meter metric.Meter) (instruments, error) {
	requests, err := meter.Int64Counter("daisywall_requests", metric.WithDescription("Requests by team, kind and outcome."))
	if err != nil {
		return instruments{}, fmt.Errorf("create requests counter: %w", err)
	}
	latency, err := meter.Float64Histogram("daisywall_request_seconds",
		metric.WithDescription("Time from the head of a request to its whole answer."),
		metric.WithUnit("s"),
		metric.WithExplicitBucketBoundaries(.001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5))
	if err != nil {
		return instruments{}, fmt.Errorf("create latency histogram: %w", err)
	}
	jobs, err := meter.Int64Counter("daisywall_jobs_submitted", metric.WithDescription("Accepted jobs by team and class."))
	if err != nil {
		return instruments{}, fmt.Errorf("create jobs counter: %w", err)
	}
	return instruments{requests: requests, latency: latency, jobs: jobs}, nil
}

func (i instruments) recordRequest(ctx context.Context, team structs.TeamID, kind, outcome string, latency time.Duration) {
	attributes := metric.WithAttributes(
		attribute.String("team", string(team)),
		attribute.String("kind", kind),
		attribute.String("outcome", outcome))
	i.requests.Add(ctx, 1, attributes)
	i.latency.Record(ctx, latency.Seconds(), attributes)
}
