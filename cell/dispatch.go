package cell

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/daisywall/daisywall/api"
	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/structs"
)

// outbox holds what waits to be delivered to one agent. Each assignment is
// sent once and never again: a copy that arrived after a rejection could start
// an attempt that has ended.
type outbox struct {
	sending     bool
	sequence    int64 // lowest heartbeat that the assignments rest on
	assignments []*daisywallpb.Assignment
	actions     []*daisywallpb.Action
}

func (b *outbox) add(a *daisywallpb.Action) { b.actions = append(b.actions, a) }

// assign queues a committed start for its agent.
func (l *leader) assign(s Start, sequence int64) {
	v, found := l.views[s.Worker]
	t := l.state.Task(s.attempt().Task)
	if !found || t == nil || t.State != structs.TaskAssigned || t.Number != s.Number {
		return // an end in the same batch has made the start void
	}
	if len(v.outbox.assignments) == 0 || sequence < v.outbox.sequence {
		v.outbox.sequence = sequence
	}
	job := t.Job()
	v.outbox.assignments = append(v.outbox.assignments, &daisywallpb.Assignment{
		Attempt: api.FromAttempt(t.Attempt()), Incarnation: t.Incarnation, Class: job.Class, Program: job.Program,
		Input: job.Input, Checkpoint: t.Checkpoint, Resources: api.FromResources(job.Resources), Kind: string(job.Kind),
	})
	l.deliver(v)
}

// deliver sends the outbox of a worker, one request at a time.
func (l *leader) deliver(v *view) {
	b := &v.outbox
	// A worker that has not described itself yet has no address; its first
	// heartbeat delivers what waits.
	if b.sending || l.over || v.worker.Address == "" || len(b.assignments)+len(b.actions) == 0 {
		return
	}
	req := &daisywallpb.AssignRequest{
		Cell: string(l.cell), Epoch: l.epoch, HeartbeatSeq: b.sequence,
		Assignments: b.assignments, Actions: b.actions,
	}
	*b = outbox{sending: true}
	address := v.worker.Address
	l.sends.Go(func() { l.send(v, address, req) })
}

func (l *leader) send(v *view, address string, req *daisywallpb.AssignRequest) {
	ctx, cancel := context.WithTimeout(context.Background(), l.o.Timing.Call)
	defer cancel()
	resp, err := l.o.Assign(ctx, address, req)
	l.mu.Lock()
	defer l.mu.Unlock()
	v.outbox.sending = false
	if err != nil {
		// The worker's heartbeats tell what became of the assignments.
		l.o.Log.Debug("assign", zap.String("worker", string(v.worker.ID)), zap.Error(err))
	}
	for _, r := range resp.GetRejections() {
		id := api.ToAttempt(r.GetAttempt())
		if structs.Reason(r.GetReason()) == structs.ReasonDuplicate || !l.isAssigned(id) {
			continue
		}
		count(l.metrics.rejections, 1)
		v.rejected = time.Now()
		l.queueEnd(structs.AttemptEnd{
			Attempt: id, Cause: structs.EndNotStarted, Detail: r.GetReason() + ": " + r.GetDetail(),
		})
	}
	l.deliver(v)
}
