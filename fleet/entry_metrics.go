package fleet

import (
	"context"
	"fmt"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// entryMetrics are the instruments of an entry. A nil value records nothing.
type entryMetrics struct {
	attempts, reads metric.Int64Counter
	unanswered      metric.Float64Histogram
}

// Instrument makes the entry record its metrics. It must be called before the first
// call.
func (e *Entry) Instrument(meters metric.MeterProvider) error {
	meter := meters.Meter("daisywall/fleet")
	m := &entryMetrics{}
	var err error
	if m.attempts, err = meter.Int64Counter("daisywall.fleet.entry.attempts", metric.WithDescription("Attempts of calls to the leader by result")); err != nil {
		return fmt.Errorf("entry metrics: %w", err)
	}
	if m.reads, err = meter.Int64Counter("daisywall.fleet.entry.reads", metric.WithDescription("Reads of the leadership row by result")); err != nil {
		return fmt.Errorf("entry metrics: %w", err)
	}
	if m.unanswered, err = meter.Float64Histogram("daisywall.fleet.entry.unanswered.seconds", metric.WithUnit("s"),
		metric.WithDescription("Time from the start of a call with an attempt without an answer to its end by result")); err != nil {
		return fmt.Errorf("entry metrics: %w", err)
	}
	e.leaders.metrics = m
	return nil
}

func (m *entryMetrics) countRead(result string) {
	if m != nil {
		m.reads.Add(context.Background(), 1, metric.WithAttributes(attribute.String("by", result)))
	}
}

func (m *entryMetrics) countAttempt(result string) {
	if m != nil {
		m.attempts.Add(context.Background(), 1, metric.WithAttributes(attribute.String("by", result)))
	}
}

func (m *entryMetrics) recordUnanswered(result string, took time.Duration) {
	if m != nil {
		m.unanswered.Record(context.Background(), took.Seconds(), metric.WithAttributes(attribute.String("by", result)))
	}
}
