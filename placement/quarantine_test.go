package placement

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/structs"
)

// onTrial returns the state of a planner that has put the worker on trial at
// the given time.
func onTrial(worker structs.WorkerID, since time.Duration) PlannerState {
	return PlannerState{Quarantines: map[structs.WorkerID]Quarantine{worker: {Since: since, Term: time.Minute, Stage: QuarantineTrial}}}
}

func TestTrialOfAServiceEndsWhileTheServiceRuns(t *testing.T) {
	is := is.New(t)
	p := New(Options{})
	trial := task("slot-check", 0, cores(4))
	trial.Kind = structs.WorkService
	s := snapshot(workers(1), trial)
	s.State = onTrial("w00", s.Now)
	plan := p.Plan(s)
	is.Equal(len(plan.Placements), 1)
	s.State = plan.State

	running := service("slot-check", 0, 0)
	s.Workers[0].Runs = []Run{running}
	s.Pending = []Task{task("pricing", 0, cores(1)), task("pricing", 1, cores(1))}
	s.Now += 10 * time.Second
	started := s.Now
	placedAfter := time.Duration(0)
	for s.Now < started+time.Hour && placedAfter == 0 {
		s.Now += 10 * time.Second
		s.Workers[0].Runs[0].Age = s.Now - started
		plan = p.Plan(s)
		s.State = plan.State
		if len(plan.Placements) > 0 {
			placedAfter = s.Now - started
		}
	}
	is.Equal(placedAfter, defaultTrialRunTime)
	is.Equal(len(plan.Placements), 2)
	is.Equal(plan.State.Quarantines["w00"].Stage, QuarantineReleased)
}

func TestFailureOfAJobThatFailsElsewhereDoesNotFailTheTrial(t *testing.T) {
	is := is.New(t)
	s := snapshot(workers(3), task("pricing", 0, cores(1)))
	s.State = onTrial("w00", s.Now-time.Minute)
	for _, w := range []string{"w01", "w02", "w00"} {
		s.Outcomes = append(s.Outcomes, outcome("broken", 0, w, true))
	}
	is.Equal(New(Options{}).Plan(s).State.Quarantines["w00"].Stage, QuarantineTrial)

	s.Outcomes = []Outcome{outcome("sound", 0, "w01", false), outcome("sound", 1, "w00", true)}
	is.Equal(New(Options{}).Plan(s).State.Quarantines["w00"].Stage, QuarantineClosed)
}

func TestOutcomesBeforeAQuarantineAreNotCountedAgain(t *testing.T) {
	is := is.New(t)
	p := New(Options{})
	s := snapshot(workers(2))
	for i := range int32(6) {
		s.Outcomes = append(s.Outcomes, outcome("pricing", i, "w00", true), outcome("pricing", i, "w01", false))
	}
	released := time.Hour + time.Minute
	s.State.Quarantines = map[structs.WorkerID]Quarantine{"w00": {Since: released, Term: 5 * time.Minute, Stage: QuarantineReleased}}
	for range 10 {
		s.Now += time.Hour
		plan := p.Plan(s)
		is.Equal(len(plan.Decisions), 0) // no quarantine without a new failure
		s.State = plan.State
	}
	is.Equal(s.State.Quarantines["w00"].Term, time.Duration(0)) // a relapse starts with the first term again
}

func TestFailingJobsDoNotQuarantineOneWorkerAfterAnother(t *testing.T) {
	is := is.New(t)
	p := New(Options{})
	s := snapshot(workers(6))
	const jobs = 12
	for w := range s.Workers {
		for job := range jobs {
			s.Outcomes = append(s.Outcomes, Outcome{At: s.Now, Task: structs.TaskID{Job: structs.JobID(fmt.Sprintf("broken%d", job))}, Worker: s.Workers[w].ID, Failed: true})
		}
		s.Now += 10 * time.Second
		s.State = p.Plan(s).State
	}
	is.Equal(len(s.State.Quarantines), 1)
}
