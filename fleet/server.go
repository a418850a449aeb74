package fleet

import (
	"context"
	"encoding/json"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/daisywall/daisywall/api/fleetpb"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/workflow"
)

// orderQueue is the number of orders that may wait for a slow agent. Its
// session ends when there are more.
const orderQueue = 64

// session is the leader's side of one agent's stream.
type session struct {
	orders chan *fleetpb.WorkerOrders
	closed chan struct{}
	once   sync.Once
	// The leader's loop owns these.
	worker *worker
	fence  int64
	number int64
}

func newSession() *session {
	return &session{orders: make(chan *fleetpb.WorkerOrders, orderQueue), closed: make(chan struct{})}
}

func (s *session) close() { s.once.Do(func() { close(s.closed) }) }

// send queues orders. It reports false when the agent is too slow.
func (s *session) send(o *fleetpb.WorkerOrders) bool {
	select {
	case s.orders <- o:
		return true
	default:
		return false
	}
}

// Attend implements fleetpb.FleetServer.
func (n *Node) Attend(stream fleetpb.Fleet_AttendServer) error {
	l := n.leading()
	if l == nil {
		return status.Error(codes.FailedPrecondition, "not the leader")
	}
	first, err := stream.Recv()
	if err != nil {
		return err
	}
	if first.GetHello() == nil {
		return status.Error(codes.InvalidArgument, "the first report has no hello")
	}
	s := newSession()
	defer s.close()
	if !l.do(stream.Context(), func() { l.attach(s, first.GetHello()) }) {
		return status.Error(codes.FailedPrecondition, "not the leader")
	}
	received := make(chan error, 1)
	go func() { received <- l.receive(stream, s) }()
	for {
		select {
		case orders := <-s.orders:
			if err := stream.Send(orders); err != nil {
				l.do(context.WithoutCancel(stream.Context()), func() { l.detached(s, err) })
				return err
			}
		case err := <-received:
			l.do(context.WithoutCancel(stream.Context()), func() { l.detached(s, err) })
			return err
		case <-s.closed:
			return status.Error(codes.Aborted, "the session was replaced")
		case <-l.done:
			return status.Error(codes.FailedPrecondition, "no longer the leader")
		}
	}
}

// receive hands the reports of a stream to the leader until it ends.
func (l *leader) receive(stream fleetpb.Fleet_AttendServer, s *session) error {
	for {
		report, err := stream.Recv()
		if err != nil {
			return err
		}
		if !l.do(stream.Context(), func() { l.report(s, report) }) {
			return status.Error(codes.FailedPrecondition, "not the leader")
		}
	}
}

// Submit implements fleetpb.FleetServer.
func (n *Node) Submit(ctx context.Context, req *fleetpb.SubmitRequest) (*fleetpb.SubmitResponse, error) {
	var spec structs.StepJob
	var queue structs.Queue
	if err := json.Unmarshal(req.GetJob(), &spec); err != nil {
		return nil, status.Errorf(codes.InvalidArgument, "job: %v", err)
	}
	if err := json.Unmarshal(req.GetQueue(), &queue); err != nil {
		return nil, status.Errorf(codes.InvalidArgument, "queue: %v", err)
	}
	if err := workflow.Validate(&spec); err != nil {
		return nil, status.Errorf(codes.InvalidArgument, "%v", err)
	}
	outcome, leader := n.decide(ctx, func(l *leader, answer func(fleetpb.Outcome)) { l.submit(spec, queue, answer) })
	return &fleetpb.SubmitResponse{Outcome: outcome, Leader: leader}, nil
}

// Cancel implements fleetpb.FleetServer.
func (n *Node) Cancel(ctx context.Context, req *fleetpb.CancelRequest) (*fleetpb.CancelResponse, error) {
	outcome, leader := n.decide(ctx, func(l *leader, answer func(fleetpb.Outcome)) {
		l.cancel(structs.JobID(req.GetJob()), structs.QueueID(req.GetQueue()), answer)
	})
	return &fleetpb.CancelResponse{Outcome: outcome, Leader: leader}, nil
}

// decide runs a decision in the leader's loop and waits for its outcome.
func (n *Node) decide(ctx context.Context, f func(l *leader, answer func(fleetpb.Outcome))) (fleetpb.Outcome, string) {
	l := n.leading()
	if l == nil {
		return fleetpb.Outcome_NOT_LEADER, n.leaderAddress()
	}
	answers := make(chan fleetpb.Outcome, 1)
	answer := func(o fleetpb.Outcome) {
		select {
		case answers <- o:
		default: // answered already
		}
	}
	if !l.do(ctx, func() { f(l, answer) }) {
		return fleetpb.Outcome_UNKNOWN, ""
	}
	select {
	case o := <-answers:
		return o, ""
	case <-ctx.Done():
		return fleetpb.Outcome_UNKNOWN, ""
	case <-l.done:
		return fleetpb.Outcome_UNKNOWN, ""
	}
}

// submit accepts a job. Repeats of a known job are answered once it is stored.
func (l *leader) submit(spec structs.StepJob, queue structs.Queue, answer func(fleetpb.Outcome)) {
	done := func() { answer(fleetpb.Outcome_DONE) }
	lost := func() { answer(fleetpb.Outcome_UNKNOWN) }
	if j, found := l.jobs[spec.ID]; found {
		switch {
		case j.stored:
			done()
		default:
			l.touch(j, done, lost)
		}
		return
	}
	if l.stalled() {
		l.log.Info("job refused: the store does not answer", zap.String("job", string(spec.ID)), zap.Duration("since_commit", l.o.Clock().Sub(l.confirmed)))
		answer(fleetpb.Outcome_REFUSED)
		return
	}
	j := &job{Job: workflow.New(spec, queue)}
	l.add(j)
	l.log.Info("job accepted", zap.String("job", string(spec.ID)), zap.String("queue", string(spec.Queue)),
		zap.Int("steps", len(spec.Steps)), zap.Int("open_jobs", len(l.order)))
	l.metrics.count(l.metrics.accepted, string(spec.Queue))
	j.refuse = func() { answer(fleetpb.Outcome_REFUSED) }
	l.touch(j, done, lost)
}

// stalled reports whether the commit in flight takes so long that nothing new
// should wait for it.
func (l *leader) stalled() bool {
	return l.inFlight && l.o.Clock().Sub(l.began) > stallAfter
}

// refuseUnsent refuses the jobs that no commit has carried yet.
func (l *leader) refuseUnsent() {
	l.dirty = slices.DeleteFunc(l.dirty, func(j *job) bool {
		if j.sent || j.stored || j.refuse == nil {
			return false
		}
		l.log.Info("job refused: the store does not answer", zap.String("job", string(j.Spec.ID)), zap.Duration("since_commit", l.o.Clock().Sub(l.confirmed)))
		j.refuse()
		delete(l.jobs, j.Spec.ID)
		return true
	})
	l.order = slices.DeleteFunc(l.order, func(j *job) bool { return l.jobs[j.Spec.ID] != j })
}

// cancel cancels a job. It is answered once that is stored.
func (l *leader) cancel(id structs.JobID, queue structs.QueueID, answer func(fleetpb.Outcome)) {
	j, found := l.jobs[id]
	if !found || j.Spec.Queue != queue {
		answer(fleetpb.Outcome_NOT_FOUND)
		return
	}
	if l.stalled() {
		answer(fleetpb.Outcome_REFUSED)
		return
	}
	if !j.Phase().Final() {
		j.Cancelled = true
		l.log.Info("job cancelled", zap.String("job", string(id)), zap.String("phase", string(j.shown)))
		l.stopAll(j)
	}
	l.touch(j, func() { answer(fleetpb.Outcome_DONE) }, func() { answer(fleetpb.Outcome_UNKNOWN) })
}

// maxWaitingAge bounds the age of the state from which waiting jobs are counted.
const maxWaitingAge = 1500 * time.Millisecond // the platform allows 2 s

// Phase implements fleetpb.FleetServer.
func (n *Node) Phase(ctx context.Context, req *fleetpb.PhaseRequest) (*fleetpb.PhaseResponse, error) {
	l := n.leading()
	resp := &fleetpb.PhaseResponse{Outcome: fleetpb.Outcome_NOT_LEADER, Leader: n.leaderAddress()}
	if l == nil {
		return resp, nil
	}
	l.do(ctx, func() {
		resp = &fleetpb.PhaseResponse{Outcome: fleetpb.Outcome_NOT_FOUND}
		j, found := l.jobs[structs.JobID(req.GetJob())]
		if found && j.stored && string(j.Spec.Queue) == req.GetQueue() {
			resp = &fleetpb.PhaseResponse{Outcome: fleetpb.Outcome_DONE, Phase: string(j.shown)}
		}
	})
	return resp, nil
}

// Waiting implements fleetpb.FleetServer.
func (n *Node) Waiting(ctx context.Context, req *fleetpb.WaitingRequest) (*fleetpb.WaitingResponse, error) {
	l := n.leading()
	resp := &fleetpb.WaitingResponse{Outcome: fleetpb.Outcome_NOT_LEADER, Leader: n.leaderAddress()}
	if l == nil {
		return resp, nil
	}
	l.do(ctx, func() {
		if l.o.Clock().Sub(l.confirmed) > maxWaitingAge {
			resp = &fleetpb.WaitingResponse{Outcome: fleetpb.Outcome_UNKNOWN}
			return
		}
		waiting := int64(0)
		for _, j := range l.order {
			if j.stored && string(j.Spec.Queue) == req.GetQueue() && j.shown == structs.JobQueued {
				waiting++
			}
		}
		resp = &fleetpb.WaitingResponse{Outcome: fleetpb.Outcome_DONE, Waiting: waiting}
	})
	return resp, nil
}
