package fleet

import (
	"cmp"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/placement/steps"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/workflow"
)

const (
	moveInterval = 200 * time.Millisecond // time between two searches for runs to move
	// movePauseAfterPanic is how long nothing is moved after the selection has
	// panicked. No job needs moves to go on.
	movePauseAfterPanic = time.Minute
)

// stopThrottled is the reason of the stop of a filling run that is moved, because it
// is throttled beside a service and another worker has room.
const stopThrottled = "throttled for long"

// taskMoves holds the moves of a task by this leader.
type taskMoves struct {
	count int
	at    bootclock.Time   // last one
	from  structs.WorkerID // worker that the last one left
}

// movingRun is a run that was stopped for a move, until its task is assigned again.
type movingRun struct {
	run *run
	to  structs.WorkerID // worker that the move was decided for
}

// observePaces records how the filling runs of a worker are throttled. A run whose
// worker was silent begins anew, since its pace meanwhile is not known.
func (l *leader) observePaces(w *worker, runs []*run, now bootclock.Time) {
	w.hasLongThrottled, w.isFillThrottled = false, false
	for _, r := range runs {
		if r.startedAt == 0 || r.isEndAwaited() || !r.job.Step(r.id.Task).Fills {
			continue
		}
		elapsed := now.Sub(r.paceObservedAt)
		if r.paceObservedAt != 0 && elapsed >= l.o.Timing.SessionTimeout {
			r.paceHistory = steps.PaceHistory{}
		}
		r.paceObservedAt = now
		r.paceHistory.Observe(elapsed, float64(r.pace)/fullPacePercent, float64(r.percent)/100)
		w.hasLongThrottled = w.hasLongThrottled || r.paceHistory.IsLongThrottled()
		w.isFillThrottled = w.isFillThrottled || r.pace < fullPacePercent && !r.isProbe
	}
}

// makeMoves stops throttled filling runs that are expected to end earlier on another
// worker. It runs after the pending tasks of the demands were placed on the views;
// views may be nil.
func (l *leader) makeMoves(views []*steps.Worker, demands []steps.Demand, placements []steps.Placement) {
	now := l.o.Clock()
	if now < l.movesDueAt || l.continuation.Unreached() > 0 {
		return // demands that were not reached have the first claim on the room
	}
	l.movesDueAt = now.Add(l.workInterval(moveInterval, reducedSearches))
	var moves []steps.Move
	if err := l.contain("moves", func() { moves = l.selectMoves(views, demands, placements, now) }); err != nil {
		l.movesDueAt = now.Add(movePauseAfterPanic)
		l.log.Error("no moves for a while: their selection panicked", zap.Duration("pause", movePauseAfterPanic), zap.Error(err))
		l.metrics.count(l.metrics.setAside, "moves")
		return
	}
	for _, m := range moves {
		l.moveRun(m, now)
	}
}

// selectMoves returns the moves to make. It changes only the views.
func (l *leader) selectMoves(views []*steps.Worker, demands []steps.Demand, placements []steps.Placement, now bootclock.Time) []steps.Move {
	moving := l.movingCandidates(now)
	var throttled []*run
	for _, w := range l.sortedWorkers() {
		if !w.hasLongThrottled || !w.ready || now.Sub(w.listedAt) > l.o.Timing.SessionTimeout {
			continue
		}
		for _, r := range w.sortedRuns() {
			if !r.isEnding() && r.paceHistory.IsLongThrottled() && l.isMovable(r, now) {
				throttled = append(throttled, r)
			}
		}
	}
	if len(throttled) > steps.MaxMoveCandidates {
		slices.SortStableFunc(throttled, func(a, b *run) int { return cmp.Compare(b.paceHistory.Lost(), a.paceHistory.Lost()) })
		throttled = throttled[:steps.MaxMoveCandidates]
	}
	var candidates []steps.MoveCandidate
	for _, r := range throttled {
		candidates = append(candidates, l.moveCandidate(r, now))
	}
	if len(candidates) == 0 {
		return nil
	}
	candidates = append(candidates, moving...)
	if views == nil {
		views = l.usableWorkerViews(now)
	}
	return steps.Moves(views, candidates, steps.Unplaced(demands, placements), l.interference)
}

// isMovable reports whether a move may stop the run now, whatever its pace.
func (l *leader) isMovable(r *run, now bootclock.Time) bool {
	step, t, moves := r.job.Step(r.id.Task), r.job.Task(r.id.Task), r.job.moves[r.id.Task]
	return steps.MayMoveAgain(moves.count, now.Sub(moves.at)) && step.Checkpoints && !step.Gang && !step.LongRunning && !r.job.Final() && now >= r.job.setAsideUntil &&
		t != nil && t.State == workflow.Assigned && t.Run == r.id.Number &&
		!r.job.IsIsolated(r.id.Task) && !l.queueOf(r.job).Permits.Required()
}

// moveCandidate describes a run for the selection of moves.
func (l *leader) moveCandidate(r *run, now bootclock.Time) steps.MoveCandidate {
	id, queue := r.id.Task, l.queueOf(r.job)
	c := steps.MoveCandidate{
		Demand: steps.Demand{
			Job: id.Job, Round: id.Round, Step: id.Step, Spec: r.job.Step(id), Pool: queue.Pool, Priority: queue.Priority,
			Tasks: []int32{id.Index}, Placed: map[structs.WorkerID]int32{},
		},
		Worker: r.worker.id, Pace: r.paceHistory, RunTime: l.expectedRunTime(r.job, id.Step), Moves: r.job.moves[id].count,
	}
	if c.Moves > 0 {
		c.SinceMove = now.Sub(r.job.moves[id].at)
	}
	if c.Spec.MaxPerWorker > 0 {
		for _, other := range r.job.runs {
			if other.id.Task.StepID() == id.StepID() {
				c.Placed[other.worker.id]++
			}
		}
	}
	l.avoidWorkers(&c.Demand, r.job, id.Index)
	return c
}

// movingCandidates describes the tasks that were stopped for a move and are not
// assigned since. It forgets the others.
func (l *leader) movingCandidates(now bootclock.Time) []steps.MoveCandidate {
	var candidates []steps.MoveCandidate
	for id, m := range l.moving {
		isStopping := m.run.worker.runs[m.run.id] == m.run
		if t := m.run.job.Task(id); m.run.job.Final() || !isStopping && (t == nil || t.State != workflow.Pending) {
			delete(l.moving, id)
			continue
		}
		c := l.moveCandidate(m.run, now)
		c.IsMoving = true
		if isStopping {
			c.MovingTo = m.to
		}
		candidates = append(candidates, c)
	}
	return candidates
}

// moveRun stops the run, so that its task starts on another worker from its
// checkpoint. The task avoids the present worker, on which it would be throttled.
func (l *leader) moveRun(m steps.Move, now bootclock.Time) {
	j, w := l.jobs[m.Task.Job], l.workers[m.From]
	r := w.runs[structs.RunID{Task: m.Task, Number: j.Task(m.Task).Run}]
	l.log.Info("run is moved", zap.Stringer("run", r.id), zap.String("worker", string(w.id)), zap.String("to", string(m.To)),
		zap.Int32("pace_percent", r.pace), zap.Duration("expected_end", m.ExpectedEnd), zap.Duration("moved_end", m.MovedEnd))
	l.stop(w, r, stopThrottled)
	if j.moves == nil {
		j.moves = map[structs.StepTaskID]taskMoves{}
	}
	j.moves[m.Task] = taskMoves{count: j.moves[m.Task].count + 1, at: now, from: w.id}
	l.moving[m.Task] = movingRun{run: r, to: m.To}
}
