package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"slices"
	"sync"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"github.com/daisywall/daisywall/api/fleetpb"
	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/workflow"
)

// orderQueueSize is the number of orders that are queued for an agent that
// reads slowly. The leader ends the session when the queue is full.
const orderQueueSize = 64

// session is the leader's side of the stream with one agent.
type session struct {
	orders    chan *fleetpb.WorkerOrders
	closed    chan struct{}
	closeOnce sync.Once
	// The leader's loop owns the fields below.
	worker          *worker
	fencingToken    int64
	lastOrderNumber int64
	unconfirmed     []sentOrders // in order of their numbers
}

func newSession() *session {
	return &session{orders: make(chan *fleetpb.WorkerOrders, orderQueueSize), closed: make(chan struct{})}
}

func (s *session) close() { s.closeOnce.Do(func() { close(s.closed) }) }

// send queues orders. It returns false when the queue is full.
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
	l := n.awaitLeader(stream.Context())
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
	if !l.runInLoop(stream.Context(), func() { l.attachSession(s, first.GetHello()) }) {
		return status.Error(codes.FailedPrecondition, "not the leader")
	}
	received := make(chan error, 1)
	go func() { received <- l.receiveReports(stream, s) }()
	for {
		select {
		case orders := <-s.orders:
			if err := stream.Send(orders); err != nil {
				l.runInLoop(context.WithoutCancel(stream.Context()), func() { l.detachSession(s, err) })
				return err
			}
		case err := <-received:
			l.runInLoop(context.WithoutCancel(stream.Context()), func() { l.detachSession(s, err) })
			return err
		case <-s.closed:
			return status.Error(codes.Aborted, "the session was replaced")
		case <-l.done:
			return status.Error(codes.FailedPrecondition, "no longer the leader")
		}
	}
}

// receiveReports passes the reports of the stream to the leader's loop until
// the stream or the leadership ends.
func (l *leader) receiveReports(stream fleetpb.Fleet_AttendServer, s *session) error {
	for {
		report, err := stream.Recv()
		if err != nil {
			return err
		}
		if !l.runInLoop(stream.Context(), func() { l.handleReport(s, report) }) {
			return status.Error(codes.FailedPrecondition, "not the leader")
		}
	}
}

// specOverhead is the size of the record of a job beside its specification and its queue.
const specOverhead = 64

// checkSpecSize returns *structs.InvalidError if the record of the job does not fit into
// one row. The record contains the specification and the queue as they are submitted.
func checkSpecSize(req *fleetpb.SubmitRequest, maxBytes int) error {
	size := len(req.GetJob()) + len(req.GetQueue()) + specOverhead
	if size <= maxBytes {
		return nil
	}
	return &structs.InvalidError{Subject: "job", Faults: []structs.Fault{{
		Path: "/", Value: fmt.Sprintf("%d bytes", size), Rule: fmt.Sprintf("must have at most %d bytes as stored", maxBytes),
	}}}
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
	if err := checkSpecSize(req, n.o.rowBytes()); err != nil {
		return nil, status.Errorf(codes.InvalidArgument, "%v", err)
	}
	token := submissionToken(ctx)
	if size := int64(len(req.GetJob())); n.o.JobBytes > 0 {
		if !n.submissions.TryAcquire(size) {
			return n.refuseSubmission(ctx, token)
		}
		defer n.submissions.Release(size)
	}
	var retryAfter time.Duration
	outcome, leaderAddress := n.runOnLeader(ctx, func(l *leader, answer func(fleetpb.Outcome)) {
		// A leader between the refusal and this leadership may have accepted a later
		// attempt, and then the job is found.
		if _, found := l.jobs[spec.ID]; !found && n.refused.contains(token) {
			answer(fleetpb.Outcome_REFUSED)
			return
		}
		decide := func(o fleetpb.Outcome) {
			if o == fleetpb.Outcome_REFUSED {
				n.refused.add(token)
			}
			answer(o)
		}
		if after := l.submit(spec, queue, decide); after > 0 {
			retryAfter = after
			decide(fleetpb.Outcome_REFUSED)
		}
	})
	if outcome == fleetpb.Outcome_REFUSED { // retryAfter was set before the answer
		if err := describeRefusal(ctx, token, retryAfter); err != nil {
			n.o.Log.Debug("refusal not described", zap.Error(err))
		}
	}
	return &fleetpb.SubmitResponse{Outcome: outcome, Leader: leaderAddress}, nil
}

// Cancel implements fleetpb.FleetServer.
func (n *Node) Cancel(ctx context.Context, req *fleetpb.CancelRequest) (*fleetpb.CancelResponse, error) {
	outcome, leader := n.runOnLeader(ctx, func(l *leader, answer func(fleetpb.Outcome)) {
		l.cancel(structs.JobID(req.GetJob()), structs.QueueID(req.GetQueue()), answer)
	})
	return &fleetpb.CancelResponse{Outcome: outcome, Leader: leader}, nil
}

// runOnLeader runs f in the leader's loop and returns the outcome that f passes
// to answer. It returns NOT_LEADER and the last known leader's address when
// this node is not the leader that the call is meant for.
func (n *Node) runOnLeader(ctx context.Context, f func(l *leader, answer func(fleetpb.Outcome))) (fleetpb.Outcome, string) {
	l, leaderAddress := n.leaderOf(ctx)
	if l == nil {
		return fleetpb.Outcome_NOT_LEADER, leaderAddress
	}
	answers := make(chan fleetpb.Outcome, 1)
	answer := func(o fleetpb.Outcome) {
		select {
		case answers <- o:
		default: // only the first answer counts
		}
	}
	switch l.callLoop(ctx, func() { f(l, answer) }) {
	case callNotRun:
		return fleetpb.Outcome_NOT_LEADER, n.describeLeader(ctx)
	case callUnknown:
		return fleetpb.Outcome_UNKNOWN, ""
	}
	select {
	case o := <-answers:
		return o, ""
	case <-ctx.Done():
	case <-l.done:
	}
	select {
	case o := <-answers: // shutDown has answered
		return o, ""
	default:
		return fleetpb.Outcome_UNKNOWN, ""
	}
}

// submit accepts a job and answers once the job is stored. A repeated
// submission of an accepted job does not change it, and gets the same answer.
//
// A job that is refused because of overload is not answered. The time after which
// its caller should come back is returned, else 0.
func (l *leader) submit(spec structs.StepJob, queue structs.Queue, answer func(fleetpb.Outcome)) (retryAfter time.Duration) {
	answerStored := func() { answer(fleetpb.Outcome_DONE) }
	answerUnknown := func() { answer(fleetpb.Outcome_UNKNOWN) }
	if j, found := l.jobs[spec.ID]; found {
		switch {
		case j.stored:
			answerStored()
		default:
			if refuseOthers := j.refuse; refuseOthers != nil {
				j.refuse = func(o fleetpb.Outcome) { refuseOthers(o); answer(o) }
			}
			l.markDirty(j, answerStored, answerUnknown)
		}
		return 0
	}
	if l.commitStalled() {
		l.log.Info("job refused: the store does not answer", zap.String("job", string(spec.ID)), zap.Duration("since_commit", l.o.Clock().Sub(l.lastCommitSentAt)))
		l.metrics.count(l.metrics.refusedJobs, "store")
		answer(fleetpb.Outcome_REFUSED)
		return 0
	}
	if !l.hasMemoryFor(&spec) {
		return memoryRetryAfter
	}
	j := &job{Job: workflow.New(spec, queue)}
	retryAfter, refused, hasReturned := l.refuseHopeless(j.Job, queue)
	if refused {
		return retryAfter
	}
	j.hasReturned = hasReturned
	l.predictEnd(j)
	l.addJob(j)
	l.log.Info("job accepted", zap.String("job", string(spec.ID)), zap.String("queue", string(spec.Queue)),
		zap.Int("steps", len(spec.Steps)), zap.Bool("long_running", spec.LongRunning()), zap.Int("open_jobs", len(l.openJobs)))
	l.metrics.count(l.metrics.accepted, string(spec.Queue))
	j.refuse = answer
	l.markDirty(j, answerStored, answerUnknown)
	return 0
}

// commitStalled reports whether the commit has taken so long that new requests are
// refused instead of waiting for it.
func (l *leader) commitStalled() bool { return l.commitTakes(commitStallAfter) }

// refuseUncommittedJobs refuses and removes the jobs that no commit has
// contained yet, other than withdrawn ones, with their runs, which were not ordered.
// A job may have runs if it did not fit into the commit in flight.
func (l *leader) refuseUncommittedJobs() {
	l.dirtyJobs = slices.DeleteFunc(l.dirtyJobs, func(j *job) bool {
		if j.acceptanceSent || j.stored || j.refuse == nil {
			return false
		}
		l.log.Info("job refused: the store does not answer", zap.String("job", string(j.Spec.ID)), zap.Duration("since_commit", l.o.Clock().Sub(l.lastCommitSentAt)))
		l.metrics.count(l.metrics.refusedJobs, "store")
		l.refuseUnstored(j)
		return true
	})
	l.removeRefusedJobs()
}

// refuseUnstored refuses a job that no commit has contained. The caller removes the
// job from the dirty jobs, and then calls removeRefusedJobs.
func (l *leader) refuseUnstored(j *job) {
	j.refuse(fleetpb.Outcome_REFUSED)
	l.removeFromBacklog(j)
	l.forgetJob(j)
}

// removeRefusedJobs removes the refused jobs from the open ones, and their runs,
// which were not ordered.
func (l *leader) removeRefusedJobs() {
	before := len(l.openJobs)
	l.openJobs = slices.DeleteFunc(l.openJobs, func(j *job) bool { return l.jobs[j.Spec.ID] != j })
	if len(l.openJobs) == before {
		return
	}
	l.changedJobs = slices.DeleteFunc(l.changedJobs, func(j *job) bool { return l.jobs[j.Spec.ID] != j })
	// A cancelled job may be among the finished ones. Its rows would be removed with
	// those of a later job of the same ID.
	l.finishedJobs = slices.DeleteFunc(l.finishedJobs, func(j *job) bool { return l.jobs[j.Spec.ID] != j })
	for _, w := range l.workers {
		for _, r := range w.sortedRuns() {
			if !r.job.stored && !r.job.acceptanceSent && l.jobs[r.job.Spec.ID] != r.job {
				l.finishRelease(w, r, "job refused", "", false)
			}
		}
	}
}

// cancel cancels a job and answers once the cancellation is stored.
func (l *leader) cancel(id structs.JobID, queue structs.QueueID, answer func(fleetpb.Outcome)) {
	j, found := l.jobs[id]
	if !found || j.Spec.Queue != queue {
		answer(fleetpb.Outcome_NOT_FOUND)
		return
	}
	if l.commitStalled() {
		answer(fleetpb.Outcome_REFUSED)
		return
	}
	if !j.Phase().Final() {
		j.Cancelled = true
		l.log.Info("job cancelled", zap.String("job", string(id)), zap.String("phase", string(j.storedPhase)))
		l.stopRunsOfJob(j)
	}
	l.markDirty(j, func() { answer(fleetpb.Outcome_DONE) }, func() { answer(fleetpb.Outcome_UNKNOWN) })
}

// maxWaitingCountAge is the longest time since the last stored commit at which
// the leader still answers with the number of waiting jobs.
const maxWaitingCountAge = 1500 * time.Millisecond // the platform allows answers that are 2 s old

// Phase implements fleetpb.FleetServer.
func (n *Node) Phase(ctx context.Context, req *fleetpb.PhaseRequest) (*fleetpb.PhaseResponse, error) {
	l, leaderAddress := n.leaderOf(ctx)
	resp := &fleetpb.PhaseResponse{Outcome: fleetpb.Outcome_NOT_LEADER, Leader: leaderAddress}
	if l == nil {
		return resp, nil
	}
	l.runInLoop(ctx, func() {
		resp = &fleetpb.PhaseResponse{Outcome: fleetpb.Outcome_NOT_FOUND}
		j, found := l.jobs[structs.JobID(req.GetJob())]
		if found && j.stored && string(j.Spec.Queue) == req.GetQueue() {
			resp = &fleetpb.PhaseResponse{Outcome: fleetpb.Outcome_DONE, Phase: string(j.storedPhase)}
		}
	})
	return resp, nil
}

// Waiting implements fleetpb.FleetServer.
func (n *Node) Waiting(ctx context.Context, req *fleetpb.WaitingRequest) (*fleetpb.WaitingResponse, error) {
	l, leaderAddress := n.leaderOf(ctx)
	resp := &fleetpb.WaitingResponse{Outcome: fleetpb.Outcome_NOT_LEADER, Leader: leaderAddress}
	if l == nil {
		return resp, nil
	}
	l.runInLoop(ctx, func() {
		if l.o.Clock().Sub(l.lastCommitSentAt) > maxWaitingCountAge {
			resp = &fleetpb.WaitingResponse{Outcome: fleetpb.Outcome_UNKNOWN}
			return
		}
		resp = &fleetpb.WaitingResponse{Outcome: fleetpb.Outcome_DONE, Waiting: l.waitingJobs()[structs.QueueID(req.GetQueue())]}
	})
	return resp, nil
}

// waitingJobs returns the numbers of accepted jobs by queue of which no task has started.
func (l *leader) waitingJobs() map[structs.QueueID]int64 {
	waiting := map[structs.QueueID]int64{}
	for _, j := range l.openJobs {
		if j.stored && j.IsWaiting() {
			waiting[j.Spec.Queue]++
		}
	}
	return waiting
}

// waitingInterval is the time between two records of the numbers of waiting jobs.
const waitingInterval = time.Second

// recordWaitingJobs updates the metric of the waiting jobs.
func (l *leader) recordWaitingJobs(now bootclock.Time) {
	if now.Sub(l.waitingRecordedAt) < waitingInterval {
		return
	}
	l.waitingRecordedAt = now
	waiting := l.waitingJobs()
	for queue := range l.waitingQueues {
		l.metrics.recordWaiting(string(queue), waiting[queue])
	}
	for queue, n := range waiting {
		if _, found := l.waitingQueues[queue]; !found {
			l.metrics.recordWaiting(string(queue), n)
		}
	}
	l.waitingQueues = waiting
}
