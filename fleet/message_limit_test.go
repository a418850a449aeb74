package fleet

import (
	"context"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"google.golang.org/protobuf/proto"

	"github.com/daisywall/daisywall/api/fleetpb"
	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/workflow"
)

// Guards against a worker whose sessions all end because its starts do not fit into one
// message.
func TestWorkerGetsStartsThatDontFitIntoOneMessage(t *testing.T) {
	for name, lose := range map[string]func(f *simulatedFleet, h *simulatedHost){
		"runner restarts": func(_ *simulatedFleet, h *simulatedHost) { h.runner.Restart() },
		"leader and runner restart": func(f *simulatedFleet, h *simulatedHost) {
			h.runner.Restart()
			leader := f.leaderHost()
			leader.killAgent()
			leader.startAgent()
		},
		"session ends between two messages": func(_ *simulatedFleet, h *simulatedHost) {
			h.runner.Restart()
			for range 20 {
				time.Sleep(30 * time.Millisecond)
				h.dropSession()
			}
		},
	} {
		t.Run(name, func(t *testing.T) {
			runInFleet(t, 1, func(f *simulatedFleet) {
				const jobs, width = 3, 400
				is := is.New(t)
				f.checker.TaskCPU = func(structs.StepTaskID) int64 { return 0 }
				f.runTime.set(func(structs.RunID) time.Duration { return 20 * time.Second })
				f.waitReady()
				e := f.newEntry()
				defer e.Close()
				for _, id := range []string{"a", "b", "c"} {
					j := testJob(id, width)
					j.Payload = strings.Repeat("x", workflow.MaxPayloadBytes)
					j.Steps[0].Resources = structs.Resources{}
					is.NoErr(f.submit(e, j))
					time.Sleep(2 * time.Second)
				}
				f.waitUntil("tasks run", 4*time.Second, func() bool { return f.checker.ActiveRuns() == jobs*width })
				lose(f, f.hosts[0])
				f.waitUntil("tasks run again", unstableFor+f.timing.RestartLimit, func() bool { return f.checker.ActiveRuns() == jobs*width })
				for _, id := range []string{"a", "b", "c"} {
					f.waitUntil("completed", 30*time.Second, func() bool { return f.phase(e, id) == structs.JobCompleted })
				}
			})
		})
	}
}

// Guards against orders that are lost, repeated or sent without their limit when they
// are split, or that fill the queue of an agent that reads slowly.
func TestStartsAreSplitAndWaitForASlowAgent(t *testing.T) {
	is := is.New(t)
	now := bootclock.Time(time.Hour)
	l, _ := leaderWithWorkers(t, &now, 1)
	w := l.workers["w0"]
	s := w.session
	s.worker, w.listed = w, true
	const tasks = 500
	total := 0
	for _, id := range []string{"a", "b", "c", "d", "e"} {
		spec := testJob(id, tasks)
		spec.Payload = strings.Repeat("x", workflow.MaxPayloadBytes)
		spec.Steps[0].Resources = structs.Resources{}
		l.addJob(&job{Job: workflow.New(*spec, testQueue)})
		total += tasks
	}
	l.schedule(t.Context())
	for _, r := range w.runs {
		r.stored = true
		l.orderStart(w, r)
	}
	is.Equal(len(w.outbox.starts), total)
	for range maxQueuedOrders - 3 {
		is.True(s.send(&fleetpb.WorkerOrders{}))
	}
	l.sendOrders(w)
	is.Equal(len(s.orders), maxQueuedOrders) // the rest waits
	is.True(len(w.outbox.starts) > 0)
	w.outbox.replyDue = true
	l.sendOrders(w)
	is.Equal(len(s.orders), maxQueuedOrders+1) // answers go out nevertheless
	l.sendOrders(w)
	is.Equal(len(s.orders), maxQueuedOrders+1)
	started := map[structs.RunID]int{}
	for number := int64(0); len(s.orders) > 0; {
		orders := <-s.orders
		is.True(proto.Size(orders) <= maxOrdersBytes)
		is.True(orders.Number == 0 || orders.Number == number+1)
		number = orders.Number
		for _, start := range orders.Starts {
			id := runFromProto(start.GetRun())
			started[id]++
			is.Equal(w.runs[id].startOrderNumber, orders.Number)
		}
		l.sendOrders(w)
	}
	is.Equal(len(started), total)
	is.Equal(len(w.outbox.starts), 0)
	for _, n := range started {
		is.Equal(n, 1)
	}
}

// silentStream is a stream whose peer neither reads nor answers.
type silentStream struct {
	fleetpb.Fleet_AttendClient
	ctx context.Context
}

func (s *silentStream) Send(*fleetpb.WorkerReport) error {
	<-s.ctx.Done()
	return s.ctx.Err()
}

func (s *silentStream) Recv() (*fleetpb.WorkerOrders, error) {
	<-s.ctx.Done()
	return nil, s.ctx.Err()
}

// Guards against an agent that does not look for another leader because its reports to a
// silent one block.
func TestSessionWithALeaderThatReadsNothingEndsInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimulatedFleet(t, 1)
		defer f.close()
		f.waitReady()
		h := f.hosts[0]
		ctx, cancel := context.WithCancel(context.Background())
		defer cancel()
		info := h.node.host.current()
		a := newAgentSession(h.node.host, leaderRow{}, info, &silentStream{ctx: ctx})
		a.runner = nil
		begun := time.Now()
		end, _ := a.run(ctx, cancel, &fleetpb.WorkerOrders{Epoch: h.node.lastKnownLeader().Epoch})
		is := is.New(t)
		is.Equal(end, endLost)
		is.True(time.Since(begun) <= f.timing.SessionTimeout+agentSessionTick)
	})
}
