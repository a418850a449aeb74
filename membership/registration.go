package membership

import (
	"context"
	"time"

	"github.com/cenkalti/backoff/v5"
	"go.uber.org/zap"

	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/structs"
)

// keepRegistered keeps the agent registered with one entry until ctx ends.
func (a *Announcer) keepRegistered(ctx context.Context, link *entryLink) {
	retry := backoff.NewExponentialBackOff()
	retry.InitialInterval = registerRetryInitial
	retry.MaxInterval = registerRetryMax
	conn, err := a.options.Dial(link.address)
	if err != nil {
		a.options.Log.Warn("entry cannot be dialled", zap.String("entry", link.address), zap.Error(err))
		return
	}
	defer func() { _ = conn.Close() }()
	full := true
	changed := a.options.Changed()
	for {
		leaving := a.leaving.Load()
		response, err := a.sendRegistration(ctx, conn, full, leaving)
		wait := retry.NextBackOff()
		if err == nil {
			retry.Reset()
			full = response.WantFull
			wait = time.Duration(response.IntervalMs) * time.Millisecond
			if full {
				wait = 0
			}
			a.applyResponse(link, response, leaving)
		}
		lost, stop := watchConnection(ctx, conn, err == nil)
		select {
		case <-ctx.Done():
			stop()
			return
		case <-changed:
		case <-a.leaveSignal(leaving):
		case <-lost:
			full = true
		case <-time.After(wait):
		}
		stop()
		// A change may coincide with the end of the wait. The next channel is
		// fetched before the previous channel is checked, so that no change is
		// missed.
		next := a.options.Changed()
		full = full || isClosed(changed)
		changed = next
	}
}

func isClosed(signal <-chan struct{}) bool {
	select {
	case <-signal:
		return true
	default:
		return false
	}
}

// leaveSignal returns the channel that Leave closes, or nil when the entry has
// already been sent a leaving registration.
func (a *Announcer) leaveSignal(sent bool) <-chan struct{} {
	if sent {
		return nil
	}
	return a.leaveStarted
}

// watchConnection returns a channel that is closed when the connection is lost,
// and a function that ends the watch. It does not watch a connection that is
// not established.
func watchConnection(ctx context.Context, conn EntryConn, established bool) (<-chan struct{}, func()) {
	lost := make(chan struct{})
	if !established {
		return lost, func() {}
	}
	ctx, cancel := context.WithCancel(ctx)
	done := make(chan struct{})
	go func() {
		defer close(done)
		conn.WaitDisconnected(ctx)
		if ctx.Err() == nil {
			close(lost)
		}
	}()
	return lost, func() { cancel(); <-done }
}

func (a *Announcer) sendRegistration(ctx context.Context, conn EntryConn, full, leaving bool) (*daisywallpb.RegisterResponse, error) {
	epoch, leader := a.options.Leader()
	request := &daisywallpb.RegisterRequest{
		Worker:           string(a.options.Worker.ID),
		Cell:             string(a.options.Worker.Cell),
		LeaderEpoch:      epoch,
		LeaderAddress:    leader,
		FailureDomain:    string(a.options.Worker.FailureDomain),
		Address:          a.options.Worker.Address,
		AgentIncarnation: a.options.Incarnation,
		Sequence:         a.sequence.Add(1),
		Leaving:          leaving,
		ConfigRevision:   a.options.ConfigRevision(),
		AgentClockMs:     a.options.Clock().Milliseconds(),
		Unchanged:        !full,
	}
	if full {
		request.Targets = targetInfos(a.options.Targets())
	}
	ctx, cancel := context.WithTimeout(ctx, registerTimeout)
	defer cancel()
	response, err := conn.Register(ctx, request)
	if err != nil {
		a.metrics.failures.Add(ctx, 1)
		return nil, err
	}
	a.metrics.registrations.Add(ctx, 1)
	return response, nil
}

// applyResponse applies the response of an entry to a registration.
func (a *Announcer) applyResponse(link *entryLink, response *daisywallpb.RegisterResponse, leaving bool) {
	if len(response.Config) > 0 && response.ConfigRevision > a.options.ConfigRevision() {
		a.options.ApplyConfig(response.ConfigRevision, response.Config)
	}
	if response.LeaderAddress != "" {
		a.options.OnLeaderHint(response.LeaderAddress)
	}
	now := time.Now()
	a.mu.Lock()
	link.namedEntries = response.Entries
	link.namesValidUntil = now.Add(ttlIntervals*time.Duration(response.IntervalMs)*time.Millisecond + entryExpiry)
	link.lastAnswered = now
	link.leaveAcked = leaving
	a.mu.Unlock()
	a.notifyEntriesChanged()
}

func targetInfos(targets []structs.Target) []*daisywallpb.TargetInfo {
	list := make([]*daisywallpb.TargetInfo, 0, len(targets))
	for _, t := range targets {
		list = append(list, &daisywallpb.TargetInfo{
			Id: string(t.ID), Team: string(t.Team), Kinds: t.Kinds, Incarnation: t.Incarnation,
			Slots: int32(t.Slots), Connections: int32(t.Connections),
		})
	}
	return list
}
