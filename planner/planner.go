// Package planner adapts the placement policy to the cell.Planner interface.
// It converts the leader's snapshot to the policy's, updates the estimator
// with the reports in the snapshot, and keeps the policy's state between
// planner calls. The caller owns the goroutines. A mutex protects the state of
// the Planner.
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

// maxDecisions is the number of recorded decisions that a planner keeps.
const maxDecisions = 4096

// Planner implements cell.Planner. Its model is held in memory only. A
// ModelStore saves it for the next leader.
type Planner struct {
	config func() *structs.Config
	policy *placement.Planner
	log    *explain.DecisionLog

	mu        sync.Mutex
	cell      structs.CellID // cell that the fields below belong to, empty before the first plan
	startedAt time.Time      // zero point of the planner's relative times: the first plan for the cell or the restore of the model
	model     *estimate.Model
	state     placement.PlannerState
	residents map[structs.AttemptID]*residentRecord
}

// residentRecord is the planner's record of a resident between planner calls.
// Its times are relative to Planner.startedAt.
type residentRecord struct {
	firstSeenAt   time.Duration
	reportedUntil time.Duration // end of the newest report that the model contains
	throttleShare float64
	jobClass      string // class of a batch job, empty for services
	progress      float64
	lastSeenAt    time.Duration // time of the last snapshot with the resident
}

// New returns a planner that reads the teams' quotas through config.
func New(config func() *structs.Config, options placement.Options) *Planner {
	p := &Planner{
		config: config,
		policy: placement.New(options),
		log:    explain.NewDecisionLog(maxDecisions),
	}
	p.reset("", time.Time{})
	return p
}

// reset discards the state of another cell and starts with an empty model.
func (p *Planner) reset(id structs.CellID, now time.Time) {
	p.cell = id
	p.startedAt = now
	p.model = estimate.New(estimate.Options{})
	p.state = placement.PlannerState{}
	p.residents = map[structs.AttemptID]*residentRecord{}
}

// Plan implements cell.Planner.
func (p *Planner) Plan(s *cell.Snapshot) cell.Plan {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.cell != s.Cell {
		p.reset(s.Cell, s.Now)
	}
	now := s.Now.Sub(p.startedAt)
	p.updateModel(s, now)
	view := p.policySnapshot(s, now)
	plan := p.policy.Plan(view)
	p.state = plan.State
	p.log.Add(plan.Decisions, plan.DroppedDecisions)
	return p.convertPlan(s, &plan)
}

// Explain returns the recorded decisions about a task, a job or a worker, and
// whether there are any.
func (p *Planner) Explain(subject, id string) (any, bool, error) {
	p.mu.Lock()
	now := time.Since(p.startedAt)
	p.mu.Unlock()
	report, err := p.log.Report(explain.Subject(subject), id, now)
	return report, len(report.Decisions) > 0, err
}

// updateModel updates the estimator with the reports that are new since the
// last planner call.
func (p *Planner) updateModel(s *cell.Snapshot, now time.Duration) {
	present := map[structs.AttemptID]bool{}
	for i := range s.Workers {
		w := &s.Workers[i]
		residents := make([]estimate.Resident, 0, len(w.Residents))
		var reports []estimate.Report
		for k := range w.Residents {
			r := &w.Residents[k]
			present[r.Attempt] = true
			record := p.recordOf(r.Attempt, now)
			residents = append(residents, estimate.Resident{Attempt: r.Attempt, Class: r.Job.Class, Kind: r.Job.Kind, Share: record.throttleShare})
			if report, fresh := record.newReport(r, now); fresh {
				reports = append(reports, report)
			}
			record.lastSeenAt = now
			if r.Job.Kind == structs.WorkBatch {
				record.jobClass, record.progress = r.Job.Class, r.Progress
			}
		}
		p.model.Observe(now, w.Worker.ID, residents)
		p.model.Learn(now, w.Worker.ID, reports)
	}
	for attempt, r := range p.residents {
		if present[attempt] {
			continue
		}
		// The progress is learned once for each run, because repeated readings
		// of one run are not independent samples.
		if r.jobClass != "" {
			p.model.LearnProgress(r.jobClass, r.progress, r.lastSeenAt-r.firstSeenAt)
		}
		delete(p.residents, attempt)
	}
}

// recordOf returns the record of a resident. It creates the record of a new
// resident.
func (p *Planner) recordOf(attempt structs.AttemptID, now time.Duration) *residentRecord {
	record, found := p.residents[attempt]
	if !found {
		record = &residentRecord{firstSeenAt: now, throttleShare: 1}
		p.residents[attempt] = record
	}
	return record
}

// newReport returns the measurement of a resident, unless the model already
// contains it.
func (r *residentRecord) newReport(resident *cell.Resident, now time.Duration) (estimate.Report, bool) {
	if resident.Usage == nil {
		return estimate.Report{}, false
	}
	// Two readings of the same report differ by less than a second.
	end := now - resident.MeasurementAge
	if end < r.reportedUntil+time.Second {
		return estimate.Report{}, false
	}
	r.reportedUntil = end
	return estimate.Report{
		Attempt:   resident.Attempt,
		Class:     resident.Job.Class,
		Kind:      resident.Job.Kind,
		Usage:     *resident.Usage,
		Age:       resident.MeasurementAge,
		LatencyMS: resident.Latency,
	}, true
}

// convertPlan converts the policy's plan to the leader's.
func (p *Planner) convertPlan(s *cell.Snapshot, plan *placement.Plan) cell.Plan {
	converted := cell.Plan{}
	for _, x := range plan.Placements {
		if len(converted.Placements) == s.MaxStarts {
			break
		}
		converted.Placements = append(converted.Placements, cell.Placement{Task: x.Task, Worker: x.Worker})
	}
	for _, x := range plan.Evictions {
		converted.Evictions = append(converted.Evictions, cell.Eviction{Attempt: x.Attempt, Reason: string(x.Reason)})
	}
	for _, x := range plan.Throttles {
		if record, found := p.residents[x.Attempt]; found {
			record.throttleShare = x.Share
		}
		converted.Throttles = append(converted.Throttles, cell.Throttle{Attempt: x.Attempt, Share: x.Share})
	}
	for _, x := range plan.Unschedulable {
		// A task fails permanently only for a reason in the task itself.
		// Another cell, a new host or a changed quota can remove every other
		// reason.
		permanent := x.Reason == structs.ReasonUnschedulable
		converted.Unschedulable = append(converted.Unschedulable, cell.Unschedulable{Task: x.Task, Reason: x.Reason, Detail: x.Detail, Permanent: permanent})
	}
	for _, d := range plan.Decisions {
		if d.Action == placement.ActionWait {
			converted.Unschedulable = append(converted.Unschedulable, cell.Unschedulable{Task: d.Task, Reason: d.Reason, Detail: d.Detail})
		}
	}
	return converted
}
