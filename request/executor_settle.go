package request

import (
	"context"
	"time"

	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/structs"
)

// Settle implements the Agent service.
func (e *Executor) Settle(ctx context.Context, request *daisywallpb.SettleRequest) (*daisywallpb.SettleResponse, error) {
	if request.AgentIncarnation != "" && request.AgentIncarnation != e.options.Incarnation {
		return &daisywallpb.SettleResponse{Outcome: daisywallpb.Outcome_OUTCOME_UNKNOWN, Reason: string(structs.ReasonIncarnation)}, nil
	}
	retention := max(ledgerRetention, time.Duration(request.RetentionMs)*time.Millisecond)
	withinRetention := e.Uptime() < time.Duration(request.SentMs)*time.Millisecond+retention
	rec := e.ledger.settle(request.RequestId, withinRetention)
	if rec == nil {
		return &daisywallpb.SettleResponse{Outcome: daisywallpb.Outcome_OUTCOME_UNKNOWN, Reason: string(structs.ReasonQueueFull)}, nil
	}
	wait := min(time.Duration(request.WaitMs)*time.Millisecond, maxSettleWait)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-rec.final:
	case <-timer.C:
	case <-ctx.Done():
	}
	s := e.ledger.settlementOf(rec)
	e.metrics.countSettlement(ctx, s.outcome)
	return &daisywallpb.SettleResponse{Outcome: s.outcome, Answer: s.answer, Reason: string(s.reason)}, nil
}

// Acknowledge implements the Agent service.
func (e *Executor) Acknowledge(_ context.Context, request *daisywallpb.AcknowledgeRequest) (*daisywallpb.AcknowledgeResponse, error) {
	e.ledger.acknowledge(request.RequestIds)
	return &daisywallpb.AcknowledgeResponse{}, nil
}

// Ping implements the Agent service.
func (e *Executor) Ping(context.Context, *daisywallpb.PingRequest) (*daisywallpb.PingResponse, error) {
	return &daisywallpb.PingResponse{Incarnation: e.options.Incarnation, AgentClockMs: e.Uptime().Milliseconds()}, nil
}
