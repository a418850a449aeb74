package httplimit

import (
	"context"
	"fmt"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// Reasons for which a connection is evicted.
const (
	reasonConnections = "connections"
	reasonMemory      = "memory"
)

// Reasons for which a request is refused.
const (
	refusalMemory   = "memory"
	refusalHeadSize = "head_size"
	refusalBodyTime = "body_time"
	refusalEvicted  = "evicted"  // the connection of the body had to make room
	refusalDecoding = "decoding" // no turn before the deadline
)

// metrics are the instruments of a limiter.
type metrics struct {
	server              attribute.KeyValue
	evictions, refusals metric.Int64Counter
}

func newMetrics(o Options, l *Limiter) (metrics, error) {
	m := metrics{server: attribute.String("server", o.Server)}
	var err error
	m.evictions, err = o.Meter.Int64Counter("daisywall.http.evictions", metric.WithDescription("Connections closed to make room by reason"))
	if err != nil {
		return metrics{}, fmt.Errorf("create eviction counter: %w", err)
	}
	m.refusals, err = o.Meter.Int64Counter("daisywall.http.refusals", metric.WithDescription("Requests refused before they were read by reason"))
	if err != nil {
		return metrics{}, fmt.Errorf("create refusal counter: %w", err)
	}
	connections, err := o.Meter.Int64ObservableGauge("daisywall.http.connections", metric.WithDescription("Open connections of clients"))
	if err != nil {
		return metrics{}, fmt.Errorf("create connection gauge: %w", err)
	}
	memory, err := o.Meter.Int64ObservableGauge("daisywall.http.reserved", metric.WithDescription("Memory reserved for requests of clients"), metric.WithUnit("By"))
	if err != nil {
		return metrics{}, fmt.Errorf("create memory gauge: %w", err)
	}
	_, err = o.Meter.RegisterCallback(func(_ context.Context, observer metric.Observer) error {
		open, reserved := l.usage()
		observer.ObserveInt64(connections, int64(open), metric.WithAttributes(m.server))
		observer.ObserveInt64(memory, reserved, metric.WithAttributes(m.server))
		return nil
	}, connections, memory)
	if err != nil {
		return metrics{}, fmt.Errorf("observe usage: %w", err)
	}
	return m, nil
}

func (m *metrics) countEviction(reason string) {
	m.evictions.Add(context.Background(), 1, metric.WithAttributes(m.server, attribute.String("reason", reason)))
}

func (m *metrics) countRefusal(reason string) {
	m.refusals.Add(context.Background(), 1, metric.WithAttributes(m.server, attribute.String("reason", reason)))
}
