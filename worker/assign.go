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
	// startTries is how often a start of unknown outcome is sent.
	startTries = 3
	// parallelCalls bounds the calls to the runtime of one request.
	parallelCalls = 8
)

// Assign takes committed starts and actions of a leader. It returns once every
// start has been accepted or rejected, or its outcome is unknown; heartbeats
// tell the rest.
func (a *Agent) Assign(ctx context.Context, req *daisywallpb.AssignRequest) (*daisywallpb.AssignResponse, error) {
	specs, rejections := a.admit(req)
	var mu sync.Mutex
	var group errgroup.Group
	group.SetLimit(parallelCalls)
	for _, spec := range specs {
		group.Go(func() error {
			if refused := a.start(ctx, spec); refused != nil {
				mu.Lock()
				defer mu.Unlock()
				rejections = append(rejections, rejection(spec.Attempt, refused))
			}
			return nil
		})
	}
	if a.takesActions(req) {
		for _, action := range req.GetActions() {
			group.Go(func() error {
				a.act(ctx, action)
				return nil
			})
		}
	}
	err := group.Wait()
	a.metrics.rejected(ctx, rejections)
	return &daisywallpb.AssignResponse{Rejections: rejections}, err
}

func (a *Agent) takesActions(req *daisywallpb.AssignRequest) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.isCurrent(req)
}

// isCurrent reports whether the request comes from the newest leader seen. The
// caller holds the lock.
func (a *Agent) isCurrent(req *daisywallpb.AssignRequest) bool {
	return req.GetEpoch() >= a.epoch && req.GetCell() == string(a.o.Worker.Cell)
}

// admit reserves capacity for what may start.
func (a *Agent) admit(req *daisywallpb.AssignRequest) ([]substrate.StartSpec, []*daisywallpb.Rejection) {
	a.mu.Lock()
	defer a.mu.Unlock()
	var specs []substrate.StartSpec
	var rejections []*daisywallpb.Rejection
	current := a.isCurrent(req)
	refused := a.checkRequest(req)
	for _, m := range req.GetAssignments() {
		attempt := api.ToAttempt(m.GetAttempt())
		if a.ledger.isAdmitted(attempt) {
			continue
		}
		spec, err := a.admitOne(m, req.GetHeartbeatSeq(), refused)
		if err == nil {
			specs = append(specs, spec)
			continue
		}
		rejections = append(rejections, rejection(attempt, err))
		if current {
			a.ledger.close(attempt, err.Reason, err.Detail)
		}
	}
	return specs, rejections
}

// checkRequest refuses what concerns every assignment of a request.
func (a *Agent) checkRequest(req *daisywallpb.AssignRequest) *structs.RefusedError {
	switch {
	case req.GetCell() != string(a.o.Worker.Cell):
		return refuse(structs.ReasonNotLeader, "this worker is in %s", a.o.Worker.Cell)
	case !a.raiseEpoch(req.GetEpoch()):
		return refuse(structs.ReasonStaleEpoch, "epoch %d has been seen", a.epoch)
	case !a.running:
		return refuse(structs.ReasonShuttingDown, "the agent is not running")
	case a.leaving:
		return refuse(structs.ReasonLeaving, "the worker is leaving")
	case !a.ledger.isOpen():
		return refuse(structs.ReasonStaleGrant, "the agent has just started")
	}
	return nil
}

// admitOne reserves capacity for one assignment, unless the whole request is
// refused.
func (a *Agent) admitOne(m *daisywallpb.Assignment, sequence int64, refused *structs.RefusedError) (substrate.StartSpec, *structs.RefusedError) {
	var spec substrate.StartSpec
	if refused != nil {
		return spec, refused
	}
	if m.GetIncarnation() != a.ledger.incarnation {
		return spec, refuse(structs.ReasonIncarnation, "incarnation is %s", a.ledger.incarnation)
	}
	kind := structs.WorkKind(m.GetKind())
	read, found := a.readings.find(sequence)
	if !found || a.terms.of(kind) <= 0 {
		return spec, refuse(structs.ReasonStaleGrant, "heartbeat %d grants nothing", sequence)
	}
	spec = substrate.StartSpec{
		Incarnation: read.incarnation,
		Attempt:     api.ToAttempt(m.GetAttempt()),
		Class:       m.GetClass(),
		Kind:        kind,
		Program:     m.GetProgram(),
		Input:       m.GetInput(),
		Checkpoint:  m.GetCheckpoint(),
		Resources:   api.ToResources(m.GetResources()),
		NotAfter:    read.clock.Add(a.o.StartGrant),
		LeaseUntil:  read.clock.Add(a.terms.of(kind)),
	}
	return spec, a.ledger.reserve(spec.Attempt, spec.Resources, spec.NotAfter)
}

// start sends a start to the runtime and settles it in the ledger. It goes on
// when the leader's call ends.
func (a *Agent) start(ctx context.Context, spec substrate.StartSpec) *structs.RefusedError {
	ctx = context.WithoutCancel(ctx)
	err := a.sendStart(ctx, spec)
	a.mu.Lock()
	defer a.mu.Unlock()
	var refused *structs.RefusedError
	var unavailable *structs.UnavailableError
	switch {
	case err == nil:
		a.metrics.started(ctx)
		a.ledger.started(spec.Attempt, newRun(spec), true)
		return nil
	case errors.As(err, &refused):
	case errors.As(err, &unavailable):
		refused = refuse(structs.ReasonUnreachable, "%v", err)
	default:
		a.ledger.started(spec.Attempt, substrate.Run{}, false)
		return nil
	}
	a.ledger.close(spec.Attempt, refused.Reason, refused.Detail)
	return refused
}

// sendStart repeats a start of unknown outcome. It returns the error of the
// last try, but an unknown outcome stays unknown when the runtime can no longer
// be reached.
func (a *Agent) sendStart(ctx context.Context, spec substrate.StartSpec) error {
	var outcome error
	for range startTries {
		_, err := call(ctx, a, func(ctx context.Context) (struct{}, error) {
			return struct{}{}, a.o.Runtime.Start(ctx, spec)
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

// newRun is the record of a run until the next snapshot.
func newRun(spec substrate.StartSpec) substrate.Run {
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

func rejection(attempt structs.AttemptID, e *structs.RefusedError) *daisywallpb.Rejection {
	return &daisywallpb.Rejection{Attempt: api.FromAttempt(attempt), Reason: string(e.Reason), Detail: e.Detail}
}
