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
	HealthPenalty        float64           // 0 for a healthy worker; from 1 on, the worker is quarantined and gets only trials
	AllowsTrial          bool              // a quarantined worker may start one task as a trial
	LatencyRatio         float64           // last highest ratio of a service's tail latency to its target
	AllowsFillOverTarget bool              // a filling task may start although a service is over its target, since none has started for a while

	estimates           map[string]imageEstimate // by filling image, see estimateOf
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
	// Objective is the time that the job may take, 0 if it has none.
	Objective time.Duration
	Tasks     []int32 // indexes of the pending tasks
	// RemainingWork is the declared work of the job's tasks that are not done, in
	// processor seconds. It orders filling demands.
	RemainingWork float64
	// Placed counts the tasks of the step on each worker.
	Placed map[structs.WorkerID]int32
	// Permitted holds the workers that may run the step. Nil permits all.
	Permitted map[structs.WorkerID]bool
	// FailedOn holds the workers on which a task failed before, by task index.
	FailedOn map[int32][]structs.WorkerID
	// Delayed holds the indexes of pending tasks that must not start yet. No room
	// is held for them, since a task that always fails would hold it for good.
	Delayed map[int32]bool
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
	// Overdue holds the indexes of pending long-running tasks whose last run
	// ended so long ago that the restart limit comes close. Their step is placed
	// before the work of all priorities.
	Overdue map[int32]bool

	interference *Interference
	goesFirst    bool // the filling demand goes before the others of its priority, see promoteStarvedFill
}

// MarkDelayed adds a task to Delayed.
func (d *Demand) MarkDelayed(index int32) { addIndex(&d.Delayed, index) }

// MarkOverdue adds a task to Overdue.
func (d *Demand) MarkOverdue(index int32) { addIndex(&d.Overdue, index) }

func addIndex(set *map[int32]bool, index int32) {
	if *set == nil {
		*set = map[int32]bool{}
	}
	(*set)[index] = true
}

// Placement assigns a task to a worker.
type Placement struct {
	Task   structs.StepTaskID
	Worker structs.WorkerID
	IsIdle bool // the job had been idle, see Demand.IsIdle
}

// starvationLateness is the lateness from which a job goes before all others.
const starvationLateness = 30 * time.Second

// Ranks of slacks. Lower ranks go first: jobs later than starvationLateness, so
// that none starves, then jobs that can still be in time, then late jobs. Under
// overload, first come, first served would make every job late.
const (
	starvedRank = iota
	inTimeRank
	lateRank
)

func slackRank(slack time.Duration) int {
	switch {
	case slack < -starvationLateness:
		return starvedRank
	case slack >= 0:
		return inTimeRank
	default:
		return lateRank
	}
}

// Sort orders demands by priority, with overdue ones before all others. Within
// a priority, long-running steps come first, those that have lost tasks before
// new ones and then by the longest wait. A long-running task has no end by which
// to be in time: the slack of its job says nothing about how long it may be absent.
// The other steps follow by the rank of their slack, filling ones within a rank by
// the work that is left of their jobs, and then by slack.
func Sort(demands []Demand) {
	promoteStarvedFill(demands)
	slices.SortStableFunc(demands, func(a, b Demand) int {
		order := cmp.Or(
			cmp.Compare(a.effectivePriority(), b.effectivePriority()),
			compareFirst(a.Spec.LongRunning, b.Spec.LongRunning),
			compareFirst(a.HasLostTasks, b.HasLostTasks),
			compareFirst(a.goesFirst, b.goesFirst),
		)
		switch {
		case order != 0:
			return order
		case a.Spec.LongRunning:
			return cmp.Compare(b.Waited, a.Waited)
		default:
			return cmp.Or(cmp.Compare(slackRank(a.Slack), slackRank(b.Slack)), compareWork(&a, &b), cmp.Compare(a.Slack, b.Slack))
		}
	})
}

// promoteStarvedFill lets the filling job that is late by most objectives, at
// least one, go first. The order by remaining work would otherwise never reach
// wide jobs under overload; more than one at a time would make all others late.
func promoteStarvedFill(demands []Demand) {
	var first *Demand
	for i := range demands {
		d := &demands[i]
		d.goesFirst = false
		if d.Spec.Fills && d.objectivesLate() >= 1 && (first == nil || d.objectivesLate() > first.objectivesLate()) {
			first = d
		}
	}
	if first != nil {
		first.goesFirst = true
	}
}

// objectivesLate returns the lateness of the job in multiples of its objective, 0
// if it has none.
func (d *Demand) objectivesLate() float64 {
	if d.Objective <= 0 {
		return 0
	}
	return -d.Slack.Seconds() / d.Objective.Seconds()
}

// compareWork orders filling demands by the work that is left of their jobs. It
// answers the load of more filling jobs than find undisturbed room: by slack
// alone, the room is divided among all jobs, and most are late.
func compareWork(a, b *Demand) int {
	if !a.Spec.Fills || !b.Spec.Fills {
		return 0
	}
	return cmp.Compare(a.RemainingWork, b.RemainingWork)
}

// effectivePriority returns the priority, or a higher one than all queues have
// for an overdue demand.
func (d *Demand) effectivePriority() int {
	if len(d.Overdue) > 0 {
		return -1
	}
	return d.Priority
}

// compareFirst orders true before false.
func compareFirst(a, b bool) int {
	switch {
	case a == b:
		return 0
	case a:
		return -1
	default:
		return 1
	}
}

// Candidates returns the workers on which the demand fits now, the best first,
// and for a long-running step then the workers on which room may be held for
// it, at most limit of them. It ignores Permitted.
func Candidates(workers []*Worker, d Demand, interference *Interference, limit int) []structs.WorkerID {
	d.Permitted, d.interference = nil, interference
	scores := map[structs.WorkerID]float64{}
	var fitting []structs.WorkerID
	for _, w := range workers {
		if !d.feasible(w) {
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

// Plan places as many pending tasks as fit, in the order of Sort. It holds room
// for long-running tasks and starved gangs that do not fit. Other demands that do not fit do not
// block later ones. Plan sorts demands in place and adds the placed tasks and
// the holds to the workers.
func Plan(workers []*Worker, demands []Demand, interference *Interference) []Placement {
	Sort(demands)
	var placements []Placement
	for i := range demands {
		d := &demands[i]
		d.interference = interference
		first := len(placements)
		placements = d.place(workers, placements)
		if d.needsHold() {
			d.holdRoom(workers, placements[first:])
		}
	}
	return placements
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
	for _, index := range d.Tasks {
		if d.Delayed[index] {
			continue
		}
		w := d.bestWorker(workers, index)
		if w == nil {
			if d.Spec.Gang {
				d.releaseTasks(chosen)
				return placements[:first]
			}
			if len(d.FailedOn[index]) == 0 {
				break // the remaining tasks need the same resources
			}
			continue
		}
		d.reserveTask(w)
		chosen = append(chosen, w)
		id := structs.StepTaskID{Job: d.Job, Round: d.Round, Step: d.Step, Index: index}
		placements = append(placements, Placement{Task: id, Worker: w.ID, IsIdle: d.IsIdle})
		d.IsIdle = d.IsIdle && d.Spec.Gang // one task is enough, and a gang starts as a whole
	}
	return placements
}

// reserveTask reserves resources for one task on the worker.
func (d *Demand) reserveTask(w *Worker) {
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
		need.MilliCPU = 0
	}
	if d.Spec.LongRunning {
		w.LongRunning = w.LongRunning.Add(need)
	}
	w.AllowsTrial = false
	if d.Spec.LatencyTarget > 0 {
		w.estimates, w.nonInterferingShare = nil, nil
		w.TasksByServiceImage[d.Spec.Image] += int(n)
		if w.TasksByServiceImage[d.Spec.Image] == 0 {
			delete(w.TasksByServiceImage, d.Spec.Image)
		}
	}
	w.Reserved = w.Reserved.Add(need)
}

// bestWorker returns the feasible worker with the highest score, nil if there
// is none.
func (d *Demand) bestWorker(workers []*Worker, index int32) *Worker {
	var best *Worker
	var bestScore float64
	for _, w := range workers {
		if !d.feasible(w) || w.isQuarantined() && !d.mayFailTrial(index) {
			continue
		}
		score, ok := d.score(w, index)
		if !ok {
			continue
		}
		if best == nil || score > bestScore {
			best, bestScore = w, score
		}
	}
	return best
}

func (d *Demand) feasible(w *Worker) bool {
	if !d.isEligible(w) || w.isQuarantined() && !d.mayTry(w) || !d.hasRoom(w) {
		return false
	}
	if !d.Spec.Fills || len(d.Overdue) > 0 {
		return true
	}
	if w.isOverTarget() && !d.IsIdle && (d.Waited < maxOverTargetWait || !w.AllowsFillOverTarget) {
		return false
	}
	return w.idleMilliCPU() >= minIdleShare*float64(d.Spec.Resources.MilliCPU)
}

// isEligible reports whether the step may run on the worker at all, apart from
// the worker's health and room.
func (d *Demand) isEligible(w *Worker) bool {
	return w.Pool == d.Pool && (d.Permitted == nil || d.Permitted[w.ID]) && d.hasLabel(w) && d.mayAddCopy(w)
}

// failedBeforePenalty returns the penalty of a worker on which the task has
// failed. A service would otherwise return there for the sake of its image.
func (d *Demand) failedBeforePenalty() float64 {
	if d.Spec.LatencyTarget > 0 {
		return serviceFailedBeforeWeight
	}
	return failedBeforeWeight
}

// hasFailedOn reports whether the task has failed on the worker.
func (d *Demand) hasFailedOn(w *Worker, index int32) bool {
	return slices.Contains(d.FailedOn[index], w.ID)
}

// isQuarantined reports whether the worker gets no tasks but trials.
func (w *Worker) isQuarantined() bool { return w.HealthPenalty >= 1 }

// mayTry reports whether a task of the step may start on the quarantined worker
// as a trial, apart from the task's own failures.
func (d *Demand) mayTry(w *Worker) bool { return w.AllowsTrial && !d.Spec.Gang }

// mayFailTrial reports whether the task can afford a failed trial. Long-running
// tasks have unlimited attempts. Other tasks lose at most one attempt by trials.
func (d *Demand) mayFailTrial(index int32) bool {
	return d.Spec.LongRunning || len(d.FailedOn[index]) == 0
}

// maxOverTargetWait is how long a filling task waits for a worker whose services
// are within their targets. Services may be over their targets for reasons of
// their own, so a longer wait could have no end.
const maxOverTargetWait = 2 * time.Second

// isOverTarget reports whether a service on the worker is near or above its
// target.
func (w *Worker) isOverTarget() bool { return w.LatencyRatio >= throttleRatio }

// Weights of the terms of a score. One unit is all processors of a worker.
const (
	interferenceWeight        = 4.0
	nonInterferingShareWeight = 0.4 // keeps workers on which many images may run for images that may run on few
	healthPenaltyWeight       = 1.0
	longRunningTrialWeight    = 16.0 // penalty of a trial for a long-running task, so that it is the last resort
	overTargetWeight          = 8.0  // penalty of a filling task for a worker with a service over its target
	failedBeforeWeight        = 4.0  // penalty for a worker on which the task failed before
	serviceFailedBeforeWeight = 8.0  // the same for a service, above all scores of serviceScore
	inputRackWeight           = 1.0  // bonus for the rack of the input; elsewhere a task takes 1.5 to 3 times as long
)

// Scores of a worker for a service. They concentrate the tasks of an image on
// few workers and few images on each worker, so that filling tasks that
// interfere with many services still find workers.
const (
	dedicatedScore    = 5.0 // the worker serves this image only
	sharedScore       = 4.0 // the worker serves this image and others
	otherImagesScore  = 3.0 // the worker serves other images only
	extraImagePenalty = 0.3 // penalty for each image that the worker serves
)

// serviceScore prefers workers that serve the image already, then workers that
// serve other images, then idle ones. Among serving workers it prefers the
// fuller ones. free is the unreserved share of the worker's processors.
func serviceScore(w *Worker, image string, free float64) float64 {
	switch {
	case w.TasksByServiceImage[image] > 0 && len(w.TasksByServiceImage) == 1:
		return dedicatedScore - free
	case w.TasksByServiceImage[image] > 0:
		return sharedScore - free
	case len(w.TasksByServiceImage) > 0:
		return otherImagesScore - extraImagePenalty*float64(len(w.TasksByServiceImage)) - free
	default:
		return free
	}
}

// A filling task is not placed on a worker where the probability that it
// interferes with a service exceeds maxInterferenceProbability, plus
// maxInterferencePerWaitSecond for each second that it has waited.
const (
	maxInterferenceProbability   = 0.6
	maxInterferencePerWaitSecond = 0.05
)

// acceptsInterference reports whether a filling task may start on a worker where
// it interferes with a service with the probability.
func (d *Demand) acceptsInterference(w *Worker, probability float64) bool {
	accepted := maxInterferenceProbability + maxInterferencePerWaitSecond*d.Waited.Seconds()
	switch {
	case len(d.Overdue) > 0 || d.IsIdle || accepted >= 1:
		return true
	case w.Suspect(d.interference, d.Spec.Image):
		return false // the task would be throttled as soon as it has started
	default:
		return probability <= accepted
	}
}

// score rates a feasible worker for a task, higher is better. It prefers idle
// processors, a low probability of interference, healthy workers and workers
// on which the task has not failed. It returns false if a filling task is too
// likely to interfere with a service on the worker.
func (d *Demand) score(w *Worker, index int32) (float64, bool) {
	capacity := float64(max(1, w.Capacity.MilliCPU))
	score := float64(w.Capacity.MilliCPU-w.Reserved.MilliCPU) / capacity
	switch {
	case d.Spec.Fills:
		probability := w.InterferenceProbability(d.interference, d.Spec.Image)
		if !d.acceptsInterference(w, probability) {
			return 0, false
		}
		score = w.idleMilliCPU()/capacity - interferenceWeight*probability - nonInterferingShareWeight*w.nonInterferingImageShare(d.interference)
		if w.isOverTarget() {
			score -= overTargetWeight
		}
	case d.Spec.LatencyTarget > 0:
		score = serviceScore(w, d.Spec.Image, score)
	}
	score -= healthPenaltyWeight * w.HealthPenalty
	if w.isQuarantined() && d.Spec.LongRunning {
		score -= longRunningTrialWeight
	}
	if d.hasFailedOn(w, index) {
		score -= d.failedBeforePenalty()
	}
	if d.Spec.Rack != "" && d.Spec.Rack == w.Rack {
		score += inputRackWeight
	}
	return score, true
}
