package worker

import (
	"context"
	"errors"
	"sync"

	"golang.org/x/sync/errgroup"

	"github.com/daisywall/daisywall/api"
	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

const (
	// maxStartCalls bounds the calls of a start whose outcome stays unknown.
	maxStartCalls = 3
	// maxParallelCalls bounds the concurrent runtime calls of one request.
	maxParallelCalls = 8
)

// Assign performs the starts and actions that a leader has committed. It returns
// once every start has been accepted or rejected, or its outcome is unknown.
// Heartbeats report unknown outcomes, the effect of actions and how runs end.
func (a *Agent) Assign(ctx context.Context, req *daisywallpb.AssignRequest) (*daisywallpb.AssignResponse, error) {
	specs, rejections := a.admit(req)
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(maxParallelCalls)
	for _, spec := range specs {
		group.Go(func() error {
			if refused := a.startRun(ctx, spec); refused != nil {
				mu.Lock()
				defer mu.Unlock()
				rejections = append(rejections, newRejection(spec.Attempt, refused))
			}
			return nil
		})
	}
	if a.acceptsActions(req) {
		for _, action := range req.GetActions() {
			group.Go(func() error {
				a.performAction(ctx, action)
				return nil
			})
		}
	}
	err := group.Wait()
	a.metrics.countRejections(ctx, rejections)
	return &daisywallpb.AssignResponse{Rejections: rejections}, err
}

func (a *Agent) acceptsActions(req *daisywallpb.AssignRequest) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.isFromCurrentLeader(req)
}

// isFromCurrentLeader reports whether the request is for this worker's cell and
// its epoch is not older than the highest seen. The caller holds a.mu.
func (a *Agent) isFromCurrentLeader(req *daisywallpb.AssignRequest) bool {
	return req.GetEpoch() >= a.epoch && req.GetCell() == string(a.options.Worker.Cell)
}

// admit reserves capacity for the assignments that may start and rejects the
// others. It returns neither a start nor a rejection for an attempt that has
// been admitted before.
func (a *Agent) admit(req *daisywallpb.AssignRequest) ([]substrate.StartSpec, []*daisywallpb.Rejection) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var specs []substrate.StartSpec
	var rejections []*daisywallpb.Rejection
	fromCurrentLeader := a.isFromCurrentLeader(req)
	refused := a.checkRequest(req)
	for _, assignment := range req.GetAssignments() {
		attempt := api.ToAttempt(assignment.GetAttempt())
		if a.ledger.isAdmitted(attempt) {
			continue
		}
		spec, err := a.admitAssignment(assignment, req.GetHeartbeatSeq(), refused)
		if err == nil {
			specs = append(specs, spec)
			continue
		}
		rejections = append(rejections, newRejection(attempt, err))
		if fromCurrentLeader {
			// The leader may start the task elsewhere after a rejection, so the
			// attempt must never start here.
			a.ledger.close(attempt, err.Reason, err.Detail)
		}
	}
	return specs, rejections
}

// checkRequest returns the refusal of the request as a whole, nil if its
// assignments may be admitted. It raises the highest epoch seen.
func (a *Agent) checkRequest(req *daisywallpb.AssignRequest) *structs.RefusedError {
	switch {
	case req.GetCell() != string(a.options.Worker.Cell):
		return newRefusal(structs.ReasonNotLeader, "this worker is in %s", a.options.Worker.Cell)
	case !a.observeEpoch(req.GetEpoch()):
		return newRefusal(structs.ReasonStaleEpoch, "epoch %d has been seen", a.epoch)
	case !a.running:
		return newRefusal(structs.ReasonShuttingDown, "the agent is not running")
	case a.leaving:
		return newRefusal(structs.ReasonLeaving, "the worker is leaving")
	case !a.ledger.isAdmitting():
		return newRefusal(structs.ReasonStaleGrant, "the agent has just started")
	}
	return nil
}

// admitAssignment reserves capacity for one assignment or returns its refusal.
// refused is the refusal of the whole request, nil if there is none.
func (a *Agent) admitAssignment(assignment *daisywallpb.Assignment, sequence int64, refused *structs.RefusedError) (substrate.StartSpec, *structs.RefusedError) {
	var spec substrate.StartSpec
	if refused != nil {
		return spec, refused
	}
	if assignment.GetIncarnation() != a.ledger.incarnation {
		return spec, newRefusal(structs.ReasonIncarnation, "incarnation is %s", a.ledger.incarnation)
	}
	kind := structs.WorkKind(assignment.GetKind())
	reading, found := a.readings.find(sequence)
	if !found || a.leaseTerms.forKind(kind) <= 0 {
		return spec, newRefusal(structs.ReasonStaleGrant, "heartbeat %d grants nothing", sequence)
	}
	spec = substrate.StartSpec{
		Incarnation: reading.incarnation,
		Attempt:     api.ToAttempt(assignment.GetAttempt()),
		Class:       assignment.GetClass(),
		Kind:        kind,
		Program:     assignment.GetProgram(),
		Input:       assignment.GetInput(),
		Checkpoint:  assignment.GetCheckpoint(),
		Resources:   api.ToResources(assignment.GetResources()),
		NotAfter:    reading.clock.Add(a.options.StartGrant),
		LeaseUntil:  reading.clock.Add(a.leaseTerms.forKind(kind)),
	}
	return spec, a.ledger.reserve(spec.Attempt, spec.Resources, spec.NotAfter)
}

// startRun sends a start to the runtime and records its outcome in the ledger. It
// continues when the leader's call ends.
func (a *Agent) startRun(ctx context.Context, spec substrate.StartSpec) *structs.RefusedError {
	ctx = context.WithoutCancel(ctx)
	err := a.sendStartWithRetry(ctx, spec)
	a.mu.Lock()
	defer a.mu.Unlock()
	var refused *structs.RefusedError
	var unavailable *structs.UnavailableError
	switch {
	case err == nil:
		a.metrics.countStart(ctx)
		a.ledger.settleStart(spec.Attempt, initialRun(spec), true)
		return nil
	case errors.As(err, &refused):
	case errors.As(err, &unavailable):
		refused = newRefusal(structs.ReasonUnreachable, "%v", err)
	default:
		a.ledger.settleStart(spec.Attempt, substrate.Run{}, false)
		return nil
	}
	a.ledger.close(spec.Attempt, refused.Reason, refused.Detail)
	return refused
}

// sendStartWithRetry sends a start and repeats it while its outcome is unknown.
// An outcome stays unknown when the runtime is unavailable for the later calls,
// since the first call may have taken effect.
func (a *Agent) sendStartWithRetry(ctx context.Context, spec substrate.StartSpec) error {
	var outcome error
	for range maxStartCalls {
		_, err := callWithTimeout(ctx, a, func(ctx context.Context) (struct{}, error) {
			return struct{}{}, a.options.Runtime.Start(ctx, spec)
		})
		var refused *structs.RefusedError
		if err == nil || errors.As(err, &refused) {
			return err
		}
		var unavailable *structs.UnavailableError
		if outcome == nil && errors.As(err, &unavailable) {
			return err
		}
		if outcome == nil {
			outcome = err
		}
	}
	return outcome
}

// initialRun returns the record of a started run that the ledger holds until the
// next snapshot.
func initialRun(spec substrate.StartSpec) substrate.Run {
	return substrate.Run{
		Attempt:    spec.Attempt,
		State:      substrate.RunRunning,
		Checkpoint: spec.Checkpoint,
		Resources:  spec.Resources,
		Class:      spec.Class,
		Kind:       spec.Kind,
		LeaseUntil: spec.LeaseUntil,
	}
}

func newRejection(attempt structs.AttemptID, e *structs.RefusedError) *daisywallpb.Rejection {
	return &daisywallpb.Rejection{Attempt: api.FromAttempt(attempt), Reason: string(e.Reason), Detail: e.Detail}
}
