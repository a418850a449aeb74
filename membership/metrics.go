package membership

import (
	"go.opentelemetry.io/otel/metric"
	"go.opentelemetry.io/otel/metric/noop"
)

// localMetrics are the counters of LocalTargets.
type localMetrics struct {
	announcements metric.Int64Counter
	left          metric.Int64Counter
	expired       metric.Int64Counter
}

// announcerMetrics are the counters of Announcer.
type announcerMetrics struct {
	registrations metric.Int64Counter
	failures      metric.Int64Counter
}

// registryMetrics are the counters of Registry and EntryDirectory.
type registryMetrics struct {
	registrations metric.Int64Counter
	stale         metric.Int64Counter
	expired       metric.Int64Counter
	bytes         metric.Int64Counter
	rowsRemoved   metric.Int64Counter
}

func meterOrNoop(meter metric.Meter) metric.Meter {
	if meter == nil {
		return noop.NewMeterProvider().Meter("membership")
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

func newLocalMetrics(meter metric.Meter) localMetrics {
	m := meterOrNoop(meter)
	return localMetrics{
		announcements: newCounter(m, "daisywall.membership.announcements", "announcements of local targets"),
		left:          newCounter(m, "daisywall.membership.targets_left", "local targets that left"),
		expired:       newCounter(m, "daisywall.membership.targets_expired", "local targets that stopped announcing"),
	}
}

func newAnnouncerMetrics(meter metric.Meter) announcerMetrics {
	m := meterOrNoop(meter)
	return announcerMetrics{
		registrations: newCounter(m, "daisywall.membership.registrations_sent", "registrations that an entry answered"),
		failures:      newCounter(m, "daisywall.membership.registrations_failed", "registrations without an answer"),
	}
}

func newRegistryMetrics(meter metric.Meter) registryMetrics {
	m := meterOrNoop(meter)
	return registryMetrics{
		registrations: newCounter(m, "daisywall.membership.registrations", "registrations taken"),
		stale:         newCounter(m, "daisywall.membership.registrations_stale", "registrations ignored as out of order"),
		expired:       newCounter(m, "daisywall.membership.agents_expired", "agents whose registration ended"),
		bytes:         newCounter(m, "daisywall.membership.registration_bytes", "bytes of registrations and their answers"),
		rowsRemoved:   newCounter(m, "daisywall.membership.entry_rows_removed", "rows of dead entries removed"),
	}
}
