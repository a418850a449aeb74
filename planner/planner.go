// Package planner puts the placement policy behind the planner port of a
// cell: it turns the leader's snapshot into the policy's, feeds the estimator
// with the reports in it, and keeps what the policy remembers between rounds.
package planner

import (
	"sync"
	"time"

	"github.com/daisywall/daisywall/cell"
	"github.com/daisywall/daisywall/explain"
	"github.com/daisywall/daisywall/placement"
	"github.com/daisywall/daisywall/placement/estimate"
	"github.com/daisywall/daisywall/structs"
)

// explainRecords bounds the decisions that a leader remembers.
const explainRecords = 4096

// Planner implements cell.Planner. What it has learned is lost with the
// process, and learned again by the next leader.
type Planner struct {
	config func() *structs.Config
	policy *placement.Planner
	log    *explain.Log

	mu      sync.Mutex
	cell    structs.CellID // that the state below belongs to
	started time.Time
	model   *estimate.Model
	memory  placement.Memory
	runs    map[structs.AttemptID]*run
}

// run is what the planner has seen of a resident.
type run struct {
	since    time.Duration
	reported time.Duration // end of the newest report that was learned from
	throttle float64
	class    string // of batch work, empty for services
	progress float64
	last     time.Duration // when it was last seen
}

// New returns a planner that reads the teams' quotas and services through
// config.
func New(config func() *structs.Config, options placement.Options) *Planner {
	p := &Planner{
		config: config,
		policy: placement.New(options),
		log:    explain.NewLog(explainRecords),
	}
	p.reset("", time.Time{})
	return p
}

// reset forgets everything that belongs to another cell.
func (p *Planner) reset(id structs.CellID, now time.Time) {
	p.cell = id
	p.started = now
	p.model = estimate.New(estimate.Options{})
	p.memory = placement.Memory{}
	p.runs = map[structs.AttemptID]*run{}
}

// Plan implements cell.Planner.
func (p *Planner) Plan(s *cell.Snapshot) cell.Plan {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cell != s.Cell {
		p.reset(s.Cell, s.Now)
	}
	now := s.Now.Sub(p.started)
	p.learn(s, now)
	view := p.snapshot(s, now)
	plan := p.policy.Plan(view)
	p.memory = plan.Memory
	p.log.Add(plan.Decisions, plan.Dropped)
	return p.translate(s, &plan)
}

// Explain returns the recorded decisions about a task, a job or a worker, and
// whether there are any.
func (p *Planner) Explain(subject, id string) (any, bool, error) {
	p.mu.Lock()
	now := time.Since(p.started)
	p.mu.Unlock()
	report, err := p.log.Report(explain.Subject(subject), id, now)
	return report, len(report.Decisions) > 0, err
}

// learn feeds the estimator with what is new since the last round.
func (p *Planner) learn(s *cell.Snapshot, now time.Duration) {
	present := map[structs.AttemptID]bool{}
	for i := range s.Workers {
		w := &s.Workers[i]
		residents := make([]estimate.Resident, 0, len(w.Residents))
		var reports []estimate.Report
		for k := range w.Residents {
			r := &w.Residents[k]
			present[r.Attempt] = true
			seen := p.seen(r.Attempt, now)
			residents = append(residents, estimate.Resident{Attempt: r.Attempt, Class: r.Job.Class, Kind: r.Job.Kind, Share: seen.throttle})
			if report, fresh := seen.report(r, now); fresh {
				reports = append(reports, report)
			}
			seen.last = now
			if r.Job.Kind == structs.WorkBatch {
				seen.class, seen.progress = r.Job.Class, r.Progress
			}
		}
		p.model.Observe(now, w.Worker.ID, residents)
		p.model.Learn(now, w.Worker.ID, reports)
	}
	for attempt, r := range p.runs {
		if present[attempt] {
			continue
		}
		// One lesson a run: readings of the same run are no new evidence.
		if r.class != "" {
			p.model.LearnProgress(r.class, r.progress, r.last-r.since)
		}
		delete(p.runs, attempt)
	}
}

// seen returns the record of a resident, made when it is new.
func (p *Planner) seen(attempt structs.AttemptID, now time.Duration) *run {
	known, found := p.runs[attempt]
	if !found {
		known = &run{since: now, throttle: 1}
		p.runs[attempt] = known
	}
	return known
}

// report returns the measurement of a resident unless it was learned before.
func (r *run) report(resident *cell.Resident, now time.Duration) (estimate.Report, bool) {
	if resident.Usage == nil {
		return estimate.Report{}, false
	}
	// Two readings of the same report differ by less than a second.
	end := now - resident.Measured
	if end < r.reported+time.Second {
		return estimate.Report{}, false
	}
	r.reported = end
	return estimate.Report{
		Attempt:   resident.Attempt,
		Class:     resident.Job.Class,
		Kind:      resident.Job.Kind,
		Usage:     *resident.Usage,
		Age:       resident.Measured,
		LatencyMS: resident.Latency,
	}, true
}

// translate turns the policy's plan into the leader's.
func (p *Planner) translate(s *cell.Snapshot, plan *placement.Plan) cell.Plan {
	out := cell.Plan{}
	for _, x := range plan.Placements {
		if len(out.Placements) == s.MaxStarts {
			break
		}
		out.Placements = append(out.Placements, cell.Placement{Task: x.Task, Worker: x.Worker})
	}
	for _, x := range plan.Evictions {
		out.Evictions = append(out.Evictions, cell.Eviction{Attempt: x.Attempt, Reason: string(x.Reason)})
	}
	for _, x := range plan.Throttles {
		if known, found := p.runs[x.Attempt]; found {
			known.throttle = x.Share
		}
		out.Throttles = append(out.Throttles, cell.Throttle{Attempt: x.Attempt, Share: x.Share})
	}
	for _, x := range plan.Unschedulable {
		// Only the task's own fault is final: another cell, a new host or a
		// changed quota can cure the rest.
		never := x.Reason == structs.ReasonUnschedulable
		out.Unschedulable = append(out.Unschedulable, cell.Unschedulable{Task: x.Task, Reason: x.Reason, Detail: x.Detail, Never: never})
	}
	for _, d := range plan.Decisions {
		if d.Action == placement.ActionWait {
			out.Unschedulable = append(out.Unschedulable, cell.Unschedulable{Task: d.Task, Reason: d.Reason, Detail: d.Detail})
		}
	}
	return out
}
