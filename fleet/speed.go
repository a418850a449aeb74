package fleet

import (
	"time"

	"go.uber.org/zap"

	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/placement/runtimes"
	"github.com/daisywall/daisywall/placement/steps"
	"github.com/daisywall/daisywall/structs"
)

// speedTrials is the state of the trials of a slow worker.
type speedTrials struct {
	steps.SpeedTrials
	run structs.RunID // last trial, zero before the first
}

// nextSpeedTrial returns which task may start on the slow worker as a trial.
func (w *worker) nextSpeedTrial(now bootclock.Time) steps.SpeedTrial {
	if !steps.IsSlow(w.speed) {
		return steps.NoSpeedTrial
	}
	if _, isRunning := w.runs[w.speedTrials.run]; isRunning {
		return steps.NoSpeedTrial
	}
	return w.speedTrials.Next(time.Duration(now))
}

// updateSpeed takes the speed of a worker from the model after a run of it was
// observed. Expected is the run time that was expected before.
func (l *leader) updateSpeed(w *worker, observed *runtimes.Run, expected time.Duration) {
	wasSlow := steps.IsSlow(w.speed)
	before := w.speed
	w.speed = l.runTimes.model.Speed(w.id)
	if isSlow := steps.IsSlow(w.speed); isSlow != wasSlow {
		w.speedTrials = speedTrials{}
		if isSlow {
			l.metrics.count(l.metrics.slowWorkers, "slow")
			l.log.Info("worker is slow", zap.String("worker", string(w.id)), zap.Float64("speed", w.speed), zap.Float64("before", before), zap.Bool("avoided", l.o.PlaceBySpeed))
		} else {
			l.metrics.count(l.metrics.slowWorkers, "no longer slow")
			l.log.Info("worker is no longer slow", zap.String("worker", string(w.id)), zap.Float64("speed", w.speed), zap.Float64("before", before))
		}
		return
	}
	if wasSlow && observed.Took > 0 && observed.Worker != "" && expected > 0 {
		w.speedTrials.Observe(before, expected.Seconds()/observed.Took.Seconds(), time.Duration(l.o.Clock()))
	}
}

// addSpeedFacts adds what the placement by speed needs to a demand.
func (l *leader) addSpeedFacts(d *steps.Demand, j *job, now bootclock.Time) {
	d.BySpeed = true
	if d.Spec.LongRunning {
		return
	}
	if j.runTimes.pendingSince == nil {
		j.runTimes.pendingSince = make([]bootclock.Time, len(j.Spec.Steps))
	}
	since := &j.runTimes.pendingSince[d.Step]
	if *since == 0 {
		*since = now
	}
	d.PendingFor, d.RunTime = now.Sub(*since), l.expectedRunTime(j, d.Step)
}

// clearPendingSince records that the step has no pending task.
func (j *job) clearPendingSince(step int32) {
	if j.runTimes.pendingSince != nil {
		j.runTimes.pendingSince[step] = 0
	}
}

// recordSpeedChoice counts and logs a placement that the speeds of the workers have
// changed.
func (l *leader) recordSpeedChoice(p steps.Placement, w *worker, r *run) {
	r.job.clearPendingSince(p.Task.Step)
	if p.Speed == steps.SpeedIgnored {
		return
	}
	l.metrics.count(l.metrics.speedChoices, p.Speed.String())
	if p.Speed == steps.SpeedTried {
		w.speedTrials.run = r.id
		w.speedTrials.Start(time.Duration(r.assignedAt))
		l.log.Info("trial on slow worker", zap.Stringer("run", r.id), zap.String("worker", string(w.id)), zap.Float64("speed", w.speed))
	}
}
