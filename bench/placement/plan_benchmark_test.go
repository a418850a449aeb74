package placement

import (
	"fmt"
	"syscall"
	"testing"
	"time"

	"github.com/daisywall/daisywall/placement"
	"github.com/daisywall/daisywall/placement/estimate"
	"github.com/daisywall/daisywall/structs"
)

// Parameters of a cell at the target size: 101,000 running tasks on 4,700
// workers, 26,000 of them latency-critical, and 2,600 starts a second.
const (
	batchPerWorker    = 16
	servicesPerWorker = 5.5
	startsPerWorker   = 0.55 // starts per worker in a planning round, with one round per second
	benchmarkClasses  = 40
)

var benchmarkServices = []string{"slot-check", "alert", "watcher", "ledger"}

// newBenchmarkModel returns a model with estimates for every pair of batch
// class and service.
func newBenchmarkModel() *estimate.Model {
	m := estimate.New(estimate.Options{})
	attempt := func(class string) structs.AttemptID {
		return structs.AttemptID{Task: structs.TaskID{Job: structs.JobID(class)}, Number: 1}
	}
	now := time.Duration(0)
	for i := range 40 * benchmarkClasses {
		class := fmt.Sprintf("batch-%d", i%benchmarkClasses)
		for _, s := range benchmarkServices {
			residents := []estimate.Resident{{Attempt: attempt(s), Class: s, Kind: structs.WorkService, Share: 1}}
			latency := 20.0
			if i > 20 {
				residents = append(residents, estimate.Resident{Attempt: attempt(class), Class: class, Kind: structs.WorkBatch, Share: 1})
				if i%benchmarkClasses%8 == 0 {
					latency = 30
				}
			}
			w := structs.WorkerID(s)
			m.Observe(now, w, residents)
			m.Learn(now+5*time.Second, w, []estimate.Report{
				{Attempt: attempt(s), Class: s, Kind: structs.WorkService, Usage: structs.Resources{MilliCPU: 400, MemoryMB: 800}, LatencyMS: latency},
				{Attempt: attempt(class), Class: class, Kind: structs.WorkBatch, Usage: structs.Resources{MilliCPU: 500, MemoryMB: 900}},
			})
		}
		now += 5 * time.Second
	}
	return m
}

// newBenchmarkSnapshot returns a snapshot of a cell of n workers with the
// running tasks per worker of a cell at the target size, and with the given
// number of pending tasks.
func newBenchmarkSnapshot(n, pending int, model *estimate.Model) *placement.Snapshot {
	s := &placement.Snapshot{Now: time.Hour, Estimates: model, Domains: map[structs.FailureDomainID]structs.DomainState{}}
	resources := structs.Resources{MilliCPU: 600, MemoryMB: 1100}
	next := 0
	services := 0.0
	for i := range n {
		domain := structs.FailureDomainID(fmt.Sprintf("d%d", i%7))
		s.Domains[domain] = structs.DomainIn
		w := placement.Worker{Worker: structs.Worker{ID: structs.WorkerID(fmt.Sprintf("w%d", i)), FailureDomain: domain, Rack: fmt.Sprint(i / 21), Capacity: structs.Resources{MilliCPU: 16000, MemoryMB: 61440, Accelerators: 2}}}
		add := func(class string, kind structs.WorkKind, latency float64) {
			next++
			w.Runs = append(w.Runs, placement.Run{
				Attempt: structs.AttemptID{Task: structs.TaskID{Job: structs.JobID(fmt.Sprintf("job-%d", next/12)), Index: int32(next % 12)}, Number: 1},
				Team:    structs.TeamID(fmt.Sprintf("team-%d", next%63)), Class: class, Kind: kind, Resources: resources,
				Usage: structs.Resources{MilliCPU: 450, MemoryMB: 850}, LatencyMS: latency, Age: time.Minute,
			})
		}
		for services += servicesPerWorker; services >= 1; services-- {
			add(benchmarkServices[next%len(benchmarkServices)], structs.WorkService, 20)
		}
		for range batchPerWorker {
			add(fmt.Sprintf("batch-%d", next%benchmarkClasses), structs.WorkBatch, 0)
		}
		s.Workers = append(s.Workers, w)
	}
	for i := range pending {
		s.Pending = append(s.Pending, placement.Task{
			ID: structs.TaskID{Job: structs.JobID(fmt.Sprintf("new-%d", i/12)), Index: int32(i % 12)}, Team: structs.TeamID(fmt.Sprintf("team-%d", i%63)),
			Class: fmt.Sprintf("batch-%d", i/12%benchmarkClasses), Kind: structs.WorkBatch, Resources: resources, RunTime: time.Minute,
			HasDeadline: i%3 == 0, TimeLeft: time.Hour, Waited: time.Duration(i%20) * time.Second,
		})
	}
	for i := range 63 {
		s.Teams = append(s.Teams, placement.Team{ID: structs.TeamID(fmt.Sprintf("team-%d", i)), Share: structs.Resources{MilliCPU: 1 << 40, MemoryMB: 1 << 40, Accelerators: 1 << 40}})
	}
	return s
}

// processorTime returns the user and system time of the process. Unlike the
// wall clock it excludes the time in which other processes ran.
func processorTime() time.Duration {
	var u syscall.Rusage
	if err := syscall.Getrusage(syscall.RUSAGE_SELF, &u); err != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// BenchmarkPlan reports the time of a planning round divided by the number of
// its pending tasks. The pending tasks are the starts of 1 or of 30 seconds.
func BenchmarkPlan(b *testing.B) {
	model := newBenchmarkModel()
	for _, backlog := range []int{1, 30} {
		for _, n := range []int{10, 64, 256, 1024, 4700} {
			pending := max(1, int(startsPerWorker*float64(n))) * backlog
			s := newBenchmarkSnapshot(n, pending, model)
			planner := placement.New(placement.Options{MaxTasks: pending})
			runs := 0
			for i := range s.Workers {
				runs += len(s.Workers[i].Runs)
			}
			b.Run(fmt.Sprintf("workers=%d/pending=%d", n, pending), func(b *testing.B) {
				placed := 0
				before := processorTime()
				for b.Loop() {
					placed = len(planner.Plan(s).Placements)
				}
				b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(b.N)/float64(pending)/1000, "µs/task")
				b.ReportMetric(float64((processorTime()-before).Nanoseconds())/float64(b.N)/float64(pending)/1000, "cpu-µs/task")
				b.ReportMetric(float64(placed), "placed")
				b.ReportMetric(float64(runs), "running")
			})
		}
	}
}
