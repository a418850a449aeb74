package explain

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// losses adds up what was collected.
func (l *lossLog) losses(queue string) Losses {
	out := Losses{Queues: []QueueLosses{}, Total: newQueueLosses("total"), LeaderChanges: len(l.epochs)}
	queues := map[string]*QueueLosses{}
	for _, j := range l.jobs {
		name := cmp.Or(j.queue, unknown)
		if queue != "" && name != queue {
			continue
		}
		if j.longRunning {
			out.LongRunning++
			continue
		}
		if queues[name] == nil {
			q := newQueueLosses(name)
			queues[name] = &q
		}
		queues[name].addJob(j, l.end)
	}
	for _, name := range slices.Sorted(maps.Keys(queues)) {
		out.Queues = append(out.Queues, *queues[name])
		out.Total.merge(queues[name])
	}
	return out
}

func newQueueLosses(name string) QueueLosses {
	return QueueLosses{Queue: name, Time: LossTimes{AfterStop: map[string]Seconds{}},
		Refused: map[string]int{}, Stops: map[string]int{}, Released: map[string]int{}}
}

// addJob adds the job. logEnd is the time up to which a job without an end has
// waited.
func (q *QueueLosses) addJob(j *lossJob, logEnd time.Time) {
	for r := range j.refusals {
		q.Refused[r.reason]++
	}
	for _, runs := range j.tasks {
		for _, r := range runs {
			q.addCounts(r)
		}
	}
	switch {
	case j.phase == "completed":
		q.Jobs.Completed++
	case j.phase == "failed":
		q.Jobs.Failed++
	case j.phase == "cancelled":
		q.Jobs.Cancelled++
	case j.isRefused():
		return
	default:
		q.Jobs.Open++
	}
	q.Time.addJob(j, logEnd)
}

func (q *QueueLosses) addCounts(r *lossRun) {
	if r.stopReason != "" {
		q.Stops[r.stopReason]++
	}
	if r.releaseReason != "" {
		q.Released[r.releaseReason]++
	}
	if r.isCopy {
		q.CopiesStarted++
	}
	if r.copyWon {
		q.CopiesWon++
	}
}

func (q *QueueLosses) merge(o *QueueLosses) {
	q.Jobs.Completed += o.Jobs.Completed
	q.Jobs.Failed += o.Jobs.Failed
	q.Jobs.Cancelled += o.Jobs.Cancelled
	q.Jobs.Open += o.Jobs.Open
	for _, counts := range []struct{ to, from map[string]int }{{q.Refused, o.Refused}, {q.Stops, o.Stops}, {q.Released, o.Released}} {
		for reason, n := range counts.from {
			counts.to[reason] += n
		}
	}
	q.CopiesStarted += o.CopiesStarted
	q.CopiesWon += o.CopiesWon
	q.Time.merge(&o.Time)
}

func (t *LossTimes) merge(o *LossTimes) {
	t.FirstStart.add(time.Duration(o.FirstStart))
	for reason, wait := range o.AfterStop {
		t.addAfterStop(reason, time.Duration(wait))
	}
	t.AfterLoss.add(time.Duration(o.AfterLoss))
	t.Run.add(time.Duration(o.Run))
	t.StoppedRun.add(time.Duration(o.StoppedRun))
	t.FailedRun.add(time.Duration(o.FailedRun))
	t.LostRun.add(time.Duration(o.LostRun))
	t.Order.add(time.Duration(o.Order))
}

// add adds a duration that is not negative. The sum of malformed times does not
// overflow.
func (s *Seconds) add(d time.Duration) {
	*s = Seconds(min(uint64(*s)+uint64(max(d, 0)), math.MaxInt64))
}

func (t *LossTimes) addAfterStop(reason string, wait time.Duration) {
	sum := t.AfterStop[reason]
	sum.add(wait)
	t.AfterStop[reason] = sum
}

// lossStep is one step of a round with the task that ended it last.
type lossStep struct {
	firstStart time.Time // earliest start of its tasks
	end        time.Time
	last       []taskRun
}

// taskRun is a run of a task with the fate that the account uses.
type taskRun struct {
	start, end time.Time
	fate       runFate
	ran        time.Duration // of a run that was done, stopped or failed
	stopReason string        // of a run that was stopped
}

type runFate int

const (
	runOpen runFate = iota // no end in the log
	runDone
	runStopped
	runFailed
	runLost
	runNotStarted // ordered, but it has never run
)

// addJob adds the time of the job. The log does not name the steps that a step
// follows: it is taken to follow the step that ended last before its first
// start. The parts then add up to the time from the acceptance to the last end.
func (t *LossTimes) addJob(j *lossJob, logEnd time.Time) {
	if len(j.tasks) == 0 {
		if !j.acceptedAt.IsZero() {
			t.FirstStart.add(j.waitEnd(logEnd).Sub(j.acceptedAt))
		}
		return
	}
	for round, steps := range j.steps(logEnd) {
		slices.SortStableFunc(steps, func(a, b lossStep) int { return b.end.Compare(a.end) }) // the last one first
		for len(steps) > 0 {
			step := steps[0]
			steps = slices.DeleteFunc(steps[1:], func(s lossStep) bool { return s.end.After(step.firstStart) })
			// When a later round was due is not in the log.
			readyAt := step.last[0].start
			switch {
			case len(steps) > 0:
				readyAt = steps[0].end
			case round == 0 && !j.acceptedAt.IsZero():
				readyAt = j.acceptedAt
			}
			t.addTask(step.last, readyAt, j.waitEnd(logEnd), j.phase == "" || j.phase == "cancelled")
		}
	}
}

// waitEnd returns the time until which a task of the job has waited if it does
// not run any more.
func (j *lossJob) waitEnd(logEnd time.Time) time.Time {
	if j.phase != "" {
		return j.endedAt
	}
	return logEnd
}

// steps returns the steps of each round of which a task was started.
func (j *lossJob) steps(logEnd time.Time) map[int][]lossStep {
	type key struct{ round, step int }
	found := map[key]*lossStep{}
	tasks := slices.SortedFunc(maps.Keys(j.tasks), func(a, b lossTask) int {
		return cmp.Or(cmp.Compare(a.round, b.round), cmp.Compare(a.step, b.step), cmp.Compare(a.index, b.index))
	})
	rounds := map[int][]lossStep{}
	for _, task := range tasks {
		runs := j.taskRuns(j.tasks[task], logEnd)
		if len(runs) == 0 {
			continue
		}
		last := runs[len(runs)-1]
		end := last.end
		if last.fate != runDone && (j.phase == "" || j.phase == "cancelled") && j.waitEnd(logEnd).After(end) {
			end = j.waitEnd(logEnd) // it waits for its next run
		}
		step := found[key{task.round, task.step}]
		if step == nil {
			step = &lossStep{firstStart: runs[0].start}
			found[key{task.round, task.step}] = step
		}
		if runs[0].start.Before(step.firstStart) {
			step.firstStart = runs[0].start
		}
		// Of the tasks that are open at the end of the log, the one that was started
		// last is expected to end last.
		if end.After(step.end) || end.Equal(step.end) && step.last != nil && last.start.After(step.last[len(step.last)-1].start) {
			step.end, step.last = end, runs
		}
	}
	for _, k := range slices.SortedFunc(maps.Keys(found), func(a, b key) int { return cmp.Or(cmp.Compare(a.round, b.round), cmp.Compare(a.step, b.step)) }) {
		if found[k].last != nil {
			rounds[k.round] = append(rounds[k.round], *found[k])
		}
	}
	return rounds
}

// isRefused reports whether the job was refused last, and so has never run.
func (j *lossJob) isRefused() bool {
	for r := range j.refusals {
		if len(j.tasks) == 0 && j.reacceptedAt.UnixMilli() <= r.at {
			return true
		}
	}
	return false
}

// hasNotStarted holds the reasons of the releases of runs that have never run.
var hasNotStarted = map[string]bool{"not started": true, "capacity shrank": true, "no permit": true}

// taskRuns returns the runs of a task that count, in their order. Copies that
// did not win are left out, and so are runs that were never ordered.
func (j *lossJob) taskRuns(runs map[int]*lossRun, logEnd time.Time) []taskRun {
	var out []taskRun
	for _, number := range slices.Sorted(maps.Keys(runs)) {
		r := runs[number]
		if r.isCopy && !r.copyWon && r.end != "done" {
			continue
		}
		run, ok := r.account()
		if !ok {
			continue
		}
		if len(out) > 0 {
			out[len(out)-1].follow(run.start)
		}
		out = append(out, run)
	}
	if len(out) == 0 {
		return nil
	}
	if last := &out[len(out)-1]; last.fate == runOpen {
		last.end = latest(j.waitEnd(logEnd), last.start)
		switch j.phase {
		case "":
		case "completed":
			last.fate, last.ran = runDone, last.end.Sub(last.start)
		default:
			last.fate = runLost
		}
	}
	return out
}

// follow ends the run where the next one of its task starts. A run that had not
// ended by then was lost or overtaken by its copy; one that was done was lost
// because its end was not stored.
func (r *taskRun) follow(next time.Time) {
	if r.fate == runOpen || r.end.After(next) {
		r.end, r.fate = latest(next, r.start), runLost
	}
	if r.fate == runDone {
		r.fate = runLost
	}
}

// account returns the run as the account uses it, and false if it was never
// ordered.
func (r *lossRun) account() (taskRun, bool) {
	run := taskRun{start: r.startedAt, ran: r.ran, stopReason: r.stopReason}
	switch {
	case !r.endedAt.IsZero():
		run.end = r.endedAt
		switch r.end {
		case "done":
			run.fate = runDone
		case "failed":
			run.fate = runFailed
		case "stopped":
			run.fate = runStopped
		default:
			run.fate = runLost
		}
		if run.start.IsZero() {
			run.start = run.end.Add(-run.ran)
		}
	case !r.releaseAt.IsZero():
		run.end, run.fate = r.releaseAt, runLost
		if hasNotStarted[r.releaseReason] {
			run.fate = runNotStarted
		}
	}
	if run.fate != runOpen {
		run.end = latest(run.end, run.start)
	}
	return run, !run.start.IsZero()
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

// addTask adds the time of a task from readyAt on. mayWait states whether a task
// that does not run any more has waited until waitEnd.
func (t *LossTimes) addTask(runs []taskRun, readyAt, waitEnd time.Time, mayWait bool) {
	at := readyAt
	addWait := func(d time.Duration) { t.FirstStart.add(d) }
	for _, r := range runs {
		addWait(r.start.Sub(at))
		at = latest(at, r.start)
		took := max(r.end.Sub(at), 0)
		ran := min(r.ran, took)
		switch r.fate {
		case runOpen:
			return // how much of it counts is not known
		case runNotStarted:
			t.Order.add(took)
		case runLost:
			t.LostRun.add(took)
		case runDone:
			t.Run.add(ran)
			t.Order.add(took - ran)
		case runStopped:
			t.StoppedRun.add(ran)
			t.Order.add(took - ran)
		case runFailed:
			t.FailedRun.add(ran)
			t.Order.add(took - ran)
		}
		at = latest(at, r.end)
		switch {
		case r.fate == runStopped, r.fate == runNotStarted && r.stopReason != "":
			reason := cmp.Or(r.stopReason, unknown)
			addWait = func(d time.Duration) {
				if d > 0 {
					t.addAfterStop(reason, d)
				}
			}
		case r.fate == runNotStarted: // the wait before it goes on
		default:
			addWait = func(d time.Duration) { t.AfterLoss.add(d) }
		}
	}
	if mayWait && runs[len(runs)-1].fate != runDone {
		addWait(waitEnd.Sub(at))
	}
}
