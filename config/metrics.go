package config

import (
	"context"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// counters are the metrics of this package.
type counters struct {
	revision metric.Int64Gauge
	updates  metric.Int64Counter
	polls    metric.Int64Counter
}

func newCounters() *counters {
	meter := otel.Meter("github.com/daisywall/daisywall/config")
	c := &counters{}
	c.revision, _ = meter.Int64Gauge("daisywall.config.revision",
		metric.WithDescription("Revision of the configuration in force in this daemon."))
	c.updates, _ = meter.Int64Counter("daisywall.config.updates",
		metric.WithDescription("Updates by result: applied, old, base, corrupt, encode."))
	c.polls, _ = meter.Int64Counter("daisywall.config.polls",
		metric.WithDescription("Polls of the head row by result: same, changed, failed."))
	return c
}

func (c *counters) applied(revision int64) {
	c.revision.Record(context.Background(), revision)
	c.rejected("applied")
}

func (c *counters) rejected(result string) {
	c.updates.Add(context.Background(), 1, metric.WithAttributes(attribute.String("result", result)))
}

func (c *counters) polled(result string) {
	c.polls.Add(context.Background(), 1, metric.WithAttributes(attribute.String("result", result)))
}
