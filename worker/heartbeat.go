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

// maxRedirects is how often one heartbeat follows the address of a leader.
const maxRedirects = 2

// beat reads the runtime, reports to the leader and renews leases. The leases
// run from the reading, which is older than the heartbeat: whatever is delayed
// afterwards extends nothing.
func (a *Agent) beat(ctx context.Context) error {
	a.mu.Lock()
	last := a.reply
	a.mu.Unlock()
	s, err := a.snapshot(ctx)
	if err != nil {
		return err
	}
	usage := a.readUsage(ctx)
	req := a.compose(s, last, usage)
	resp, err := a.send(ctx, req)
	if err != nil {
		return err
	}
	leases, err := a.take(req, resp, s)
	if err != nil {
		return err
	}
	if resp.GetConfigRevision() > a.o.ConfigRevision() && len(resp.GetConfig()) > 0 {
		a.o.TakeConfig(resp.GetConfigRevision(), resp.GetConfig())
	}
	return a.renew(ctx, s.Incarnation, leases)
}

// compose numbers a heartbeat and remembers the reading that it rests on.
func (a *Agent) compose(s substrate.Snapshot, last answered, usage []*daisywallpb.UsageReport) *daisywallpb.HeartbeatRequest {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.sequence++
	a.readings.add(reading{sequence: a.sequence, incarnation: s.Incarnation, clock: s.Now})
	return &daisywallpb.HeartbeatRequest{
		Cell:           string(a.o.Worker.Cell),
		Worker:         string(a.o.Worker.ID),
		FailureDomain:  string(a.o.Worker.FailureDomain),
		Rack:           a.o.Worker.Rack,
		Address:        a.o.Worker.Address,
		Incarnation:    s.Incarnation,
		Sequence:       a.sequence,
		Capacity:       api.FromResources(a.o.Worker.Capacity),
		Full:           a.wantFull,
		Runs:           a.acked.compose(a.ledger, a.wantFull),
		Usage:          usage,
		ConfigRevision: a.o.ConfigRevision(),
		Leaving:        a.leaving,
		Reply:          last.reply,
		ReplyEpoch:     last.epoch,
	}
}

// send delivers a heartbeat to the leader, wherever it is.
func (a *Agent) send(ctx context.Context, req *daisywallpb.HeartbeatRequest) (*daisywallpb.HeartbeatResponse, error) {
	address, err := a.leaderAddress(ctx)
	if err != nil {
		return nil, err
	}
	for range maxRedirects + 1 {
		resp, err := call(ctx, a, func(ctx context.Context) (*daisywallpb.HeartbeatResponse, error) {
			return a.o.Heartbeat(ctx, address, req)
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
	return nil, &structs.RefusedError{Subject: "heartbeat", Reason: structs.ReasonNotLeader, Detail: "no leader of " + string(a.o.Worker.Cell)}
}

func (a *Agent) leaderAddress(ctx context.Context) (string, error) {
	a.mu.Lock()
	address := a.leading
	a.mu.Unlock()
	if address != "" {
		return address, nil
	}
	return call(ctx, a, func(ctx context.Context) (string, error) {
		return a.o.Finder.Find(ctx, a.o.Worker.Cell)
	})
}

// Leader returns the epoch and the peer address of the leader that this agent
// follows, epoch 0 while it follows none.
func (a *Agent) Leader() (epoch int64, address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.leading == "" {
		return 0, ""
	}
	return a.epoch, a.leading
}

func (a *Agent) setLeader(address string) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.leading = address
}

// raiseEpoch takes an epoch and reports false when it is older than the
// highest seen. The caller holds the lock.
func (a *Agent) raiseEpoch(epoch int64) bool {
	if epoch < a.epoch {
		return false
	}
	if epoch > a.epoch {
		a.epoch = epoch
		a.wantFull = true
		a.o.Log.Info("leader changed", zap.String("worker", string(a.o.Worker.ID)), zap.Int64("epoch", epoch))
	}
	return true
}

// take reads the leader's response and returns the leases that it renews.
func (a *Agent) take(req *daisywallpb.HeartbeatRequest, resp *daisywallpb.HeartbeatResponse, s substrate.Snapshot) (map[structs.AttemptID]substrate.RuntimeClock, error) {
	a.mu.Lock()
	defer a.mu.Unlock()
	if !a.raiseEpoch(resp.GetEpoch()) {
		a.leading = ""
		return nil, &structs.RefusedError{Subject: "heartbeat response", Reason: structs.ReasonStaleEpoch, Detail: "from an earlier leader"}
	}
	a.metrics.answered(context.Background())
	a.wantFull = resp.GetWantFull()
	a.reply = answered{reply: resp.GetReply(), epoch: resp.GetEpoch()}
	a.acked.acknowledge(req)
	a.usage.acknowledge(req)
	a.terms = terms{batch: milliseconds(resp.GetBatchLeaseMs()), service: milliseconds(resp.GetServiceLeaseMs())}
	a.interval = min(max(milliseconds(resp.GetIntervalMs()), shortestInterval), longestInterval)
	unrenewed := map[structs.AttemptID]bool{}
	for _, id := range resp.GetUnrenewed() {
		unrenewed[api.ToAttempt(id)] = true
	}
	leases := map[structs.AttemptID]substrate.RuntimeClock{}
	for attempt, e := range a.ledger.entries {
		term := a.terms.of(e.run.Kind)
		if e.phase == live && term > 0 && !unrenewed[attempt] {
			leases[attempt] = s.Now.Add(term)
		}
	}
	return leases, nil
}

// renew moves the leases of runs. A failure is made up for by the next
// heartbeat.
func (a *Agent) renew(ctx context.Context, incarnation string, leases map[structs.AttemptID]substrate.RuntimeClock) error {
	if len(leases) == 0 {
		return nil
	}
	_, err := call(ctx, a, func(ctx context.Context) (struct{}, error) {
		return struct{}{}, a.o.Runtime.Renew(ctx, incarnation, leases)
	})
	return err
}

func milliseconds(ms int64) time.Duration { return time.Duration(ms) * time.Millisecond }
