package placement

import (
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/structs"
)

// Each case places one task. It names the worker that the task must get, or the
// reason for which it must wait.
func TestTaskPlacement(t *testing.T) {
	cases := []struct {
		name   string
		change func(s *Snapshot)
		want   structs.WorkerID
		reason structs.Reason
	}{
		{"full worker is skipped", func(s *Snapshot) {
			s.Workers[0].Runs = []Run{run("other", 0, cores(14))}
		}, "w01", ""},
		{"no room anywhere", func(s *Snapshot) {
			for i := range s.Workers {
				s.Workers[i].Runs = []Run{run("other", int32(i), cores(14))}
			}
		}, "", structs.ReasonCapacity},
		{"room by commitment but not by usage", func(s *Snapshot) {
			for i := range s.Workers {
				r := run("other", int32(i), cores(1))
				r.Usage = cores(14)
				s.Workers[i].Runs = []Run{r}
			}
		}, "", structs.ReasonCapacity},
		{"failure domain is out", func(s *Snapshot) {
			s.Domains["zagreb"] = structs.DomainOut
		}, "", structs.ReasonDomainOut},
		{"failure domain is unknown", func(s *Snapshot) {
			delete(s.Domains, "zagreb")
		}, "", structs.ReasonDomainOut},
		{"leaving worker is skipped", func(s *Snapshot) {
			s.Workers[0].State = WorkerLeaving
		}, "w01", ""},
		{"silent worker is skipped", func(s *Snapshot) {
			s.Workers[0].State = WorkerSilent
		}, "w01", ""},
		{"quarantined worker is skipped", func(s *Snapshot) {
			s.State.Quarantines = map[structs.WorkerID]Quarantine{"w00": {Since: s.Now, Term: time.Minute, Stage: QuarantineClosed}}
		}, "w01", ""},
		{"worker on which the task failed is skipped", func(s *Snapshot) {
			s.Pending[0].FailedOn = []structs.WorkerID{"w00"}
		}, "w01", ""},
		{"task that failed on every worker may be retried there", func(s *Snapshot) {
			s.Workers = s.Workers[:1]
			s.Pending[0].FailedOn = []structs.WorkerID{"w00"}
		}, "w00", ""},
		{"quota share is used up", func(s *Snapshot) {
			s.Teams = []Team{{ID: "jabuka", Share: cores(3), Quota: cores(100)}}
		}, "", structs.ReasonQuota},
		{"service would be harmed", func(s *Snapshot) {
			s.Workers[0].Runs = []Run{service("slot-check", 0, 0)}
			s.Estimates.(*stubEstimates).harm = map[[2]string]float64{{"slot-check", "pricing"}: 0.4}
		}, "w01", ""},
		{"every worker has a service that would be harmed", func(s *Snapshot) {
			for i := range s.Workers {
				s.Workers[i].Runs = []Run{service("slot-check", int32(i), 0)}
			}
			s.Estimates.(*stubEstimates).harm = map[[2]string]float64{{"slot-check", "pricing"}: 0.4}
		}, "", ReasonInterference},
		{"long wait raises the harm limit", func(s *Snapshot) {
			for i := range s.Workers {
				s.Workers[i].Runs = []Run{service("slot-check", int32(i), 0)}
			}
			s.Pending[0].Waited = 24 * time.Hour
			s.Estimates.(*stubEstimates).harm = map[[2]string]float64{{"slot-check", "pricing"}: 0.4}
		}, "w00", ""},
		{"harmless class prefers the worker with a service", func(s *Snapshot) {
			s.Workers[1].Runs = []Run{service("slot-check", 0, 0)}
		}, "w01", ""},
		{"second uncertain pair is not probed on the same worker", func(s *Snapshot) {
			s.Workers = s.Workers[:1]
			s.Workers[0].Runs = []Run{service("slot-check", 0, 0), run("matching", 0, cores(1))}
			s.Estimates.(*stubEstimates).deviation = map[[2]string]float64{{"slot-check", "matching"}: 0.3, {"slot-check", "pricing"}: 0.3}
		}, "", ReasonProbing},
		{"uncertain pair is probed on a worker without other probes", func(s *Snapshot) {
			s.Workers = s.Workers[:1]
			s.Workers[0].Runs = []Run{service("slot-check", 0, 0)}
			s.Estimates.(*stubEstimates).deviation = map[[2]string]float64{{"slot-check", "pricing"}: 0.3}
		}, "w00", ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			s := snapshot(workers(2), task("pricing", 0, cores(4)))
			c.change(s)
			plan := New(Options{}).Plan(s)
			if c.want == "" {
				is.Equal(len(plan.Placements), 0)
				is.Equal(plan.Waiting, 1)
				is.Equal(plan.Decisions[len(plan.Decisions)-1].Reason, c.reason)
				return
			}
			is.Equal(len(plan.Placements), 1)
			is.Equal(plan.Placements[0].Worker, c.want)
		})
	}
}

func TestTasksOfAJobSpreadOverRacks(t *testing.T) {
	is := is.New(t)
	s := snapshot(workers(9), task("pricing", 0, cores(1)), task("pricing", 1, cores(1)), task("pricing", 2, cores(1)))
	plan := New(Options{}).Plan(s)
	racks := map[string]bool{}
	for _, p := range plan.Placements {
		for _, w := range s.Workers {
			if w.ID == p.Worker {
				racks[w.Rack] = true
			}
		}
	}
	is.Equal(len(racks), 3)
}

func TestLeastSlackGoesFirstByObservedRunTime(t *testing.T) {
	is := is.New(t)
	short, long := task("pricing", 0, cores(16)), task("matching", 0, cores(16))
	short.HasDeadline, short.TimeLeft = true, 3*time.Hour
	long.HasDeadline, long.TimeLeft = true, 5*time.Hour
	s := snapshot(workers(1), short, long)
	s.Estimates = &stubEstimates{runTime: map[string]time.Duration{"matching": 270 * time.Minute}}
	plan := New(Options{}).Plan(s)
	is.Equal(len(plan.Placements), 1)
	is.Equal(plan.Placements[0].Task, long.ID)
}

func TestTaskThatFitsNoWorkerIsRefused(t *testing.T) {
	is := is.New(t)
	s := snapshot(workers(2), task("huge", 0, cores(64)))
	plan := New(Options{}).Plan(s)
	is.Equal(len(plan.Unschedulable), 1)
	is.Equal(plan.Unschedulable[0].Reason, structs.ReasonCapacity)

	err := Admit(s.Estimates, s.Workers, Team{}, "huge", cores(64))
	var refused *structs.RefusedError
	is.True(asRefused(err, &refused))
	is.True(strings.Contains(refused.Detail, "no worker has more than 16000 milli_cpu"))
	is.NoErr(Admit(s.Estimates, s.Workers, Team{}, "small", cores(1)))
	err = Admit(s.Estimates, s.Workers, Team{Quota: cores(2)}, "small", cores(4))
	is.True(asRefused(err, &refused))
	is.Equal(refused.Reason, structs.ReasonQuota)
}

func TestTaskThatFailsEverywhereIsRefused(t *testing.T) {
	is := is.New(t)
	broken := task("broken", 0, cores(1))
	broken.FailedOn = []structs.WorkerID{"w00", "w01", "w02"}
	broken.MaxAttempts = 3
	plan := New(Options{}).Plan(snapshot(workers(4), broken))
	is.Equal(len(plan.Unschedulable), 1)
	is.Equal(plan.Unschedulable[0].Reason, structs.ReasonUnschedulable)
}

func TestFailuresOnAQuarantinedWorkerDoNotUseUpAttempts(t *testing.T) {
	is := is.New(t)
	sound := task("sound", 0, cores(1))
	sound.FailedOn = []structs.WorkerID{"w00", "w00", "w00"}
	sound.MaxAttempts = 3
	s := snapshot(workers(4), sound)
	s.State.Quarantines = map[structs.WorkerID]Quarantine{"w00": {Since: s.Now, Term: time.Hour, Stage: QuarantineClosed}}
	plan := New(Options{}).Plan(s)
	is.Equal(len(plan.Unschedulable), 0)
	is.Equal(len(plan.Placements), 1)
}

func asRefused(err error, target **structs.RefusedError) bool { return errors.As(err, target) }

func TestTaskReturnsToTheOnlyWorkerThatIsLargeEnough(t *testing.T) {
	is := is.New(t)
	large := task("matching", 0, cores(12))
	large.FailedOn = []structs.WorkerID{"w01"}
	s := snapshot(workers(3), large)
	s.Workers[0].Capacity, s.Workers[2].Capacity = cores(8), cores(8)
	plan := New(Options{}).Plan(s)
	is.Equal(len(plan.Placements), 1)
	is.Equal(plan.Placements[0].Worker, structs.WorkerID("w01"))
}

func TestTaskReturnsToAWorkerWhereItFailedIfOthersStayFull(t *testing.T) {
	is := is.New(t)
	watcher := task("chip-watcher", 0, cores(8))
	watcher.Kind = structs.WorkService
	watcher.FailedOn = []structs.WorkerID{"w00"}
	s := snapshot(workers(2), watcher)
	for i := range int32(3) {
		s.Workers[1].Runs = append(s.Workers[1].Runs, service("slot-check", i, 0))
	}
	p := New(Options{})
	is.Equal(len(p.Plan(s).Placements), 0)
	s.Pending[0].Waited = defaultReserveAfter
	plan := p.Plan(s)
	is.Equal(len(plan.Placements), 1)
	is.Equal(plan.Placements[0].Worker, structs.WorkerID("w00"))
}
