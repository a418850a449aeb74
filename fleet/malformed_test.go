package fleet

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/daisywall/daisywall/api/fleetpb"
	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/workflow"
)

// drawRun returns a run that may not exist, or nil.
func drawRun(t *rapid.T) *fleetpb.Run {
	if rapid.IntRange(0, 9).Draw(t, "nil run") == 0 {
		return nil
	}
	number := rapid.Int32Range(-1, 3)
	return &fleetpb.Run{
		Job: rapid.SampledFrom([]string{"a", "service", "none", ""}).Draw(t, "job"), Round: number.Draw(t, "round"), Step: number.Draw(t, "step"),
		Index: number.Draw(t, "index"), Number: number.Draw(t, "number"),
	}
}

func drawReport(t *rapid.T) *fleetpb.WorkerReport {
	r := &fleetpb.WorkerReport{
		Listed: rapid.Bool().Draw(t, "listed"), SentAt: rapid.Int64().Draw(t, "sent"), OrdersSeen: rapid.Int64().Draw(t, "seen"),
		RemainingMs: rapid.Int64().Draw(t, "remaining"), Draining: rapid.Bool().Draw(t, "draining"),
	}
	for range rapid.IntRange(0, 4).Draw(t, "active") {
		if rapid.IntRange(0, 9).Draw(t, "nil active") == 0 {
			r.Active = append(r.Active, nil)
			continue
		}
		r.Active = append(r.Active, &fleetpb.Active{
			Run: drawRun(t), Percent: rapid.Int32().Draw(t, "percent"), Figure: rapid.Int64().Draw(t, "figure"), Pace: rapid.Int32().Draw(t, "pace"),
		})
	}
	for range rapid.IntRange(0, 4).Draw(t, "ended") {
		r.Ended = append(r.Ended, &fleetpb.Ended{
			Number: rapid.Int64Range(-1, 6).Draw(t, "end number"), Run: drawRun(t),
			End: rapid.SampledFrom([]string{"done", "failed", "stopped", "lapsed", "broken", "alone", "x", ""}).Draw(t, "end"),
		})
	}
	for range rapid.IntRange(0, 2).Draw(t, "starting") {
		r.Starting = append(r.Starting, drawRun(t))
	}
	return r
}

func TestMalformedReportsAreHandled(tb *testing.T) {
	rapid.Check(tb, func(t *rapid.T) {
		now := bootclock.Time(time.Hour)
		l, _ := leaderWithWorkers(tb, &now, 2)
		addService(l, "service", 2, 500)
		l.addJob(&job{Job: workflow.New(*testJob("a", 3, 2), testQueue)})
		for _, w := range l.workers {
			w.session.worker, w.leaseEndsAt = w, now.Add(time.Second)
		}
		for range rapid.IntRange(1, 12).Draw(t, "reports") {
			now = now.Add(rapid.SampledFrom([]time.Duration{time.Millisecond, 500 * time.Millisecond, 3 * time.Second}).Draw(t, "after"))
			l.lastCommitSentAt = now
			w := l.workers[structs.WorkerID(rapid.SampledFrom([]string{"w0", "w1"}).Draw(t, "worker"))]
			if w.session == nil {
				l.attachSession(newSession(), &fleetpb.Hello{Worker: string(w.id), Incarnation: "i", Pool: "pool", MilliCpu: rapid.Int64().Draw(t, "cpu")})
			}
			l.handleReport(w.session, drawReport(t))
			l.schedule(context.Background())
			l.runPeriodicChecks()
			for _, w := range l.workers {
				for _, r := range w.runs {
					r.stored = true
				}
				l.sendOrders(w)
			}
		}
	})
}

// The state in memory may be inconsistent after a panic, so the leadership ends
// and the next leader reads the state from the store.
func TestPanicInTheLeadersLoopEndsTheLeadershipAndNotTheProcess(t *testing.T) {
	runInFleet(t, 3, func(f *simulatedFleet) {
		is := is.New(f.t)
		l := f.waitReady()
		e := f.newEntry()
		defer e.Close()
		is.NoErr(f.submit(e, testJob("a", 4)))
		host := f.leaderHost()
		is.True(!l.runInLoop(context.Background(), func() { panic("injected") }))
		f.waitUntil("another leadership", 4*time.Second, func() bool {
			next := f.leaderHost()
			return next != nil && next.node.activeLeader() != l
		})
		is.True(host.agentRuns())
		f.waitUntil("completed", 6*time.Second, func() bool { return f.phase(e, "a") == structs.JobCompleted })
	})
}
