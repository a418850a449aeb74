package client

import (
	"context"
	"fmt"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"google.golang.org/grpc/status"
)

// metrics holds the counters of a connection.
type metrics struct {
	calls                  metric.Int64Counter
	connectionReplacements metric.Int64Counter
}

func newMetrics(meters metric.MeterProvider) (*metrics, error) {
	meter := meters.Meter("daisywall/platform/client")
	calls, err := meter.Int64Counter("daisywall.platform.calls", metric.WithDescription("Calls to the platform by service, method and status"))
	if err != nil {
		return nil, fmt.Errorf("create platform counters: %w", err)
	}
	connectionReplacements, err := meter.Int64Counter("daisywall.platform.replaced", metric.WithDescription("Connections replaced after silence"))
	if err != nil {
		return nil, fmt.Errorf("create platform counters: %w", err)
	}
	return &metrics{calls: calls, connectionReplacements: connectionReplacements}, nil
}

func (m *metrics) recordCall(op operation, err error) {
	m.calls.Add(context.Background(), 1, metric.WithAttributes(
		attribute.String("service", op.dependency),
		attribute.String("method", op.method),
		attribute.String("status", status.Code(err).String()),
	))
}
