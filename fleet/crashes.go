package fleet

import (
	"fmt"
	"time"

	"go.uber.org/zap"

	"github.com/daisywall/daisywall/api/fleetpb"
	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/workflow"
)

// unstableFor is how long after a crash a worker counts as unstable. Its next
// crash says less about the tasks that have come since.
const unstableFor = 10 * time.Second

// Divisors of the blame for a crash that other causes are likely for.
const (
	unstableDiscount = 2 // the worker is unstable, or another one has just crashed
	stormDiscount    = 3 // half of the other workers are unstable
)

// stormGap is the time between the crashes of two workers below which they may
// have a common cause.
const stormGap = 2 * time.Second

// observeTime is how long a task with lone crashes waits after one. In a fleet whose
// runners crash by themselves another one crashes meanwhile, so that the next crash
// under the task is no lone one.
const observeTime = 5 * time.Second

// maxLoggedSuspects limits the tasks in the log line of a crash.
const maxLoggedSuspects = 10

// crash is a crash of a worker's runner.
type crash struct {
	incarnation string
	at          bootclock.Time                  // 0 for no crash
	ages        map[structs.RunID]time.Duration // ages of the runs at the crash
	started     map[structs.RunID]bool          // runs that the runner had certainly started
	isExplained bool                            // a task was given up for it
}

// recordCrash records the last crash that the worker's agent has seen. The agent
// repeats it in each session.
func (l *leader) recordCrash(w *worker, c *fleetpb.Crash) {
	if c.GetIncarnation() == "" || c.GetIncarnation() == w.crash.incarnation {
		return
	}
	w.earlierCrash = w.crash
	w.crash = crash{
		incarnation: c.GetIncarnation(),
		at:          l.o.Clock().Add(-time.Duration(c.GetAgoMs()) * time.Millisecond),
		ages:        make(map[structs.RunID]time.Duration, len(c.GetRuns())),
		started:     map[structs.RunID]bool{},
	}
	for _, r := range c.GetRuns() {
		id := runFromProto(r.GetRun())
		w.crash.ages[id], w.crash.started[id] = time.Duration(r.GetAgeMs())*time.Millisecond, r.GetStarted()
	}
	l.metrics.count(l.metrics.crashes, string(w.domain))
}

// isUnstable reports whether the worker's runner has crashed shortly before the
// time for a cause that is not known.
func (c crash) isUnstable(at bootclock.Time) bool {
	return c.at != 0 && at.Sub(c.at) < unstableFor && !c.isExplained
}

// crashDiscount divides the blame of a task for the last crash of the worker. Its
// crashes say less while workers crash that had no run of it.
func (l *leader) crashDiscount(w *worker, id structs.StepTaskID) int32 {
	discount, unstable := int32(1), 0
	if w.earlierCrash.isUnstable(w.crash.at) && !w.earlierCrash.hadTask(id) {
		discount = unstableDiscount
	}
	for _, other := range l.workers {
		if other == w || !other.crash.isUnstable(w.crash.at) || other.crash.hadTask(id) {
			continue
		}
		unstable++
		if w.crash.at.Sub(other.crash.at) < stormGap {
			discount = unstableDiscount
		}
	}
	if unstable > 1 && 2*unstable >= len(l.workers)-1 {
		discount = stormDiscount
	}
	return discount
}

// isLoneCrash reports whether the worker was stable before its last crash, some other
// worker of the run's pool is, and none has crashed without a run of the task.
func (l *leader) isLoneCrash(w *worker, r *run) bool {
	if w.earlierCrash.isUnstable(w.crash.at) {
		return false
	}
	hasStable := false
	for _, other := range l.workers {
		if other == w {
			continue
		}
		last, earlier := other.crash.isUnstable(w.crash.at), other.earlierCrash.isUnstable(w.crash.at)
		if last && !other.crash.hadTask(r.id.Task) || earlier && !other.earlierCrash.hadTask(r.id.Task) {
			return false
		}
		hasStable = hasStable || !last && other.pool == l.queueOf(r.job).Pool
	}
	return hasStable
}

// hadTask reports whether a run of the task was there.
func (c crash) hadTask(id structs.StepTaskID) bool {
	for r := range c.ages {
		if r.Task == id {
			return true
		}
	}
	return false
}

// releaseEnded releases the runs of an incarnation that has ended. If it crashed,
// the crash is counted for their tasks in the commit that makes them pending. A
// host that loses power, a drain and a lease that lapses end runs without a crash
// that an agent has seen.
func (l *leader) releaseEnded(w *worker, ended []*run, reason string) {
	var crashed []*run
	for _, r := range ended {
		if _, found := w.crash.ages[r.id]; found && r.incarnation == w.crash.incarnation {
			crashed = append(crashed, r)
		} else {
			l.release(w, r, reason, "")
		}
	}
	if len(crashed) > 0 {
		l.releaseCrashed(w, crashed, reason)
	}
}

func (l *leader) releaseCrashed(w *worker, crashed []*run, reason string) {
	isUnstable := w.earlierCrash.isUnstable(w.crash.at)
	runs := make([]workflow.CrashedRun, len(crashed))
	for i, r := range crashed {
		runs[i] = workflow.CrashedRun{
			Job: r.job.Job, Run: r.id, Age: w.crash.ages[r.id], HasStarted: w.crash.started[r.id],
			Discount: l.crashDiscount(w, r.id.Task), Worker: w.id, IsLone: l.isLoneCrash(w, r),
		}
	}
	workflow.FindLoneCrashes(runs)
	blame := workflow.ShareBlame(runs)
	var suspects []string
	for i, r := range crashed {
		wasFinal := r.job.Final()
		checkpoint := r.job.NewerCheckpoint(r.id, r.checkpoint, r.percent)
		changed := r.job.Crash(runs[i], blame[i], checkpoint)
		r.job.isolationChanged()
		r.job.holdBack(runs[i], l.o.Clock())
		l.finishRelease(w, r, reason, checkpoint, changed)
		if blame[i] > 0 || runs[i].IsLone && r.job.IsIsolated(r.id.Task) {
			suspects = append(suspects, describeSuspect(runs[i]))
		}
		if !wasFinal && r.job.Failed {
			l.giveUp(r, w)
		}
	}
	l.log.Warn("runner crashed", zap.String("worker", string(w.id)), zap.String("incarnation", w.crash.incarnation),
		zap.Int("runs", len(crashed)), zap.Bool("unstable", isUnstable), zap.Int("suspects", len(suspects)),
		zap.Strings("suspect", suspects[:min(maxLoggedSuspects, len(suspects))]))
}

// holdBack keeps a task from starting for observeTime after a lone crash.
func (j *job) holdBack(r workflow.CrashedRun, now bootclock.Time) {
	if !r.IsLone || !j.IsObserved(r.Run.Task) {
		return
	}
	if j.heldUntil == nil {
		j.heldUntil = map[structs.StepTaskID]bootclock.Time{}
	}
	j.heldUntil[r.Run.Task] = now.Add(observeTime)
}

// describeSuspect returns the run with its age and what its task has been counted.
func describeSuspect(r workflow.CrashedRun) string {
	crashes, blame := r.Job.CrashCount(r.Run.Task)
	return fmt.Sprintf("%s age=%s crashes=%d blame=%d%% lone=%d", r.Run, r.Age, crashes, blame, r.Job.Task(r.Run.Task).LoneCrashes)
}

// giveUp stops the other runs of a job that has failed because its task crashes
// the runners that start it. Its crashes no longer make their workers unstable.
func (l *leader) giveUp(r *run, w *worker) {
	crashes, blame := r.job.CrashCount(r.id.Task)
	l.log.Warn("job failed: one of its tasks crashes its runners", zap.String("job", string(r.id.Task.Job)), zap.Stringer("run", r.id),
		zap.String("worker", string(w.id)), zap.Int32("crashes", crashes), zap.Int32("blame_percent", blame),
		zap.Int32("lone_crashes", r.job.Task(r.id.Task).LoneCrashes))
	l.metrics.count(l.metrics.givenUp, string(r.job.Spec.Queue))
	for _, other := range l.workers {
		other.crash.isExplained = other.crash.isExplained || other.crash.hadTask(r.id.Task)
		other.earlierCrash.isExplained = other.earlierCrash.isExplained || other.earlierCrash.hadTask(r.id.Task)
	}
	l.stopRunsOfJob(r.job)
}

// isOnTrial reports whether the run belongs to an isolated task and began so
// recently that its runner gets no other tasks.
func (r *run) isOnTrial(now bootclock.Time) bool {
	id := r.id.Task
	return r.job.IsIsolated(id) && (r.startedAt == 0 || now.Sub(r.startedAt) < r.job.TrialTime(id))
}

// clearIfOutlived clears the task of earlier crashes once its run has outlived
// them.
func (l *leader) clearIfOutlived(w *worker, r *run, now bootclock.Time) {
	wasIsolated := r.job.IsIsolated(r.id.Task)
	if !r.job.Outlive(r.id, now.Sub(r.startedAt)) {
		return
	}
	r.job.isolationChanged()
	l.markDirty(r.job, nil, nil)
	if wasIsolated {
		l.log.Info("task cleared of crashes", zap.Stringer("run", r.id), zap.String("worker", string(w.id)),
			zap.Duration("ran", now.Sub(r.startedAt)))
	}
}
