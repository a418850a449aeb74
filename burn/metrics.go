package burn

import (
	"context"

	"go.opentelemetry.io/otel"
	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// metrics holds the metric instruments of this package.
type metrics struct {
	dropped    metric.Int64Counter
	flushes    metric.Int64Counter
	foldedRows metric.Int64Counter
}

func newMetrics() *metrics {
	meter := otel.Meter("github.com/daisywall/daisywall/burn")
	m := &metrics{}
	m.dropped, _ = meter.Int64Counter("daisywall.burn.dropped",
		metric.WithDescription("Counts that were lost, by cause: keys (too many), overtaken (folded before a write was settled)."))
	m.flushes, _ = meter.Int64Counter("daisywall.burn.flushes",
		metric.WithDescription("Rows written by result: written, unavailable, unknown, overtaken."))
	m.foldedRows, _ = meter.Int64Counter("daisywall.burn.folded",
		metric.WithDescription("Rows packed into hours or days."))
	return m
}

func (m *metrics) countDropped(cause string) {
	m.dropped.Add(context.Background(), 1, metric.WithAttributes(attribute.String("cause", cause)))
}

func (m *metrics) countFlush(result string) {
	m.flushes.Add(context.Background(), 1, metric.WithAttributes(attribute.String("result", result)))
}

func (m *metrics) countFolded(n int) { m.foldedRows.Add(context.Background(), int64(n)) }
