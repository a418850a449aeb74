// Package runtimes estimates from the ended runs of tasks how long the tasks of
// a class run, how often they fail, and how fast each worker is. Declared run
// times are the prior: they may be wrong by most of their value.
//
// The package has no clock, goroutines, locks or I/O. The caller owns the Model
// and guards it against concurrent use.
package runtimes

import (
	"math"
	"time"

	"github.com/daisywall/daisywall/structs"
)

// Bounds of the model. The least recently observed entries are evicted.
const (
	maxClasses = 512
	maxWorkers = 1024
)

// Run times outside of these limits are not plausible.
const (
	minRunTime = time.Millisecond
	maxRunTime = 30 * 24 * time.Hour
)

// p90Deviations is the 90th percentile of a normal distribution, in standard
// deviations above its mean.
const p90Deviations = 1.2816

// failurePrior is the number of runs without a failure that are added to the runs
// of a queue, and of runs of the queue that are added to the runs of an image.
const failurePrior = 3.0

// Class groups the tasks that are expected to behave alike.
type Class struct {
	Queue structs.QueueID
	Image string // may be empty
}

// Run is one ended run of a task.
type Run struct {
	Class    Class
	Declared time.Duration // declared run time, 0 if none is declared
	// Step is the step of the task. If it is zero, runs of a class that have the same
	// declared run time count as runs of one step.
	Step structs.StepID
	// Took is the run time at full speed. It is 0 for a run that has failed, that
	// was throttled or that did not do the whole work of its task. Such a run
	// counts only for the share of failures.
	Took   time.Duration
	Failed bool
	Worker structs.WorkerID // empty if the run says nothing about its worker's speed
	At     time.Duration    // monotonic time of the end
}

// Estimate is the expected behaviour of a task.
type Estimate struct {
	Median, P90  time.Duration // 0 if nothing is known
	FailureShare float64       // expected share of runs that fail
	// Observations is the recency-weighted number of runs behind Median and P90. If
	// it is 0, Median is the declared run time.
	Observations float64
}

// Model holds the estimates. A class without an image holds the runs of all images
// of its queue.
type Model struct {
	classes *lru[Class, classRecord]
	workers *lru[structs.WorkerID, workerRecord]
	usual   *usualSpeed // of the workers, not stored
}

// New returns a model without observations.
func New() *Model {
	m := &Model{classes: newLRU[Class, classRecord](maxClasses), workers: newLRU[structs.WorkerID, workerRecord](maxWorkers), usual: &usualSpeed{}}
	usual := m.usual
	m.workers.evicted = func(w *workerRecord) { usual.add(w, -1) }
	return m
}

// Observe adds an ended run to the model.
func (m *Model) Observe(r Run) {
	queue := m.classes.add(Class{Queue: r.Class.Queue})
	image := queue
	if r.Class.Image != "" {
		image = m.classes.add(r.Class)
	}
	for _, record := range classRecords(queue, image) {
		record.countRun(r.Failed)
	}
	if r.Failed || r.Took < minRunTime || r.Took > maxRunTime {
		return
	}
	y := math.Log(r.Took.Seconds())
	expected := predict(queue, image, r.Declared)
	if r.Worker != "" {
		y += m.observeWorker(&r, y, expected, image)
	}
	step := image.addRun(r.stepKey(), y, expected, r.At)
	for _, record := range classRecords(queue, image) {
		record.countMeasured()
	}
	if image != queue && step.count == 1 {
		queue.addClosed(step)
	}
}

func (r *Run) stepKey() stepKey { return stepKey{step: r.Step, declared: r.Declared} }

// observeWorker updates the speed of the worker from the log of a run time, and
// returns the log of the speed.
func (m *Model) observeWorker(r *Run, y float64, expected prediction, image *classRecord) float64 {
	worker := m.workers.add(r.Worker)
	if c := image.reference(r.stepKey(), expected, r.At); c.weight > 0 {
		m.usual.add(worker, -1)
		worker.add(c.expected-y, c.weight, c.outlier, r.At)
		m.usual.add(worker, 1)
	}
	return worker.logSpeed(m.usual.mean())
}

// classRecords returns the distinct records of a class, the queue's first.
func classRecords(queue, image *classRecord) []*classRecord {
	if queue == image {
		return []*classRecord{queue}
	}
	return []*classRecord{queue, image}
}

// Predict returns the expected behaviour of a task of the class on a worker of
// usual speed.
func (m *Model) Predict(c Class, declared time.Duration) Estimate {
	queue, image := m.classes.peek(Class{Queue: c.Queue}), m.classes.peek(c)
	if queue == nil {
		queue = &classRecord{}
	}
	if image == nil {
		image = queue
	}
	e := Estimate{Median: max(0, declared), FailureShare: queue.failed / (queue.runs + failurePrior)}
	if image != queue {
		e.FailureShare = (image.failed + failurePrior*e.FailureShare) / (image.runs + failurePrior)
	}
	p := predict(queue, image, declared)
	if !p.known {
		return e
	}
	if e.Observations = p.observations; e.Observations > 0 {
		e.Median = toDuration(p.mean)
	}
	e.P90 = max(e.Median, toDuration(p.mean+p90Deviations*math.Sqrt(p.variance)))
	return e
}

// Speed returns the speed of the worker relative to the others that ran the same
// classes, 1 if it is not known.
func (m *Model) Speed(id structs.WorkerID) float64 {
	if w := m.workers.peek(id); w != nil {
		return math.Exp(w.logSpeed(m.usual.mean()))
	}
	return 1
}

// logDeclared returns the log of a declared run time in seconds, and false if none
// is declared.
func logDeclared(declared time.Duration) (float64, bool) {
	if declared <= 0 {
		return 0, false
	}
	return math.Log(min(max(declared, minRunTime), maxRunTime).Seconds()), true
}

// toDuration converts the log of seconds to a plausible run time.
func toDuration(log float64) time.Duration {
	seconds := min(max(math.Exp(log), minRunTime.Seconds()), maxRunTime.Seconds())
	return time.Duration(seconds * float64(time.Second))
}
