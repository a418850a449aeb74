package config

import (
	"context"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// instruments holds the metric instruments of this package.
type instruments struct {
	revision metric.Int64Gauge
	updates  metric.Int64Counter
	polls    metric.Int64Counter
}

func newInstruments() *instruments {
	meter := otel.Meter("github.com/daisywall/daisywall/config")
	c := &instruments{}
	c.revision, _ = meter.Int64Gauge("daisywall.config.revision",
		metric.WithDescription("Revision of the configuration in force in this daemon."))
	c.updates, _ = meter.Int64Counter("daisywall.config.updates",
		metric.WithDescription("Updates by result: applied, old, base, corrupt, encode."))
	c.polls, _ = meter.Int64Counter("daisywall.config.polls",
		metric.WithDescription("Polls of the head row by result: same, changed, failed."))
	return c
}

func (c *instruments) recordApplied(revision int64) {
	c.revision.Record(context.Background(), revision)
	c.countUpdate("applied")
}

func (c *instruments) countUpdate(result string) {
	c.updates.Add(context.Background(), 1, metric.WithAttributes(attribute.String("result", result)))
}

func (c *instruments) countPoll(result string) {
	c.polls.Add(context.Background(), 1, metric.WithAttributes(attribute.String("result", result)))
}
