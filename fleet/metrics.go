package fleet

import (
	"context"
	"fmt"
	"time"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

// metrics are the instruments of a node.
type metrics struct {
	accepted, starts, stops, ends, released, takeovers, refusedStarts, overcommits                         metric.Int64Counter
	commits                                                                                                metric.Float64Histogram
	commitJobs                                                                                             metric.Int64Counter
	startDelay                                                                                             metric.Float64Histogram
	paceCalls                                                                                              metric.Int64Counter
	stoppedWait, leaseWaits                                                                                metric.Float64Histogram
	violations, readingInterval                                                                            metric.Float64Histogram
	quarantines, crashes, givenUp, setAside                                                                metric.Int64Counter
	outages                                                                                                metric.Float64Histogram
	longestOutage                                                                                          metric.Float64Gauge
	predictionRatio, declaredRatio                                                                         metric.Float64Histogram
	unreadableModels                                                                                       metric.Int64Counter
	refusedJobs, withdrawnCommits                                                                          metric.Int64Counter
	incompleteLists, doubtfulReports, splitOrders, longCheckpoints, fencedRunners, staleRuns, withheldEnds metric.Int64Counter
	unboundedRows                                                                                          metric.Int64Counter
	heldBackEnds                                                                                           metric.Float64Histogram
	jobPrediction                                                                                          metric.Float64Histogram
	speedChoices, slowWorkers                                                                              metric.Int64Counter
	copies, copiesWon                                                                                      metric.Int64Counter
	cycles                                                                                                 metric.Float64Histogram
	unread, reducedWork, waiting                                                                           metric.Int64Gauge
	unreadAge                                                                                              metric.Float64Gauge
	unreached, refusedReports                                                                              metric.Int64Counter
	permitCalls                                                                                            metric.Int64Counter
	permitWaits                                                                                            metric.Float64Histogram
	permitQueue                                                                                            metric.Int64Gauge
}

// ratioBoundaries are the buckets of the ratios of run times. Declared values are
// off by up to a factor of ten.
var ratioBoundaries = []float64{0.1, 0.14, 0.2, 0.3, 0.45, 0.7, 0.85, 1, 1.2, 1.4, 2.2, 3.2, 5, 7, 10}

func newMetrics(meters metric.MeterProvider) (*metrics, error) {
	meter := meters.Meter("daisywall/fleet")
	m := &metrics{}
	var err error
	counter := func(into *metric.Int64Counter, name, description string) {
		if err == nil {
			*into, err = meter.Int64Counter(name, metric.WithDescription(description))
		}
	}
	counter(&m.accepted, "daisywall.fleet.accepted", "Jobs accepted by queue")
	counter(&m.starts, "daisywall.fleet.starts", "Starts ordered by queue")
	counter(&m.stops, "daisywall.fleet.stops", "Stops of assigned runs ordered by reason")
	counter(&m.ends, "daisywall.fleet.ends", "Ends of runs by kind")
	counter(&m.released, "daisywall.fleet.released", "Runs released without an end of their own by reason")
	counter(&m.takeovers, "daisywall.fleet.takeovers", "Leaderships taken over")
	counter(&m.refusedStarts, "daisywall.fleet.refused", "Starts refused by the runner by reason")
	counter(&m.overcommits, "daisywall.fleet.overcommits", "Workers whose capacity shrank below what their runs reserve by resource")
	counter(&m.paceCalls, "daisywall.fleet.pace.calls", "Changes of pace sent to the runner by outcome")
	counter(&m.quarantines, "daisywall.fleet.quarantines", "Quarantines of workers by cause")
	counter(&m.crashes, "daisywall.fleet.crashes", "Crashes of runners by failure domain")
	counter(&m.givenUp, "daisywall.fleet.given_up", "Jobs failed since a task crashed its runners by queue")
	counter(&m.setAside, "daisywall.fleet.set_aside", "Jobs set aside after a panic by operation")
	counter(&m.unreadableModels, "daisywall.fleet.model.unreadable", "Stored models that a new leader could not read by row")
	counter(&m.refusedJobs, "daisywall.fleet.refused_jobs", "Submissions refused by reason")
	counter(&m.withdrawnCommits, "daisywall.fleet.commit.withdrawn", "Commits taken back since the store had refused them")
	counter(&m.slowWorkers, "daisywall.fleet.workers.slow", "Workers that became slow, or no longer are, by the model of run times")
	counter(&m.speedChoices, "daisywall.fleet.placement.by_speed", "Placements that the speeds of the workers have changed by choice")
	counter(&m.copies, "daisywall.fleet.copies", "Copies of speculative tasks started by queue")
	counter(&m.copiesWon, "daisywall.fleet.copies.won", "Copies that were done before the first run by queue")
	counter(&m.commitJobs, "daisywall.fleet.commit.jobs", "Jobs written by commits")
	seconds := func(into *metric.Float64Histogram, name, description string) {
		if err == nil {
			*into, err = meter.Float64Histogram(name, metric.WithUnit("s"), metric.WithDescription(description))
		}
	}
	seconds(&m.commits, "daisywall.fleet.commit.seconds", "Time of a commit")
	seconds(&m.startDelay, "daisywall.fleet.start.seconds", "Time of a start at the runner")
	seconds(&m.violations, "daisywall.fleet.violation.seconds", "Time for which the readings of a service were over its latency target")
	seconds(&m.readingInterval, "daisywall.fleet.reading.interval.seconds", "Time between two readings of the runner")
	seconds(&m.stoppedWait, "daisywall.fleet.stopped.wait.seconds", "Time from the end of a run that was stopped or moved because of a service to the assignment of its task")
	seconds(&m.outages, "daisywall.fleet.outage.seconds", "Time for which a long-running task was not at work")
	ratios := func(into *metric.Float64Histogram, name, description string) {
		if err == nil {
			*into, err = meter.Float64Histogram(name, metric.WithUnit("1"), metric.WithDescription(description),
				metric.WithExplicitBucketBoundaries(ratioBoundaries...))
		}
	}
	ratios(&m.predictionRatio, "daisywall.fleet.prediction.ratio", "Ratio of the predicted to the real run time of a task")
	ratios(&m.declaredRatio, "daisywall.fleet.declared.ratio", "Ratio of the declared to the real run time of a task")
	if err == nil {
		m.jobPrediction, err = meter.Float64Histogram("daisywall.fleet.job.prediction.ratio",
			metric.WithDescription("Ratio of the predicted to the real time from the acceptance of a job to its end by queue"),
			metric.WithExplicitBucketBoundaries(0.1, 0.2, 0.35, 0.5, 0.7, 0.85, 1, 1.2, 1.4, 2, 3, 5, 10))
	}
	for _, add := range []func(metric.Meter) error{m.addLoad, m.addRunners, m.addLeases, m.addPermits} {
		if err == nil {
			err = add(meter)
		}
	}
	if err != nil {
		return nil, fmt.Errorf("fleet metrics: %w", err)
	}
	return m, nil
}

// addLeases adds the instruments of waits for leases and of rows without their bounds.
func (m *metrics) addLeases(meter metric.Meter) (err error) {
	if m.leaseWaits, err = meter.Float64Histogram("daisywall.fleet.lease.wait.seconds", metric.WithUnit("s"),
		metric.WithDescription("Time from the last report of a worker to this leader, or from the takeover, to the release of its long-running runs as lapsed by rule")); err != nil {
		return err
	}
	m.unboundedRows, err = meter.Int64Counter("daisywall.fleet.rows.unbounded",
		metric.WithDescription("Leadership rows without bounds of leases, since they did not fit, by kind"))
	return err
}

// addRunners adds the instruments of long-running tasks without a run, of lists that lack
// ends, of split orders and of doubtful and refused reports of runners.
func (m *metrics) addRunners(meter metric.Meter) (err error) {
	if m.longestOutage, err = meter.Float64Gauge("daisywall.fleet.outage.longest.seconds", metric.WithUnit("s"),
		metric.WithDescription("Longest time for which a long-running task has not been at work by now")); err != nil {
		return err
	}
	if m.incompleteLists, err = meter.Int64Counter("daisywall.fleet.lists.incomplete",
		metric.WithDescription("Lists of runs that lacked ends by failure domain")); err != nil {
		return err
	}
	if m.waiting, err = meter.Int64Gauge("daisywall.fleet.jobs.waiting",
		metric.WithDescription("Accepted jobs of which no task has started by queue")); err != nil {
		return err
	}
	if m.splitOrders, err = meter.Int64Counter("daisywall.fleet.orders.split",
		metric.WithDescription("Messages to a worker that had no room for all starts")); err != nil {
		return err
	}
	if m.withheldEnds, err = meter.Int64Counter("daisywall.fleet.ends.withheld",
		metric.WithDescription("Times at which the lease of a worker had to lapse before an end of a stale run was acknowledged")); err != nil {
		return err
	}
	if m.fencedRunners, err = meter.Int64Counter("daisywall.fleet.runners.fenced",
		metric.WithDescription("Restarted runners in which an agent has fenced off the calls of earlier sessions")); err != nil {
		return err
	}
	if m.staleRuns, err = meter.Int64Counter("daisywall.fleet.runs.stale",
		metric.WithDescription("Runs that calls of earlier sessions have started in a restarted runner, by their end")); err != nil {
		return err
	}
	if m.longCheckpoints, err = meter.Int64Counter("daisywall.fleet.checkpoints.dropped",
		metric.WithDescription("Checkpoints that were too long to be kept, or for which the state of their job had no room")); err != nil {
		return err
	}
	if m.doubtfulReports, err = meter.Int64Counter("daisywall.fleet.reports.doubtful",
		metric.WithDescription("Reports of the host's runner that contradict the last accepted one by claim")); err != nil {
		return err
	}
	if m.refusedReports, err = meter.Int64Counter("daisywall.fleet.reports.refused",
		metric.WithDescription("Reports that cannot be of the host's runner by reason")); err != nil {
		return err
	}
	m.heldBackEnds, err = meter.Float64Histogram("daisywall.fleet.ends.held_back.seconds", metric.WithUnit("s"),
		metric.WithDescription("Time for which the lists of a worker lacked ends"))
	return err
}

// addPermits adds the instruments of the calls for permits.
func (m *metrics) addPermits(meter metric.Meter) (err error) {
	if m.permitCalls, err = meter.Int64Counter("daisywall.fleet.permits.calls",
		metric.WithDescription("Calls to the permit service by outcome")); err != nil {
		return err
	}
	if m.permitQueue, err = meter.Int64Gauge("daisywall.fleet.permits.waiting",
		metric.WithDescription("Steps that wait for a call to the permit service")); err != nil {
		return err
	}
	m.permitWaits, err = meter.Float64Histogram("daisywall.fleet.permits.wait.seconds", metric.WithUnit("s"),
		metric.WithDescription("Time from the need of a step for permits to the answer"))
	return err
}

// addLoad adds the instruments of the load of the leader's loop.
func (m *metrics) addLoad(meter metric.Meter) (err error) {
	if m.cycles, err = meter.Float64Histogram("daisywall.fleet.cycle.seconds", metric.WithUnit("s"),
		metric.WithDescription("Time of a scheduling cycle of the leader with pending tasks"),
		metric.WithExplicitBucketBoundaries(.0005, .001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2)); err != nil {
		return err
	}
	if m.unreached, err = meter.Int64Counter("daisywall.fleet.cycle.unreached",
		metric.WithDescription("Demands that a scheduling cycle did not reach before its budget was spent")); err != nil {
		return err
	}
	if m.unreadAge, err = meter.Float64Gauge("daisywall.fleet.unread.age.seconds", metric.WithUnit("s"),
		metric.WithDescription("Longest time for which the oldest unread message of the leader has waited since the last record")); err != nil {
		return err
	}
	if m.unread, err = meter.Int64Gauge("daisywall.fleet.unread", metric.WithDescription("Messages that the leader has not read")); err != nil {
		return err
	}
	m.reducedWork, err = meter.Int64Gauge("daisywall.fleet.overload.level",
		metric.WithDescription("Work that an overloaded leader reduces: 1 readings, 2 also searches, 3 also writes of the models, 0 without overload"))
	return err
}

func (m *metrics) count(c metric.Int64Counter, label string) {
	c.Add(context.Background(), 1, metric.WithAttributes(attribute.String("by", label)))
}

func (m *metrics) recordCommit(took time.Duration, jobs int) {
	m.commits.Record(context.Background(), took.Seconds())
	m.commitJobs.Add(context.Background(), int64(jobs))
}

// recordPrediction records the ratios of the predicted and the declared run time of
// a task, 0 if there is none, to the real one.
func (m *metrics) recordPrediction(predicted, declared, took time.Duration) {
	if predicted > 0 {
		m.predictionRatio.Record(context.Background(), predicted.Seconds()/took.Seconds())
	}
	if declared > 0 {
		m.declaredRatio.Record(context.Background(), declared.Seconds()/took.Seconds())
	}
}

func (m *metrics) recordLoad(unread int64, oldest time.Duration, level workLevel) {
	m.unread.Record(context.Background(), unread)
	m.unreadAge.Record(context.Background(), oldest.Seconds())
	m.reducedWork.Record(context.Background(), int64(level))
}

func (m *metrics) recordPermitWaits(steps int) {
	m.permitQueue.Record(context.Background(), int64(steps))
}

func (m *metrics) recordWaiting(queue string, jobs int64) {
	m.waiting.Record(context.Background(), jobs, metric.WithAttributes(attribute.String("by", queue)))
}

func (m *metrics) recordCycle(took time.Duration, unreached int) {
	m.cycles.Record(context.Background(), took.Seconds())
	if unreached > 0 {
		m.unreached.Add(context.Background(), int64(unreached))
	}
}
