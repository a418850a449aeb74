package request

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/structs"
)

// executorMetrics are the counters of Executor.
type executorMetrics struct {
	executions  metric.Int64Counter
	refusals    metric.Int64Counter
	duplicates  metric.Int64Counter
	settlements metric.Int64Counter
}

// routerMetrics are the counters of Router.
type routerMetrics struct {
	requests            metric.Int64Counter
	answers             metric.Int64Counter
	notRun              metric.Int64Counter
	unknown             metric.Int64Counter
	retries             metric.Int64Counter
	hedges              metric.Int64Counter
	settleCalls         metric.Int64Counter
	ejections           metric.Int64Counter
	replacedConnections metric.Int64Counter
}

func meterOrNoop(meter metric.Meter) metric.Meter {
	if meter == nil {
		return noop.NewMeterProvider().Meter("request")
	}
	return meter
}

func newCounter(meter metric.Meter, name, description string) metric.Int64Counter {
	c, err := meter.Int64Counter(name, metric.WithDescription(description))
	if err != nil {
		return noop.Int64Counter{}
	}
	return c
}

func newExecutorMetrics(meter metric.Meter) executorMetrics {
	m := meterOrNoop(meter)
	return executorMetrics{
		executions:  newCounter(m, "daisywall.request.executions", "requests sent to a target, by outcome"),
		refusals:    newCounter(m, "daisywall.request.agent_refusals", "requests refused before they began, by reason"),
		duplicates:  newCounter(m, "daisywall.request.duplicates", "deliveries of an ID that was known"),
		settlements: newCounter(m, "daisywall.request.settlements", "settled requests, by outcome"),
	}
}

// observeLedger registers gauges for the size of the ledger.
func observeLedger(meter metric.Meter, l *ledger) {
	m := meterOrNoop(meter)
	observe := func(name, description string, read func() int) {
		_, _ = m.Int64ObservableGauge(name, metric.WithDescription(description),
			metric.WithInt64Callback(func(_ context.Context, o metric.Int64Observer) error {
				o.Observe(int64(read()))
				return nil
			}))
	}
	observe("daisywall.request.ledger_records", "request IDs remembered", func() int { records, _ := l.size(); return records })
	observe("daisywall.request.ledger_bytes", "bytes of retained answers", func() int { _, bytes := l.size(); return bytes })
}

func newRouterMetrics(meter metric.Meter) routerMetrics {
	m := meterOrNoop(meter)
	return routerMetrics{
		requests:            newCounter(m, "daisywall.request.requests", "requests of callers, by team"),
		answers:             newCounter(m, "daisywall.request.answers", "requests answered, by team"),
		notRun:              newCounter(m, "daisywall.request.not_run", "requests refused as not run, by reason"),
		unknown:             newCounter(m, "daisywall.request.unknown", "requests whose outcome stayed unknown"),
		retries:             newCounter(m, "daisywall.request.retries", "repeated attempts"),
		hedges:              newCounter(m, "daisywall.request.hedges", "hedged attempts"),
		settleCalls:         newCounter(m, "daisywall.request.settles", "settlements asked for"),
		ejections:           newCounter(m, "daisywall.request.ejections", "targets ejected"),
		replacedConnections: newCounter(m, "daisywall.request.silences", "silent connections replaced"),
	}
}

// outcomeAttributes holds the metric attributes of every outcome, so that they
// are built only once.
var outcomeAttributes = func() map[daisywallpb.Outcome]metric.MeasurementOption {
	all := map[daisywallpb.Outcome]metric.MeasurementOption{}
	for number, name := range daisywallpb.Outcome_name {
		all[daisywallpb.Outcome(number)] = metric.WithAttributeSet(attribute.NewSet(attribute.String("outcome", name)))
	}
	return all
}()

func (m executorMetrics) countExecution(ctx context.Context, outcome daisywallpb.Outcome) {
	m.executions.Add(ctx, 1, outcomeAttributes[outcome])
}

func (m executorMetrics) countSettlement(ctx context.Context, outcome daisywallpb.Outcome) {
	m.settlements.Add(ctx, 1, metric.WithAttributes(attribute.String("outcome", outcome.String())))
}

func (m executorMetrics) countRefusal(reason structs.Reason) {
	m.refusals.Add(context.Background(), 1, metric.WithAttributes(attribute.String("reason", string(reason))))
}
