package request

import (
	"context"
	"sync"

	"github.com/daisywall/daisywall/api/daisywallpb"
)

// maxAcknowledgements bounds the acknowledgements that wait for one agent;
// more are dropped, and the agent keeps those answers until their retention
// ends.
const maxAcknowledgements = 4096

// acknowledgements collects the IDs of answered requests for each agent.
type acknowledgements struct {
	mu        sync.Mutex
	byAddress map[string][]string
}

func newAcknowledgements() *acknowledgements {
	return &acknowledgements{byAddress: map[string][]string{}}
}

func (a *acknowledgements) add(address, id string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if len(a.byAddress[address]) < maxAcknowledgements {
		a.byAddress[address] = append(a.byAddress[address], id)
	}
}

func (a *acknowledgements) take() map[string][]string {
	a.mu.Lock()
	defer a.mu.Unlock()
	taken := a.byAddress
	a.byAddress = map[string][]string{}
	return taken
}

// acknowledge lets the agent drop the answer of a non-idempotent request. That
// of a request with a key is kept for other requests with that key.
func (r *Router) acknowledge(j *job, a *attempt) {
	if !j.idempotent && j.call.Key == "" {
		r.acks.add(a.target.candidate.Address, string(a.id))
	}
}

// sendAcknowledgements sends what has been collected. A failed one is not
// repeated: the retention ends in any case.
func (r *Router) sendAcknowledgements(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	var senders sync.WaitGroup
	for address, ids := range r.acks.take() {
		senders.Go(func() {
			_, _ = r.peers.get(address).call(ctx, nil, func(ctx context.Context, conn AgentConn) error {
				_, err := conn.Acknowledge(ctx, &daisywallpb.AcknowledgeRequest{RequestIds: ids})
				return err
			})
		})
	}
	senders.Wait()
}
