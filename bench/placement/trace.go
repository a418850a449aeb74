// Package placement measures placement policies on seeded traces. It simulates
// a cluster at the decision interface only: a policy gets snapshots, its plans
// are applied, and usage and tail latency are reported with a lag.
package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/daisywall/daisywall/structs"
)

// Parameters of the generated traces.
const (
	tick                = 5 * time.Second
	duration            = 2 * time.Hour
	reportLagTicks      = 4 // delay of reports
	domains             = 4
	workers             = 24
	workersPerRack      = 3
	instancesPerService = 10
	minInstances        = 8
	batchClasses        = 8
	waveInterval        = 15 * time.Minute
	waveTasks           = 50
	domainOutFrom       = 60 * time.Minute // period in which one failure domain is out
	domainOutTo         = 80 * time.Minute
	workerFailsFrom     = 20 * time.Minute // period in which one worker fails every run
	workerFailsTo       = 50 * time.Minute
	nightlyFrom         = 30 * time.Minute
	nightlyTasks        = 60
	cancelAt            = 95 * time.Minute
)

var hostCapacity = structs.Resources{MilliCPU: 16000, MemoryMB: 61440, Accelerators: 2}

var serviceNames = []string{"slot-check", "alert"}

// workClass is a class of work with its declared and its actual resources.
type workClass struct {
	name            string
	kind            structs.WorkKind
	team            structs.TeamID
	declared, usage structs.Resources
	declaredRunTime time.Duration
	runTime         time.Duration      // actual run time at full speed
	latencyEffects  map[string]float64 // relative growth of the tail latency of each service at full load
	idleLatencyMS   float64            // tail latency of a service on an idle host
	deadlineFactor  float64            // time from submission to the deadline in run times, 0 for none
	alwaysFails     bool               // every attempt fails
}

// arrival is the submission of a job.
type arrival struct {
	at       time.Duration
	class    *workClass
	job      structs.JobID
	tasks    int32
	deadline time.Duration // time of the deadline, 0 for none
	cancelAt time.Duration // time of the cancellation, 0 for never
}

// Trace holds the events and parameters of a simulation that do not depend on
// the policy.
type Trace struct {
	seed           uint64
	length         time.Duration
	leaderTerm     time.Duration // time between changes of the leader, 0 for never
	handsOverModel bool          // a new leader receives the state of the model
	classes        []*workClass
	arrivals       []arrival
	initialWorkers []int // index of the initial worker of each service instance
	failingWorker  int   // worker that fails every run for a while
	outDomain      int   // failure domain that goes out and comes back
}

// NewTrace draws a trace. Equal seeds give equal traces. load scales the
// offered batch work, where 1 is about the capacity of the hosts.
func NewTrace(seed uint64, load float64) *Trace {
	random := rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15))
	t := &Trace{seed: seed, length: duration, failingWorker: random.IntN(workers), outDomain: random.IntN(domains)}
	t.initialWorkers = random.Perm(workers)[:len(serviceNames)*instancesPerService]
	t.drawClasses(random)
	t.drawArrivals(random, load)
	return t
}

func (t *Trace) drawClasses(random *rand.Rand) {
	for i, name := range serviceNames {
		usage := structs.Resources{MilliCPU: 2500, MemoryMB: 6000}
		t.classes = append(t.classes, &workClass{
			name: name, kind: structs.WorkService, team: structs.TeamID("team-" + name),
			declared: structs.Resources{MilliCPU: 4000, MemoryMB: 8192}, usage: usage,
			latencyEffects: drawEffects(random, 0, i), idleLatencyMS: 20 + 10*float64(i),
		})
	}
	for i := range batchClasses {
		cpu := 500 + random.Int64N(3500)
		run := time.Duration(60+random.IntN(540)) * time.Second
		c := &workClass{
			name: fmt.Sprintf("batch-%d", i), kind: structs.WorkBatch, team: structs.TeamID(fmt.Sprintf("team-%d", i%3)),
			usage:           structs.Resources{MilliCPU: cpu, MemoryMB: 1000 + random.Int64N(5000)},
			runTime:         run,
			declaredRunTime: time.Duration(float64(run) * logNormalFactor(random, 1.0)),
			latencyEffects:  drawEffects(random, i, -1),
		}
		factor := logNormalFactor(random, 0.6)
		c.declared = structs.Resources{
			MilliCPU: min(16000, int64(float64(c.usage.MilliCPU)*factor)),
			MemoryMB: min(60000, int64(float64(c.usage.MemoryMB)*factor)),
		}
		if i%4 == 1 {
			c.deadlineFactor = 6
		}
		t.classes = append(t.classes, c)
	}
}

// logNormalFactor draws a log-normal factor with median 1. deviation is the
// standard deviation of its logarithm.
func logNormalFactor(random *rand.Rand, deviation float64) float64 {
	return math.Exp(random.NormFloat64() * deviation)
}

// drawEffects draws how much a class slows down each service. service is the
// index of a service, or -1 for a batch class. Three of eight batch classes
// have a large effect, one a small effect. Services have almost no effect on
// each other.
func drawEffects(random *rand.Rand, class, service int) map[string]float64 {
	effects := map[string]float64{}
	for i, name := range serviceNames {
		severe, mild := 0.3+0.7*random.Float64(), 0.03+0.04*random.Float64()
		negligible := 0.008 * random.Float64()
		switch position := (class + i) % batchClasses; {
		case service >= 0:
			effects[name] = negligible
		case position < 3:
			effects[name] = severe
		case position == 3:
			effects[name] = mild
		default:
			effects[name] = negligible
		}
	}
	return effects
}

func (t *Trace) drawArrivals(random *rand.Rand, load float64) {
	batch := t.classes[len(serviceNames):]
	for _, c := range t.classes[:len(serviceNames)] {
		t.addArrival(arrival{class: c, tasks: instancesPerService})
	}
	// Number of processors for batch work: all processors except those of the
	// services.
	batchCapacity := float64(workers)*16 - float64(len(serviceNames)*instancesPerService)*4
	offeredRate := load * batchCapacity * 0.75
	for at := time.Duration(0); at < duration; at += time.Minute {
		for budget := offeredRate * 60; budget > 0; {
			c := batch[random.IntN(len(batch))]
			tasks := int32(1 + random.IntN(12))
			work := float64(tasks) * float64(c.usage.MilliCPU) / 1000 * c.runTime.Seconds()
			if budget < work && random.Float64() > budget/work {
				break
			}
			budget -= work
			t.addArrival(arrival{at: at, class: c, tasks: tasks})
		}
	}
	for at := waveInterval; at < duration; at += waveInterval {
		a := arrival{at: at, class: batch[random.IntN(len(batch))], tasks: waveTasks}
		if random.IntN(3) == 0 {
			a.cancelAt = at + 5*time.Minute
		}
		t.addArrival(a)
	}
	nightly := batch[1]
	t.addArrival(arrival{at: nightlyFrom, class: nightly, tasks: nightlyTasks, deadline: duration - 5*time.Minute})
	failingClass := *batch[2]
	failingClass.name, failingClass.alwaysFails = "broken", true
	t.addArrival(arrival{at: 10 * time.Minute, class: &failingClass, tasks: 10})
	hugeClass := *batch[3]
	hugeClass.name, hugeClass.declared = "huge", structs.Resources{MilliCPU: 64000, MemoryMB: 4096}
	hugeClass.usage = hugeClass.declared
	t.addArrival(arrival{at: 15 * time.Minute, class: &hugeClass, tasks: 2})
}

func (t *Trace) addArrival(a arrival) {
	a.job = structs.JobID(fmt.Sprintf("%s-%d", a.class.name, len(t.arrivals)))
	if a.deadline == 0 && a.class.deadlineFactor > 0 {
		a.deadline = a.at + time.Duration(a.class.deadlineFactor*float64(a.class.runTime))
	}
	t.arrivals = append(t.arrivals, a)
}
