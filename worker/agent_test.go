package worker

import (
	"context"
	"strconv"
	"testing"
	"testing/synctest"
	"time"

	"github.com/daisywall/daisywall/api"
	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

func TestAssignmentRunsAndItsEndIsReportedUntilForgotten(t *testing.T) {
	withTestHost(t, func(h *testHost) {
		id := attemptOf("j", 1)
		h.is.Equal(len(h.assign(h.newAssignRequest(id, "short"))), 0)
		time.Sleep(3 * time.Second)
		for range 3 {
			time.Sleep(time.Second)
			h.is.Equal(h.leader.lastHeartbeat().GetRuns()[0].GetState(), string(substrate.RunExited))
		}
		h.is.Equal(h.leader.lastReport(id).GetResult(), "result/j/0")
		h.sendAction(daisywallpb.Action_VERB_FORGET, id)
		time.Sleep(2 * time.Second)
		h.is.Equal(len(h.leader.lastHeartbeat().GetRuns()), 0)
		h.is.Equal(h.runState(id), substrate.RunState(""))
	})
}

func TestDuplicateAssignmentStartsOnceAndIsNeverRejected(t *testing.T) {
	withTestHost(t, func(h *testHost) {
		id := attemptOf("j", 1)
		req := h.newAssignRequest(id, "long")
		h.is.Equal(len(h.assign(req)), 0)
		h.is.Equal(len(h.assign(req)), 0)
		time.Sleep(time.Minute) // past the end of the start grant
		h.is.Equal(len(h.assign(req)), 0)
		h.is.Equal(h.startCount(), 1)
	})
}

func TestForgottenAttemptNeverStartsAgain(t *testing.T) {
	withTestHost(t, func(h *testHost) {
		id := attemptOf("j", 1)
		req := h.newAssignRequest(id, "short")
		h.is.Equal(len(h.assign(req)), 0)
		for h.runState(id) != "" { // the start grant must have ended
			h.is.Equal(len(h.assign(req)), 0)
			h.sendAction(daisywallpb.Action_VERB_FORGET, id)
			time.Sleep(100 * time.Millisecond)
		}
		h.is.Equal(h.assign(req), []structs.Reason{structs.ReasonStaleGrant})
		h.is.Equal(h.startCount(), 1)
	})
}

func TestAssignmentIsRefused(t *testing.T) {
	cases := map[string]struct {
		change func(h *testHost, req *daisywallpb.AssignRequest)
		reason structs.Reason
	}{
		"from a leader with an older epoch": {func(h *testHost, req *daisywallpb.AssignRequest) {
			h.assign(&daisywallpb.AssignRequest{Cell: "c1", Epoch: 2})
		}, structs.ReasonStaleEpoch},
		"for another cell": {func(_ *testHost, req *daisywallpb.AssignRequest) {
			req.Cell = "c2"
		}, structs.ReasonNotLeader},
		"for another incarnation": {func(_ *testHost, req *daisywallpb.AssignRequest) {
			req.Assignments[0].Incarnation = "x"
		}, structs.ReasonIncarnation},
		"based on an unknown heartbeat": {func(_ *testHost, req *daisywallpb.AssignRequest) {
			req.HeartbeatSeq++
		}, structs.ReasonStaleGrant},
		"based on a heartbeat whose grant has ended": {func(*testHost, *daisywallpb.AssignRequest) {
			time.Sleep(DefaultStartGrant + 2*time.Second)
		}, structs.ReasonStaleGrant},
		"when the runtime has restarted": {func(h *testHost, _ *daisywallpb.AssignRequest) {
			h.runtime.Restart()
		}, structs.ReasonIncarnation},
		"when it exceeds the capacity": {func(_ *testHost, req *daisywallpb.AssignRequest) {
			req.Assignments[0].Resources.MilliCpu = hostCapacity.MilliCPU + 1
		}, structs.ReasonCapacity},
		"for a program that is not installed": {func(_ *testHost, req *daisywallpb.AssignRequest) {
			req.Assignments[0].Program = "x"
		}, structs.ReasonNotInstalled},
		"when the runtime is unavailable": {func(h *testHost, _ *daisywallpb.AssignRequest) {
			h.runtime.Faults.Refuse(1)
		}, structs.ReasonUnreachable},
		"by an agent that has just started": {func(h *testHost, req *daisywallpb.AssignRequest) {
			h.startAgent()
			synctest.Wait()
			req.HeartbeatSeq = h.leader.lastHeartbeat().GetSequence()
		}, structs.ReasonStaleGrant},
		"by an agent that has stopped": {func(h *testHost, _ *daisywallpb.AssignRequest) {
			h.stop()
		}, structs.ReasonShuttingDown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			withTestHost(t, func(h *testHost) {
				id := attemptOf("j", 1)
				req := h.newAssignRequest(id, "long")
				c.change(h, req)
				h.is.Equal(h.assign(req), []structs.Reason{c.reason})
				h.is.Equal(h.startCount(), 0)
			})
		})
	}
}

func TestUnansweredHeartbeatsExtendNoLease(t *testing.T) {
	withTestHost(t, func(h *testHost) {
		id := attemptOf("j", 1)
		h.is.Equal(len(h.assign(h.newAssignRequest(id, "long"))), 0)
		time.Sleep(time.Minute)
		h.is.Equal(h.runState(id), substrate.RunRunning)
		h.leader.setResponseHook(failHeartbeat)
		time.Sleep(batchLease - 2*time.Second)
		h.is.Equal(h.runState(id), substrate.RunRunning)
		time.Sleep(3 * time.Second)
		h.is.Equal(h.runState(id), substrate.RunLapsed)
		h.leader.setResponseHook(nil)
		time.Sleep(10 * time.Second)
		h.is.Equal(h.leader.lastReport(id).GetState(), string(substrate.RunLapsed))
	})
}

// TestLateResponseRenewsFromClockReadingBeforeHeartbeat guards against a lease
// that runs from the arrival of a late response. The leader may have started the
// task elsewhere by then.
func TestLateResponseRenewsFromClockReadingBeforeHeartbeat(t *testing.T) {
	withTestHost(t, func(h *testHost) {
		id := attemptOf("j", 1)
		h.is.Equal(len(h.assign(h.newAssignRequest(id, "long"))), 0)
		time.Sleep(10 * time.Second)
		h.leader.setResponseHook(func(*daisywallpb.HeartbeatRequest, *daisywallpb.HeartbeatResponse) error {
			time.Sleep(time.Hour) // as if the agent were frozen while the response is under way
			return nil
		})
		time.Sleep(time.Minute)
		h.is.Equal(h.runState(id), substrate.RunLapsed)
		time.Sleep(time.Hour)
		h.is.Equal(h.runState(id), substrate.RunLapsed)
		h.leader.setResponseHook(nil)
		time.Sleep(2 * time.Hour)
	})
}

func TestZeroLeaseTermRenewsNoRunOfItsKind(t *testing.T) {
	withTestHost(t, func(h *testHost) {
		batch, service, unknown := attemptOf("batch", 1), attemptOf("service", 1), attemptOf("unknown", 1)
		h.is.Equal(len(h.assign(h.newAssignRequest(batch, "long"))), 0)
		req := h.newAssignRequest(service, "long")
		req.Assignments[0].Kind = string(structs.WorkService)
		h.is.Equal(len(h.assign(req)), 0)
		req = h.newAssignRequest(unknown, "long")
		req.Assignments[0].Kind = ""
		h.is.Equal(len(h.assign(req)), 0)
		h.startAgent() // has only the kinds that the runtime reports
		h.leader.setResponseHook(func(_ *daisywallpb.HeartbeatRequest, resp *daisywallpb.HeartbeatResponse) error {
			resp.ServiceLeaseMs = 0
			return nil
		})
		time.Sleep(time.Minute)
		h.is.Equal(h.runState(batch), substrate.RunRunning)
		h.is.Equal(h.runState(service), substrate.RunLapsed)
		h.is.Equal(h.runState(unknown), substrate.RunLapsed)
	})
}

func TestRestartedAgentAdoptsRunsAndCountsTheirCapacity(t *testing.T) {
	withTestHost(t, func(h *testHost) {
		for n := range int32(4) {
			h.is.Equal(len(h.assign(h.newAssignRequest(attemptOf("j"+strconv.Itoa(int(n)), 1), "long"))), 0)
		}
		h.startAgent()
		time.Sleep(DefaultStartGrant + 2*time.Second)
		h.is.Equal(h.assign(h.newAssignRequest(attemptOf("other", 1), "long")), []structs.Reason{structs.ReasonCapacity})
		time.Sleep(time.Minute)
		h.is.Equal(h.runState(attemptOf("j0", 1)), substrate.RunRunning)
		h.is.Equal(h.startCount(), 4)
	})
}

// TestStartOfPreviousAgentIsCountedBeforeNewAssignments guards against more
// runs than the capacity allows. A start that the previous agent process sent
// is still under way and missing from the first snapshot of the new agent
// process.
func TestStartOfPreviousAgentIsCountedBeforeNewAssignments(t *testing.T) {
	withTestHost(t, func(h *testHost) {
		h.runtime.Faults.Delay(2*time.Second, 1)
		for n := range int32(4) {
			req := h.newAssignRequest(attemptOf("j"+strconv.Itoa(int(n)), 1), "long")
			go func() { _, _ = h.agent.Assign(context.Background(), req) }()
			synctest.Wait()
		}
		h.is.Equal(h.startCount(), 3)
		h.startAgent()
		synctest.Wait()
		reasons := h.assign(h.newAssignRequest(attemptOf("other", 1), "long"))
		h.is.Equal(reasons, []structs.Reason{structs.ReasonStaleGrant})
		// The agent reports the full capacity, since cells publish the sizes of
		// their workers.
		h.is.Equal(api.ToResources(h.leader.lastHeartbeat().GetCapacity()), hostCapacity)
		time.Sleep(DefaultStartGrant + 2*time.Second)
		h.is.Equal(h.startCount(), 4)
		reasons = h.assign(h.newAssignRequest(attemptOf("another", 1), "long"))
		h.is.Equal(reasons, []structs.Reason{structs.ReasonCapacity})
		h.is.Equal(len(h.runtime.History().Violations()), 0)
	})
}

func TestStartWithUnknownOutcomeIsSettledBySnapshot(t *testing.T) {
	for name, tookEffect := range map[string]bool{"that took effect": true, "that did not": false} {
		t.Run(name, func(t *testing.T) {
			withTestHost(t, func(h *testHost) {
				id := attemptOf("j", 1)
				if tookEffect {
					h.runtime.Faults.LoseAnswer(maxStartCalls)
				} else {
					h.runtime.Faults.Silence(maxStartCalls)
				}
				go func() { _, _ = h.agent.Assign(context.Background(), h.newAssignRequest(id, "long")) }()
				time.Sleep(time.Minute)
				h.is.Equal(h.runState(id) == substrate.RunRunning, tookEffect)
				h.is.Equal(h.leader.lastReport(id) != nil, tookEffect)
				want := hostCapacity
				if tookEffect {
					want = want.Sub(oneTask)
				}
				h.agent.mu.Lock()
				committed := h.agent.ledger.committed()
				h.agent.mu.Unlock()
				h.is.Equal(hostCapacity.Sub(committed), want)
			})
		})
	}
}

func TestHeartbeatFollowsRedirectToLeader(t *testing.T) {
	withTestHost(t, func(h *testHost) {
		h.agent.setLeader("stale:1")
		before := h.leader.lastHeartbeat().GetSequence()
		time.Sleep(2 * time.Second)
		synctest.Wait()
		h.is.True(h.leader.lastHeartbeat().GetSequence() > before)
	})
}

func TestResponseWithOlderEpochRenewsNoLease(t *testing.T) {
	withTestHost(t, func(h *testHost) {
		id := attemptOf("j", 1)
		h.is.Equal(len(h.assign(h.newAssignRequest(id, "long"))), 0)
		h.assign(&daisywallpb.AssignRequest{Cell: "c1", Epoch: 2})
		time.Sleep(batchLease + time.Second)
		h.is.Equal(h.runState(id), substrate.RunLapsed)
	})
}

func TestHeartbeatsReportOnlyChangedRunsAndUsage(t *testing.T) {
	withTestHost(t, func(h *testHost) {
		id := attemptOf("j", 1)
		h.is.Equal(len(h.assign(h.newAssignRequest(id, "long"))), 0)
		time.Sleep(5 * time.Second)
		h.is.Equal(len(h.leader.lastHeartbeat().GetRuns()), 0)
		h.is.Equal(len(h.leader.lastHeartbeat().GetUsage()), 0)
		h.leader.setResponseHook(func(_ *daisywallpb.HeartbeatRequest, resp *daisywallpb.HeartbeatResponse) error {
			resp.WantFull = true
			return nil
		})
		time.Sleep(2 * time.Second)
		h.is.True(h.leader.lastHeartbeat().GetFull())
		h.is.Equal(len(h.leader.lastHeartbeat().GetRuns()), 1)
		h.is.Equal(len(h.leader.lastHeartbeat().GetUsage()), 1)
	})
}

func TestNewerConfigurationIsAppliedOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newTestHost(t)
		defer h.close()
		have := int64(3)
		var applied []string
		agent, err := New(Options{
			Worker: structs.Worker{ID: "w1", Cell: "c1"}, Runtime: h.runtime, Finder: h.leader, Heartbeat: h.leader.Heartbeat,
			ConfigRevision: func() int64 { return have },
			ApplyConfig:    func(revision int64, config []byte) { have, applied = revision, append(applied, string(config)) },
		})
		h.is.NoErr(err)
		revision := int64(2)
		h.leader.setResponseHook(func(_ *daisywallpb.HeartbeatRequest, resp *daisywallpb.HeartbeatResponse) error {
			resp.ConfigRevision, resp.Config = revision, []byte("config")
			return nil
		})
		h.is.NoErr(agent.runHeartbeat(context.Background()))
		revision = 4
		h.is.NoErr(agent.runHeartbeat(context.Background()))
		h.is.NoErr(agent.runHeartbeat(context.Background()))
		h.is.Equal(applied, []string{"config"})
		h.is.Equal(h.leader.lastHeartbeat().GetConfigRevision(), int64(4))
	})
}

// TestUnknownStartStaysUnknownWhenRuntimeBecomesUnavailable guards against
// rejecting an attempt that runs. Its start takes effect with an unknown outcome,
// and the runtime is unavailable when the start is retried.
func TestUnknownStartStaysUnknownWhenRuntimeBecomesUnavailable(t *testing.T) {
	withTestHost(t, func(h *testHost) {
		id := attemptOf("j", 1)
		calls := 0
		h.intercepted.start = func(spec substrate.StartSpec) error {
			calls++
			if calls > 1 {
				return &structs.UnavailableError{Dependency: "runtime"}
			}
			h.is.NoErr(h.runtime.Start(context.Background(), spec))
			return &structs.UnknownOutcomeError{Operation: "start"}
		}
		h.is.Equal(len(h.assign(h.newAssignRequest(id, "long"))), 0)
		time.Sleep(2 * time.Second)
		h.is.Equal(h.leader.lastReport(id).GetState(), string(substrate.RunRunning))
	})
}

// TestRejectedAttemptIsNeverAccepted guards against two runs of a task. After a
// rejection the leader starts the task elsewhere, so a repeated assignment is
// rejected even when capacity has become free.
func TestRejectedAttemptIsNeverAccepted(t *testing.T) {
	withTestHost(t, func(h *testHost) {
		large, id := attemptOf("large", 1), attemptOf("j", 1)
		req := h.newAssignRequest(large, "long")
		req.Assignments[0].Resources = api.FromResources(hostCapacity)
		h.is.Equal(len(h.assign(req)), 0)
		rejected := h.newAssignRequest(id, "long")
		h.is.Equal(h.assign(rejected), []structs.Reason{structs.ReasonCapacity})
		h.sendAction(daisywallpb.Action_VERB_CANCEL, large)
		synctest.Wait()
		h.is.Equal(h.runState(large), substrate.RunStopped)
		h.is.Equal(h.assign(rejected), []structs.Reason{structs.ReasonCapacity})
	})
}

// TestAssignmentBasedOnHeartbeatOfPreviousAgentIsRejected guards against a
// start grant that outlives its agent process. The sequence of an old heartbeat
// must not match a heartbeat of the new process.
func TestAssignmentBasedOnHeartbeatOfPreviousAgentIsRejected(t *testing.T) {
	withTestHost(t, func(h *testHost) {
		req := h.newAssignRequest(attemptOf("j", 1), "long")
		h.startAgent()
		for range 10 {
			time.Sleep(time.Second)
			reasons := h.assign(req)
			h.is.Equal(reasons, []structs.Reason{structs.ReasonStaleGrant})
			req.Assignments[0].Attempt.Number++
		}
	})
}

func TestRunMissingFromSnapshotCausesFullReport(t *testing.T) {
	withTestHost(t, func(h *testHost) {
		id := attemptOf("j", 1)
		h.is.Equal(len(h.assign(h.newAssignRequest(id, "long"))), 0)
		time.Sleep(2 * time.Second)
		h.is.True(!h.leader.lastHeartbeat().GetFull())
		synctest.Wait()
		h.intercepted.setSnapshot(func(s substrate.Snapshot) substrate.Snapshot {
			s.Runs = nil
			return s
		})
		time.Sleep(time.Second)
		h.is.True(h.leader.lastHeartbeat().GetFull())
		h.is.Equal(len(h.leader.lastHeartbeat().GetRuns()), 0)
	})
}
