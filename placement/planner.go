package placement

import (
	"github.com/daisywall/daisywall/structs"
)

// Planner computes plans from snapshots. It has no state besides its options
// and is safe for concurrent use.
type Planner struct {
	options Options
}

// New returns a planner. Zero fields of the options take their default.
func New(options Options) *Planner {
	return &Planner{options: options.withDefaults()}
}

// cycle is the working state of one planning cycle, which is one call of Plan.
type cycle struct {
	options           *Options
	snapshot          *Snapshot
	estimates         Estimates
	classes           *classTable
	nodes             []node
	openNodes         []int                           // indexes of the nodes on which tasks may start
	domains           map[structs.FailureDomainID]int // numbers of the failure domains
	racks             map[rackKey]int                 // numbers of the racks
	teams             map[structs.TeamID]*teamBudget
	jobSpreads        map[structs.JobID]*jobSpread // task counts by place, only for jobs with pending tasks
	disruptionBudgets map[structs.JobID]*disruptionBudget
	probesByClass     map[int]int                // batch runs with an uncertain harm estimate, by class number
	evicting          map[structs.AttemptID]bool // attempts with an eviction in the plan
	failedSearches    map[placementKey]*failedSearch
	outcomes          *outcomeTable
	rankedBuffer      []scoredNode // buffer for searchResult.ranked, reused by each search
	classNumberBuffer []int        // unused part of the buffer for class numbers
	plan              Plan
}

// teamBudget is the quota of a team.
type teamBudget struct {
	left  structs.Resources // resources that the team may still commit in this cell, negative if it has committed more
	quota structs.Resources // quota over all cells, zero for none
}

// Plan runs one planning cycle and returns its result. The snapshot stays
// unchanged.
func (p *Planner) Plan(s *Snapshot) Plan {
	r := p.newCycle(s)
	r.updateQuarantines()
	r.drainWorkers()
	r.stopCancelled()
	r.mitigateInterference()
	r.placeTasks()
	r.pruneState()
	return r.plan
}

func (p *Planner) newCycle(s *Snapshot) *cycle {
	r := &cycle{
		options:           &p.options,
		snapshot:          s,
		estimates:         s.Estimates,
		classes:           newClassTable(s.Estimates),
		nodes:             make([]node, len(s.Workers)),
		domains:           map[structs.FailureDomainID]int{},
		racks:             map[rackKey]int{},
		teams:             map[structs.TeamID]*teamBudget{},
		jobSpreads:        map[structs.JobID]*jobSpread{},
		disruptionBudgets: map[structs.JobID]*disruptionBudget{},
		probesByClass:     map[int]int{},
		evicting:          map[structs.AttemptID]bool{},
		failedSearches:    map[placementKey]*failedSearch{},
		outcomes:          newOutcomeTable(s.Outcomes),
	}
	r.plan.State = s.State.clone()
	for i := range s.Teams {
		t := &s.Teams[i]
		r.teams[t.ID] = &teamBudget{left: t.Share, quota: t.Quota}
	}
	for i := range s.Pending {
		r.jobSpreads[s.Pending[i].ID.Job] = nil
	}
	for job := range r.jobSpreads {
		r.jobSpreads[job] = newJobSpread()
	}
	for _, service := range s.Services {
		r.disruptionBudgets[service.Job] = &disruptionBudget{left: service.RunningInstances - service.MinAvailable}
	}
	for i := range s.Workers {
		r.addNode(&s.Workers[i], i)
	}
	return r
}

// clone returns a deep copy, so that planning does not change the snapshot.
func (m PlannerState) clone() PlannerState {
	c := PlannerState{
		Mitigations: make(map[structs.WorkerID]MitigationState, len(m.Mitigations)),
		Quarantines: make(map[structs.WorkerID]Quarantine, len(m.Quarantines)),
		Reserved:    make(map[structs.TaskID]structs.WorkerID, len(m.Reserved)),
		Avoided:     make(map[structs.TaskID]Avoidance, len(m.Avoided)),
	}
	for k, v := range m.Mitigations {
		v.Throttled = append([]ThrottledRun(nil), v.Throttled...)
		c.Mitigations[k] = v
	}
	for k, v := range m.Quarantines {
		c.Quarantines[k] = v
	}
	for k, v := range m.Reserved {
		c.Reserved[k] = v
	}
	for k, v := range m.Avoided {
		c.Avoided[k] = v
	}
	return c
}

// pruneState removes expired avoidances and the state of workers that are
// gone, so that the size of the state is bounded by the workers and tasks in
// use.
func (r *cycle) pruneState() {
	m := &r.plan.State
	for task, a := range m.Avoided {
		if a.Until <= r.snapshot.Now {
			delete(m.Avoided, task)
		}
	}
	present := make(map[structs.WorkerID]bool, len(r.nodes))
	for i := range r.nodes {
		present[r.nodes[i].worker.ID] = true
	}
	for w := range m.Mitigations {
		if !present[w] {
			delete(m.Mitigations, w)
		}
	}
	for w := range m.Quarantines {
		if !present[w] {
			delete(m.Quarantines, w)
		}
	}
}

// recordDecision adds the decision to the plan, or only counts it once the plan
// holds MaxDecisions.
func (r *cycle) recordDecision(d Decision) {
	if len(r.plan.Decisions) >= r.options.MaxDecisions {
		r.plan.DroppedDecisions++
		return
	}
	d.At = r.snapshot.Now
	r.plan.Decisions = append(r.plan.Decisions, d)
}

// hasDecisionRoom reports whether the plan has room for another decision.
func (r *cycle) hasDecisionRoom() bool {
	return len(r.plan.Decisions) < r.options.MaxDecisions
}
