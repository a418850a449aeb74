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

func execute1(e *Executor, id string, change func(*daisywallpb.ExecuteRequest)) *daisywallpb.ExecuteResponse {
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

func settle1(e *Executor, id, incarnation string, wait time.Duration) *daisywallpb.SettleResponse {
	response, err := e.Settle(context.Background(), &daisywallpb.SettleRequest{
		RequestId: id, AgentIncarnation: incarnation, WaitMs: wait.Milliseconds(),
	})
	if err != nil {
		panic(err)
	}
	return response
}

func TestFencedRequestNeverBegins(t *testing.T) {
	inWorld(t, 1, 8, 10*time.Millisecond, func(t *testing.T, w *world) {
		is := is.New(t)
		e := w.agents[0].executor
		is.Equal(settle1(e, "r1", "", 0).Outcome, notRun)
		response := execute1(e, "r1", nil)
		is.Equal(response.Outcome, notRun)
		is.Equal(response.Reason, string(structs.ReasonFenced))
		is.Equal(w.history.runs()["r1"], 0)
	})
}

func TestWaitingRequestIsFencedAtOnce(t *testing.T) {
	inWorld(t, 1, 1, time.Second, func(t *testing.T, w *world) {
		is := is.New(t)
		e := w.agents[0].executor
		var running sync.WaitGroup
		running.Go(func() { execute1(e, "r1", nil) })
		time.Sleep(time.Millisecond)
		began := time.Now()
		running.Go(func() {
			is.Equal(execute1(e, "r2", nil).Outcome, notRun)
			is.Equal(time.Since(began), 5*time.Millisecond)
		})
		time.Sleep(5 * time.Millisecond)
		is.Equal(settle1(e, "r2", "", 0).Outcome, notRun)
		running.Wait()
		is.Equal(w.history.runs()["r2"], 0)
	})
}

func TestDuplicateDeliveryRunsOnceAndGetsTheSameAnswer(t *testing.T) {
	inWorld(t, 1, 8, 10*time.Millisecond, func(t *testing.T, w *world) {
		is := is.New(t)
		e := w.agents[0].executor
		var both sync.WaitGroup
		for range 2 {
			both.Go(func() {
				response := execute1(e, "r1", nil)
				is.Equal(response.Outcome, answered)
				is.Equal(string(response.Answer.Body), "answer to r1")
			})
		}
		both.Wait()
		is.Equal(settle1(e, "r1", "", 0).Outcome, answered) // retained
		is.Equal(w.history.runs()["r1"], 1)
	})
}

func TestRestartedAgentVouchesForNothing(t *testing.T) {
	inWorld(t, 1, 8, 10*time.Millisecond, func(t *testing.T, w *world) {
		is := is.New(t)
		a := w.agents[0]
		former := a.executor.options.Incarnation
		execute1(a.executor, "r1", nil)
		a.restart()
		is.Equal(settle1(a.executor, "r1", former, 0).Outcome, unknown)
		response := execute1(a.executor, "r1", func(q *daisywallpb.ExecuteRequest) { q.AgentIncarnation = former })
		is.Equal(response.Outcome, notRun)
		is.Equal(w.history.runs()["r1"], 1)
	})
}

func TestRequestDelayedBeyondItsWindowNeverBegins(t *testing.T) {
	inWorld(t, 1, 8, 10*time.Millisecond, func(t *testing.T, w *world) {
		is := is.New(t)
		e := w.agents[0].executor
		bound := (e.Clock() + time.Second).Milliseconds()
		time.Sleep(time.Minute) // the process was frozen
		response := execute1(e, "r1", func(q *daisywallpb.ExecuteRequest) { q.NotAfterMs = bound })
		is.Equal(response.Outcome, notRun)
		is.Equal(w.history.runs()["r1"], 0)
	})
}

func TestLeavingTargetFinishesItsOwnAndRefusesTheRestAtOnce(t *testing.T) {
	inWorld(t, 1, 1, time.Second, func(t *testing.T, w *world) {
		is := is.New(t)
		a := w.agents[0]
		var running sync.WaitGroup
		running.Go(func() { is.Equal(execute1(a.executor, "begun", nil).Outcome, answered) })
		time.Sleep(time.Millisecond)
		began := time.Now()
		running.Go(func() {
			is.Equal(execute1(a.executor, "waiting", nil).Reason, string(structs.ReasonLeaving))
			is.Equal(time.Since(began), 10*time.Millisecond)
		})
		time.Sleep(10 * time.Millisecond)
		a.locals.Leave(structs.TargetID(a.target.name))
		time.Sleep(time.Millisecond)
		is.Equal(execute1(a.executor, "new", nil).Reason, string(structs.ReasonLeaving))
		running.Wait()
		is.Equal(w.history.runs(), map[string]int{"begun": 1})
	})
}

// TestSilentTargetGetsNoNewWorkAfterTTL keeps an entry that hears of no
// change: the agent has the final word.
func TestSilentTargetGetsNoNewWorkAfterTTL(t *testing.T) {
	inWorld(t, 2, 8, 10*time.Millisecond, func(t *testing.T, w *world) {
		is := is.New(t)
		r := w.router()
		gone := w.agents[0]
		gone.locals = membership.NewLocalTargets(membership.LocalOptions{})
		is.NoErr(gone.locals.Announce(gone.announcement(8)))
		gone.kill()
		gone.boot()
		w.refresh()
		time.Sleep(membership.TargetTTL) // it no longer announces itself
		for range 20 {
			answer, err := r.Do(context.Background(), call("alert", "late"))
			is.NoErr(err)
			is.Equal(answer.Worker, w.agents[1].id)
		}
	})
}

func TestStoppedAgentAndEntryCutOffNothing(t *testing.T) {
	inWorld(t, 1, 8, time.Second, func(t *testing.T, w *world) {
		is := is.New(t)
		r := w.router()
		var running sync.WaitGroup
		for _, kind := range []string{"alert", "lookup", "match"} {
			running.Go(func() {
				a, err := r.Do(context.Background(), call(kind, kind))
				is.NoErr(err)
				is.True(isWhole(a, kind))
			})
		}
		time.Sleep(100 * time.Millisecond)
		var stops sync.WaitGroup
		stops.Go(func() { is.NoErr(r.Stop(context.Background())) })
		stops.Go(func() { is.NoErr(w.agents[0].executor.Stop(context.Background())) })
		time.Sleep(time.Millisecond)
		_, err := r.Do(context.Background(), call("alert", "new"))
		var refused *structs.NotRunError
		is.True(errors.As(err, &refused))
		is.Equal(refused.Reason, structs.ReasonShuttingDown)
		is.Equal(execute1(w.agents[0].executor, "new", nil).Reason, string(structs.ReasonShuttingDown))
		running.Wait()
		stops.Wait()
		is.Equal(r.InFlight(), 0)
		is.Equal(w.history.runs()["new"], 0)
	})
}

func TestUnreachableTargetIsNotRun(t *testing.T) {
	inWorld(t, 1, 8, time.Millisecond, func(t *testing.T, w *world) {
		is := is.New(t)
		w.agents[0].target.kill()
		is.Equal(execute1(w.agents[0].executor, "r1", nil).Outcome, notRun)
	})
}

// overLoopback returns an executor for one target at the URL.
func overLoopback(t *testing.T, url string) *Executor {
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

// TestTransportRepeatsNothing closes a kept-alive connection after the request
// has arrived. The HTTP transport would repeat a GET by itself.
func TestTransportRepeatsNothing(t *testing.T) {
	for _, method := range []string{http.MethodGet, http.MethodPost, http.MethodPut} {
		t.Run(method, func(t *testing.T) {
			is := is.New(t)
			var arrived atomic.Int64
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if arrived.Add(1) == 1 {
					return // leaves a connection to be used again
				}
				panic(http.ErrAbortHandler)
			}))
			defer server.Close()
			e := overLoopback(t, server.URL)
			set := func(q *daisywallpb.ExecuteRequest) { q.Method = method }
			is.Equal(execute1(e, "r1", set).Outcome, answered)
			is.Equal(execute1(e, "r2", set).Outcome, unknown)
			is.Equal(arrived.Load(), int64(2))
		})
	}
}

// TestAnswerWithoutAnEndIsNotWhole sends answers whose end is the end of the
// connection, or comes too early.
func TestAnswerWithoutAnEndIsNotWhole(t *testing.T) {
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
			e := overLoopback(t, "http://"+listener.Addr().String())
			response := execute1(e, "r1", nil)
			is.Equal(response.Outcome, unknown)
			is.True(response.Answer == nil)
		})
	}
}
