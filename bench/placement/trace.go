// Package placement measures placement policies on seeded traces. A trace
// stands in for a cluster at the decision interface only: it shows a policy
// snapshots, applies its plans, and reports usage and tail latency with a lag.
package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"time"

	"github.com/daisywall/daisywall/structs"
)

// Shape of the traces.
const (
	tick           = 5 * time.Second
	duration       = 2 * time.Hour
	lagTicks       = 4 // delay of measurements
	domains        = 4
	workers        = 24
	workersPerRack = 3
	instances      = 10 // of each service
	minimum        = 8
	batchClasses   = 8
	waveEvery      = 15 * time.Minute
	waveTasks      = 50
	outFrom        = 60 * time.Minute // absence of one failure domain
	outTo          = 80 * time.Minute
	brokenFrom     = 20 * time.Minute // time in which one worker fails everything
	brokenTo       = 50 * time.Minute
	nightlyFrom    = 30 * time.Minute
	nightlyTasks   = 60
	cancelAt       = 95 * time.Minute
)

var hostCapacity = structs.Resources{MilliCPU: 16000, MemoryMB: 61440, Accelerators: 2}

var serviceNames = []string{"slot-check", "alert"}

// workClass is a class of work as it really is, next to what is declared.
type workClass struct {
	name            string
	kind            structs.WorkKind
	team            structs.TeamID
	declared, usage structs.Resources
	declaredRun     time.Duration
	run             time.Duration      // at full speed
	effects         map[string]float64 // growth of a service's tail latency at full load
	baseMS          float64            // tail latency of a service on an idle host
	deadline        float64            // in run times from submission, 0 for none
	broken          bool               // every task fails
}

// arrival is the submission of a job.
type arrival struct {
	at       time.Duration
	class    *workClass
	job      structs.JobID
	tasks    int32
	deadline time.Duration // 0 for none
	cancel   time.Duration // 0 for never
}

// Trace is everything that happens, the policy aside.
type Trace struct {
	seed     uint64
	length   time.Duration
	term     time.Duration // time between changes of the leader, 0 for never
	handover bool          // a new leader gets what the model has learned
	classes  []*workClass
	arrivals []arrival
	homes    []int // workers of the service instances when the trace begins
	broken   int   // worker that fails everything for a while
	out      int   // failure domain that goes out and comes back
}

// NewTrace draws a trace. Equal seeds give equal traces. load scales the
// offered batch work; 1 is about what the hosts can do.
func NewTrace(seed uint64, load float64) *Trace {
	random := rand.New(rand.NewPCG(seed, 0x9e3779b97f4a7c15))
	t := &Trace{seed: seed, length: duration, broken: random.IntN(workers), out: random.IntN(domains)}
	t.homes = random.Perm(workers)[:len(serviceNames)*instances]
	t.drawClasses(random)
	t.drawArrivals(random, load)
	return t
}

func (t *Trace) drawClasses(random *rand.Rand) {
	for i, name := range serviceNames {
		use := structs.Resources{MilliCPU: 2500, MemoryMB: 6000}
		t.classes = append(t.classes, &workClass{
			name: name, kind: structs.WorkService, team: structs.TeamID("team-" + name),
			declared: structs.Resources{MilliCPU: 4000, MemoryMB: 8192}, usage: use,
			effects: drawEffects(random, 0, i), baseMS: 20 + 10*float64(i),
		})
	}
	for i := range batchClasses {
		cpu := 500 + random.Int64N(3500)
		run := time.Duration(60+random.IntN(540)) * time.Second
		c := &workClass{
			name: fmt.Sprintf("batch-%d", i), kind: structs.WorkBatch, team: structs.TeamID(fmt.Sprintf("team-%d", i%3)),
			usage:       structs.Resources{MilliCPU: cpu, MemoryMB: 1000 + random.Int64N(5000)},
			run:         run,
			declaredRun: time.Duration(float64(run) * spreadFactor(random, 1.0)),
			effects:     drawEffects(random, i, -1),
		}
		factor := spreadFactor(random, 0.6)
		c.declared = structs.Resources{
			MilliCPU: min(16000, int64(float64(c.usage.MilliCPU)*factor)),
			MemoryMB: min(60000, int64(float64(c.usage.MemoryMB)*factor)),
		}
		if i%4 == 1 {
			c.deadline = 6
		}
		t.classes = append(t.classes, c)
	}
}

// spreadFactor draws a factor around 1 with the logarithmic deviation.
func spreadFactor(random *rand.Rand, deviation float64) float64 {
	return math.Exp(random.NormFloat64() * deviation)
}

// drawEffects draws what a class does to each service. Three of eight batch
// classes harm a service badly, one mildly; services hardly harm each other.
func drawEffects(random *rand.Rand, class, service int) map[string]float64 {
	effects := map[string]float64{}
	for i, name := range serviceNames {
		bad, mild := 0.3+0.7*random.Float64(), 0.03+0.04*random.Float64()
		none := 0.008 * random.Float64()
		switch kind := (class + i) % batchClasses; {
		case service >= 0:
			effects[name] = none
		case kind < 3:
			effects[name] = bad
		case kind == 3:
			effects[name] = mild
		default:
			effects[name] = none
		}
	}
	return effects
}

func (t *Trace) drawArrivals(random *rand.Rand, load float64) {
	batch := t.classes[len(serviceNames):]
	for _, c := range t.classes[:len(serviceNames)] {
		t.add(arrival{class: c, tasks: instances})
	}
	// Capacity for batch work, in processor-seconds, less the services.
	room := float64(workers)*16 - float64(len(serviceNames)*instances)*4
	rate := load * room * 0.75
	for at := time.Duration(0); at < duration; at += time.Minute {
		for budget := rate * 60; budget > 0; {
			c := batch[random.IntN(len(batch))]
			tasks := int32(1 + random.IntN(12))
			work := float64(tasks) * float64(c.usage.MilliCPU) / 1000 * c.run.Seconds()
			if budget < work && random.Float64() > budget/work {
				break
			}
			budget -= work
			t.add(arrival{at: at, class: c, tasks: tasks})
		}
	}
	for at := waveEvery; at < duration; at += waveEvery {
		a := arrival{at: at, class: batch[random.IntN(len(batch))], tasks: waveTasks}
		if random.IntN(3) == 0 {
			a.cancel = at + 5*time.Minute
		}
		t.add(a)
	}
	nightly := batch[1]
	t.add(arrival{at: nightlyFrom, class: nightly, tasks: nightlyTasks, deadline: duration - 5*time.Minute})
	broken := *batch[2]
	broken.name, broken.broken = "broken", true
	t.add(arrival{at: 10 * time.Minute, class: &broken, tasks: 10})
	huge := *batch[3]
	huge.name, huge.declared = "huge", structs.Resources{MilliCPU: 64000, MemoryMB: 4096}
	huge.usage = huge.declared
	t.add(arrival{at: 15 * time.Minute, class: &huge, tasks: 2})
}

func (t *Trace) add(a arrival) {
	a.job = structs.JobID(fmt.Sprintf("%s-%d", a.class.name, len(t.arrivals)))
	if a.deadline == 0 && a.class.deadline > 0 {
		a.deadline = a.at + time.Duration(a.class.deadline*float64(a.class.run))
	}
	t.arrivals = append(t.arrivals, a)
}
