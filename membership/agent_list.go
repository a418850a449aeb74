package membership

import (
	"slices"
	"strings"

	"github.com/daisywall/daisywall/structs"
)

// Agent is an agent that is registered with an entry.
type Agent struct {
	Worker         structs.WorkerID
	FailureDomain  structs.FailureDomainID
	Address        string // peer address
	Targets        []structs.Target
	Leaving        bool
	ConfigRevision int64 // revision in force at the agent when it last registered
}

// ListAgents returns the registered agents, ordered by worker.
func (r *Registry) ListAgents() []Agent {
	r.mu.Lock()
	defer r.mu.Unlock()
	list := make([]Agent, 0, len(r.agents))
	for _, a := range r.agents {
		list = append(list, Agent{
			Worker: a.worker, FailureDomain: a.failureDomain, Address: a.address,
			Targets: a.targets, Leaving: a.leaving, ConfigRevision: a.configRevision,
		})
	}
	slices.SortFunc(list, func(a, b Agent) int { return strings.Compare(string(a.Worker), string(b.Worker)) })
	return list
}
