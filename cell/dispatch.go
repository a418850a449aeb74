package cell

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/daisywall/daisywall/api"
	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/structs"
)

// outbox holds the assignments and actions that wait for delivery to one
// agent. Each assignment is sent only once, because a copy that arrives after
// a rejection could start an attempt that has ended.
type outbox struct {
	requestInFlight bool
	minHeartbeatSeq int64 // lowest sequence number of the heartbeats that the assignments are based on
	assignments     []*daisywallpb.Assignment
	actions         []*daisywallpb.Action
}

func (b *outbox) addAction(a *daisywallpb.Action) { b.actions = append(b.actions, a) }

// queueAssignment queues a committed start for its agent.
func (l *leader) queueAssignment(s Start, sequence int64) {
	session, found := l.sessions[s.Worker]
	t := l.state.Task(s.attempt().Task)
	if !found || t == nil || t.State != structs.TaskAssigned || t.Number != s.Number {
		return // an end in the same batch has superseded the start
	}
	if len(session.outbox.assignments) == 0 || sequence < session.outbox.minHeartbeatSeq {
		session.outbox.minHeartbeatSeq = sequence
	}
	job := t.Job()
	session.outbox.assignments = append(session.outbox.assignments, &daisywallpb.Assignment{
		Attempt: api.FromAttempt(t.Attempt()), Incarnation: t.Incarnation, Class: job.Class, Program: job.Program,
		Input: job.Input, Checkpoint: t.Checkpoint, Resources: api.FromResources(job.Resources), Kind: string(job.Kind),
	})
	l.deliver(session)
}

// deliver sends the outbox of a worker. At most one request to a worker is in
// flight.
func (l *leader) deliver(session *workerSession) {
	b := &session.outbox
	// A worker without an accepted heartbeat has no known address. Its first
	// accepted heartbeat triggers the delivery.
	if b.requestInFlight || l.ended || session.worker.Address == "" || len(b.assignments)+len(b.actions) == 0 {
		return
	}
	req := &daisywallpb.AssignRequest{
		Cell: string(l.cell), Epoch: l.epoch, HeartbeatSeq: b.minHeartbeatSeq,
		Assignments: b.assignments, Actions: b.actions,
	}
	*b = outbox{requestInFlight: true}
	address := session.worker.Address
	l.background.Go(func() { l.sendRequest(session, address, req) })
}

func (l *leader) sendRequest(session *workerSession, address string, req *daisywallpb.AssignRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), l.options.Timing.CallTimeout)
	defer cancel()
	resp, err := l.options.Assign(ctx, address, req)
	l.mu.Lock()
	defer l.mu.Unlock()
	session.outbox.requestInFlight = false
	if err != nil {
		// The worker's heartbeats show which assignments have arrived.
		l.options.Log.Debug("assignment request failed", zap.String("worker", string(session.worker.ID)), zap.Error(err))
	}
	for _, r := range resp.GetRejections() {
		id := api.ToAttempt(r.GetAttempt())
		if structs.Reason(r.GetReason()) == structs.ReasonDuplicate || !l.isAssigned(id) {
			continue
		}
		count(l.metrics.rejections, 1)
		session.lastRejectionAt = time.Now()
		l.queueEnd(structs.AttemptEnd{
			Attempt: id, Cause: structs.EndNotStarted, Detail: r.GetReason() + ": " + r.GetDetail(),
		})
	}
	l.deliver(session)
}
