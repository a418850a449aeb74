// Package steps decides which pending tasks of jobs of steps start, in which
// order and on which worker. It is pure: a view of the fleet goes in, a list of
// placements comes out.
package steps

import (
	"cmp"
	"maps"
	"slices"
	"time"

	"github.com/daisywall/daisywall/structs"
)

// serviceUse is the share of their declared processors that long-running tasks
// are taken to use; the rest is left to tasks that fill. From the declared
// load of the deployments' services (0.42 with swings of a half).
const serviceUse = 0.6

// fillFloor is the share of a filling task's declared processors that has to be
// idle for it to start. Below it, the task would mostly slow others down.
const fillFloor = 0.5

// fillMemory is the share of a worker's memory that filling tasks leave to
// tasks that are waited for.
const fillMemory = 0.9

// Worker is the view of one worker.
type Worker struct {
	ID            structs.WorkerID
	FailureDomain structs.FailureDomainID
	Rack          string
	Pool          structs.PoolID
	Labels        []string
	Capacity      structs.Resources
	Reserved      structs.Resources // of tasks that don't fill, and the memory of those that do
	Services      int64             // thousandths of a processor declared by long-running tasks, part of Reserved
	Fills         int64             // thousandths of a processor declared by filling tasks
	Serving       map[string]int    // tasks with a latency target by image
	Distrust      float64           // 0 for a worker in good health, 1 and more for one to avoid
}

// idle returns the processors that are expected to be left unused.
func (w *Worker) idle() float64 {
	return float64(w.Capacity.MilliCPU-w.Reserved.MilliCPU-w.Fills) + (1-serviceUse)*float64(w.Services)
}

// Demand is a step with pending tasks.
type Demand struct {
	Job      structs.JobID
	Round    int32
	Step     int32
	Spec     *structs.Step
	Pool     structs.PoolID
	Priority int           // 0 goes first
	Slack    time.Duration // until the job is late; less goes first among equal priorities, late jobs last
	Tasks    []int32
	// Placed counts the tasks of the step on each worker.
	Placed map[structs.WorkerID]int32
	// Permitted holds the workers that may run the step; nil where any may.
	Permitted map[structs.WorkerID]bool
	// Avoid holds the workers on which a task failed before.
	Avoid map[int32][]structs.WorkerID
	// Waited is how long the job has had no placement. The longer, the more
	// likely it may be to disturb where it goes.
	Waited time.Duration

	interference *Interference
}

// Placement puts a task on a worker.
type Placement struct {
	Task   structs.StepTaskID
	Worker structs.WorkerID
}

// starvedAfter is how late a job is when it goes first again.
const starvedAfter = 30 * time.Second

// compareSlack puts jobs that can still be in time before late ones, the latest
// of these first. Load: more work than fits, where first come, first served
// makes every job late. A job that is very late goes before all others.
func compareSlack(a, b time.Duration) int {
	return cmp.Or(cmp.Compare(lateness(a), lateness(b)), cmp.Compare(a, b))
}

// lateness ranks a slack: very late, in time, late.
func lateness(slack time.Duration) int {
	switch {
	case slack < -starvedAfter:
		return 0
	case slack >= 0:
		return 1
	default:
		return 2
	}
}

// Sort orders demands by urgency.
func Sort(demands []Demand) {
	slices.SortStableFunc(demands, func(a, b Demand) int {
		return cmp.Or(cmp.Compare(a.Priority, b.Priority), compareSlack(a.Slack, b.Slack))
	})
}

// Candidates returns at most so many workers on which the demand fits now, the
// best first, whether they are permitted or not.
func Candidates(workers []*Worker, d Demand, interference *Interference, most int) []structs.WorkerID {
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
	return fitting[:min(most, len(fitting))]
}

// Plan places as many pending tasks as fit. More urgent demands go first, and
// within a priority those with the least slack. A demand that does not fit does
// not hold up later ones. It changes the workers' reservations.
func Plan(workers []*Worker, demands []Demand, interference *Interference) []Placement {
	Sort(demands)
	var placements []Placement
	for i := range demands {
		demands[i].interference = interference
		placements = demands[i].place(workers, placements)
	}
	return placements
}

// place adds the placements of the demand. A gang is placed whole or not at all.
func (d *Demand) place(workers []*Worker, placements []Placement) []Placement {
	if d.Spec.Gang && d.Spec.SameRack {
		return d.placeTogether(workers, placements)
	}
	return d.placeOn(workers, placements)
}

// rackPatience is how long a gang that is slower across racks waits for room in
// one. Shorter than what the slowdown of 1.5 to 3 costs a task of some seconds.
const rackPatience = 2 * time.Second

// placeTogether puts the gang into the rack with the most room that holds it,
// and across racks when it has waited for long.
func (d *Demand) placeTogether(workers []*Worker, placements []Placement) []Placement {
	for _, rack := range racksByRoom(workers) {
		if placed := d.placeOn(rack, placements); len(placed) > len(placements) {
			return placed
		}
	}
	if d.Waited < rackPatience {
		return placements
	}
	return d.placeOn(workers, placements)
}

// racksByRoom groups the workers by rack, the most idle processors first.
func racksByRoom(workers []*Worker) [][]*Worker {
	byName := map[string][]*Worker{}
	room := map[string]float64{}
	for _, w := range workers {
		byName[w.Rack] = append(byName[w.Rack], w)
		room[w.Rack] += w.idle()
	}
	names := slices.SortedFunc(maps.Keys(byName), func(a, b string) int {
		return cmp.Or(cmp.Compare(room[b], room[a]), cmp.Compare(a, b))
	})
	racks := make([][]*Worker, 0, len(names))
	for _, name := range names {
		racks = append(racks, byName[name])
	}
	return racks
}

// placeOn adds the placements of the demand on the given workers.
func (d *Demand) placeOn(workers []*Worker, placements []Placement) []Placement {
	first := len(placements)
	var taken []*Worker
	for _, index := range d.Tasks {
		w := d.best(workers, index)
		if w == nil {
			if d.Spec.Gang {
				d.undo(taken)
				return placements[:first]
			}
			if len(d.Avoid[index]) == 0 {
				break // the others need the same
			}
			continue
		}
		d.take(w)
		taken = append(taken, w)
		id := structs.StepTaskID{Job: d.Job, Round: d.Round, Step: d.Step, Index: index}
		placements = append(placements, Placement{Task: id, Worker: w.ID})
	}
	return placements
}

// take reserves room for a task; undo gives it back for each of the workers.
func (d *Demand) take(w *Worker) {
	d.reserve(w, 1)
	if d.Placed == nil {
		d.Placed = map[structs.WorkerID]int32{}
	}
	d.Placed[w.ID]++
}

func (d *Demand) undo(taken []*Worker) {
	for _, w := range taken {
		d.reserve(w, -1)
		d.Placed[w.ID]--
	}
}

// reserve adds n tasks to what the worker holds.
func (d *Demand) reserve(w *Worker, n int64) {
	need := d.Spec.Resources.Scale(n)
	switch {
	case d.Spec.Fills:
		w.Fills += need.MilliCPU
		need.MilliCPU = 0
	case d.Spec.LongRunning:
		w.Services += need.MilliCPU
	}
	if d.Spec.LatencyTarget > 0 {
		w.Serving[d.Spec.Image] += int(n)
		if w.Serving[d.Spec.Image] == 0 {
			delete(w.Serving, d.Spec.Image)
		}
	}
	w.Reserved = w.Reserved.Add(need)
}

// best returns the feasible worker with the highest score, nil if there is none.
func (d *Demand) best(workers []*Worker, index int32) *Worker {
	var best *Worker
	var bestScore float64
	for _, w := range workers {
		if !d.feasible(w) {
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
	if w.Pool != d.Pool || w.Distrust >= 1 || d.Permitted != nil && !d.Permitted[w.ID] {
		return false
	}
	if d.Spec.Label != "" && !slices.Contains(w.Labels, d.Spec.Label) {
		return false
	}
	if d.Spec.MaxPerWorker > 0 && d.Placed[w.ID] >= d.Spec.MaxPerWorker {
		return false
	}
	need := d.Spec.Resources
	if !d.Spec.Fills {
		return w.Reserved.Add(need).Fits(w.Capacity)
	}
	if w.idle() < fillFloor*float64(need.MilliCPU) {
		return false
	}
	need.MilliCPU = 0
	room := w.Capacity
	room.MemoryMB = int64(fillMemory * float64(room.MemoryMB))
	room.MilliCPU = max(room.MilliCPU, w.Reserved.MilliCPU)
	return w.Reserved.Add(need).Fits(room)
}

// Weights of a score, in shares of a worker's processors.
const (
	harmWeight     = 4.0
	openWeight     = 0.4 // workers on which any image may run are left to those that may run on few
	distrustWeight = 1.0
	avoidWeight    = 4.0 // another worker than the one that failed the task, if there is one
	rackWeight     = 1.0 // near the input: an idler worker elsewhere takes 1.5 to 3 times as long
)

// Scores of a worker for a service. Load: filling tasks that disturb many
// services. Few images on few workers leave most workers to most filling tasks.
const (
	onlySameScore = 5.0 // serves this image and no other
	sameScore     = 4.0 // serves this image and others
	mixedScore    = 3.0 // serves others; less for each of them
	mixedWeight   = 0.3
)

// serviceScore prefers workers that serve the image already, then those that
// serve others, and among them the fuller ones. Free is the worker's share of
// processors that nobody has reserved.
func serviceScore(w *Worker, image string, free float64) float64 {
	switch {
	case w.Serving[image] > 0 && len(w.Serving) == 1:
		return onlySameScore - free
	case w.Serving[image] > 0:
		return sameScore - free
	case len(w.Serving) > 0:
		return mixedScore - mixedWeight*float64(len(w.Serving)) - free
	default:
		return free
	}
}

// harmLimit is the chance of harm above which a filling task waits for another
// worker. It grows by harmPatience with each second of waiting.
const (
	harmLimit    = 0.6
	harmPatience = 0.05
)

// score prefers workers with idle processors, calm services and no bad record.
// It reports false for a worker on which the task is likely to disturb.
func (d *Demand) score(w *Worker, index int32) (float64, bool) {
	capacity := float64(max(1, w.Capacity.MilliCPU))
	score := float64(w.Capacity.MilliCPU-w.Reserved.MilliCPU) / capacity
	switch {
	case d.Spec.Fills:
		harm := w.Harm(d.interference, d.Spec.Image)
		if harm > harmLimit+harmPatience*d.Waited.Seconds() {
			return 0, false
		}
		score = w.idle()/capacity - harmWeight*harm - openWeight*w.openness(d.interference)
	case d.Spec.LatencyTarget > 0:
		score = serviceScore(w, d.Spec.Image, score)
	}
	score -= distrustWeight * w.Distrust
	if slices.Contains(d.Avoid[index], w.ID) {
		score -= avoidWeight
	}
	if d.Spec.Rack != "" && d.Spec.Rack == w.Rack {
		score += rackWeight
	}
	return score, true
}
