package placement

import (
	"fmt"

	"github.com/daisywall/daisywall/placement"
	"github.com/daisywall/daisywall/structs"
)

// snapshot returns what a leader would know at this time.
func (w *world) snapshot() *placement.Snapshot {
	s := &placement.Snapshot{Now: w.now + tick, Estimates: w.model, Memory: w.memory, Outcomes: w.outcomes,
		Domains: map[structs.FailureDomainID]structs.DomainState{}}
	for d := range domains {
		s.Domains[domainID(d)] = structs.DomainIn
		if d == w.trace.out && w.domainOut() {
			s.Domains[domainID(d)] = structs.DomainOut
		}
	}
	for i, host := range w.hosts {
		view := placement.Worker{Worker: structs.Worker{ID: workerID(i), FailureDomain: domainID(domainOf(i)), Rack: fmt.Sprint(i / workersPerRack), Capacity: hostCapacity}}
		for _, t := range host {
			view.Runs = append(view.Runs, w.viewRun(t))
			if t.cancel > 0 && w.now >= t.cancel && t.state == running {
				s.Cancelled = append(s.Cancelled, t.attemptID())
			}
		}
		s.Workers = append(s.Workers, view)
	}
	up := map[structs.JobID]int32{}
	for _, t := range w.tasks {
		if t.state == waiting {
			s.Pending = append(s.Pending, w.viewTask(t))
		}
		if t.class.kind == structs.WorkService {
			if t.state == running || t.state == stopping {
				up[t.id.Job]++
			} else {
				up[t.id.Job] += 0
			}
		}
	}
	for _, a := range w.trace.arrivals[:len(serviceNames)] {
		s.Services = append(s.Services, placement.Service{Job: a.job, Up: up[a.job], Minimum: minimum})
	}
	return s
}

func (w *world) viewRun(t *taskRun) placement.Run {
	return placement.Run{
		Attempt: t.attemptID(), Team: t.class.team, Class: t.class.name, Kind: t.class.kind, Resources: t.committed,
		Usage: t.shownUsage, Age: w.now - t.since, RunTime: t.class.declaredRun, Progress: t.shownProgress,
		TimeLeft: t.deadline - w.now, HasDeadline: t.deadline > 0, Throttle: t.throttle, Stopping: t.state == stopping,
		LatencyMS: t.shownLatency, ReportAge: w.now + tick - t.shownAt,
	}
}

func (w *world) viewTask(t *taskRun) placement.Task {
	return placement.Task{
		ID: t.id, Team: t.class.team, Class: t.class.name, Kind: t.class.kind, Resources: t.class.declared,
		RunTime: t.class.declaredRun, Progress: t.saved, Waited: w.now - t.since, TimeLeft: t.deadline - w.now,
		HasDeadline: t.deadline > 0, FailedOn: t.failedOn,
	}
}
