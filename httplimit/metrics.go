package httplimit

import (
	"context"
	"fmt"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Reasons for which a connection is evicted.
const reasonConnections = "connections"

// metrics are the instruments of a limiter.
type metrics struct {
	server    attribute.KeyValue
	evictions metric.Int64Counter
}

func newMetrics(o Options, l *Limiter) (metrics, error) {
	m := metrics{server: attribute.String("server", o.Server)}
	var err error
	m.evictions, err = o.Meter.Int64Counter("daisywall.http.evictions", metric.WithDescription("Connections closed to make room by reason"))
	if err != nil {
		return metrics{}, fmt.Errorf("create eviction counter: %w", err)
	}
	_, err = o.Meter.Int64ObservableGauge("daisywall.http.connections", metric.WithDescription("Open connections of clients"),
		metric.WithInt64Callback(func(_ context.Context, observer metric.Int64Observer) error {
			observer.Observe(int64(l.openConnections()), metric.WithAttributes(m.server))
			return nil
		}))
	if err != nil {
		return metrics{}, fmt.Errorf("create connection gauge: %w", err)
	}
	return m, nil
}

func (m *metrics) countEviction(reason string) {
	m.evictions.Add(context.Background(), 1, metric.WithAttributes(m.server, attribute.String("reason", reason)))
}
