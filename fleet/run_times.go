package fleet

import (
	"context"
	"errors"
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/placement/runtimes"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

const (
	// runTimesWriteInterval is the shortest time between two writes of the model of
	// run times.
	runTimesWriteInterval = 3 * time.Second
	// runTimesReadGrace is how long a takeover waits for the stored model of run
	// times once all other rows were read. The row is read along with the others.
	runTimesReadGrace = 100 * time.Millisecond
	// expectedInterval is the time for which the expected run times of a job are
	// kept, so that a scheduling cycle does not predict each step of each job.
	expectedInterval = 500 * time.Millisecond
	// maxUnseenPercent is the highest progress in the first list of a run with which
	// its run time is derived from the rest.
	maxUnseenPercent = 50
)

// runTimes is the leader's model of run times with what is needed to store it.
type runTimes struct {
	model       *runtimes.Model
	hasUnstored bool           // there were observations since the last write
	writtenAt   bootclock.Time // when the model was last added to a commit
}

// jobRunTimes holds the run times of a job.
type jobRunTimes struct {
	steps    []runtimes.StepRuns // by step, nil until a task is done
	expected []time.Duration     // by step, see leader.remainingWork
	// pendingSince is, by step, the time since which no pending task was placed, 0 if
	// none is pending. It is kept only with PlaceBySpeed.
	pendingSince []bootclock.Time
	expectedAt   bootclock.Time // when expected was last updated
}

// endedRun is a run whose end was applied to its job.
type endedRun struct {
	id      structs.RunID
	worker  *worker
	run     *run // nil if the run was no longer assigned
	failed  bool
	resumed bool // it started from a checkpoint
}

// observeEnd adds a run that is done to the model of run times, and one that has
// failed to those that attributeFailures adds to it. A long-running task has no run
// time. The model decides nothing that a job depends
// on, so a panic in it must not end the leadership: the model is then replaced.
func (l *leader) observeEnd(j *job, e endedRun) {
	if j.Step(e.id.Task).LongRunning {
		return
	}
	if err := l.contain("run times", func() { l.observeRun(j, e) }); err != nil {
		l.runTimes.model = runtimes.New()
	}
}

// observeRuns adds failed runs to the model.
func (l *leader) observeRuns(failed []runtimes.Run) {
	if len(failed) == 0 {
		return
	}
	if err := l.contain("run times", func() {
		for _, r := range failed {
			l.runTimes.model.Observe(r)
		}
	}); err != nil {
		l.runTimes.model = runtimes.New()
	}
	l.runTimes.hasUnstored = true
}

func (l *leader) observeRun(j *job, e endedRun) {
	step, now := j.Step(e.id.Task), l.o.Clock()
	observed := runtimes.Run{Class: j.runClass(step), Declared: step.Estimate, Step: e.id.Task.StepID(), Failed: e.failed, Worker: e.worker.id, At: time.Duration(now)}
	isAwayFromInput := step.Rack != "" && step.Rack != e.worker.rack
	if !e.failed && !e.resumed && !isAwayFromInput {
		observed.Took = e.run.fullRunTime(step, now)
	}
	if step.Gang {
		observed.Worker = "" // the members work at one rate
	}
	if e.failed {
		// Not yet known whether it is due to its image or to its worker.
		if h := &e.worker.health; len(h.unattributed) < maxUnattributed {
			h.unattributed = append(h.unattributed, observed)
		}
		return
	}
	expected := l.expectedRunTime(j, e.id.Task.Step)
	if observed.Took > 0 {
		l.metrics.recordPrediction(expected, step.Estimate, observed.Took)
	}
	l.runTimes.model.Observe(observed)
	l.runTimes.hasUnstored = true
	l.updateSpeed(e.worker, &observed, expected)
	if observed.Took > 0 {
		if j.runTimes.steps == nil {
			j.runTimes.steps = make([]runtimes.StepRuns, len(j.Spec.Steps))
		}
		j.runTimes.steps[e.id.Task.Step].Add(observed.Took, e.worker.speed)
	}
}

// runClass returns the class of the tasks of a step.
func (j *job) runClass(step *structs.Step) runtimes.Class {
	return runtimes.Class{Queue: j.Spec.Queue, Image: step.Image}
}

// fullRunTime returns how long the run took that ends now, 0 if that does not show
// how long its task takes: it was throttled, its worker was silent meanwhile, or an
// earlier leader has assigned it, so that it is not known whether it was throttled.
// r may be nil.
func (r *run) fullRunTime(step *structs.Step, now bootclock.Time) time.Duration {
	switch {
	case r == nil || r.assignedAt == 0 || r.startOrderedAt == 0 || r.wasThrottled || r.ratedSince != r.startedAt:
		return 0
	case r.startedAt == 0 && step.Fills, r.initialPercent > maxUnseenPercent:
		return 0
	}
	return r.ran(now)
}

// ran returns how long the run has taken that ends now, 0 if that is not known. It
// includes the time before the run was listed for the first time, estimated by the
// progress that it had then. r may be nil.
func (r *run) ran(now bootclock.Time) time.Duration {
	if r == nil || r.startedAt == 0 && r.startOrderedAt == 0 {
		return 0
	}
	now = r.endedBy(now)
	if r.startedAt == 0 {
		return now.Sub(r.startOrderedAt) // too short to be listed; includes the way of the order and of the end
	}
	listed := now.Sub(r.startedAt)
	if r.startOrderedAt == 0 {
		return listed
	}
	return min(listed*100/time.Duration(100-min(99, r.initialPercent)), now.Sub(r.startOrderedAt))
}

// expectedRunTime returns the expected run time of the tasks of a step that are not
// done, on a worker of usual speed. It is the declared run time if there are no
// observations.
func (l *leader) expectedRunTime(j *job, step int32) time.Duration {
	estimate := l.predictRunTime(j, step)
	if j.runTimes.steps == nil {
		return estimate.Median
	}
	return j.runTimes.steps[step].Expected(estimate)
}

// predictRunTime returns what the model predicts for the tasks of a step.
func (l *leader) predictRunTime(j *job, step int32) runtimes.Estimate {
	spec := &j.Spec.Steps[step]
	return l.runTimes.model.Predict(j.runClass(spec), spec.Estimate)
}

// remainingWork returns the work of the job's tasks that are not done, in processor
// seconds, by the declared run times or, with UseRunTimes, by the expected ones.
func (l *leader) remainingWork(j *job, now bootclock.Time) float64 {
	if !l.o.UseRunTimes {
		return j.RemainingWork()
	}
	t := &j.runTimes
	if t.expected == nil || now.Sub(t.expectedAt) >= expectedInterval {
		t.expected, t.expectedAt = make([]time.Duration, len(j.Spec.Steps)), now
		for step := range t.expected {
			t.expected[step] = l.expectedRunTime(j, int32(step))
		}
	}
	return j.RemainingWorkBy(func(step int) time.Duration { return t.expected[step] })
}

// runTimesRow returns the row with the model of run times if a write is due and
// there were observations.
func (l *leader) runTimesRow() []substrate.PartRow {
	now := l.o.Clock()
	if !l.runTimes.hasUnstored || now.Sub(l.runTimes.writtenAt) < l.workInterval(runTimesWriteInterval, reducedSnapshots) {
		return nil
	}
	l.runTimes.hasUnstored, l.runTimes.writtenAt = false, now
	value, err := l.runTimes.model.Encode()
	if err != nil {
		l.log.Error("model of run times not stored: it cannot be encoded", zap.Error(err))
		return nil
	}
	return []substrate.PartRow{{Table: tableModel, Part: fleetPart, Key: runTimesKey, Value: value}}
}

// storedRunTimes is the stored model of run times, or why it was not read.
type storedRunTimes struct {
	value []byte // nil if there is none
	err   error
}

// readRunTimes reads the stored model of run times in the background. The returned
// function waits for it for at most runTimesReadGrace.
func readRunTimes(ctx context.Context, store substrate.PartStore) (wait func() storedRunTimes) {
	ctx, cancel := context.WithCancel(ctx)
	read := make(chan storedRunTimes, 1)
	go func() {
		row, err := store.Row(ctx, tableModel, fleetPart, runTimesKey)
		var missing *structs.NotFoundError
		switch {
		case errors.As(err, &missing):
			read <- storedRunTimes{}
		case err != nil:
			read <- storedRunTimes{err: fmt.Errorf("read model of run times: %w", err)}
		default:
			read <- storedRunTimes{value: row.Value}
		}
	}()
	return func() storedRunTimes {
		defer cancel()
		grace := time.NewTimer(runTimesReadGrace)
		defer grace.Stop()
		select {
		case s := <-read:
			return s
		case <-grace.C:
			return storedRunTimes{err: &structs.UnavailableError{Dependency: "store"}}
		}
	}
}

// restoreRunTimes restores the model of run times. Without a readable row, the
// leader starts with the prior: nothing depends on the model being there.
func (l *leader) restoreRunTimes(s storedRunTimes) {
	err := s.err
	if err == nil && s.value != nil {
		if panicked := l.contain("restore run times", func() { err = l.runTimes.model.Restore(s.value) }); panicked != nil {
			l.runTimes.model, err = runtimes.New(), panicked
		}
	}
	if err != nil {
		l.log.Error("model of run times not restored", zap.Int("bytes", len(s.value)), zap.Error(err))
		l.metrics.count(l.metrics.unreadableModels, runTimesKey)
	}
}
