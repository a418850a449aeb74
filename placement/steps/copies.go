package steps

import (
	"cmp"
	"slices"
	"time"

	"github.com/daisywall/daisywall/structs"
)

// Limits for copies of speculative tasks. They answer run times with a long tail
// (3 % of the tasks take 7 times as long) and workers at 0.13 of the usual speed.
const (
	// copyMargin is the ratio of the time that a run needs to the time that a
	// copy needs from which a copy is made. Run times vary by about a third, so
	// that a lower ratio would copy runs that end in time.
	copyMargin = 1.5
	// copyMinGain is the least expected gain of a copy. A gain below the delay of
	// a start is none.
	copyMinGain = 300 * time.Millisecond
	// copyStartDelay is the time from the decision until a copy works: a commit,
	// an order and the start at the runner.
	copyStartDelay = 200 * time.Millisecond
	// copyMaxLeftShare is the share of a step's tasks that may be left for one of
	// them to get a copy. While more are left, the step waits for them anyway.
	copyMaxLeftShare = 0.5
	copyMaxPerStep   = 8    // copies of a step at a time; each takes about 100 bytes in the job's row
	copyRoomShare    = 0.25 // share of a pool's room that copies may take
	copyMinSamples   = 3    // run times from which the declared one is not used
	// copyDeclaredFactor is the highest ratio of a real run time to the declared
	// one. Declared run times are wrong by up to 0.9 of their value.
	copyDeclaredFactor = 1.9
	// progressUnit is the step in which runs report their progress. A run may have
	// done almost one unit more than it reports.
	progressUnit = 0.01
)

// CopyStep is a speculative step, with its tasks that are not done.
type CopyStep struct {
	// Demand describes the step as for new runs. Its Placed includes all runs of
	// the step, also those that are being stopped, and its Tasks is empty.
	Demand
	Pending int             // tasks without a run
	Copies  int             // copies that are assigned
	Runs    []CopyCandidate // runs of tasks that have one
	Ended   []time.Duration // run times of tasks of the step that are done
	// RunTime is the run time of a task on a worker of usual speed by what is known
	// of other jobs, 0 if nothing is.
	RunTime time.Duration
}

// CopyCandidate is the only run of a task.
type CopyCandidate struct {
	Index         int32
	Worker        structs.WorkerID
	FailureDomain structs.FailureDomainID
	// Progress is the progress of the run. RedoneOnRestart is what a copy repeats.
	// Observed is 0 if the progress is not known.
	Progress Progress
	// Excluded is set if the task may not get a copy.
	Excluded bool
}

// CopyPlacement assigns a copy of a task to a worker.
type CopyPlacement struct {
	Task        structs.StepTaskID
	Worker      structs.WorkerID
	ExpectedEnd time.Duration // time until the first run is expected to end
	CopyEnd     time.Duration // time until the copy is expected to end
}

// CopyPool is what the copies of a pool may use.
type CopyPool struct {
	Used structs.Resources // resources that copies reserve
	// PendingPriority is the highest priority, the lowest number, of the tasks of
	// the pool that wait for room. Copies of the same or a lower priority wait too.
	PendingPriority int
	HasPending      bool
}

// Copies selects the tasks that get a copy, and their workers. It is called
// after Plan and with the workers that Plan has changed, so that pending tasks go
// first. Speeds holds the speeds of workers relative to the usual one; workers
// that it lacks have the usual speed. Copies adds the reservations of the copies
// to the workers and sorts candidates in place.
func Copies(workers []*Worker, candidates []CopyStep, pools map[structs.PoolID]CopyPool, speeds map[structs.WorkerID]float64) []CopyPlacement {
	slices.SortStableFunc(candidates, func(a, b CopyStep) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(slackRank(a.Slack), slackRank(b.Slack)), cmp.Compare(a.Slack, b.Slack))
	})
	room := map[structs.PoolID]structs.Resources{}
	for _, w := range workers {
		room[w.Pool] = room[w.Pool].Add(w.freeResources())
	}
	budgets := map[structs.PoolID]structs.Resources{}
	for pool, free := range room {
		used := pools[pool].Used
		budgets[pool] = scaleResources(free.Add(used), copyRoomShare).Sub(used)
	}
	var placements []CopyPlacement
	for i := range candidates {
		c := &candidates[i]
		if p := pools[c.Pool]; p.HasPending && p.PendingPriority <= c.Priority || !c.isNearlyDone() {
			continue
		}
		placements = c.place(workers, budgets, speeds, placements)
	}
	return placements
}

// freeResources returns what is neither reserved nor held. Quarantined workers
// and those over their capacity have none.
func (w *Worker) freeResources() structs.Resources {
	free := w.Capacity.Sub(w.Reserved).Sub(w.Held)
	if w.isQuarantined() || !(structs.Resources{}).Fits(free) {
		return structs.Resources{}
	}
	return free
}

func scaleResources(r structs.Resources, share float64) structs.Resources {
	scale := func(amount int64) int64 { return int64(share * float64(amount)) }
	return structs.Resources{MilliCPU: scale(r.MilliCPU), MemoryMB: scale(r.MemoryMB), Accelerators: scale(r.Accelerators)}
}

// isNearlyDone reports whether the end of the step depends on few tasks, all of
// which run. A step of one task always does.
func (c *CopyStep) isNearlyDone() bool {
	left := len(c.Runs) + c.Copies
	return c.Pending == 0 && left > 0 && float64(left) <= max(1, copyMaxLeftShare*float64(c.Spec.Tasks))
}

// place appends copies of the tasks of the step that are expected to end last,
// while each ends the step earlier.
func (c *CopyStep) place(workers []*Worker, budgets map[structs.PoolID]structs.Resources, speeds map[structs.WorkerID]float64, placements []CopyPlacement) []CopyPlacement {
	usual := c.usualRunTime(speeds)
	if usual <= 0 {
		return placements
	}
	slices.SortStableFunc(c.Runs, func(a, b CopyCandidate) int {
		return cmp.Or(-cmp.Compare(a.expectedEnd(), b.expectedEnd()), cmp.Compare(a.Index, b.Index))
	})
	need := c.Spec.Resources
	for i := range c.Runs {
		r := &c.Runs[i]
		if c.Copies >= copyMaxPerStep || !need.Fits(budgets[c.Pool]) {
			break
		}
		w, end := c.workerForCopy(workers, r, usual, speeds)
		if w == nil {
			break // the step ends no earlier than this task, so copies of others gain nothing
		}
		c.reserveTask(w)
		c.Copies++
		budgets[c.Pool] = budgets[c.Pool].Sub(need)
		id := structs.StepTaskID{Job: c.Job, Round: c.Round, Step: c.Step, Index: r.Index}
		placements = append(placements, CopyPlacement{Task: id, Worker: w.ID, ExpectedEnd: r.expectedEnd(), CopyEnd: end})
	}
	return placements
}

// expectedEnd returns the time until the run is expected to end at the rate of
// its progress so far, 0 if that is not known. It assumes the most progress that
// the reported one allows.
func (r *CopyCandidate) expectedEnd() time.Duration {
	p := r.Progress
	if p.Observed <= 0 {
		return 0
	}
	p.Done += progressUnit
	return time.Duration(max(0, p.Left-progressUnit) / p.rate() * float64(time.Second))
}

// usualRunTime returns the median run time of the step's tasks on a worker of
// usual speed, from those that are done and the expected ones of those that run.
// With few of them it returns RunTime, or else the longest run time that the
// declared one allows, 0 if none is declared.
func (c *CopyStep) usualRunTime(speeds map[structs.WorkerID]float64) time.Duration {
	times := slices.Clone(c.Ended)
	for i := range c.Runs {
		if p := c.Runs[i].Progress; p.Observed > 0 && p.Done > progressUnit {
			times = append(times, time.Duration(speedOf(speeds, c.Runs[i].Worker)/p.rate()*float64(time.Second)))
		}
	}
	switch {
	case len(times) < copyMinSamples && c.RunTime > 0:
		return c.RunTime
	case len(times) < copyMinSamples:
		return time.Duration(copyDeclaredFactor * float64(c.Spec.Estimate))
	}
	slices.Sort(times)
	return times[len(times)/2]
}

func speedOf(speeds map[structs.WorkerID]float64, w structs.WorkerID) float64 {
	if speed, found := speeds[w]; found && speed > 0 {
		return speed
	}
	return 1
}

// workerForCopy returns the worker on which to copy the run's task and the time
// until the copy is expected to end, nil if no copy gains enough. It prefers
// other failure domains than that of the run, then fast workers, then the score
// of new runs.
func (c *CopyStep) workerForCopy(workers []*Worker, r *CopyCandidate, usual time.Duration, speeds map[structs.WorkerID]float64) (*Worker, time.Duration) {
	if r.Excluded || r.Progress.Observed <= 0 {
		return nil, 0
	}
	type option struct {
		worker        *Worker
		isOtherDomain bool
		speed, score  float64
		end           time.Duration
	}
	var best *option
	work := r.Progress.Left + r.Progress.RedoneOnRestart
	expected := r.expectedEnd()
	for _, w := range workers {
		if w.ID == r.Worker || w.isQuarantined() || c.hasFailedOn(w, r.Index) || !c.feasible(w, r.Index) {
			continue
		}
		score, ok := c.score(w, r.Index)
		if !ok {
			continue
		}
		o := option{worker: w, isOtherDomain: w.FailureDomain != r.FailureDomain, speed: speedOf(speeds, w.ID), score: score}
		o.end = copyStartDelay + time.Duration(work*float64(usual)/o.speed)
		if float64(expected) < copyMargin*float64(o.end) || expected-o.end < copyMinGain {
			continue
		}
		if best == nil || cmp.Or(compareFirst(o.isOtherDomain, best.isOtherDomain), cmp.Compare(best.speed, o.speed), cmp.Compare(best.score, o.score)) < 0 {
			best = &o
		}
	}
	if best == nil {
		return nil, 0
	}
	return best.worker, best.end
}
