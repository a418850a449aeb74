package worker

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

func TestEvictionCheckpointsBeforeItStops(t *testing.T) {
	onHost(t, func(h *host) {
		id := attemptOf("j", 1)
		h.is.Equal(len(h.assign(h.request(id, "long"))), 0)
		time.Sleep(10 * time.Second)
		h.objects.Faults.Refuse(2) // the first tries fail
		h.act(daisywallpb.Action_VERB_EVICT, id)
		h.act(daisywallpb.Action_VERB_EVICT, id)
		time.Sleep(5 * time.Second)
		report := h.leader.reported(id)
		h.is.Equal(report.GetState(), string(substrate.RunStopped))
		state, err := h.objects.Get(context.Background(), report.GetCheckpoint())
		h.is.NoErr(err)
		left, err := time.ParseDuration(string(state))
		h.is.NoErr(err)
		h.is.True(left < time.Hour-10*time.Second)
	})
}

func TestEvictionWithoutACheckpointLeavesTheRun(t *testing.T) {
	onHost(t, func(h *host) {
		id := attemptOf("j", 1)
		h.is.Equal(len(h.assign(h.request(id, "long"))), 0)
		time.Sleep(time.Second)
		h.objects.Faults.Refuse(-1)
		h.act(daisywallpb.Action_VERB_EVICT, id)
		time.Sleep(time.Minute)
		h.is.Equal(h.state(id), substrate.RunRunning)
		h.act(daisywallpb.Action_VERB_CANCEL, id)
		time.Sleep(time.Second)
		h.is.Equal(h.state(id), substrate.RunStopped)
	})
}

func TestThrottledRunIsReported(t *testing.T) {
	onHost(t, func(h *host) {
		id := attemptOf("j", 1)
		h.is.Equal(len(h.assign(h.request(id, "long"))), 0)
		h.act(daisywallpb.Action_VERB_THROTTLE, id)
		time.Sleep(2 * time.Second)
		h.is.Equal(h.leader.reported(id).GetState(), string(substrate.RunThrottled))
	})
}

func TestLeaveWaitsUntilTheRunsHaveBeenMovedOff(t *testing.T) {
	onHost(t, func(h *host) {
		id := attemptOf("j", 1)
		h.is.Equal(len(h.assign(h.request(id, "long"))), 0)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		var left *LeaveError
		h.is.True(errors.As(h.agent.Leave(ctx), &left))
		h.is.Equal(left.Runs, 1)
		h.is.True(h.leader.last().GetLeaving())
		h.is.Equal(h.assign(h.request(attemptOf("other", 1), "long")), []structs.Reason{structs.ReasonLeaving})
		h.is.Equal(len(h.assign(h.request(id, "long"))), 0)
		done := make(chan error, 1)
		go func() { done <- h.agent.Leave(context.Background()) }()
		h.act(daisywallpb.Action_VERB_EVICT, id)
		time.Sleep(2 * time.Second)
		h.is.Equal(len(done), 0) // the leader does not have the end yet
		h.act(daisywallpb.Action_VERB_FORGET, id)
		h.is.NoErr(<-done)
	})
}

func TestAttemptIsNotForgottenWhileItsStartIsRepeated(t *testing.T) {
	onHost(t, func(h *host) {
		id := attemptOf("j", 1)
		first := true
		h.port.start = func(spec substrate.StartSpec) error {
			err := h.runtime.Start(context.Background(), spec)
			if first {
				first = false
				time.Sleep(2 * time.Second)
				return &structs.UnknownOutcomeError{Operation: "start"}
			}
			return err
		}
		time.Sleep(500 * time.Millisecond) // a heartbeat has just been sent
		synctest.Wait()
		req := h.request(id, "")
		req.Assignments[0].Program = "fail-always"
		go func() { _, _ = h.agent.Assign(context.Background(), req) }()
		time.Sleep(1100 * time.Millisecond)
		h.is.Equal(h.leader.reported(id).GetState(), string(substrate.RunExited))
		h.act(daisywallpb.Action_VERB_FORGET, id)
		time.Sleep(5 * time.Second)
		h.is.Equal(h.starts(), 1)
		h.act(daisywallpb.Action_VERB_FORGET, id)
		h.is.Equal(h.state(id), substrate.RunState(""))
	})
}

func TestAttemptIsNotForgottenWhileACopyOfItsStartMayArrive(t *testing.T) {
	onHost(t, func(h *host) {
		id := attemptOf("j", 1)
		first := true
		h.port.start = func(spec substrate.StartSpec) error {
			if first {
				first = false
				go func() { // arrives after the second try and the end
					time.Sleep(2 * time.Second)
					_ = h.runtime.Start(context.Background(), spec)
				}()
				return &structs.UnknownOutcomeError{Operation: "start"}
			}
			return h.runtime.Start(context.Background(), spec)
		}
		req := h.request(id, "")
		req.Assignments[0].Program = "fail-always"
		h.is.Equal(len(h.assign(req)), 0)
		time.Sleep(1100 * time.Millisecond)
		h.is.Equal(h.leader.reported(id).GetState(), string(substrate.RunExited))
		h.act(daisywallpb.Action_VERB_FORGET, id)
		time.Sleep(5 * time.Second)
		h.is.Equal(h.starts(), 1)
		h.act(daisywallpb.Action_VERB_FORGET, id)
		h.is.Equal(h.state(id), substrate.RunState(""))
	})
}
