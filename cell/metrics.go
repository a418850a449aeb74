package cell

import (
	"context"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"

	"github.com/daisywall/daisywall/structs"
)

// meterName is the instrumentation scope of the package.
const meterName = "github.com/daisywall/daisywall/cell"

// metrics holds the counters that a node records.
type metrics struct {
	takeovers              metric.Int64Counter
	stepDowns              metric.Int64Counter
	commits                metric.Int64Counter
	records                metric.Int64Counter
	logBytes               metric.Int64Counter
	unknownOutcomes        metric.Int64Counter
	conflicts              metric.Int64Counter
	starts                 metric.Int64Counter
	ends                   metric.Int64Counter
	rejections             metric.Int64Counter
	heartbeats             metric.Int64Counter
	staleHeartbeats        metric.Int64Counter
	heartbeatsWithoutLease metric.Int64Counter
	snapshots              metric.Int64Counter
	handoffs               metric.Int64Counter
}

// newMetrics registers the counters.
func newMetrics(provider metric.MeterProvider) (*metrics, error) {
	meter := provider.Meter(meterName)
	m := &metrics{}
	for _, c := range []struct {
		out  *metric.Int64Counter
		name string
		help string
	}{
		{&m.takeovers, "daisywall.cell.takeovers", "Leaderships taken over"},
		{&m.stepDowns, "daisywall.cell.step_downs", "Leaderships lost to a newer epoch"},
		{&m.commits, "daisywall.cell.commits", "Log rows and renewals committed"},
		{&m.records, "daisywall.cell.records", "Records in committed log rows"},
		{&m.logBytes, "daisywall.cell.log_bytes", "Bytes of committed log rows"},
		{&m.unknownOutcomes, "daisywall.cell.unknown_outcomes", "Writes whose answer was lost"},
		{&m.conflicts, "daisywall.cell.conflicts", "Writes refused by a comparison"},
		{&m.starts, "daisywall.cell.starts", "Attempts committed"},
		{&m.ends, "daisywall.cell.ends", "Ends of attempts committed, by cause"},
		{&m.rejections, "daisywall.cell.rejections", "Assignments that agents rejected"},
		{&m.heartbeats, "daisywall.cell.heartbeats", "Heartbeats received"},
		{&m.staleHeartbeats, "daisywall.cell.stale_heartbeats", "Heartbeats whose age is not proved"},
		{&m.heartbeatsWithoutLease, "daisywall.cell.unrenewed", "Heartbeats answered without leases"},
		{&m.snapshots, "daisywall.cell.snapshots", "Snapshots committed"},
		{&m.handoffs, "daisywall.cell.handoffs", "Tasks handed over to other cells"},
	} {
		counter, err := meter.Int64Counter(c.name, metric.WithDescription(c.help))
		if err != nil {
			return nil, err
		}
		*c.out = counter
	}
	return m, nil
}

// count adds to a counter.
func count(c metric.Int64Counter, n int) {
	if n != 0 {
		c.Add(context.Background(), int64(n))
	}
}

// countEnd counts the end of an attempt.
func (m *metrics) countEnd(cause structs.EndCause) {
	m.ends.Add(context.Background(), 1, metric.WithAttributes(attribute.String("cause", string(cause))))
}
