// Package steps schedules the pending tasks of multi-step jobs: it decides
// which of them start, in which order and on which worker. It also estimates
// which filling tasks interfere with services, sets the pace of filling tasks
// and selects stragglers to restart. A filling task is best-effort work that
// runs on processors that other tasks leave idle.
//
// The package has no clock, goroutines, locks or I/O. Callers own all state
// that they pass in and guard it against concurrent use.
package steps

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/daisywall/daisywall/structs"
)

// expectedServiceUse is the expected use of long-running tasks as a share of
// their declared processors. Filling tasks may use the rest. Services declare a
// mean load of 0.42 that swings by a half.
const expectedServiceUse = 0.6

// minIdleShare is the share of a filling task's declared processors that must
// be idle for it to start. With less, it would mostly slow other tasks down.
const minIdleShare = 0.5

// maxFillMemoryShare is the share of a worker's memory that may be in use after
// a filling task starts. The rest is kept for tasks that don't fill.
const maxFillMemoryShare = 0.9

// Worker is one worker with its reservations. Plan adds the tasks that it
// places.
type Worker struct {
	ID                   structs.WorkerID
	FailureDomain        structs.FailureDomainID
	Rack                 string
	Pool                 structs.PoolID
	Labels               []string
	Capacity             structs.Resources
	Reserved             structs.Resources // resources of tasks that don't fill, and memory of filling tasks
	LongRunning          structs.Resources // resources of long-running tasks, included in Reserved
	Stalled              structs.Resources // resources of tasks that were stopped and don't end, included in Reserved
	Holds                []Hold            // pending tasks for which room is kept
	Held                 structs.Resources // resources of the tasks in Holds, not included in Reserved
	FillMilliCPU         int64             // thousandths of a processor declared by filling tasks, not included in Reserved
	TasksByServiceImage  map[string]int    // number of tasks with a latency target, by image
	Probes               []string          // unproven images of filling tasks on the worker whose outcome is awaited, each once
	HealthPenalty        float64           // 0 for a healthy worker; from 1 on, the worker is quarantined and gets only trials
	Speed                float64           // speed relative to other workers, 1 if not known; used for demands with BySpeed
	LatencyRatio         float64           // last highest ratio of a service's tail latency to its target
	AllowsTrial          bool              // a quarantined worker may start one task as a trial
	SpeedTrial           SpeedTrial        // task that may start although the worker is slow, to show whether it still is
	AllowsFillOverTarget bool              // a filling task may start although a service is over its target, since none has started for a while
	Trial                structs.StepID    // step whose isolated task is on trial on the worker, zero for none
	SinceStart           time.Duration     // time since the last assignment of a task
	SinceTrial           time.Duration     // time since the last assignment of an isolated task
	IsUnstable           bool              // the runner has crashed shortly before
	IsFillThrottled      bool              // filling tasks that are known not to interfere with the services are throttled
	started              int               // tasks that the plan has placed on the worker

	estimates           map[string]imageEstimate // by filling image, see estimateOf
	slowdown            float64                  // log of the speed of the pool's fastest worker relative to this one, see compareSpeeds
	nonInterferingShare *float64                 // see nonInterferingImageShare, nil until it is needed
}

// idleMilliCPU returns the processors that are expected to stay unused, in
// thousandths.
func (w *Worker) idleMilliCPU() float64 {
	return float64(w.Capacity.MilliCPU-w.Reserved.MilliCPU-w.FillMilliCPU) + (1-expectedServiceUse)*float64(w.LongRunning.MilliCPU)
}

// Demand is a step with pending tasks.
type Demand struct {
	Job      structs.JobID
	Round    int32
	Step     int32
	Spec     *structs.Step
	Pool     structs.PoolID
	Priority int           // 0 is the highest priority
	Slack    time.Duration // time until the job is late, negative if it is late
	// FirstSlack is the slack that the job had at the first attempts of the pending
	// tasks, if all of them have failed before, and nil otherwise. Their next
	// attempts keep its rank.
	FirstSlack *time.Duration
	// Objective is the time that the job may take, 0 if it has none.
	Objective time.Duration
	Tasks     []int32 // indexes of the pending tasks
	// RemainingWork is the declared or expected work of the job's tasks that are not
	// done, in processor seconds. It orders filling demands, and short ones under
	// overload.
	RemainingWork float64
	Share         QueueShare // standing of the queue of a filling demand, see MarkOverShare
	HasReturned   bool       // the filling job was refused and is back at its return time, see Backlog.Refuse
	// Placed counts the tasks of the step on each worker.
	Placed map[structs.WorkerID]int32
	// Permitted holds the workers that may run the step. Nil permits all.
	Permitted map[structs.WorkerID]bool
	// FailedOn holds the workers on which a task failed before, by task index.
	FailedOn map[int32][]structs.WorkerID
	// Isolated holds the indexes of pending tasks that may crash their runner. Each
	// starts on a worker that gets no other tasks shortly before and after.
	Isolated map[int32]bool
	// Held holds the indexes of isolated tasks that don't start yet. Overdue ones do.
	Held map[int32]bool
	// Restarts holds the failures of pending long-running tasks since they were
	// last steadily at work.
	Restarts map[int32]Restart
	// Waited is the time since the job's last placement, or since its
	// acceptance before the first one. The accepted probability of
	// interference grows with it. For a long-running step it is the longest
	// time that one of its pending tasks has not been at work.
	Waited time.Duration
	// HasLostTasks is set for a long-running step with pending tasks that have
	// run before. It goes before steps whose tasks have not.
	HasLostTasks bool
	// IsIdle is set if no task of the job has run for so long that the limit for
	// idle jobs comes close, and most of the pool is free. One of its filling
	// tasks may then start beside services that it disturbs, where the agent
	// throttles it.
	IsIdle bool
	// BySpeed is set if the speed of the workers decides where the tasks start.
	BySpeed bool
	// RunTime is the expected run time of a task on a worker of usual speed, and
	// PendingFor the time since the step had no pending task or one was last placed.
	// They limit how long tasks wait for a worker that is not slow.
	RunTime, PendingFor time.Duration
	// Overdue holds the indexes of pending long-running tasks whose last run
	// ended so long ago that the restart limit comes close. Their step is placed
	// before the work of all priorities.
	Overdue map[int32]bool

	// NeedsStable holds the indexes of pending isolated tasks whose job fails at
	// the next crash, whatever caused it. They wait for a worker whose runner has
	// not crashed shortly before.
	NeedsStable map[int32]bool

	// Stopped holds the indexes of pending filling tasks whose last run was stopped
	// because of a service. They go before first starts, see putStoppedFirst.
	Stopped map[int32]bool

	interference       *Interference
	probes             *probeCounts
	disturbed          *Worker           // worker on which the plan has placed tasks whose image counts as interfering
	bounds             roomBounds        // shared by the demands of a plan, nil outside of one
	images             pendingImages     // shared by the demands of a plan
	mayTakeEmptyWorker bool              // see hasEmptyWorkers
	trialWorkers       map[int32]*Worker // reserved workers by index of an isolated task
	goesFirst          bool              // it goes before the others of its kind and priority, see promoteStarvedFill and promoteWide
	isOverloaded       bool              // see markOverload
	stoppedPart        *Demand           // stopped tasks of the step, which were placed before; nil if there are none
}

// MarkOverdue adds a task to Overdue.
func (d *Demand) MarkOverdue(index int32) {
	if d.Overdue == nil {
		d.Overdue = map[int32]bool{}
	}
	d.Overdue[index] = true
}

// Placement assigns a task to a worker.
type Placement struct {
	Task   structs.StepTaskID
	Worker structs.WorkerID
	IsIdle bool // the job had been idle, see Demand.IsIdle
	Speed  SpeedChoice
}

// Candidates returns the workers on which the demand fits now, the best first,
// and for a long-running step then the workers on which room may be held for
// it, at most limit of them. It ignores Permitted.
func Candidates(workers []*Worker, d Demand, interference *Interference, limit int) []structs.WorkerID {
	d.Permitted, d.interference = nil, interference
	compareSpeeds(workers, []Demand{d})
	scores := map[structs.WorkerID]float64{}
	var fitting []structs.WorkerID
	for _, w := range workers {
		if !d.feasible(w, d.Tasks[0]) {
			continue
		}
		if score, ok := d.score(w, d.Tasks[0]); ok {
			scores[w.ID] = score
			fitting = append(fitting, w.ID)
		}
	}
	slices.SortStableFunc(fitting, func(a, b structs.WorkerID) int { return cmp.Compare(scores[b], scores[a]) })
	if d.Spec.LongRunning {
		fitting = append(fitting, d.holdCandidates(workers, scores)...)
	}
	return fitting[:min(limit, len(fitting))]
}

// Plan places as many pending tasks as fit, in the order of Sort and
// putStoppedFirst. It holds room
// for long-running tasks and starved gangs that do not fit. Other demands that do not fit do not
// block later ones. Plan sorts demands in place and adds the placed tasks and
// the holds to the workers. Its time is not bounded, see PlanWithin.
func Plan(workers []*Worker, demands []Demand, interference *Interference) []Placement {
	return PlanWithin(workers, demands, interference, &Continuation{}, func() bool { return false })
}

// place appends the placements of the demand. A gang is placed completely or
// not at all.
func (d *Demand) place(workers []*Worker, placements []Placement) []Placement {
	if d.Spec.Gang && d.Spec.SameRack {
		return d.placeInOneRack(workers, placements)
	}
	return d.placeOn(workers, placements)
}

// maxSameRackWait is how long a gang with SameRack waits for room in one rack.
// A gang that is spread across racks takes 1.5 to 3 times as long. For a task
// of some seconds, that costs more than this wait.
const maxSameRackWait = 2 * time.Second

// placeInOneRack places the gang in the first rack, by idle processors, that
// has room for all of it. A gang that has waited for maxSameRackWait may be
// spread across racks.
func (d *Demand) placeInOneRack(workers []*Worker, placements []Placement) []Placement {
	for _, rack := range racksByIdleProcessors(workers) {
		if placed := d.placeOn(rack, placements); len(placed) > len(placements) {
			return placed
		}
	}
	if d.Waited < maxSameRackWait {
		return placements
	}
	return d.placeOn(workers, placements)
}

// racksByIdleProcessors groups the workers by rack and sorts the racks by idle
// processors, the most first.
func racksByIdleProcessors(workers []*Worker) [][]*Worker {
	byName := map[string][]*Worker{}
	idle := map[string]float64{}
	for _, w := range workers {
		byName[w.Rack] = append(byName[w.Rack], w)
		idle[w.Rack] += w.idleMilliCPU()
	}
	names := slices.SortedFunc(maps.Keys(byName), func(a, b string) int {
		return cmp.Or(cmp.Compare(idle[b], idle[a]), cmp.Compare(a, b))
	})
	racks := make([][]*Worker, 0, len(names))
	for _, name := range names {
		racks = append(racks, byName[name])
	}
	return racks
}

// placeOn appends the placements of the demand on the given workers.
func (d *Demand) placeOn(workers []*Worker, placements []Placement) []Placement {
	first := len(placements)
	var chosen []*Worker
	isFull := false // a task that may run on any worker was not placed
	for _, index := range d.Tasks {
		if d.Spec.LatencyTarget > 0 {
			d.mayTakeEmptyWorker = hasEmptyWorkers(workers, d.Pool)
		}
		if isFull && !d.needsTrialWorker(index) && !d.hasOwnWorkers(index) {
			continue // needs the same resources as one that was not placed
		}
		w, speed := d.workerFor(workers, index)
		if w == nil {
			if d.Spec.Gang {
				d.releaseTasks(chosen)
				return placements[:first]
			}
			isFull = isFull || !d.needsTrialWorker(index) && !d.hasOwnWorkers(index)
			continue
		}
		d.reserveTask(w)
		chosen = append(chosen, w)
		id := structs.StepTaskID{Job: d.Job, Round: d.Round, Step: d.Step, Index: index}
		placements = append(placements, Placement{Task: id, Worker: w.ID, IsIdle: d.IsIdle, Speed: speed})
		d.IsIdle = d.IsIdle && d.Spec.Gang // one task is enough, and a gang starts as a whole
	}
	return placements
}

// reserveTask reserves resources for one task on the worker.
func (d *Demand) reserveTask(w *Worker) {
	d.images.removeTask(d)
	if d.Spec.Fills && d.interference != nil && w.Suspect(d.interference, d.Spec.Image) {
		d.disturbed = w
	}
	d.addReservations(w, 1)
	if d.Placed == nil {
		d.Placed = map[structs.WorkerID]int32{}
	}
	d.Placed[w.ID]++
}

// releaseTasks removes one reservation for each occurrence of a worker in
// reservedOn.
func (d *Demand) releaseTasks(reservedOn []*Worker) {
	for _, w := range reservedOn {
		d.addReservations(w, -1)
		d.Placed[w.ID]--
	}
}

// addReservations adds n tasks to the worker's reservations. A negative n
// removes them.
func (d *Demand) addReservations(w *Worker, n int64) {
	need := d.Spec.Resources.Scale(n)
	if d.Spec.Fills {
		w.FillMilliCPU += need.MilliCPU
		w.AllowsFillOverTarget = false
		d.countProbe(w)
		need.MilliCPU = 0
	}
	if d.Spec.LongRunning {
		w.LongRunning = w.LongRunning.Add(need)
	}
	w.AllowsTrial = false
	if d.usesSpeed() {
		w.SpeedTrial = NoSpeedTrial
	}
	w.started += int(n)
	if d.Spec.LatencyTarget > 0 {
		w.estimates, w.nonInterferingShare = nil, nil
		w.TasksByServiceImage = maps.Clone(w.TasksByServiceImage) // the caller may share it among views
		w.TasksByServiceImage[d.Spec.Image] += int(n)
		if w.TasksByServiceImage[d.Spec.Image] == 0 {
			delete(w.TasksByServiceImage, d.Spec.Image)
		}
	}
	w.Reserved = w.Reserved.Add(need)
}

// workerFor returns the worker on which to place the task, nil if there is none.
func (d *Demand) workerFor(workers []*Worker, index int32) (*Worker, SpeedChoice) {
	if d.needsTrialWorker(index) {
		return d.trialWorker(index), SpeedIgnored
	}
	return d.bestWorker(workers, index)
}

// bestWorker returns the feasible worker with the highest score, nil if there
// is none. A slow worker that the step avoids is the last resort.
func (d *Demand) bestWorker(workers []*Worker, index int32) (*Worker, SpeedChoice) {
	if d.bounds.excludes(d) {
		return nil, SpeedIgnored
	}
	var best, slow, unweighted *Worker // slow is the best one that is avoided, unweighted the best one without regard to speeds
	var bestScore, slowScore, unweightedScore float64
	avoidsDoubtful := d.Overdue[index] && slices.ContainsFunc(workers, func(w *Worker) bool { return !d.isDoubtful(w, index) && d.mayHoldOn(w) })
	for _, w := range workers {
		if !d.feasible(w, index) || w.isQuarantined() && !d.mayFailTrial(index) || d.isDelayedOn(w, index) || avoidsDoubtful && d.isDoubtful(w, index) {
			continue
		}
		score, ok := d.score(w, index)
		if !ok {
			continue
		}
		switch {
		case d.avoidsSlow(w):
			if slow == nil || score > slowScore {
				slow, slowScore = w, score
			}
		case best == nil || score > bestScore:
			best, bestScore = w, score
		}
		if score += d.speedPenalty(w); unweighted == nil || score > unweightedScore {
			unweighted, unweightedScore = w, score
		}
	}
	if best == nil && slow != nil && d.acceptsSlow(slow, workers) {
		best = slow
	}
	if best == nil {
		return nil, SpeedIgnored
	}
	return best, d.speedChoice(best, unweighted)
}
