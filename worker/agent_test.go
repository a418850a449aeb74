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
	onHost(t, func(h *host) {
		id := attemptOf("j", 1)
		h.is.Equal(len(h.assign(h.request(id, "short"))), 0)
		time.Sleep(3 * time.Second)
		for range 3 {
			time.Sleep(time.Second)
			h.is.Equal(h.leader.last().GetRuns()[0].GetState(), string(substrate.RunExited))
		}
		h.is.Equal(h.leader.reported(id).GetResult(), "result/j/0")
		h.act(daisywallpb.Action_VERB_FORGET, id)
		time.Sleep(2 * time.Second)
		h.is.Equal(len(h.leader.last().GetRuns()), 0)
		h.is.Equal(h.state(id), substrate.RunState(""))
	})
}

func TestDuplicateAssignmentIsOneStartAndNeverRejected(t *testing.T) {
	onHost(t, func(h *host) {
		id := attemptOf("j", 1)
		req := h.request(id, "long")
		h.is.Equal(len(h.assign(req)), 0)
		h.is.Equal(len(h.assign(req)), 0)
		time.Sleep(time.Minute) // the grant has ended
		h.is.Equal(len(h.assign(req)), 0)
		h.is.Equal(h.starts(), 1)
	})
}

func TestForgottenAttemptNeverStartsAgain(t *testing.T) {
	onHost(t, func(h *host) {
		id := attemptOf("j", 1)
		req := h.request(id, "short")
		h.is.Equal(len(h.assign(req)), 0)
		for h.state(id) != "" { // the grant has to end first
			h.is.Equal(len(h.assign(req)), 0)
			h.act(daisywallpb.Action_VERB_FORGET, id)
			time.Sleep(100 * time.Millisecond)
		}
		h.is.Equal(h.assign(req), []structs.Reason{structs.ReasonStaleGrant})
		h.is.Equal(h.starts(), 1)
	})
}

func TestAssignmentIsRefused(t *testing.T) {
	cases := map[string]struct {
		change func(h *host, req *daisywallpb.AssignRequest)
		reason structs.Reason
	}{
		"of an earlier leader": {func(h *host, req *daisywallpb.AssignRequest) {
			h.assign(&daisywallpb.AssignRequest{Cell: "c1", Epoch: 2})
		}, structs.ReasonStaleEpoch},
		"of another cell": {func(_ *host, req *daisywallpb.AssignRequest) {
			req.Cell = "c2"
		}, structs.ReasonNotLeader},
		"for another incarnation": {func(_ *host, req *daisywallpb.AssignRequest) {
			req.Assignments[0].Incarnation = "x"
		}, structs.ReasonIncarnation},
		"on an unknown heartbeat": {func(_ *host, req *daisywallpb.AssignRequest) {
			req.HeartbeatSeq++
		}, structs.ReasonStaleGrant},
		"on an old heartbeat": {func(*host, *daisywallpb.AssignRequest) {
			time.Sleep(DefaultStartGrant + 2*time.Second)
		}, structs.ReasonStaleGrant},
		"when the runtime has restarted": {func(h *host, _ *daisywallpb.AssignRequest) {
			h.runtime.Restart()
		}, structs.ReasonIncarnation},
		"when it does not fit": {func(_ *host, req *daisywallpb.AssignRequest) {
			req.Assignments[0].Resources.MilliCpu = hostCapacity.MilliCPU + 1
		}, structs.ReasonCapacity},
		"for a program that is not installed": {func(_ *host, req *daisywallpb.AssignRequest) {
			req.Assignments[0].Program = "x"
		}, structs.ReasonNotInstalled},
		"when the runtime is out": {func(h *host, _ *daisywallpb.AssignRequest) {
			h.runtime.Faults.Refuse(1)
		}, structs.ReasonUnreachable},
		"by an agent that has just started": {func(h *host, req *daisywallpb.AssignRequest) {
			h.startAgent()
			synctest.Wait()
			req.HeartbeatSeq = h.leader.last().GetSequence()
		}, structs.ReasonStaleGrant},
		"by an agent that has stopped": {func(h *host, _ *daisywallpb.AssignRequest) {
			h.stop()
		}, structs.ReasonShuttingDown},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			onHost(t, func(h *host) {
				id := attemptOf("j", 1)
				req := h.request(id, "long")
				c.change(h, req)
				h.is.Equal(h.assign(req), []structs.Reason{c.reason})
				h.is.Equal(h.starts(), 0)
			})
		})
	}
}

func TestUnansweredHeartbeatsExtendNothing(t *testing.T) {
	onHost(t, func(h *host) {
		id := attemptOf("j", 1)
		h.is.Equal(len(h.assign(h.request(id, "long"))), 0)
		time.Sleep(time.Minute)
		h.is.Equal(h.state(id), substrate.RunRunning)
		h.leader.setAnswer(unreachable)
		time.Sleep(batchLease - 2*time.Second)
		h.is.Equal(h.state(id), substrate.RunRunning)
		time.Sleep(3 * time.Second)
		h.is.Equal(h.state(id), substrate.RunLapsed)
		h.leader.setAnswer(nil)
		time.Sleep(10 * time.Second)
		h.is.Equal(h.leader.reported(id).GetState(), string(substrate.RunLapsed))
	})
}

func TestLeaseRunsFromTheReadingBeforeALateAnswer(t *testing.T) {
	onHost(t, func(h *host) {
		id := attemptOf("j", 1)
		h.is.Equal(len(h.assign(h.request(id, "long"))), 0)
		time.Sleep(10 * time.Second)
		h.leader.setAnswer(func(*daisywallpb.HeartbeatRequest, *daisywallpb.HeartbeatResponse) error {
			time.Sleep(time.Hour) // the agent is frozen with the answer on its way
			return nil
		})
		time.Sleep(time.Minute)
		h.is.Equal(h.state(id), substrate.RunLapsed)
		time.Sleep(time.Hour)
		h.is.Equal(h.state(id), substrate.RunLapsed)
		h.leader.setAnswer(nil)
		time.Sleep(2 * time.Hour)
	})
}

func TestZeroTermsRenewNothingOfTheKind(t *testing.T) {
	onHost(t, func(h *host) {
		batch, service, unknown := attemptOf("batch", 1), attemptOf("service", 1), attemptOf("unknown", 1)
		h.is.Equal(len(h.assign(h.request(batch, "long"))), 0)
		req := h.request(service, "long")
		req.Assignments[0].Kind = string(structs.WorkService)
		h.is.Equal(len(h.assign(req)), 0)
		req = h.request(unknown, "long")
		req.Assignments[0].Kind = ""
		h.is.Equal(len(h.assign(req)), 0)
		h.startAgent() // knows the kinds from the runtime only
		h.leader.setAnswer(func(_ *daisywallpb.HeartbeatRequest, resp *daisywallpb.HeartbeatResponse) error {
			resp.ServiceLeaseMs = 0
			return nil
		})
		time.Sleep(time.Minute)
		h.is.Equal(h.state(batch), substrate.RunRunning)
		h.is.Equal(h.state(service), substrate.RunLapsed)
		h.is.Equal(h.state(unknown), substrate.RunLapsed)
	})
}

func TestRestartedAgentAdoptsRunsAndCountsThem(t *testing.T) {
	onHost(t, func(h *host) {
		for n := range int32(4) {
			h.is.Equal(len(h.assign(h.request(attemptOf("j"+strconv.Itoa(int(n)), 1), "long"))), 0)
		}
		h.startAgent()
		time.Sleep(DefaultStartGrant + 2*time.Second)
		h.is.Equal(h.assign(h.request(attemptOf("other", 1), "long")), []structs.Reason{structs.ReasonCapacity})
		time.Sleep(time.Minute)
		h.is.Equal(h.state(attemptOf("j0", 1)), substrate.RunRunning)
		h.is.Equal(h.starts(), 4)
	})
}

func TestStartOfAnEarlierAgentIsCountedBeforeNewOnes(t *testing.T) {
	onHost(t, func(h *host) {
		h.runtime.Faults.Delay(2*time.Second, 1)
		for n := range int32(4) {
			req := h.request(attemptOf("j"+strconv.Itoa(int(n)), 1), "long")
			go func() { _, _ = h.agent.Assign(context.Background(), req) }()
			synctest.Wait()
		}
		h.is.Equal(h.starts(), 3)
		h.startAgent()
		synctest.Wait()
		reasons := h.assign(h.request(attemptOf("other", 1), "long"))
		h.is.Equal(reasons, []structs.Reason{structs.ReasonStaleGrant})
		// Cells publish the sizes of their workers: it stays the whole one.
		h.is.Equal(api.ToResources(h.leader.last().GetCapacity()), hostCapacity)
		time.Sleep(DefaultStartGrant + 2*time.Second)
		h.is.Equal(h.starts(), 4)
		reasons = h.assign(h.request(attemptOf("another", 1), "long"))
		h.is.Equal(reasons, []structs.Reason{structs.ReasonCapacity})
		h.is.Equal(len(h.runtime.History().Violations()), 0)
	})
}

func TestUnknownStartIsSettledByTheRuntime(t *testing.T) {
	for name, effect := range map[string]bool{"that took effect": true, "that did not": false} {
		t.Run(name, func(t *testing.T) {
			onHost(t, func(h *host) {
				id := attemptOf("j", 1)
				if effect {
					h.runtime.Faults.LoseAnswer(startTries)
				} else {
					h.runtime.Faults.Silence(startTries)
				}
				go func() { _, _ = h.agent.Assign(context.Background(), h.request(id, "long")) }()
				time.Sleep(time.Minute)
				h.is.Equal(h.state(id) == substrate.RunRunning, effect)
				h.is.Equal(h.leader.reported(id) != nil, effect)
				want := hostCapacity
				if effect {
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

func TestHeartbeatFollowsTheLeader(t *testing.T) {
	onHost(t, func(h *host) {
		h.agent.setLeader("stale:1")
		before := h.leader.last().GetSequence()
		time.Sleep(2 * time.Second)
		synctest.Wait()
		h.is.True(h.leader.last().GetSequence() > before)
	})
}

func TestAnswerOfAnEarlierLeaderRenewsNothing(t *testing.T) {
	onHost(t, func(h *host) {
		id := attemptOf("j", 1)
		h.is.Equal(len(h.assign(h.request(id, "long"))), 0)
		h.assign(&daisywallpb.AssignRequest{Cell: "c1", Epoch: 2})
		time.Sleep(batchLease + time.Second)
		h.is.Equal(h.state(id), substrate.RunLapsed)
	})
}

func TestHeartbeatsReportOnlyWhatChanged(t *testing.T) {
	onHost(t, func(h *host) {
		id := attemptOf("j", 1)
		h.is.Equal(len(h.assign(h.request(id, "long"))), 0)
		time.Sleep(5 * time.Second)
		h.is.Equal(len(h.leader.last().GetRuns()), 0)
		h.is.Equal(len(h.leader.last().GetUsage()), 0)
		h.leader.setAnswer(func(_ *daisywallpb.HeartbeatRequest, resp *daisywallpb.HeartbeatResponse) error {
			resp.WantFull = true
			return nil
		})
		time.Sleep(2 * time.Second)
		h.is.True(h.leader.last().GetFull())
		h.is.Equal(len(h.leader.last().GetRuns()), 1)
		h.is.Equal(len(h.leader.last().GetUsage()), 1)
	})
}

func TestNewerConfigurationIsHandedOn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := newHost(t)
		defer h.close()
		have := int64(3)
		var taken []string
		agent, err := New(Options{
			Worker: structs.Worker{ID: "w1", Cell: "c1"}, Runtime: h.runtime, Finder: h.leader, Heartbeat: h.leader.Heartbeat,
			ConfigRevision: func() int64 { return have },
			TakeConfig:     func(revision int64, config []byte) { have, taken = revision, append(taken, string(config)) },
		})
		h.is.NoErr(err)
		revision := int64(2)
		h.leader.setAnswer(func(_ *daisywallpb.HeartbeatRequest, resp *daisywallpb.HeartbeatResponse) error {
			resp.ConfigRevision, resp.Config = revision, []byte("config")
			return nil
		})
		h.is.NoErr(agent.beat(context.Background()))
		revision = 4
		h.is.NoErr(agent.beat(context.Background()))
		h.is.NoErr(agent.beat(context.Background()))
		h.is.Equal(taken, []string{"config"})
		h.is.Equal(h.leader.last().GetConfigRevision(), int64(4))
	})
}

func TestUnknownStartStaysUnknownWhenTheRuntimeGoesOut(t *testing.T) {
	onHost(t, func(h *host) {
		id := attemptOf("j", 1)
		calls := 0
		h.port.start = func(spec substrate.StartSpec) error {
			calls++
			if calls > 1 {
				return &structs.UnavailableError{Dependency: "runtime"}
			}
			h.is.NoErr(h.runtime.Start(context.Background(), spec))
			return &structs.UnknownOutcomeError{Operation: "start"}
		}
		h.is.Equal(len(h.assign(h.request(id, "long"))), 0)
		time.Sleep(2 * time.Second)
		h.is.Equal(h.leader.reported(id).GetState(), string(substrate.RunRunning))
	})
}

func TestRejectedAttemptIsNeverAccepted(t *testing.T) {
	onHost(t, func(h *host) {
		large, id := attemptOf("large", 1), attemptOf("j", 1)
		req := h.request(large, "long")
		req.Assignments[0].Resources = api.FromResources(hostCapacity)
		h.is.Equal(len(h.assign(req)), 0)
		refused := h.request(id, "long")
		h.is.Equal(h.assign(refused), []structs.Reason{structs.ReasonCapacity})
		h.act(daisywallpb.Action_VERB_CANCEL, large)
		synctest.Wait()
		h.is.Equal(h.state(large), substrate.RunStopped)
		h.is.Equal(h.assign(refused), []structs.Reason{structs.ReasonCapacity})
	})
}

func TestAssignmentForAnEarlierAgentIsUnknown(t *testing.T) {
	onHost(t, func(h *host) {
		req := h.request(attemptOf("j", 1), "long")
		h.startAgent()
		for range 10 {
			time.Sleep(time.Second)
			reasons := h.assign(req)
			h.is.Equal(reasons, []structs.Reason{structs.ReasonStaleGrant})
			req.Assignments[0].Attempt.Number++
		}
	})
}

func TestRunThatIsMissingBringsAFullReport(t *testing.T) {
	onHost(t, func(h *host) {
		id := attemptOf("j", 1)
		h.is.Equal(len(h.assign(h.request(id, "long"))), 0)
		time.Sleep(2 * time.Second)
		h.is.True(!h.leader.last().GetFull())
		synctest.Wait()
		h.port.setSnapshot(func(s substrate.Snapshot) substrate.Snapshot {
			s.Runs = nil
			return s
		})
		time.Sleep(time.Second)
		h.is.True(h.leader.last().GetFull())
		h.is.Equal(len(h.leader.last().GetRuns()), 0)
	})
}
