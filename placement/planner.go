package placement

import (
	"github.com/daisywall/daisywall/structs"
)

// Planner makes plans. It holds nothing but its options and is safe for
// concurrent use.
type Planner struct {
	options Options
}

// New returns a planner with the options, defaults filled in.
func New(options Options) *Planner {
	return &Planner{options: options.complete()}
}

// round is the working state of one call of Plan.
type round struct {
	options   *Options
	snapshot  *Snapshot
	estimates Estimates
	classes   *classTable
	nodes     []node
	active    []int // numbers of the nodes that may still take work
	open      int   // workers on which tasks may start
	domains   map[structs.FailureDomainID]int
	racks     map[rackKey]int
	teams     map[structs.TeamID]*teamRoom
	jobs      map[structs.JobID]*spread
	services  map[structs.JobID]*serviceRoom
	probes    map[int]int // untried residents by class
	evicting  map[structs.AttemptID]bool
	shapes    map[shape]*misfit
	outcomes  *outcomeTable
	ranked    []scored // buffer of searches
	numbers   []int    // buffer of class numbers
	plan      Plan
}

// teamRoom is what a team may still commit in this cell.
type teamRoom struct {
	left  structs.Resources
	quota structs.Resources
}

// Plan decides one round.
func (p *Planner) Plan(s *Snapshot) Plan {
	r := p.newRound(s)
	r.judgeWorkers()
	r.move()
	r.cancel()
	r.react()
	r.place()
	r.forget()
	return r.plan
}

func (p *Planner) newRound(s *Snapshot) *round {
	r := &round{
		options:   &p.options,
		snapshot:  s,
		estimates: s.Estimates,
		classes:   newClassTable(s.Estimates),
		nodes:     make([]node, len(s.Workers)),
		domains:   map[structs.FailureDomainID]int{},
		racks:     map[rackKey]int{},
		teams:     map[structs.TeamID]*teamRoom{},
		jobs:      map[structs.JobID]*spread{},
		services:  map[structs.JobID]*serviceRoom{},
		probes:    map[int]int{},
		evicting:  map[structs.AttemptID]bool{},
		shapes:    map[shape]*misfit{},
		outcomes:  newOutcomeTable(s.Outcomes),
	}
	r.plan.Memory = s.Memory.clone()
	for i := range s.Teams {
		t := &s.Teams[i]
		r.teams[t.ID] = &teamRoom{left: t.Share, quota: t.Quota}
	}
	for i := range s.Pending {
		r.jobs[s.Pending[i].ID.Job] = nil
	}
	for job := range r.jobs {
		r.jobs[job] = newSpread()
	}
	for _, service := range s.Services {
		r.services[service.Job] = &serviceRoom{left: service.Up - service.Minimum}
	}
	for i := range s.Workers {
		r.addNode(&s.Workers[i], i)
	}
	return r
}

// clone copies the memory, so that the snapshot stays as it is.
func (m Memory) clone() Memory {
	c := Memory{
		Ladders:     make(map[structs.WorkerID]Ladder, len(m.Ladders)),
		Quarantines: make(map[structs.WorkerID]Quarantine, len(m.Quarantines)),
		Reserved:    make(map[structs.TaskID]structs.WorkerID, len(m.Reserved)),
		Avoided:     make(map[structs.TaskID]Avoidance, len(m.Avoided)),
	}
	for k, v := range m.Ladders {
		v.Throttled = append([]ThrottledRun(nil), v.Throttled...)
		c.Ladders[k] = v
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

// forget drops what no longer matters, so that the memory stays bounded by the
// workers and the tasks at hand.
func (r *round) forget() {
	m := &r.plan.Memory
	for task, a := range m.Avoided {
		if a.Until <= r.snapshot.Now {
			delete(m.Avoided, task)
		}
	}
	known := make(map[structs.WorkerID]bool, len(r.nodes))
	for i := range r.nodes {
		known[r.nodes[i].worker.ID] = true
	}
	for w := range m.Ladders {
		if !known[w] {
			delete(m.Ladders, w)
		}
	}
	for w := range m.Quarantines {
		if !known[w] {
			delete(m.Quarantines, w)
		}
	}
}

// record keeps the decision while there is room.
func (r *round) record(d Decision) {
	if len(r.plan.Decisions) >= r.options.MaxDecisions {
		r.plan.Dropped++
		return
	}
	d.At = r.snapshot.Now
	r.plan.Decisions = append(r.plan.Decisions, d)
}

// recording reports whether there is room for another decision.
func (r *round) recording() bool {
	return len(r.plan.Decisions) < r.options.MaxDecisions
}
