package membership

import (
	"slices"
	"sort"
	"sync"

	"github.com/daisywall/daisywall/structs"
)

// kindKey identifies a kind of request of a team.
type kindKey struct {
	team structs.TeamID
	kind string
}

// candidateIndex holds the candidates for each kind of request of a team. Its
// lists are replaced and never changed, so that readers may keep them.
type candidateIndex struct {
	mu            sync.RWMutex
	byKind        map[kindKey][]Candidate
	kindsByWorker map[structs.WorkerID]map[kindKey]bool // kinds that each worker serves
}

func newCandidateIndex() *candidateIndex {
	return &candidateIndex{
		byKind:        map[kindKey][]Candidate{},
		kindsByWorker: map[structs.WorkerID]map[kindKey]bool{},
	}
}

func (x *candidateIndex) list(key kindKey) []Candidate {
	x.mu.RLock()
	defer x.mu.RUnlock()
	return x.byKind[key]
}

// replace sets the candidates of one worker.
func (x *candidateIndex) replace(worker structs.WorkerID, candidates []Candidate) {
	x.mu.Lock()
	defer x.mu.Unlock()
	added := map[kindKey][]Candidate{}
	for _, c := range candidates {
		for _, kind := range c.Target.Kinds {
			key := kindKey{c.Target.Team, kind}
			added[key] = append(added[key], c)
		}
	}
	for key := range x.kindsByWorker[worker] {
		if _, stillServed := added[key]; !stillServed {
			x.setList(key, withoutWorker(x.byKind[key], worker))
		}
	}
	kinds := make(map[kindKey]bool, len(added))
	for key, list := range added {
		kinds[key] = true
		others := withoutWorker(x.byKind[key], worker)
		at := sort.Search(len(others), func(i int) bool { return others[i].Worker > worker })
		x.setList(key, slices.Insert(others, at, list...))
	}
	x.kindsByWorker[worker] = kinds
	if len(kinds) == 0 {
		delete(x.kindsByWorker, worker)
	}
}

func (x *candidateIndex) setList(key kindKey, list []Candidate) {
	if len(list) == 0 {
		delete(x.byKind, key)
		return
	}
	x.byKind[key] = list
}

// withoutWorker returns a copy of the list that leaves out the worker's candidates.
func withoutWorker(list []Candidate, worker structs.WorkerID) []Candidate {
	next := make([]Candidate, 0, len(list)+1)
	for _, c := range list {
		if c.Worker != worker {
			next = append(next, c)
		}
	}
	return next
}

// candidates returns a candidate for each target of the agent, none once the
// agent is leaving.
func (a *agentRecord) candidates() []Candidate {
	if a.leaving {
		return nil
	}
	list := make([]Candidate, 0, len(a.targets))
	for _, target := range a.targets {
		list = append(list, Candidate{
			Worker: a.worker, FailureDomain: a.failureDomain, Address: a.address,
			Incarnation: a.incarnation, Target: target,
			AgentClock: a.agentClock, ClockReadAt: a.clockReadAt,
		})
	}
	return list
}
