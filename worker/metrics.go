package worker

import (
	"context"
	"errors"
	"fmt"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/daisywall/daisywall/api/daisywallpb"
)

// metrics holds the counters of an agent.
type metrics struct {
	heartbeats     metric.Int64Counter
	restarts       metric.Int64Counter
	starts         metric.Int64Counter
	rejections     metric.Int64Counter
	evictions      metric.Int64Counter
	actionFailures metric.Int64Counter
}

func newMetrics(meters metric.MeterProvider) (*metrics, error) {
	meter := meters.Meter("daisywall/worker")
	var errs []error
	counter := func(name, description string) metric.Int64Counter {
		c, err := meter.Int64Counter("daisywall.worker."+name, metric.WithDescription(description))
		errs = append(errs, err)
		return c
	}
	m := &metrics{
		heartbeats:     counter("heartbeats", "Heartbeats by outcome"),
		restarts:       counter("runtime_restarts", "Incarnations of the runtime after the first"),
		starts:         counter("starts", "Attempts started"),
		rejections:     counter("rejections", "Assignments rejected, by reason"),
		evictions:      counter("evictions", "Evictions by whether the checkpoint was written"),
		actionFailures: counter("action_failures", "Actions that the runtime did not take, by verb"),
	}
	if err := errors.Join(errs...); err != nil {
		return nil, fmt.Errorf("worker counters: %w", err)
	}
	return m, nil
}

func (m *metrics) countAnsweredHeartbeat(ctx context.Context) {
	m.heartbeats.Add(ctx, 1, metric.WithAttributes(attribute.String("outcome", "answered")))
}

func (m *metrics) countFailedHeartbeat(ctx context.Context) {
	m.heartbeats.Add(ctx, 1, metric.WithAttributes(attribute.String("outcome", "failed")))
}

func (m *metrics) countRuntimeRestart(ctx context.Context) { m.restarts.Add(ctx, 1) }

func (m *metrics) countStart(ctx context.Context) { m.starts.Add(ctx, 1) }

func (m *metrics) countRejections(ctx context.Context, list []*daisywallpb.Rejection) {
	for _, r := range list {
		m.rejections.Add(ctx, 1, metric.WithAttributes(attribute.String("reason", r.GetReason())))
	}
}

func (m *metrics) countFailedAction(ctx context.Context, action *daisywallpb.Action) {
	m.actionFailures.Add(ctx, 1, metric.WithAttributes(attribute.String("verb", action.GetVerb().String())))
}

func (m *metrics) countEviction(ctx context.Context, checkpoint bool) {
	m.evictions.Add(ctx, 1, metric.WithAttributes(attribute.Bool("checkpoint", checkpoint)))
}
