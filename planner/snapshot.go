package planner

import (
	"time"

	"github.com/daisywall/daisywall/cell"
	"github.com/daisywall/daisywall/placement"
	"github.com/daisywall/daisywall/structs"
)

// declaredSizes returns the estimator's values, except that it reserves the
// sizes that jobs declare. An agent also counts the declared sizes against the
// capacity of its host.
type declaredSizes struct{ placement.Estimates }

// Reserve returns the declared size.
func (declaredSizes) Reserve(_ string, size structs.Resources) structs.Resources { return size }

// policySnapshot converts the leader's snapshot to the policy's.
func (p *Planner) policySnapshot(s *cell.Snapshot, now time.Duration) *placement.Snapshot {
	config := p.config()
	view := &placement.Snapshot{
		Now:       now,
		Teams:     policyTeams(config, s.Shares),
		Domains:   map[structs.FailureDomainID]structs.DomainState{},
		Estimates: declaredSizes{p.model},
		State:     p.state,
	}
	for i := range s.Workers {
		w := &s.Workers[i]
		view.Workers = append(view.Workers, p.policyWorker(w, s.Now, now))
		// The leader itself moves work out of a failure domain that is out of
		// service and places no work in it. It marks the workers of such a
		// domain as not placeable.
		view.Domains[w.Worker.FailureDomain] = structs.DomainIn
	}
	for i := range s.Pending {
		view.Pending = append(view.Pending, policyTask(&s.Pending[i], s.Now))
	}
	for _, o := range s.Outcomes {
		view.Outcomes = append(view.Outcomes, placement.Outcome{
			At: o.At.Sub(p.startedAt), Task: o.Task, Class: o.Class, Worker: o.Worker, Failed: o.Failed,
		})
	}
	return view
}

// policyTeams returns the teams' quotas and this cell's shares of them.
// Without shares, a cell may commit the whole quota of a team.
func policyTeams(config *structs.Config, shares map[structs.TeamID]structs.Resources) []placement.Team {
	list := make([]placement.Team, 0, len(config.Teams))
	for _, t := range config.Teams {
		team := placement.Team{ID: t.ID, Share: t.Quota, Quota: t.Quota}
		if shares != nil {
			team.Share = shares[t.ID]
		}
		list = append(list, team)
	}
	return list
}

func (p *Planner) policyWorker(w *cell.WorkerView, wall time.Time, now time.Duration) placement.Worker {
	out := placement.Worker{Worker: w.Worker, State: placement.WorkerReady}
	if !w.Placeable {
		out.State = placement.WorkerSilent
	}
	for i := range w.Residents {
		r := &w.Residents[i]
		record := p.residents[r.Attempt]
		run := placement.Run{
			Attempt:   r.Attempt,
			Team:      r.Job.Team,
			Class:     r.Job.Class,
			Kind:      r.Job.Kind,
			Resources: r.Job.Resources,
			Age:       now - record.firstSeenAt,
			RunTime:   r.Job.RunTime,
			Progress:  r.Progress,
			Stopping:  r.Evicting,
			LatencyMS: r.Latency,
			ReportAge: r.MeasurementAge,
		}
		if r.Usage != nil {
			run.Usage = *r.Usage
		}
		if record.throttleShare < 1 {
			run.Throttle = record.throttleShare
		}
		run.TimeLeft, run.HasDeadline = timeLeft(r.Job, wall)
		out.Runs = append(out.Runs, run)
	}
	return out
}

func policyTask(t *cell.PendingTask, wall time.Time) placement.Task {
	out := placement.Task{
		ID:          t.Task,
		Team:        t.Job.Team,
		Class:       t.Job.Class,
		Kind:        t.Job.Kind,
		Resources:   t.Job.Resources,
		RunTime:     t.Job.RunTime,
		Waited:      t.Waiting,
		MaxAttempts: t.Job.MaxAttempts,
		FailedOn:    t.FailedOn,
	}
	out.TimeLeft, out.HasDeadline = timeLeft(t.Job, wall)
	return out
}

// timeLeft returns the time until the deadline of a job by the wall clock. It
// only orders work, so safety does not depend on the clock.
func timeLeft(job *structs.Job, wall time.Time) (time.Duration, bool) {
	if job.Deadline.IsZero() {
		return 0, false
	}
	return job.Deadline.Sub(wall), true
}
