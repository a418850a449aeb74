package placement

import (
	"fmt"
	"time"

	"github.com/daisywall/daisywall/structs"
)

// stubEstimates returns estimates from tables. Classes without an entry use
// the declared resources and do no harm.
type stubEstimates struct {
	harm      map[[2]string]float64        // by service and class
	deviation map[[2]string]float64        // by service and class
	baseline  map[string]float64           // in milliseconds, by service
	reserve   map[string]structs.Resources // by class
	runTime   map[string]time.Duration     // by class
}

func (f *stubEstimates) Reserve(class string, declared structs.Resources) structs.Resources {
	if r, found := f.reserve[class]; found {
		return r
	}
	return declared
}

func (f *stubEstimates) Usage(class string, declared structs.Resources) structs.Resources {
	return f.Reserve(class, declared)
}

func (f *stubEstimates) RunTime(class string, declared time.Duration) time.Duration {
	if t, found := f.runTime[class]; found {
		return t
	}
	return declared
}

func (f *stubEstimates) Band(string, structs.Resources) int { return 0 }

func (f *stubEstimates) Harm(service, class string, _ int) (mean, deviation float64) {
	key := [2]string{service, class}
	return f.harm[key], f.deviation[key]
}

func (f *stubEstimates) Baseline(service string, _ structs.Resources) (ms float64, known bool) {
	ms, known = f.baseline[service]
	return ms, known
}

func cores(n int64) structs.Resources {
	return structs.Resources{MilliCPU: n * 1000, MemoryMB: n * 2048}
}

// workers returns n workers with 16 cores each, three to a rack, in one failure
// domain.
func workers(n int) []Worker {
	list := make([]Worker, n)
	for i := range list {
		list[i].Worker = structs.Worker{
			ID:            structs.WorkerID(fmt.Sprintf("w%02d", i)),
			FailureDomain: "zagreb",
			Rack:          fmt.Sprintf("r%d", i/3),
			Capacity:      structs.Resources{MilliCPU: 16000, MemoryMB: 61440, Accelerators: 2},
		}
	}
	return list
}

func task(job string, index int32, size structs.Resources) Task {
	return Task{
		ID:        structs.TaskID{Job: structs.JobID(job), Index: index},
		Team:      "jabuka",
		Class:     job,
		Kind:      structs.WorkBatch,
		Resources: size,
		RunTime:   time.Minute,
	}
}

func run(job string, index int32, size structs.Resources) Run {
	t := task(job, index, size)
	return Run{
		Attempt:   structs.AttemptID{Task: t.ID, Number: 1},
		Team:      t.Team,
		Class:     t.Class,
		Kind:      t.Kind,
		Resources: size,
		RunTime:   t.RunTime,
	}
}

// service returns a latency-critical run whose tail latency has grown by
// growth over a baseline of 10 ms.
func service(job string, index int32, growth float64) Run {
	r := run(job, index, cores(4))
	r.Kind = structs.WorkService
	r.LatencyMS = 10 * (1 + growth)
	return r
}

func snapshot(list []Worker, pending ...Task) *Snapshot {
	return &Snapshot{
		Now:       time.Hour,
		Workers:   list,
		Pending:   pending,
		Domains:   map[structs.FailureDomainID]structs.DomainState{"zagreb": structs.DomainIn},
		Estimates: &stubEstimates{baseline: map[string]float64{"slot-check": 10}},
	}
}
