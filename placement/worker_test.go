package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/structs"
)

func outcome(job string, index int32, worker string, failed bool) Outcome {
	return Outcome{At: time.Hour, Task: structs.TaskID{Job: structs.JobID(job), Index: index}, Worker: structs.WorkerID(worker), Failed: failed}
}

func TestBrokenWorkersAreQuarantined(t *testing.T) {
	cases := []struct {
		name     string
		outcomes func() []Outcome
		want     []structs.WorkerID
	}{
		{"worker fails tasks that succeed elsewhere", func() (list []Outcome) {
			for i := range int32(6) {
				list = append(list, outcome("pricing", i, "w00", true), outcome("pricing", i, "w01", false), outcome("matching", i, "w02", false))
			}
			return list
		}, []structs.WorkerID{"w00"}},
		{"job fails on every worker", func() (list []Outcome) {
			for i := range int32(30) {
				list = append(list, outcome("broken", i, fmt.Sprintf("w%02d", i%6), true))
			}
			return list
		}, nil},
		{"failing job and successful job on the same workers", func() (list []Outcome) {
			for i := range int32(30) {
				w := fmt.Sprintf("w%02d", i%6)
				list = append(list, outcome("broken", i, w, true), outcome("sound", i, w, false))
			}
			return list
		}, nil},
		{"two failures are not enough evidence", func() (list []Outcome) {
			for i := range int32(10) {
				list = append(list, outcome("pricing", i, "w01", false))
			}
			return append(list, outcome("pricing", 0, "w00", true), outcome("pricing", 1, "w00", true))
		}, nil},
		{"broken worker fails far more tasks than others finish", func() (list []Outcome) {
			for i := range int32(200) {
				list = append(list, outcome("pricing", i, "w00", true))
			}
			for i := range int32(3) {
				list = append(list, outcome("pricing", i, fmt.Sprintf("w%02d", i+1), false))
			}
			return list
		}, []structs.WorkerID{"w00"}},
		{"job without outcomes on other workers", func() (list []Outcome) {
			for i := range int32(50) {
				list = append(list, outcome("broken", i, "w00", true))
			}
			return list
		}, nil},
		{"many jobs fail on a worker without successes", func() (list []Outcome) {
			for i := range int32(12) {
				list = append(list, outcome(fmt.Sprintf("job%d", i), 0, "w00", true))
			}
			return list
		}, []structs.WorkerID{"w00"}},
		{"two broken workers out of six", func() (list []Outcome) {
			for i := range int32(48) {
				w := i % 6
				list = append(list, outcome("pricing", i, fmt.Sprintf("w%02d", w), w < 2))
			}
			return list
		}, []structs.WorkerID{"w00", "w01"}},
		{"worker that fails one in five", func() (list []Outcome) {
			for i := range int32(100) {
				list = append(list, outcome("pricing", i, fmt.Sprintf("w%02d", i%2), i%2 == 0 && i%10 == 0))
			}
			return list
		}, nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := snapshot(workers(6), task("pricing", 1000, cores(1)))
			s.Outcomes = c.outcomes()
			plan := New(Options{}).Plan(s)
			var got []structs.WorkerID
			for _, w := range s.Workers {
				if _, found := plan.State.Quarantines[w.ID]; found {
					got = append(got, w.ID)
				}
			}
			is.Equal(got, c.want)
		})
	}
}

func TestQuarantineEndsWithASuccessfulTrial(t *testing.T) {
	is := is.New(t)
	p := New(Options{})
	s := snapshot(workers(1), task("pricing", 0, cores(1)), task("pricing", 1, cores(1)))
	s.State.Quarantines = map[structs.WorkerID]Quarantine{"w00": {Since: s.Now, Term: time.Minute, Stage: QuarantineClosed}}
	is.Equal(len(p.Plan(s).Placements), 0)

	s.Now += 2 * time.Minute
	plan := p.Plan(s)
	is.Equal(len(plan.Placements), 1) // a single trial task
	s.State = plan.State

	s.Now += time.Minute
	s.Outcomes = []Outcome{{At: s.Now, Task: plan.Placements[0].Task, Worker: "w00"}}
	plan = p.Plan(s)
	is.Equal(plan.State.Quarantines["w00"].Stage, QuarantineReleased)
	is.Equal(len(plan.Placements), 2)
}

func TestRunsStartedBeforeTrialDoNotBlockIt(t *testing.T) {
	is := is.New(t)
	s := snapshot(workers(1), task("pricing", 0, cores(1)), task("pricing", 1, cores(1)))
	old := service("slot-check", 0, 0)
	old.Age = time.Hour
	s.Workers[0].Runs = []Run{old}
	s.State.Quarantines = map[structs.WorkerID]Quarantine{"w00": {Since: s.Now - time.Minute, Term: time.Minute, Stage: QuarantineTrial}}
	is.Equal(len(New(Options{}).Plan(s).Placements), 1)
	fresh := run("pricing", 2, cores(1))
	fresh.Age = time.Second
	s.Workers[0].Runs = append(s.Workers[0].Runs, fresh)
	is.Equal(len(New(Options{}).Plan(s).Placements), 0)
}

func TestFailedTrialDoublesTheTerm(t *testing.T) {
	is := is.New(t)
	p := New(Options{})
	s := snapshot(workers(1), task("pricing", 0, cores(1)))
	s.State.Quarantines = map[structs.WorkerID]Quarantine{"w00": {Since: s.Now, Term: time.Minute, Stage: QuarantineClosed}}
	s.Now += 2 * time.Minute
	s.State = p.Plan(s).State
	s.Outcomes = []Outcome{{At: s.Now, Worker: "w00", Failed: true}}
	plan := p.Plan(s)
	is.Equal(plan.State.Quarantines["w00"].Term, 2*time.Minute)
	is.Equal(len(plan.Placements), 0)
}

func TestDrainIsPacedAndKeepsServiceMinimum(t *testing.T) {
	is := is.New(t)
	s := snapshot(workers(2))
	s.Domains["zagreb"] = structs.DomainOut
	for i := range int32(6) {
		s.Workers[0].Runs = append(s.Workers[0].Runs, run("pricing", i, cores(1)))
	}
	s.Workers[1].Runs = []Run{service("slot-check", 0, 0), service("slot-check", 1, 0), service("slot-check", 2, 0)}
	s.Services = []Service{{Job: "slot-check", RunningInstances: 3, MinAvailable: 2}}
	p := New(Options{MaxDrainEvictions: 4})

	plan := p.Plan(s)
	is.Equal(len(plan.Evictions), 4)
	for _, e := range plan.Evictions {
		is.Equal(e.Attempt.Task.Job, structs.JobID("pricing")) // batch work first
	}
	for i := range 4 {
		s.Workers[0].Runs[i].Stopping = true
	}
	is.Equal(len(p.Plan(s).Evictions), 0) // four runs are stopping already

	s.Workers[0].Runs = nil
	plan = p.Plan(s)
	is.Equal(len(plan.Evictions), 1) // one instance above the minimum
	s.Workers[1].Runs[0].Stopping = true
	is.Equal(len(p.Plan(s).Evictions), 0)
}

func TestStartsPerWorkerAreBounded(t *testing.T) {
	is := is.New(t)
	var pending []Task
	for i := range int32(50) {
		pending = append(pending, task("pricing", i, structs.Resources{MilliCPU: 100}))
	}
	plan := New(Options{MaxStartsPerWorker: 3}).Plan(snapshot(workers(2), pending...))
	is.Equal(len(plan.Placements), 6)
	is.Equal(plan.Waiting, 44)
}

func TestBurstOfCancellationsIsBounded(t *testing.T) {
	is := is.New(t)
	s := snapshot(workers(1))
	for i := range int32(1000) {
		s.Cancelled = append(s.Cancelled, structs.AttemptID{Task: structs.TaskID{Job: "pricing", Index: i}, Number: 1})
	}
	plan := New(Options{MaxCancels: 100}).Plan(s)
	is.Equal(len(plan.Cancels), 100)
	is.Equal(plan.Cancels[0], s.Cancelled[0]) // oldest first
}

func TestCriticalTaskPreemptsWorkWithSlack(t *testing.T) {
	is := is.New(t)
	urgent := task("matching", 0, cores(8))
	urgent.HasDeadline, urgent.TimeLeft, urgent.RunTime = true, time.Hour, time.Hour
	tight := run("pricing", 0, cores(8))
	tight.HasDeadline, tight.TimeLeft, tight.RunTime = true, 2*time.Minute, time.Minute
	s := snapshot(workers(1), urgent)
	s.Workers[0].Runs = []Run{tight, run("report", 0, cores(8))}
	plan := New(Options{}).Plan(s)
	is.Equal(len(plan.Evictions), 1)
	is.Equal(plan.Evictions[0].Attempt.Task.Job, structs.JobID("report"))
	is.Equal(plan.State.Reserved[urgent.ID], structs.WorkerID("w00"))

	s.Workers[0].Runs[1].Stopping = true
	s.State = plan.State
	s.Pending = append(s.Pending, task("report", 1, structs.Resources{MilliCPU: 1}))
	plan = New(Options{}).Plan(s)
	is.Equal(len(plan.Evictions), 0) // the evicted run is stopping already
	is.Equal(len(plan.Placements), 0)
}

func TestServicePreemptsBatchWork(t *testing.T) {
	is := is.New(t)
	watcher := task("chip-watcher", 0, cores(4))
	watcher.Kind = structs.WorkService
	s := snapshot(workers(1), watcher)
	s.Workers[0].Runs = []Run{run("report", 0, cores(16))}
	is.Equal(len(New(Options{}).Plan(s).Evictions), 1)
}
