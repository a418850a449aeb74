package placement

import (
	"math/rand/v2"
	"sort"

	"github.com/daisywall/daisywall/placement"
	"github.com/daisywall/daisywall/structs"
)

// baseline is a policy that places pending tasks by their declared size, in the
// order of their arrival. It evicts all runs from a failure domain at once when
// the domain is out.
type baseline struct {
	choose func(fits []host) int
}

type host struct {
	worker *placement.Worker
	free   structs.Resources
}

// Random returns the policy that chooses a random worker with enough free
// resources.
func Random(seed uint64) Policy {
	random := rand.New(rand.NewPCG(seed, 1))
	return &baseline{choose: func(fits []host) int { return random.IntN(len(fits)) }}
}

// FirstFit returns the policy that chooses the first worker with enough free
// resources.
func FirstFit() Policy {
	return &baseline{choose: func([]host) int { return 0 }}
}

// LeastLoaded returns the policy that chooses the worker with the most
// uncommitted processor capacity.
func LeastLoaded() Policy {
	return &baseline{choose: func(fits []host) int {
		best := 0
		for i := range fits {
			if fits[i].free.MilliCPU > fits[best].free.MilliCPU {
				best = i
			}
		}
		return best
	}}
}

// baselineAttempts is the number of failures after which the baselines refuse a
// task as unschedulable.
const baselineAttempts = 5

// Plan implements Policy.
func (b *baseline) Plan(s *placement.Snapshot) placement.Plan {
	plan := placement.Plan{Cancels: s.Cancelled}
	hosts := openHosts(s, &plan)
	for i := range s.Pending {
		t := &s.Pending[i]
		if len(t.FailedOn) >= baselineAttempts {
			plan.Unschedulable = append(plan.Unschedulable, placement.Refusal{Task: t.ID, Reason: structs.ReasonUnschedulable})
			continue
		}
		var fits []host
		var indexes []int
		for j := range hosts {
			if t.Resources.Fits(hosts[j].free) {
				fits = append(fits, hosts[j])
				indexes = append(indexes, j)
			}
		}
		if len(fits) == 0 {
			continue
		}
		chosen := indexes[b.choose(fits)]
		hosts[chosen].free = hosts[chosen].free.Sub(t.Resources)
		plan.Placements = append(plan.Placements, placement.Placement{Task: t.ID, Worker: hosts[chosen].worker.ID, Resources: t.Resources})
	}
	return plan
}

// openHosts lists the workers in failure domains that are not out. It adds
// evictions of the runs in the other domains to the plan.
func openHosts(s *placement.Snapshot, plan *placement.Plan) []host {
	var hosts []host
	for i := range s.Workers {
		w := &s.Workers[i]
		free := w.Capacity
		out := s.Domains[w.FailureDomain] != structs.DomainIn
		for _, r := range w.Runs {
			free = free.Sub(r.Resources)
			if out && !r.Stopping {
				plan.Evictions = append(plan.Evictions, placement.Eviction{Attempt: r.Attempt, Worker: w.ID, Reason: structs.ReasonDomainOut})
			}
		}
		if !out {
			hosts = append(hosts, host{w, free})
		}
	}
	return hosts
}

// previous is the first version of the policy and serves as a baseline. It
// places tasks by least slack, computed from the declared run time, on the
// worker where the expected growth of tail latency is least. It has no limit on
// this harm, no probing, no throttling or eviction for harm, and no quarantine.
type previous struct{}

// FirstVersion returns the first version of the policy.
func FirstVersion() Policy { return previous{} }

// Plan implements Policy.
func (previous) Plan(s *placement.Snapshot) placement.Plan {
	plan := placement.Plan{Cancels: s.Cancelled}
	hosts := openHosts(s, &plan)
	order := make([]*placement.Task, len(s.Pending))
	for i := range s.Pending {
		order[i] = &s.Pending[i]
	}
	sort.SliceStable(order, func(i, j int) bool { return previousSlack(order[i]) < previousSlack(order[j]) })
	for _, t := range order {
		if len(t.FailedOn) >= baselineAttempts {
			plan.Unschedulable = append(plan.Unschedulable, placement.Refusal{Task: t.ID, Reason: structs.ReasonUnschedulable})
			continue
		}
		need := s.Estimates.Reserve(t.Class, t.Resources)
		best, leastHarm := -1, 0.0
		for i := range hosts {
			if !need.Fits(hosts[i].free) {
				continue
			}
			if harm := previousHarm(s.Estimates, hosts[i].worker, t); best < 0 || harm < leastHarm {
				best, leastHarm = i, harm
			}
		}
		if best < 0 {
			continue
		}
		hosts[best].free = hosts[best].free.Sub(need)
		plan.Placements = append(plan.Placements, placement.Placement{Task: t.ID, Worker: hosts[best].worker.ID, Resources: need})
	}
	return plan
}

func previousSlack(t *placement.Task) float64 {
	if t.Kind == structs.WorkService {
		return -1e12
	}
	if !t.HasDeadline {
		return 1e12 - t.Waited.Seconds()
	}
	return (t.TimeLeft - t.RunTime).Seconds()
}

func previousHarm(e placement.Estimates, w *placement.Worker, t *placement.Task) float64 {
	harm := 0.0
	for i := range w.Runs {
		if r := &w.Runs[i]; r.Kind == structs.WorkService {
			mean, _ := e.Harm(r.Class, t.Class, e.Band(r.Class, r.Usage))
			harm += mean
		}
	}
	return harm
}
