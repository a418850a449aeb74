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
	withTestHost(t, func(h *testHost) {
		id := attemptOf("j", 1)
		h.is.Equal(len(h.assign(h.newAssignRequest(id, "long"))), 0)
		time.Sleep(10 * time.Second)
		h.objects.Faults.Refuse(2) // the first two writes fail
		h.sendAction(daisywallpb.Action_VERB_EVICT, id)
		h.sendAction(daisywallpb.Action_VERB_EVICT, id)
		time.Sleep(5 * time.Second)
		report := h.leader.lastReport(id)
		h.is.Equal(report.GetState(), string(substrate.RunStopped))
		state, err := h.objects.Get(context.Background(), report.GetCheckpoint())
		h.is.NoErr(err)
		left, err := time.ParseDuration(string(state))
		h.is.NoErr(err)
		h.is.True(left < time.Hour-10*time.Second)
	})
}

func TestEvictionWithFailedCheckpointKeepsRunRunning(t *testing.T) {
	withTestHost(t, func(h *testHost) {
		id := attemptOf("j", 1)
		h.is.Equal(len(h.assign(h.newAssignRequest(id, "long"))), 0)
		time.Sleep(time.Second)
		h.objects.Faults.Refuse(-1)
		h.sendAction(daisywallpb.Action_VERB_EVICT, id)
		time.Sleep(time.Minute)
		h.is.Equal(h.runState(id), substrate.RunRunning)
		h.sendAction(daisywallpb.Action_VERB_CANCEL, id)
		time.Sleep(time.Second)
		h.is.Equal(h.runState(id), substrate.RunStopped)
	})
}

func TestThrottledRunIsReported(t *testing.T) {
	withTestHost(t, func(h *testHost) {
		id := attemptOf("j", 1)
		h.is.Equal(len(h.assign(h.newAssignRequest(id, "long"))), 0)
		h.sendAction(daisywallpb.Action_VERB_THROTTLE, id)
		time.Sleep(2 * time.Second)
		h.is.Equal(h.leader.lastReport(id).GetState(), string(substrate.RunThrottled))
	})
}

func TestLeaveWaitsUntilTheRunsHaveBeenMovedOff(t *testing.T) {
	withTestHost(t, func(h *testHost) {
		id := attemptOf("j", 1)
		h.is.Equal(len(h.assign(h.newAssignRequest(id, "long"))), 0)
		ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
		defer cancel()
		var left *DrainError
		h.is.True(errors.As(h.agent.Drain(ctx), &left))
		h.is.Equal(left.Runs, 1)
		h.is.True(h.leader.lastHeartbeat().GetLeaving())
		h.is.Equal(h.assign(h.newAssignRequest(attemptOf("other", 1), "long")), []structs.Reason{structs.ReasonLeaving})
		h.is.Equal(len(h.assign(h.newAssignRequest(id, "long"))), 0)
		done := make(chan error, 1)
		go func() { done <- h.agent.Drain(context.Background()) }()
		h.sendAction(daisywallpb.Action_VERB_EVICT, id)
		time.Sleep(2 * time.Second)
		h.is.Equal(len(done), 0) // the leader has not confirmed the end
		h.sendAction(daisywallpb.Action_VERB_FORGET, id)
		h.is.NoErr(<-done)
	})
}

// TestAttemptIsRetainedWhileItsStartIsRetried guards against a second run of
// an attempt that has ended. The first start takes effect with an unknown outcome,
// and its retry would run the attempt again if the runtime had dropped it.
func TestAttemptIsRetainedWhileItsStartIsRetried(t *testing.T) {
	withTestHost(t, func(h *testHost) {
		id := attemptOf("j", 1)
		first := true
		h.intercepted.start = func(spec substrate.StartSpec) error {
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
		req := h.newAssignRequest(id, "")
		req.Assignments[0].Program = "fail-always"
		go func() { _, _ = h.agent.Assign(context.Background(), req) }()
		time.Sleep(1100 * time.Millisecond)
		h.is.Equal(h.leader.lastReport(id).GetState(), string(substrate.RunExited))
		h.sendAction(daisywallpb.Action_VERB_FORGET, id)
		time.Sleep(5 * time.Second)
		h.is.Equal(h.startCount(), 1)
		h.sendAction(daisywallpb.Action_VERB_FORGET, id)
		h.is.Equal(h.runState(id), substrate.RunState(""))
	})
}

// TestAttemptIsRetainedWhileACopyOfItsStartMayArrive guards against a
// second run of an attempt that has ended. A copy of its start is delayed until
// after the end, and would run the attempt again if the runtime had dropped it.
func TestAttemptIsRetainedWhileACopyOfItsStartMayArrive(t *testing.T) {
	withTestHost(t, func(h *testHost) {
		id := attemptOf("j", 1)
		first := true
		h.intercepted.start = func(spec substrate.StartSpec) error {
			if first {
				first = false
				go func() { // arrives after the second call and the end of the run
					time.Sleep(2 * time.Second)
					_ = h.runtime.Start(context.Background(), spec)
				}()
				return &structs.UnknownOutcomeError{Operation: "start"}
			}
			return h.runtime.Start(context.Background(), spec)
		}
		req := h.newAssignRequest(id, "")
		req.Assignments[0].Program = "fail-always"
		h.is.Equal(len(h.assign(req)), 0)
		time.Sleep(1100 * time.Millisecond)
		h.is.Equal(h.leader.lastReport(id).GetState(), string(substrate.RunExited))
		h.sendAction(daisywallpb.Action_VERB_FORGET, id)
		time.Sleep(5 * time.Second)
		h.is.Equal(h.startCount(), 1)
		h.sendAction(daisywallpb.Action_VERB_FORGET, id)
		h.is.Equal(h.runState(id), substrate.RunState(""))
	})
}
