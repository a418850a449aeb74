package steps

import (
	"slices"
	"time"
)

const (
	// slowBelow is the speed below which a worker is slow. Workers of size 1 and 1.5
	// are estimated at 0.84 and 1.3, those that have become slow at 0.13 to 0.4.
	slowBelow = 0.5
	// maxSlowWait limits the wait for a worker that is not slow, since the expected run
	// time may be far too high.
	maxSlowWait = 10 * time.Second
	// Limits of the pause between two trials on a slow worker. A trial on a worker at
	// 0.13 of the speed costs its job seven times the run time.
	speedTrialPauseFirst = 10 * time.Second
	speedTrialPauseMax   = 20 * time.Second
	speedTrialOfFillTime = 2 * time.Second // for which a due trial waits for a filling task, whose end is less urgent
)

// SpeedTrial tells which task may start on a slow worker as a trial.
type SpeedTrial int8

// Values of SpeedTrial.
const (
	NoSpeedTrial     SpeedTrial = iota
	SpeedTrialOfFill            // a filling task
	SpeedTrialDue               // any task that is placed by speed
)

// SpeedTrials times the trials of a slow worker. While others have room, it gets only
// one task at a time, so that it can show that it has recovered. The zero value is that
// of a worker that has just become slow.
type SpeedTrials struct {
	nextAt time.Duration
	pause  time.Duration // pause after the next trial, 0 before the first call of Next
}

// Next returns which trial may start at the time, if none is in progress.
func (t *SpeedTrials) Next(now time.Duration) SpeedTrial {
	if t.pause == 0 {
		t.pause, t.nextAt = speedTrialPauseFirst, now+speedTrialPauseFirst
	}
	switch {
	case now < t.nextAt:
		return NoSpeedTrial
	case now < t.nextAt+speedTrialOfFillTime:
		return SpeedTrialOfFill
	default:
		return SpeedTrialDue
	}
}

// Start records that a trial starts. The pause grows with each trial.
func (t *SpeedTrials) Start(now time.Duration) {
	t.nextAt = now + t.pause
	t.pause = min(2*t.pause, speedTrialPauseMax)
}

// Observe records a run that has ended on the worker. Speed is that of the worker, and
// ran the ratio of the expected to the real run time. After a run that is nearer to the
// usual speed than to that of the worker, the next trial may start at once. Any other
// one shows that the worker is still slow, so that no trial is needed for a while.
func (t *SpeedTrials) Observe(speed, ran float64, now time.Duration) {
	if ran*ran > speed {
		*t = SpeedTrials{nextAt: now, pause: speedTrialPauseFirst}
	} else {
		t.nextAt = max(t.nextAt, now+t.pause)
	}
}

// IsSlow reports whether a worker of the speed is slow. Demands with BySpeed start
// tasks there only as trials, or if waiting for another worker costs more. This holds
// for filling tasks too: the slow worker is often the only idle one.
func IsSlow(speed float64) bool { return speed > 0 && speed < slowBelow }

// usesSpeed reports whether the speeds decide where the tasks of the step start.
func (d *Demand) usesSpeed() bool { return d.BySpeed && !d.Spec.LongRunning }

// isSpeedTrial reports whether a start of the step on the worker would be a trial that
// shows whether the worker is still slow. A gang works at one rate and shows nothing.
func (d *Demand) isSpeedTrial(w *Worker) bool {
	if !IsSlow(w.Speed) || !d.usesSpeed() || d.Spec.Gang {
		return false
	}
	return w.SpeedTrial == SpeedTrialDue || w.SpeedTrial == SpeedTrialOfFill && d.Spec.Fills
}

// avoidsSlow reports whether tasks of the step start on the worker only if they
// can't start on another one in time.
func (d *Demand) avoidsSlow(w *Worker) bool {
	return IsSlow(w.Speed) && d.usesSpeed() && !d.isSpeedTrial(w)
}

// acceptsSlow reports whether a task that now finds room only on the slow worker
// starts there. It waits for room on another one for as long as it would lose on
// this one, since it is not known when there will be room.
func (d *Demand) acceptsSlow(w *Worker, workers []*Worker) bool {
	loss := time.Duration(float64(d.RunTime) * (1/w.Speed - 1))
	if d.IsIdle || d.PendingFor >= min(loss, maxSlowWait) {
		return true
	}
	return !slices.ContainsFunc(workers, func(other *Worker) bool { return !IsSlow(other.Speed) && d.mayHoldOn(other) })
}
