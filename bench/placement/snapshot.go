package placement

import (
	"fmt"

	"github.com/daisywall/daisywall/placement"
	"github.com/daisywall/daisywall/structs"
)

// snapshot returns the state that a leader sees at the current time of the
// simulation.
func (s *simulation) snapshot() *placement.Snapshot {
	snapshot := &placement.Snapshot{Now: s.now + tick, Estimates: s.model, State: s.plannerMemory, Outcomes: s.outcomes,
		Domains: map[structs.FailureDomainID]structs.DomainState{}}
	for d := range domains {
		snapshot.Domains[domainID(d)] = structs.DomainIn
		if d == s.trace.outDomain && s.isDomainOut() {
			snapshot.Domains[domainID(d)] = structs.DomainOut
		}
	}
	for i, host := range s.hosts {
		worker := placement.Worker{Worker: structs.Worker{ID: workerID(i), FailureDomain: domainID(domainOf(i)), Rack: fmt.Sprint(i / workersPerRack), Capacity: hostCapacity}}
		for _, t := range host {
			worker.Runs = append(worker.Runs, s.snapshotRun(t))
			if t.cancelAt > 0 && s.now >= t.cancelAt && t.state == running {
				snapshot.Cancelled = append(snapshot.Cancelled, t.attemptID())
			}
		}
		snapshot.Workers = append(snapshot.Workers, worker)
	}
	upInstances := map[structs.JobID]int32{}
	for _, t := range s.tasks {
		if t.state == waiting {
			snapshot.Pending = append(snapshot.Pending, s.snapshotTask(t))
		}
		if t.class.kind == structs.WorkService {
			if t.state == running || t.state == stopping {
				upInstances[t.id.Job]++
			} else {
				upInstances[t.id.Job] += 0
			}
		}
	}
	for _, a := range s.trace.arrivals[:len(serviceNames)] {
		snapshot.Services = append(snapshot.Services, placement.Service{Job: a.job, RunningInstances: upInstances[a.job], MinAvailable: minInstances})
	}
	return snapshot
}

func (s *simulation) snapshotRun(t *simulatedTask) placement.Run {
	return placement.Run{
		Attempt: t.attemptID(), Team: t.class.team, Class: t.class.name, Kind: t.class.kind, Resources: t.commitment,
		Usage: t.reportedUsage, Age: s.now - t.stateSince, RunTime: t.class.declaredRunTime, Progress: t.reportedProgress,
		TimeLeft: t.deadline - s.now, HasDeadline: t.deadline > 0, Throttle: t.cpuShare, Stopping: t.state == stopping,
		LatencyMS: t.reportedLatencyMS, ReportAge: s.now + tick - t.reportedAt,
	}
}

func (s *simulation) snapshotTask(t *simulatedTask) placement.Task {
	return placement.Task{
		ID: t.id, Team: t.class.team, Class: t.class.name, Kind: t.class.kind, Resources: t.class.declared,
		RunTime: t.class.declaredRunTime, Progress: t.savedProgress, Waited: s.now - t.stateSince, TimeLeft: t.deadline - s.now,
		HasDeadline: t.deadline > 0, FailedOn: t.failedOn,
	}
}
