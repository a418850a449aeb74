package placement

import (
	"fmt"
	"reflect"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/daisywall/daisywall/structs"
)

// drawSnapshot draws a cell in a random state, with workers in two known
// failure domains and an unknown one, services, batch runs and pending tasks.
func drawSnapshot(t *rapid.T) *Snapshot {
	classes := []string{"pricing", "matching", "report", "slot-check"}
	size := func() structs.Resources {
		return structs.Resources{
			MilliCPU:     rapid.Int64Range(0, 20000).Draw(t, "cpu"),
			MemoryMB:     rapid.Int64Range(0, 70000).Draw(t, "memory"),
			Accelerators: rapid.Int64Range(0, 3).Draw(t, "accelerators"),
		}
	}
	s := snapshot(workers(rapid.IntRange(0, 6).Draw(t, "workers")))
	s.Domains["rijeka"] = rapid.SampledFrom([]structs.DomainState{structs.DomainIn, structs.DomainOut}).Draw(t, "rijeka")
	s.State.Quarantines = map[structs.WorkerID]Quarantine{}
	e := s.Estimates.(*stubEstimates)
	e.harm, e.deviation = map[[2]string]float64{}, map[[2]string]float64{}
	for _, c := range classes {
		e.harm[[2]string{"slot-check", c}] = rapid.Float64Range(-0.1, 0.8).Draw(t, "harm")
		e.deviation[[2]string{"slot-check", c}] = rapid.Float64Range(0, 0.4).Draw(t, "deviation")
	}
	index := int32(0)
	for i := range s.Workers {
		w := &s.Workers[i]
		w.FailureDomain = rapid.SampledFrom([]structs.FailureDomainID{"zagreb", "rijeka", "unknown"}).Draw(t, "domain")
		w.State = rapid.SampledFrom([]WorkerState{WorkerReady, WorkerReady, WorkerSilent, WorkerLeaving}).Draw(t, "state")
		if rapid.Bool().Draw(t, "quarantined") {
			s.State.Quarantines[w.ID] = Quarantine{Since: s.Now, Term: time.Minute, Stage: QuarantineClosed}
		}
		for range rapid.IntRange(0, 4).Draw(t, "runs") {
			index++
			r := run(rapid.SampledFrom(classes).Draw(t, "class"), index, size())
			if r.Class == "slot-check" {
				r.Kind, r.LatencyMS = structs.WorkService, rapid.Float64Range(5, 50).Draw(t, "latency")
			}
			r.Stopping = rapid.Bool().Draw(t, "stopping")
			w.Runs = append(w.Runs, r)
		}
	}
	for i := range int32(rapid.IntRange(0, 20).Draw(t, "pending")) {
		p := task(rapid.SampledFrom(classes).Draw(t, "class"), 1000+i, size())
		p.Waited = time.Duration(rapid.Int64Range(0, int64(3*time.Hour)).Draw(t, "waited"))
		p.HasDeadline = rapid.Bool().Draw(t, "deadline")
		p.TimeLeft = time.Duration(rapid.Int64Range(-int64(time.Hour), int64(3*time.Hour)).Draw(t, "left"))
		if p.Class == "slot-check" {
			p.Kind = structs.WorkService
		}
		s.Pending = append(s.Pending, p)
	}
	s.Teams = []Team{{ID: "jabuka", Share: size().Scale(5)}}
	s.Services = []Service{{
		Job:              "slot-check",
		RunningInstances: rapid.Int32Range(0, 10).Draw(t, "up"),
		MinAvailable:     rapid.Int32Range(0, 10).Draw(t, "minimum"),
	}}
	return s
}

// firstViolation returns the first rule that the plan breaks, or an empty text.
// It sums the commitments independently of the planner.
func firstViolation(s *Snapshot, plan Plan) string {
	nodes := map[structs.WorkerID]*Worker{}
	sums := map[structs.WorkerID]structs.Resources{}
	var team structs.Resources
	for i := range s.Workers {
		w := &s.Workers[i]
		nodes[w.ID] = w
		for _, r := range w.Runs {
			sums[w.ID] = sums[w.ID].Add(r.Resources)
			team = team.Add(r.Resources)
		}
	}
	started := map[structs.TaskID]bool{}
	for _, p := range plan.Placements {
		w := nodes[p.Worker]
		sums[p.Worker] = sums[p.Worker].Add(p.Resources)
		team = team.Add(p.Resources)
		q, quarantined := s.State.Quarantines[p.Worker]
		switch {
		case w == nil:
			return "unknown worker"
		case started[p.Task]:
			return "task placed twice"
		case !sums[p.Worker].Fits(w.Capacity):
			return "capacity"
		case len(s.Teams) > 0 && !team.Fits(s.Teams[0].Share):
			return "quota"
		case s.Domains[w.FailureDomain] != structs.DomainIn:
			return "failure domain out"
		case quarantined && q.Stage == QuarantineClosed && s.Now < q.Since+q.Term:
			return "quarantined"
		case w.State == WorkerSilent || w.State == WorkerLeaving:
			return "worker " + string(w.State)
		}
		started[p.Task] = true
	}
	return firstEvictionViolation(s, plan)
}

// firstEvictionViolation returns the first rule that the evictions of the plan
// break, or an empty text.
func firstEvictionViolation(s *Snapshot, plan Plan) string {
	running := map[structs.AttemptID]*Run{}
	stopping := map[structs.JobID]int32{}
	moving := 0
	for i := range s.Workers {
		w := &s.Workers[i]
		leaves := s.Domains[w.FailureDomain] != structs.DomainIn || w.State == WorkerLeaving
		for j := range w.Runs {
			r := &w.Runs[j]
			if !r.Stopping {
				running[r.Attempt] = r
				continue
			}
			stopping[r.Attempt.Task.Job]++
			if leaves {
				moving++
			}
		}
	}
	for _, e := range plan.Evictions {
		r := running[e.Attempt]
		if r == nil {
			return "eviction of a run that is not running"
		}
		delete(running, e.Attempt)
		if r.Kind == structs.WorkService {
			stopping[e.Attempt.Task.Job]++
			if e.Reason != structs.ReasonDomainOut && e.Reason != structs.ReasonLeaving {
				return "service evicted for " + string(e.Reason)
			}
			for _, x := range s.Services {
				if x.Job == e.Attempt.Task.Job && x.RunningInstances-stopping[x.Job] < x.MinAvailable {
					return "service below its minimum"
				}
			}
		}
		if e.Reason == structs.ReasonDomainOut || e.Reason == structs.ReasonLeaving {
			moving++
			if moving > defaultMaxDrainEvictions {
				return "too many drain evictions"
			}
		}
	}
	return ""
}

func TestRandomPlansObeyAllRules(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSnapshot(t)
		if rule := firstViolation(s, New(Options{}).Plan(s)); rule != "" {
			t.Fatalf("plan breaks %s", rule)
		}
	})
}

func TestRuleCheckerDetectsViolations(t *testing.T) {
	place := func(worker string, size structs.Resources) Plan {
		return Plan{Placements: []Placement{{Task: task("pricing", 0, size).ID, Worker: structs.WorkerID(worker), Resources: size}}}
	}
	evict := func(r Run, reason structs.Reason) Plan {
		return Plan{Evictions: []Eviction{{Attempt: r.Attempt, Worker: "w00", Reason: reason}}}
	}
	cases := map[string]struct {
		change func(s *Snapshot)
		plan   Plan
	}{
		"capacity":           {func(s *Snapshot) { s.Workers[0].Runs = []Run{run("other", 0, cores(10))} }, place("w00", cores(7))},
		"quota":              {func(s *Snapshot) { s.Teams = []Team{{ID: "jabuka", Share: cores(1)}} }, place("w00", cores(2))},
		"failure domain out": {func(s *Snapshot) { s.Domains["zagreb"] = structs.DomainOut }, place("w00", cores(1))},
		"quarantined": {func(s *Snapshot) {
			s.State.Quarantines = map[structs.WorkerID]Quarantine{"w00": {Since: s.Now, Term: time.Minute, Stage: QuarantineClosed}}
		}, place("w00", cores(1))},
		"worker leaving":                        {func(s *Snapshot) { s.Workers[0].State = WorkerLeaving }, place("w00", cores(1))},
		"unknown worker":                        {func(*Snapshot) {}, place("w77", cores(1))},
		"task placed twice":                     {func(*Snapshot) {}, Plan{Placements: append(place("w00", cores(1)).Placements, place("w00", cores(1)).Placements...)}},
		"eviction of a run that is not running": {func(*Snapshot) {}, evict(run("other", 0, cores(1)), structs.ReasonDomainOut)},
		"service evicted for deadline": {func(s *Snapshot) { s.Workers[0].Runs = []Run{service("slot-check", 0, 0)} },
			evict(service("slot-check", 0, 0), ReasonDeadline)},
		"service below its minimum": {func(s *Snapshot) {
			s.Workers[0].Runs = []Run{service("slot-check", 0, 0)}
			s.Services = []Service{{Job: "slot-check", RunningInstances: 2, MinAvailable: 2}}
		}, evict(service("slot-check", 0, 0), structs.ReasonLeaving)},
		"too many drain evictions": {func(s *Snapshot) {
			s.Workers[0].State = WorkerLeaving
			for i := range int32(defaultMaxDrainEvictions) {
				r := run("other", i, cores(1))
				r.Stopping = true
				s.Workers[0].Runs = append(s.Workers[0].Runs, r)
			}
			s.Workers[0].Runs = append(s.Workers[0].Runs, run("other", 100, cores(1)))
		}, evict(run("other", 100, cores(1)), structs.ReasonLeaving)},
	}
	for want, c := range cases {
		t.Run(want, func(t *testing.T) {
			is := is.New(t)
			s := snapshot(workers(1))
			c.change(s)
			is.Equal(firstViolation(s, c.plan), want)
		})
	}
}

func TestPlanIsDeterministicAndLeavesSnapshotUnchanged(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := drawSnapshot(t)
		s.State.Mitigations = map[structs.WorkerID]MitigationState{"w00": {HighReports: 1, Throttled: []ThrottledRun{{Active: true}}}}
		before := fmt.Sprintf("%+v", *s)
		p := New(Options{})
		first := p.Plan(s)
		for range 3 {
			if again := p.Plan(s); !reflect.DeepEqual(first, again) {
				t.Fatalf("plans differ:\n%+v\n%+v", first, again)
			}
		}
		if after := fmt.Sprintf("%+v", *s); before != after {
			t.Fatalf("snapshot changed")
		}
	})
}

// largeTaskArrival is the cycle in which the large task arrives. All workers
// are full by then.
const largeTaskArrival = 10

// simulateFlood runs planning cycles in which a flood of small tasks competes
// with one large task, and returns the cycle in which the large task started.
func simulateFlood(p *Planner, cycles int, seed int64) (cycle int, started bool) {
	s := snapshot(workers(3))
	endCycles := map[structs.AttemptID]int{}
	large := task("matching", 0, cores(14))
	next := int32(0)
	for i := range cycles {
		s.Now += 10 * time.Second
		for w := range s.Workers {
			kept := s.Workers[w].Runs[:0]
			for _, r := range s.Workers[w].Runs {
				if endCycles[r.Attempt] > i {
					kept = append(kept, r)
				}
			}
			s.Workers[w].Runs = kept
		}
		if i == largeTaskArrival {
			s.Pending = append(s.Pending, large)
		}
		for len(s.Pending) < 40 {
			next++
			s.Pending = append(s.Pending, task("report", next, cores(2)))
		}
		plan := p.Plan(s)
		s.State = plan.State
		placed := map[structs.TaskID]Placement{}
		for _, x := range plan.Placements {
			placed[x.Task] = x
		}
		var waiting []Task
		for _, x := range s.Pending {
			where, found := placed[x.ID]
			if !found {
				x.Waited += 10 * time.Second
				waiting = append(waiting, x)
				continue
			}
			if x.ID == large.ID {
				return i, true
			}
			r := run(x.Class, x.ID.Index, where.Resources)
			endCycles[r.Attempt] = i + 3 + int((seed+int64(x.ID.Index)*7)%11)
			for w := range s.Workers {
				if s.Workers[w].ID == where.Worker {
					s.Workers[w].Runs = append(s.Workers[w].Runs, r)
				}
			}
		}
		s.Pending = waiting
	}
	return cycles, false
}

// maxWaitCycles is the number of cycles in which the large task must start.
// It covers the two minutes until a worker is reserved and the longest run on
// that worker.
const maxWaitCycles = 60

func TestLargeTaskDoesNotStarve(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		seed := rapid.Int64Range(0, 1000).Draw(t, "seed")
		if cycle, started := simulateFlood(New(Options{}), maxWaitCycles, seed); !started {
			t.Fatalf("not started after %d planning cycles", cycle)
		}
	})
}

func TestStarvationCheckFailsWithoutReservations(t *testing.T) {
	is := is.New(t)
	_, started := simulateFlood(New(Options{ReserveAfter: 1000 * time.Hour}), maxWaitCycles, 1)
	is.True(!started)
}
