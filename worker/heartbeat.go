package worker

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/daisywall/daisywall/api"
	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// maxRedirects bounds the redirects to the leader that one heartbeat follows.
const maxRedirects = 2

// runHeartbeat takes a snapshot of the runtime, reports to the leader and
// renews leases. A lease is counted from the runtime clock of the snapshot,
// which is taken before the heartbeat is sent. A delay of the heartbeat or its
// response therefore extends no lease.
func (a *Agent) runHeartbeat(ctx context.Context) error {
	a.mu.Lock()
	last := a.lastResponse
	a.mu.Unlock()
	s, err := a.syncLedger(ctx)
	if err != nil {
		return err
	}
	usage := a.changedUsage(ctx)
	req := a.newHeartbeat(s, last, usage)
	resp, err := a.sendToLeader(ctx, req)
	if err != nil {
		return err
	}
	leases, err := a.applyResponse(req, resp, s)
	if err != nil {
		return err
	}
	if resp.GetConfigRevision() > a.options.ConfigRevision() && len(resp.GetConfig()) > 0 {
		a.options.ApplyConfig(resp.GetConfigRevision(), resp.GetConfig())
	}
	return a.renewLeases(ctx, s.Incarnation, leases)
}

// newHeartbeat returns the next heartbeat and stores the clock reading on which
// the leases and start grants of this heartbeat are based.
func (a *Agent) newHeartbeat(s substrate.Snapshot, lastResponse responseID, usage []*daisywallpb.UsageReport) *daisywallpb.HeartbeatRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sequence++
	a.readings.add(clockReading{sequence: a.sequence, incarnation: s.Incarnation, clock: s.Now})
	return &daisywallpb.HeartbeatRequest{
		Cell:           string(a.options.Worker.Cell),
		Worker:         string(a.options.Worker.ID),
		FailureDomain:  string(a.options.Worker.FailureDomain),
		Rack:           a.options.Worker.Rack,
		Address:        a.options.Worker.Address,
		Incarnation:    s.Incarnation,
		Sequence:       a.sequence,
		Capacity:       api.FromResources(a.options.Worker.Capacity),
		Full:           a.needsFullReport,
		Runs:           a.ackedRuns.compose(a.ledger, a.needsFullReport),
		Usage:          usage,
		ConfigRevision: a.options.ConfigRevision(),
		Leaving:        a.leaving,
		Reply:          lastResponse.number,
		ReplyEpoch:     lastResponse.epoch,
	}
}

// sendToLeader sends a heartbeat to the known leader, or to the leader that
// LeaderFinder returns if none is known. It follows redirects.
func (a *Agent) sendToLeader(ctx context.Context, req *daisywallpb.HeartbeatRequest) (*daisywallpb.HeartbeatResponse, error) {
	address, err := a.findLeader(ctx)
	if err != nil {
		return nil, err
	}
	for range maxRedirects + 1 {
		resp, err := callWithTimeout(ctx, a, func(ctx context.Context) (*daisywallpb.HeartbeatResponse, error) {
			return a.options.Heartbeat(ctx, address, req)
		})
		if err != nil {
			a.setLeader("")
			return nil, err
		}
		if !resp.GetNotLeader() {
			a.setLeader(address)
			return resp, nil
		}
		if address = resp.GetLeaderAddress(); address == "" {
			break
		}
	}
	a.setLeader("")
	return nil, &structs.RefusedError{Subject: "heartbeat", Reason: structs.ReasonNotLeader, Detail: "no leader of " + string(a.options.Worker.Cell)}
}

func (a *Agent) findLeader(ctx context.Context) (string, error) {
	a.mu.Lock()
	address := a.leaderAddress
	a.mu.Unlock()
	if address != "" {
		return address, nil
	}
	return callWithTimeout(ctx, a, func(ctx context.Context) (string, error) {
		return a.options.Finder.Find(ctx, a.options.Worker.Cell)
	})
}

// Leader returns the epoch and the peer address of the leader that this agent
// follows, epoch 0 while it follows none.
func (a *Agent) Leader() (epoch int64, address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leaderAddress == "" {
		return 0, ""
	}
	return a.epoch, a.leaderAddress
}

func (a *Agent) setLeader(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leaderAddress = address
}

// observeEpoch raises the highest epoch seen to epoch. It reports false when
// epoch is older. The caller holds a.mu.
func (a *Agent) observeEpoch(epoch int64) bool {
	if epoch < a.epoch {
		return false
	}
	if epoch > a.epoch {
		a.epoch = epoch
		a.needsFullReport = true
		a.options.Log.Info("leader changed", zap.String("worker", string(a.options.Worker.ID)), zap.Int64("epoch", epoch))
	}
	return true
}

// applyResponse applies the leader's response and returns the new lease ends of
// the runs whose leases it renews.
func (a *Agent) applyResponse(req *daisywallpb.HeartbeatRequest, resp *daisywallpb.HeartbeatResponse, s substrate.Snapshot) (map[structs.AttemptID]substrate.RuntimeClock, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.observeEpoch(resp.GetEpoch()) {
		a.leaderAddress = ""
		return nil, &structs.RefusedError{Subject: "heartbeat response", Reason: structs.ReasonStaleEpoch, Detail: "its epoch is older than the highest seen"}
	}
	a.metrics.countAnsweredHeartbeat(context.Background())
	a.needsFullReport = resp.GetWantFull()
	a.lastResponse = responseID{number: resp.GetReply(), epoch: resp.GetEpoch()}
	a.ackedRuns.acknowledge(req)
	a.ackedUsage.acknowledge(req)
	a.leaseTerms = leaseTerms{batch: milliseconds(resp.GetBatchLeaseMs()), service: milliseconds(resp.GetServiceLeaseMs())}
	a.interval = min(max(milliseconds(resp.GetIntervalMs()), minHeartbeatInterval), maxHeartbeatInterval)
	unrenewed := map[structs.AttemptID]bool{}
	for _, id := range resp.GetUnrenewed() {
		unrenewed[api.ToAttempt(id)] = true
	}
	leases := map[structs.AttemptID]substrate.RuntimeClock{}
	for attempt, e := range a.ledger.entries {
		term := a.leaseTerms.forKind(e.run.Kind)
		if e.phase == phaseRunning && term > 0 && !unrenewed[attempt] {
			leases[attempt] = s.Now.Add(term)
		}
	}
	return leases, nil
}

// renewLeases sets new lease ends in the runtime. After a failure, the next
// heartbeat renews the leases.
func (a *Agent) renewLeases(ctx context.Context, incarnation string, leases map[structs.AttemptID]substrate.RuntimeClock) error {
	if len(leases) == 0 {
		return nil
	}
	_, err := callWithTimeout(ctx, a, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, a.options.Runtime.Renew(ctx, incarnation, leases)
	})
	return err
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
