package request

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/membership"
	"github.com/daisywall/daisywall/structs"
)

const (
	answered = daisywallpb.Outcome_OUTCOME_ANSWERED
	notRun   = daisywallpb.Outcome_OUTCOME_NOT_RUN
	unknown  = daisywallpb.Outcome_OUTCOME_UNKNOWN
)

func mustExecute(e *Executor, id string, change func(*daisywallpb.ExecuteRequest)) *daisywallpb.ExecuteResponse {
	q := &daisywallpb.ExecuteRequest{
		RequestId: id, Team: "graz", Kind: "alert", Urgent: true, TimeoutMs: 5000,
		Method: http.MethodPost, Path: "/alert", Body: []byte(id),
	}
	if change != nil {
		change(q)
	}
	response, err := e.Execute(context.Background(), q)
	if err != nil {
		panic(err)
	}
	return response
}

func mustSettle(e *Executor, id, incarnation string, wait time.Duration) *daisywallpb.SettleResponse {
	response, err := e.Settle(context.Background(), &daisywallpb.SettleRequest{
		RequestId: id, AgentIncarnation: incarnation, WaitMs: wait.Milliseconds(),
	})
	if err != nil {
		panic(err)
	}
	return response
}

func TestFencedRequestNeverBegins(t *testing.T) {
	inSimulatedCluster(t, 1, 8, 10*time.Millisecond, func(t *testing.T, cluster *simulatedCluster) {
		is := is.New(t)
		e := cluster.agents[0].executor
		is.Equal(mustSettle(e, "r1", "", 0).Outcome, notRun)
		response := mustExecute(e, "r1", nil)
		is.Equal(response.Outcome, notRun)
		is.Equal(response.Reason, string(structs.ReasonFenced))
		is.Equal(cluster.history.executionCounts()["r1"], 0)
	})
}

func TestSettleFencesAQueuedRequestImmediately(t *testing.T) {
	inSimulatedCluster(t, 1, 1, time.Second, func(t *testing.T, cluster *simulatedCluster) {
		is := is.New(t)
		e := cluster.agents[0].executor
		var running sync.WaitGroup
		running.Go(func() { mustExecute(e, "r1", nil) })
		time.Sleep(time.Millisecond)
		began := time.Now()
		running.Go(func() {
			is.Equal(mustExecute(e, "r2", nil).Outcome, notRun)
			is.Equal(time.Since(began), 5*time.Millisecond)
		})
		time.Sleep(5 * time.Millisecond)
		is.Equal(mustSettle(e, "r2", "", 0).Outcome, notRun)
		running.Wait()
		is.Equal(cluster.history.executionCounts()["r2"], 0)
	})
}

func TestDuplicateDeliveryRunsOnceAndGetsTheSameAnswer(t *testing.T) {
	inSimulatedCluster(t, 1, 8, 10*time.Millisecond, func(t *testing.T, cluster *simulatedCluster) {
		is := is.New(t)
		e := cluster.agents[0].executor
		var both sync.WaitGroup
		for range 2 {
			both.Go(func() {
				response := mustExecute(e, "r1", nil)
				is.Equal(response.Outcome, answered)
				is.Equal(string(response.Answer.Body), "answer to r1")
			})
		}
		both.Wait()
		is.Equal(mustSettle(e, "r1", "", 0).Outcome, answered) // the answer is retained
		is.Equal(cluster.history.executionCounts()["r1"], 1)
	})
}

func TestRestartedAgentReportsEarlierRequestsAsUnknown(t *testing.T) {
	inSimulatedCluster(t, 1, 8, 10*time.Millisecond, func(t *testing.T, cluster *simulatedCluster) {
		is := is.New(t)
		a := cluster.agents[0]
		previousIncarnation := a.executor.options.Incarnation
		mustExecute(a.executor, "r1", nil)
		a.restart()
		is.Equal(mustSettle(a.executor, "r1", previousIncarnation, 0).Outcome, unknown)
		response := mustExecute(a.executor, "r1", func(q *daisywallpb.ExecuteRequest) { q.AgentIncarnation = previousIncarnation })
		is.Equal(response.Outcome, notRun)
		is.Equal(cluster.history.executionCounts()["r1"], 1)
	})
}

func TestRequestDelayedBeyondItsWindowNeverBegins(t *testing.T) {
	inSimulatedCluster(t, 1, 8, 10*time.Millisecond, func(t *testing.T, cluster *simulatedCluster) {
		is := is.New(t)
		e := cluster.agents[0].executor
		bound := (e.Uptime() + time.Second).Milliseconds()
		time.Sleep(time.Minute) // the agent process was frozen
		response := mustExecute(e, "r1", func(q *daisywallpb.ExecuteRequest) { q.NotAfterMs = bound })
		is.Equal(response.Outcome, notRun)
		is.Equal(cluster.history.executionCounts()["r1"], 0)
	})
}

func TestLeavingTargetFinishesBegunRequestsAndRefusesOthersImmediately(t *testing.T) {
	inSimulatedCluster(t, 1, 1, time.Second, func(t *testing.T, cluster *simulatedCluster) {
		is := is.New(t)
		a := cluster.agents[0]
		var running sync.WaitGroup
		running.Go(func() { is.Equal(mustExecute(a.executor, "begun", nil).Outcome, answered) })
		time.Sleep(time.Millisecond)
		began := time.Now()
		running.Go(func() {
			is.Equal(mustExecute(a.executor, "waiting", nil).Reason, string(structs.ReasonLeaving))
			is.Equal(time.Since(began), 10*time.Millisecond)
		})
		time.Sleep(10 * time.Millisecond)
		a.localTargets.Leave(structs.TargetID(a.target.name))
		time.Sleep(time.Millisecond)
		is.Equal(mustExecute(a.executor, "new", nil).Reason, string(structs.ReasonLeaving))
		running.Wait()
		is.Equal(cluster.history.executionCounts(), map[string]int{"begun": 1})
	})
}

// TestTargetWithoutAnnouncementsGetsNoRequestsAfterTTL uses an entry whose list
// of candidates is out of date. The agent refuses requests to a target whose
// announcement has expired, and the entry uses another agent.
func TestTargetWithoutAnnouncementsGetsNoRequestsAfterTTL(t *testing.T) {
	inSimulatedCluster(t, 2, 8, 10*time.Millisecond, func(t *testing.T, cluster *simulatedCluster) {
		is := is.New(t)
		r := cluster.newRouter()
		expiredAgent := cluster.agents[0]
		expiredAgent.localTargets = membership.NewLocalTargets(membership.LocalOptions{})
		is.NoErr(expiredAgent.localTargets.Announce(expiredAgent.announcement(8)))
		expiredAgent.kill()
		expiredAgent.start()
		cluster.refreshMembers()
		time.Sleep(membership.TargetTTL) // the target does not announce itself again
		for range 20 {
			answer, err := r.Do(context.Background(), newCall("alert", "late"))
			is.NoErr(err)
			is.Equal(answer.Worker, cluster.agents[1].id)
		}
	})
}

func TestStopOfAgentAndEntryCompletesRequestsInFlight(t *testing.T) {
	inSimulatedCluster(t, 1, 8, time.Second, func(t *testing.T, cluster *simulatedCluster) {
		is := is.New(t)
		r := cluster.newRouter()
		var running sync.WaitGroup
		for _, kind := range []string{"alert", "lookup", "match"} {
			running.Go(func() {
				a, err := r.Do(context.Background(), newCall(kind, kind))
				is.NoErr(err)
				is.True(isCompleteAnswer(a, kind))
			})
		}
		time.Sleep(100 * time.Millisecond)
		var stops sync.WaitGroup
		stops.Go(func() { is.NoErr(r.Stop(context.Background())) })
		stops.Go(func() { is.NoErr(cluster.agents[0].executor.Stop(context.Background())) })
		time.Sleep(time.Millisecond)
		_, err := r.Do(context.Background(), newCall("alert", "new"))
		var refused *structs.NotRunError
		is.True(errors.As(err, &refused))
		is.Equal(refused.Reason, structs.ReasonShuttingDown)
		is.Equal(mustExecute(cluster.agents[0].executor, "new", nil).Reason, string(structs.ReasonShuttingDown))
		running.Wait()
		stops.Wait()
		is.Equal(r.InFlight(), 0)
		is.Equal(cluster.history.executionCounts()["new"], 0)
	})
}

func TestRequestToUnreachableTargetIsNotRun(t *testing.T) {
	inSimulatedCluster(t, 1, 8, time.Millisecond, func(t *testing.T, cluster *simulatedCluster) {
		is := is.New(t)
		cluster.agents[0].target.kill()
		is.Equal(mustExecute(cluster.agents[0].executor, "r1", nil).Outcome, notRun)
	})
}

// newLoopbackExecutor returns an executor with one target at the URL.
func newLoopbackExecutor(t *testing.T, url string) *Executor {
	locals := membership.NewLocalTargets(membership.LocalOptions{TTL: time.Hour})
	is := is.New(t)
	is.NoErr(locals.Announce(structs.Target{
		ID: "t", Team: "graz", Kinds: []string{"alert"}, URL: url, Incarnation: "1", Slots: 8, Connections: 60,
	}))
	e, err := NewExecutor(ExecutorOptions{Targets: locals, Incarnation: "1"})
	is.NoErr(err)
	t.Cleanup(func() {
		e.forwarder.clientFor(structs.Target{ID: "t", Incarnation: "1", Connections: 60}).CloseIdleConnections()
	})
	return e
}

// TestTransportNeverResendsANonIdempotentRequest closes a kept-alive connection
// after the request has arrived. The HTTP transport would resend a GET on its
// own.
func TestTransportNeverResendsANonIdempotentRequest(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut} {
		t.Run(method, func(t *testing.T) {
			is := is.New(t)
			var arrived atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if arrived.Add(1) == 1 {
					return // keeps the connection open for the next request
				}
				panic(http.ErrAbortHandler)
			}))
			defer server.Close()
			e := newLoopbackExecutor(t, server.URL)
			set := func(q *daisywallpb.ExecuteRequest) { q.Method = method }
			is.Equal(mustExecute(e, "r1", set).Outcome, answered)
			is.Equal(mustExecute(e, "r2", set).Outcome, unknown)
			is.Equal(arrived.Load(), int64(2))
		})
	}
}

// TestAnswerWithoutVerifiableEndIsUnknown sends answers that end with the
// connection or before their declared end. They may be truncated and must not
// be returned.
func TestAnswerWithoutVerifiableEndIsUnknown(t *testing.T) {
	for name, raw := range map[string]string{
		"ends with the connection": "HTTP/1.0 200 OK\r\n\r\nhalf",
		"shorter than its length":  "HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf",
		"last chunk missing":       "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nhalf\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			listener, err := net.Listen("tcp", "127.0.0.1:0")
			is.NoErr(err)
			defer listener.Close()
			go func() {
				conn, err := listener.Accept()
				if err != nil {
					return
				}
				buffer := make([]byte, 4096)
				_, _ = conn.Read(buffer)
				_, _ = conn.Write([]byte(raw))
				_ = conn.Close()
			}()
			e := newLoopbackExecutor(t, "http://"+listener.Addr().String())
			response := mustExecute(e, "r1", nil)
			is.Equal(response.Outcome, unknown)
			is.True(response.Answer == nil)
		})
	}
}
