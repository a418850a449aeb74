package steps

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/daisywall/daisywall/structs"
)

// Limits for moving filling runs. They answer the load of runs that are throttled
// beside a service near its target although their image does not interfere with it,
// while other workers have room: about a quarter to a third of the filling runs.
const (
	// moveDelay is the time from the decision until the moved task works. A stop
	// takes 0.2 s, a commit and a start 0.2 s; 0.1 s each is allowed for the report of
	// the end with the next scheduling cycle and for the restore.
	moveDelay = 600 * time.Millisecond
	// moveMargin is the ratio of the time that a run needs where it is to the time
	// that it needs elsewhere from which it is moved. Run times vary by about a
	// third, and the processors that are idle elsewhere are an estimate.
	moveMargin = 1.5
	// moveMinLost is the time at full pace that a run must have lost by throttling.
	// A short peak of a service ends by itself, and the pace rises to full within
	// about 2.4 s after it.
	moveMinLost = time.Second
	// throttleEnd is the time at full pace after which a run is not throttled any
	// more. It is longer than the time between two reports, so that a pace that
	// changes with every report counts by its mean.
	throttleEnd = time.Second
	// maxMoves is the number of moves of a task. Where it is throttled on three
	// workers in turn, the services are busy everywhere.
	maxMoves = 2
	// minMoveInterval is the shortest time between two moves of a task. A task that
	// had to return since the room was taken is throttled there for a while.
	minMoveInterval = 5 * time.Second
	// movesPerWorker is the number of tasks of a pool that may be moved at a time, for
	// each of its workers. It is at least minMovesAtATime, and at most maxMovesAtATime
	// to bound the cost of a search.
	movesPerWorker  = 0.1
	minMovesAtATime = 2
	maxMovesAtATime = 16
	// maxMoveChecks bounds the pairs of a run and a worker that a search compares. It
	// allows for all throttled runs of 300 workers, and for 20 of 4,700 workers.
	maxMoveChecks = 100_000
	// MaxMoveCandidates is the number of runs of which a search needs to know.
	MaxMoveCandidates = 256
	// minOwnProgress is the share of its work after which the run time of a run is
	// derived from its own progress.
	minOwnProgress = 0.1
)

// PaceHistory is how a filling run was throttled by the reports on it. The zero
// value has no report.
type PaceHistory struct {
	worked      time.Duration // time at full pace in which the work that was reported is done
	isThrottled bool
	throttled   time.Duration // time since the pace was reduced
	lost        time.Duration // time at full pace that was lost since then
	doneBefore  float64       // share of the work that was done when the pace was reduced
	done        float64       // share of the work done
	first       float64       // share of the work done at the first report
	full        time.Duration // time at full pace since the last report of a lower one
	pace        float64       // last reported pace
	hasReport   bool
}

// Observe adds a report with the pace and the share of the work done, both from 0
// to 1. Elapsed is the time since the report before. The pace between two reports
// counts as their mean.
func (h *PaceHistory) Observe(elapsed time.Duration, pace, done float64) {
	if !h.hasReport {
		*h = PaceHistory{hasReport: true, pace: pace, first: done}
	} else {
		worked := time.Duration((h.pace + pace) / 2 * float64(elapsed))
		h.worked += worked
		if h.isThrottled {
			h.throttled += elapsed
			h.lost += elapsed - worked
		}
		if h.full += elapsed; h.pace < 1 || pace < 1 {
			h.full = 0
		}
	}
	h.pace, h.done = pace, done
	switch {
	case pace < 1 && !h.isThrottled:
		h.isThrottled, h.throttled, h.lost, h.doneBefore = true, 0, 0, done
	case h.full >= throttleEnd:
		h.isThrottled = false
	}
}

// IsLongThrottled reports whether the run has lost so much time since its pace was
// reduced that it may be moved.
func (h *PaceHistory) IsLongThrottled() bool { return h.isThrottled && h.lost >= moveMinLost }

// Lost returns the time at full pace that the run has lost since its pace was reduced.
func (h *PaceHistory) Lost() time.Duration { return h.lost }

// MayMoveAgain reports whether a task may be moved that was moved before, and last
// since ago.
func MayMoveAgain(moves int, since time.Duration) bool {
	return moves == 0 || moves < maxMoves && since >= minMoveInterval
}

// MoveCandidate is a throttled filling run, or a task that is being moved.
type MoveCandidate struct {
	Demand // of the step as for new runs; Tasks holds the index of the task only
	Worker structs.WorkerID
	Pace   PaceHistory
	// RunTime is the expected run time of the task at full pace on a worker of usual
	// speed, 0 if it is not known.
	RunTime   time.Duration
	Moves     int           // earlier moves of the task
	SinceMove time.Duration // time since the last one
	IsMoving  bool          // the task was stopped for a move and is not assigned since
	// MovingTo is the worker that the move was decided for, if the run of a task with
	// IsMoving has not ended. The task then has no claim on the room in a plan.
	MovingTo structs.WorkerID
}

// Move is a run to stop, so that its task starts on another worker from its
// checkpoint.
type Move struct {
	Task        structs.StepTaskID
	From, To    structs.WorkerID
	ExpectedEnd time.Duration // time until the run is expected to end where it is
	MovedEnd    time.Duration // time until it is expected to end elsewhere
}

// Moves selects the runs to move. It is called after Plan and with the workers that
// Plan has changed. Pending holds the demands with the tasks that were not placed, see
// Unplaced. Moves adds the reservations of the moved tasks to the workers and sorts
// candidates in place.
//
// The worker of a move is an estimate: the next plan places the task.
func Moves(workers []*Worker, candidates []MoveCandidate, pending []Demand, interference *Interference) []Move {
	slices.SortStableFunc(candidates, func(a, b MoveCandidate) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), cmp.Compare(b.Pace.lost, a.Pace.lost),
			cmp.Compare(a.Job, b.Job), cmp.Compare(a.Round, b.Round), cmp.Compare(a.Step, b.Step), cmp.Compare(a.Tasks[0], b.Tasks[0]))
	})
	byID, budgets := map[structs.WorkerID]*Worker{}, map[structs.PoolID]int{}
	for _, w := range workers {
		byID[w.ID] = w
		budgets[w.Pool]++
	}
	for pool, n := range budgets {
		budgets[pool] = min(maxMovesAtATime, max(minMovesAtATime, int(movesPerWorker*float64(n))))
	}
	for i := range candidates {
		c := &candidates[i]
		c.interference = interference
		if !c.IsMoving {
			continue
		}
		budgets[c.Pool]--
		if w := byID[c.MovingTo]; w != nil {
			c.reserveTask(w)
		}
	}
	targets := moveTargets{pending: pending, interference: interference, wanted: map[*Worker]bool{}}
	targets.workers = slices.DeleteFunc(slices.Clone(workers), func(w *Worker) bool { return !w.acceptsMoves() })
	var moves []Move
	checks := 0
	hasNoTarget := map[structs.StepID]bool{} // no worker has room for a task of the step
	for i := range candidates {
		c := &candidates[i]
		if budgets[c.Pool] <= 0 || checks >= maxMoveChecks || hasNoTarget[c.stepID()] || !c.mayMove() {
			continue
		}
		checks += len(targets.workers)
		from := byID[c.Worker]
		if from == nil {
			from = &Worker{ID: c.Worker} // it gets no new tasks
		}
		m, to, hasTarget := c.move(from, &targets)
		hasNoTarget[c.stepID()] = !hasTarget
		if to != nil {
			c.reserveTask(to)
			budgets[c.Pool]--
			moves = append(moves, m)
		}
	}
	return moves
}

// Unplaced returns the demands with tasks that a plan has not placed, one of those that
// may use the same workers. It leaves out tasks that wait for something else than
// room.
func Unplaced(demands []Demand, placements []Placement) []Demand {
	placed := map[structs.StepTaskID]bool{}
	for _, p := range placements {
		placed[p.Task] = true
	}
	type workersOf struct {
		pool         structs.PoolID
		label, image string
		fills        bool
	}
	known := map[workersOf]bool{}
	var rest []Demand
	for i := range demands {
		d := &demands[i]
		key := workersOf{pool: d.Pool, label: d.Spec.Label, fills: d.Spec.Fills}
		if d.Spec.Fills {
			key.image = d.Spec.Image
		}
		if known[key] {
			continue
		}
		isWaiting := func(index int32) bool {
			return !placed[structs.StepTaskID{Job: d.Job, Round: d.Round, Step: d.Step, Index: index}] &&
				!d.needsTrialWorker(index) && !d.Restarts[index].IsDelayed
		}
		if slices.ContainsFunc(d.Tasks, isWaiting) {
			rest = append(rest, *d)
			known[key] = d.Permitted == nil && d.Spec.MaxPerWorker <= 0
		}
	}
	return rest
}

// moveTargets are the workers to which runs may be moved.
type moveTargets struct {
	workers      []*Worker
	pending      []Demand
	interference *Interference
	wanted       map[*Worker]bool // see isWanted; only of the workers that were asked for
}

// isWanted reports whether pending tasks would use room on the worker.
func (t *moveTargets) isWanted(w *Worker) bool {
	wanted, found := t.wanted[w]
	if !found {
		for i := range t.pending {
			wanted = wanted || t.pending[i].mayUse(w, t.interference)
		}
		t.wanted[w] = wanted
	}
	return wanted
}

// mayUse reports whether pending tasks of the demand would use room on the worker.
// A filling task does not start where its image interferes with a service.
func (d *Demand) mayUse(w *Worker, interference *Interference) bool {
	return d.isEligible(w) && (!d.Spec.Fills || !w.Suspect(interference, d.Spec.Image))
}

// acceptsMoves reports whether a filling run is expected to keep its full pace on the
// worker if its image does not interfere there.
func (w *Worker) acceptsMoves() bool {
	return !w.isQuarantined() && !w.IsUnstable && !w.IsFillThrottled && w.LatencyRatio < recoveryRatio
}

// mayMove reports whether the run may be moved, if there is room elsewhere.
func (c *MoveCandidate) mayMove() bool {
	return !c.IsMoving && c.Spec.Fills && c.Spec.Checkpoints && !c.Spec.Gang && !c.Spec.LongRunning && !c.needsTrialWorker(c.Tasks[0]) &&
		c.Pace.IsLongThrottled() && MayMoveAgain(c.Moves, c.SinceMove)
}

// move returns the move of the run to the worker on which it is expected to end
// first, and nil if none gains enough. HasTarget is set if some worker has room for it,
// which pending tasks may use.
func (c *MoveCandidate) move(from *Worker, targets *moveTargets) (m Move, best *Worker, hasTarget bool) {
	work := c.work(from)
	if work <= 0 {
		return m, nil, true // not known
	}
	stay := c.expectedEnd(work)
	id := structs.StepTaskID{Job: c.Job, Round: c.Round, Step: c.Step, Index: c.Tasks[0]}
	m = Move{Task: id, From: from.ID, ExpectedEnd: stay}
	var bestScore float64
	for _, w := range targets.workers {
		if w.ID == c.Worker || c.hasFailedOn(w, id.Index) || w.Unproven(c.interference, c.Spec.Image) ||
			w.idleMilliCPU() < float64(c.Spec.Resources.MilliCPU) || !c.feasible(w, id.Index) {
			continue
		}
		hasTarget = true
		probability := w.InterferenceProbability(c.interference, c.Spec.Image)
		if !c.acceptsInterference(w, probability) {
			continue
		}
		end := moveDelay + time.Duration(float64(work)*from.knownSpeed()/w.knownSpeed())
		if float64(stay) < moveMargin*float64(end) {
			continue
		}
		// The plan's score compares all images that are known, which takes too long here.
		score := c.idleShare(w) - interferenceWeight*probability
		if best != nil && cmp.Or(cmp.Compare(end, m.MovedEnd), cmp.Compare(bestScore, score)) >= 0 {
			continue
		}
		if !targets.isWanted(w) {
			best, bestScore, m.To, m.MovedEnd = w, score, w.ID, end
		}
	}
	return m, best, hasTarget
}

// work returns the time that the rest of the run takes at full pace on its worker, 0
// if it is not known. The progress of the run says more of it than the run times of
// other tasks. A run that makes progress at a reported pace of 0 has no known pace,
// and thus no work.
func (c *MoveCandidate) work(from *Worker) time.Duration {
	full := time.Duration(float64(c.RunTime) / from.knownSpeed())
	if done := c.Pace.done - c.Pace.first; done >= minOwnProgress {
		full = time.Duration(float64(c.Pace.worked) / done)
	}
	return time.Duration((1 - c.Pace.done) * float64(full))
}

// expectedEnd returns the time until the run is expected to end at the pace that it
// has had since it was throttled. It assumes the most progress that the reported one
// allows, so that a run that progresses in spite of its pace is not moved.
func (c *MoveCandidate) expectedEnd(work time.Duration) time.Duration {
	h := &c.Pace
	byProgress := Progress{Observed: h.throttled, Done: h.done - h.doneBefore + progressUnit}
	end := max(0, 1-h.done-progressUnit) / byProgress.rate()
	if pace := 1 - h.lost.Seconds()/h.throttled.Seconds(); pace > 0 {
		end = min(end, work.Seconds()/pace)
	}
	return time.Duration(min(end, math.MaxInt32) * float64(time.Second))
}

// knownSpeed returns the speed of the worker, 1 if it is not known.
func (w *Worker) knownSpeed() float64 {
	if w.Speed > 0 {
		return w.Speed
	}
	return 1
}
