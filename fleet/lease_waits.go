package fleet

import (
	"context"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
	"go.uber.org/zap"

	"github.com/daisywall/daisywall/bootclock"
)

// leaseRule is the knowledge from which a leader derives when the leases of a worker end.
type leaseRule string

// Rules by which a leader waits for the leases of a worker, as in logs and metrics.
const (
	ruleHorizon  leaseRule = "horizon"    // the longest lease that earlier leaders can have granted
	ruleBound    leaseRule = "bound"      // the leadership row of an earlier leader bounds them
	ruleHandover leaseRule = "handover"   // an earlier leader has bounded the leases of all workers when it stopped
	ruleWitness  leaseRule = "witnesses"  // most of the earlier leader's witnesses attend this one
	ruleList     leaseRule = "first list" // the worker has listed its runs to this leader
	ruleGranted  leaseRule = "granted"    // this leader has granted the last lease
	// ruleIncarnation: the runner's incarnation may have accepted a longer lease, with a call
	// for an earlier one.
	ruleIncarnation leaseRule = "incarnation"
)

// leaseRule returns the rule that gives the end of leases by which long-running runs of the
// worker are released if it does not return.
func (w *worker) leaseRule(end bootclock.Time) leaseRule {
	stated, statedBy := w.statedLeaseEnd()
	switch {
	case w.listedAt == 0 && w.boundEndsAt > 0:
		return ruleBound
	case w.listedAt == 0 && stated > 0:
		return statedBy
	case w.listedAt == 0:
		return ruleHorizon
	case end <= w.grantedEndsAt:
		return ruleGranted
	case w.isLeaseLimitedByList:
		return ruleList
	case end == stated:
		return statedBy
	default:
		return ruleIncarnation
	}
}

// longRunningRuns returns the number of long-running runs of the worker.
func (w *worker) longRunningRuns() int {
	n := 0
	for _, r := range w.runs {
		if r.job.Step(r.id.Task).LongRunning {
			n++
		}
	}
	return n
}

// leaseWaitReportedAfter is how long a worker has not listed its runs to a new leader
// before the leader logs that it waits for the worker's leases.
const leaseWaitReportedAfter = time.Second

// reportLeaseWait logs once for each worker with long-running runs that this leader waits
// for its leases.
func (l *leader) reportLeaseWait(w *worker, now bootclock.Time) {
	if w.isLeaseWaitReported || w.listedAt > 0 || now.Sub(l.startedAt) < leaseWaitReportedAfter {
		return
	}
	w.isLeaseWaitReported = true
	longRunning := w.longRunningRuns()
	if longRunning == 0 {
		return
	}
	end := w.settledLeaseEnd()
	l.log.Info("waits for the leases of a worker", zap.String("worker", string(w.id)), zap.String("rule", string(w.leaseRule(end))),
		zap.Duration("waited", now.Sub(l.startedAt)), zap.Duration("left", end.Sub(now)), zap.Int("long_running", longRunning), zap.Bool("attends", w.session != nil))
}

// recordLeaseWait records that long-running runs of the worker are released since its
// leases have lapsed.
func (l *leader) recordLeaseWait(w *worker, rule leaseRule, now bootclock.Time) {
	since := max(l.startedAt, w.reportedAt)
	l.metrics.leaseWaits.Record(context.Background(), now.Sub(since).Seconds(), metric.WithAttributes(attribute.String("rule", string(rule))))
}
