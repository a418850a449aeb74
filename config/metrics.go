package config

import (
	"context"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// metrics holds the metric instruments of this package.
type metrics struct {
	revision metric.Int64Gauge
	updates  metric.Int64Counter
	polls    metric.Int64Counter
}

func newMetrics() *metrics {
	meter := otel.Meter("github.com/daisywall/daisywall/config")
	i := &metrics{}
	i.revision, _ = meter.Int64Gauge("daisywall.config.revision",
		metric.WithDescription("Revision of the configuration in force in this daemon."))
	i.updates, _ = meter.Int64Counter("daisywall.config.updates",
		metric.WithDescription("Updates by result: applied, old, base, corrupt, encode."))
	i.polls, _ = meter.Int64Counter("daisywall.config.polls",
		metric.WithDescription("Polls of the head row by result: same, changed, failed."))
	return i
}

func (i *metrics) recordApplied(revision int64) {
	i.revision.Record(context.Background(), revision)
	i.countUpdate("applied")
}

func (i *metrics) countUpdate(result string) {
	i.updates.Add(context.Background(), 1, metric.WithAttributes(attribute.String("result", result)))
}

func (i *metrics) countPoll(result string) {
	i.polls.Add(context.Background(), 1, metric.WithAttributes(attribute.String("result", result)))
}
