package request

import (
	"context"
	"sync"

	"github.com/daisywall/daisywall/api/daisywallpb"
)

// maxAcknowledgements bounds the pending acknowledgements for one agent.
// Further acknowledgements are dropped, and the agent keeps the answers that
// they name until their retention ends.
const maxAcknowledgements = 4096

// acknowledgements collects the IDs of answered requests by agent address until
// the next batch is sent.
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

// drain returns the pending acknowledgements and clears them.
func (a *acknowledgements) drain() map[string][]string {
	a.mu.Lock()
	defer a.mu.Unlock()
	drained := a.byAddress
	a.byAddress = map[string][]string{}
	return drained
}

// queueAcknowledgement queues an acknowledgement that lets the agent drop the
// answer of a non-idempotent request. The answer of a request with an
// idempotency key is kept for other requests with the same key.
func (r *Router) queueAcknowledgement(req *routedRequest, a *attempt) {
	if !req.idempotent && req.call.Key == "" {
		r.acks.add(a.target.candidate.Address, string(a.id))
	}
}

// sendAcknowledgements sends the pending acknowledgements to all agents and
// waits for the calls. A failed call is not retried, because the agent drops
// the answers at the end of their retention in any case.
func (r *Router) sendAcknowledgements(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, connectTimeout)
	defer cancel()
	var senders sync.WaitGroup
	for address, ids := range r.acks.drain() {
		senders.Go(func() {
			_, _ = r.peers.get(address).call(ctx, nil, func(ctx context.Context, conn AgentConn) error {
				_, err := conn.Acknowledge(ctx, &daisywallpb.AcknowledgeRequest{RequestIds: ids})
				return err
			})
		})
	}
	senders.Wait()
}
