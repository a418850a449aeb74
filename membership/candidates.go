package membership

import (
	"slices"
	"sort"
	"sync"

	"github.com/daisywall/daisywall/structs"
)

// serviceKey names a kind of request of a team.
type serviceKey struct {
	team structs.TeamID
	kind string
}

// candidateIndex finds the candidates of a service. Its lists are replaced,
// never changed, so that readers may keep them.
type candidateIndex struct {
	mu        sync.RWMutex
	byService map[serviceKey][]Candidate
	services  map[structs.WorkerID]map[serviceKey]bool // services of each worker
}

func newCandidateIndex() *candidateIndex {
	return &candidateIndex{
		byService: map[serviceKey][]Candidate{},
		services:  map[structs.WorkerID]map[serviceKey]bool{},
	}
}

func (x *candidateIndex) list(key serviceKey) []Candidate {
	x.mu.RLock()
	defer x.mu.RUnlock()
	return x.byService[key]
}

// replace sets the candidates of one worker.
func (x *candidateIndex) replace(worker structs.WorkerID, candidates []Candidate) {
	x.mu.Lock()
	defer x.mu.Unlock()
	added := map[serviceKey][]Candidate{}
	for _, c := range candidates {
		for _, kind := range c.Target.Kinds {
			key := serviceKey{c.Target.Team, kind}
			added[key] = append(added[key], c)
		}
	}
	for key := range x.services[worker] {
		if _, still := added[key]; !still {
			x.set(key, without(x.byService[key], worker))
		}
	}
	services := make(map[serviceKey]bool, len(added))
	for key, list := range added {
		services[key] = true
		others := without(x.byService[key], worker)
		at := sort.Search(len(others), func(i int) bool { return others[i].Worker > worker })
		x.set(key, slices.Insert(others, at, list...))
	}
	x.services[worker] = services
	if len(services) == 0 {
		delete(x.services, worker)
	}
}

func (x *candidateIndex) set(key serviceKey, list []Candidate) {
	if len(list) == 0 {
		delete(x.byService, key)
		return
	}
	x.byService[key] = list
}

// without returns a copy of the list that leaves out the worker's candidates.
func without(list []Candidate, worker structs.WorkerID) []Candidate {
	next := make([]Candidate, 0, len(list)+1)
	for _, c := range list {
		if c.Worker != worker {
			next = append(next, c)
		}
	}
	return next
}

// candidates returns what the record offers: nothing once the agent leaves.
func (a *agentRecord) candidates() []Candidate {
	if a.leaving {
		return nil
	}
	list := make([]Candidate, 0, len(a.targets))
	for _, target := range a.targets {
		list = append(list, Candidate{
			Worker: a.worker, FailureDomain: a.domain, Address: a.address,
			Incarnation: a.incarnation, Target: target,
			AgentClock: a.clock, ClockRead: a.clockRead,
		})
	}
	return list
}
