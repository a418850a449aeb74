package fleet

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// foreignReports are valid reports that another writer may send beside those of the
// runner.
var foreignReports = map[string]func(r *substrate.RunnerInfo){
	"later incarnation": func(r *substrate.RunnerInfo) {
		r.StartedAt = r.StartedAt.Add(time.Hour)
		r.Incarnation, r.Sequence = r.ID+"@later", 1
	},
	"later incarnation of another runner": func(r *substrate.RunnerInfo) {
		r.StartedAt, r.ID, r.Address = r.StartedAt.Add(time.Minute), "other", "other"
		r.Incarnation, r.Sequence = "other@later", 1
	},
	"earlier incarnation": func(r *substrate.RunnerInfo) {
		r.StartedAt = r.StartedAt.Add(-time.Hour)
		r.Incarnation, r.Sequence = r.ID+"@earlier", 1<<40
	},
	"highest sequence": func(r *substrate.RunnerInfo) { r.Sequence = 1<<53 - 1 },
	"high sequence":    func(r *substrate.RunnerInfo) { r.Sequence += 5000 },
	"other address":    func(r *substrate.RunnerInfo) { r.Address = "other" },
	"pool that is not configured": func(r *substrate.RunnerInfo) {
		r.Pool = "other"
	},
	"other failure domain": func(r *substrate.RunnerInfo) { r.FailureDomain = "other" },
}

// Guards against a worker that loses its runs, or follows its runner no longer, because
// of valid reports that are not the runner's.
func TestForeignReportsBesideTheRunnersOwnChangeNothing(t *testing.T) {
	for name, change := range foreignReports {
		t.Run(name, func(t *testing.T) {
			runInFleet(t, 3, func(f *simulatedFleet) {
				is := is.New(t)
				f.runTime.set(func(structs.RunID) time.Duration { return time.Hour })
				l := f.waitReady()
				e := f.newEntry()
				defer e.Close()
				is.NoErr(f.submit(e, testJob("a", 9)))
				f.waitUntil("tasks run", time.Second, func() bool { return f.checker.ActiveRuns() == 9 })
				h := f.followerHost()
				for range 15 {
					info := h.runner.Report()
					change(&info)
					h.node.Announce(info)
					time.Sleep(700 * time.Millisecond)
				}
				is.Equal(f.checker.StartsOfJob("a"), 9)
				is.Equal(f.checker.ActiveRuns(), 9)
				l.runInLoop(context.Background(), func() {
					w := l.workers[h.name]
					is.Equal(w.incarnation, h.runner.Info().Incarnation)
					is.Equal(w.pool, structs.PoolID("pool"))
					is.Equal(l.unusableReason(w, l.o.Clock()), "")
				})
				h.runner.SetDraining(true)
				time.Sleep(4 * time.Second)
				l.runInLoop(context.Background(), func() { is.True(l.workers[h.name].draining) })
				h.runner.SetDraining(false)
				h.runner.Restart()
				f.waitUntil("tasks run again", 2500*time.Millisecond, func() bool { return f.checker.ActiveRuns() == 9 })
			})
		})
	}
}

// Guards against a worker that follows its runner no longer, because another writer sends
// several reports between two of the runner's own.
func TestForeignReportsMoreOftenThanTheRunnersOwnChangeNothing(t *testing.T) {
	t.Parallel()
	for name, change := range foreignReports {
		t.Run(name, func(t *testing.T) {
			runInFleet(t, 3, func(f *simulatedFleet) {
				is := is.New(f.t)
				f.reportInterval.set(DefaultRunnerReportInterval)
				f.runTime.set(func(structs.RunID) time.Duration { return time.Hour })
				f.restartAgents()
				l := f.waitReady()
				e := f.newEntry()
				defer e.Close()
				is.NoErr(f.submit(e, testJob("a", 9)))
				f.waitUntil("tasks run", time.Second, func() bool { return f.checker.ActiveRuns() == 9 })
				h := f.followerHost()
				for i := range int64(120) {
					info := h.runner.Info()
					change(&info)
					info.Sequence = min(info.Sequence+1+i, 1<<53-1)
					h.announce(info)
					time.Sleep(100 * time.Millisecond)
				}
				is.Equal(f.checker.StartsOfJob("a"), 9)
				is.Equal(f.checker.ActiveRuns(), 9)
				l.runInLoop(context.Background(), func() {
					w := l.workers[h.name]
					is.Equal(w.incarnation, h.runner.Info().Incarnation)
					is.Equal(w.pool, structs.PoolID("pool"))
					is.Equal(l.unusableReason(w, l.o.Clock()), "")
				})
			})
		})
	}
}

// Guards against tasks that run twice, because the first report that an agent receives after its
// restart is another writer's.
func TestForeignFirstReportEndsNoRun(t *testing.T) {
	t.Parallel()
	for name, change := range foreignReports {
		t.Run(name, func(t *testing.T) {
			runInFleet(t, 3, func(f *simulatedFleet) {
				is := is.New(f.t)
				f.reportInterval.set(DefaultRunnerReportInterval)
				f.settings.set(identityInSettings)
				f.runTime.set(func(structs.RunID) time.Duration { return time.Hour })
				f.restartAgents()
				f.waitReady()
				e := f.newEntry()
				defer e.Close()
				is.NoErr(f.submit(e, testJob("a", 9)))
				f.waitUntil("tasks run", time.Second, func() bool { return f.checker.ActiveRuns() == 9 })
				h := f.followerHost()
				h.killAgent()
				h.setSilent(true)
				h.startAgent()
				info := h.runner.Report()
				change(&info)
				h.announce(info)
				time.Sleep(300 * time.Millisecond)
				h.setSilent(false)
				time.Sleep(12 * time.Second)
				is.Equal(f.checker.StartsOfJob("a"), 9)
				is.Equal(f.checker.ActiveRuns(), 9)
				is.Equal(f.readyWorkers(), 3)
			})
		})
	}
}

// Guards against a worker that drains for good, because another writer has said in the name of its
// runner that it is about to end.
func TestRunnerThatReportsOnAfterAForeignLeaveIsUsed(t *testing.T) {
	runInFleet(t, 3, func(f *simulatedFleet) {
		is := is.New(f.t)
		l := f.waitReady()
		h := f.followerHost()
		draining := func() (isDraining bool) {
			l.runInLoop(context.Background(), func() { isDraining = l.workers[h.name].draining })
			return isDraining
		}
		h.node.MarkRunnerLeaving(string(h.name))
		f.waitUntil("worker drains", time.Second, draining)
		f.waitUntil("worker is used", 2*defaultReportInterval, func() bool { return !draining() })
		h.runner.SetDraining(true)
		h.node.MarkRunnerLeaving(string(h.name))
		time.Sleep(4 * defaultReportInterval)
		is.True(draining()) // a runner that says itself that it drains
	})
}

// Guards against an agent that never finds its runner, because the first report that it
// receives is another writer's.
func TestAgentFindsItsRunnerAfterAForeignReport(t *testing.T) {
	for name, change := range foreignReports {
		t.Run(name, func(t *testing.T) {
			runInFleet(t, 3, func(f *simulatedFleet) {
				is := is.New(t)
				f.waitReady()
				e := f.newEntry()
				defer e.Close()
				h := f.followerHost()
				h.killAgent()
				h.setSilent(true)
				h.startAgent()
				info := h.runner.Report()
				change(&info)
				h.node.Announce(info)
				time.Sleep(300 * time.Millisecond)
				h.setSilent(false)
				f.waitUntil("all workers ready", f.timing.RestartLimit, func() bool { return f.readyWorkers() == 3 })
				time.Sleep(2 * time.Second)
				is.NoErr(f.submit(e, testJob("a", 24)))
				f.waitUntil("completed", 4*time.Second, func() bool { return f.phase(e, "a") == structs.JobCompleted })
				is.Equal(f.checker.StartsOfJob("a"), 24)
			})
		})
	}
}

func TestReportsAreJudgedByTheLastAcceptedOne(t *testing.T) {
	born := time.UnixMilli(1_700_000_000_000)
	accepted := substrate.RunnerInfo{ID: "r", Incarnation: "r@1", StartedAt: born, Sequence: 50, Address: "a", Pool: "p", FailureDomain: "d"}
	with := func(change func(r *substrate.RunnerInfo)) substrate.RunnerInfo {
		r := accepted
		change(&r)
		return r
	}
	later := with(func(r *substrate.RunnerInfo) {
		r.Incarnation, r.StartedAt, r.Sequence = "r@2", born.Add(time.Second), 1
	})
	for name, c := range map[string]struct {
		report    substrate.RunnerInfo
		prepare   func(h *host)
		answering bool
		want      claim
	}{
		"first":                   {report: accepted, prepare: func(h *host) { h.info = substrate.RunnerInfo{} }, want: claimCurrent},
		"next":                    {report: with(func(r *substrate.RunnerInfo) { r.Sequence++ }), want: claimCurrent},
		"after a gap":             {report: with(func(r *substrate.RunnerInfo) { r.Sequence += maxSequenceGap }), want: claimCurrent},
		"after a longer gap":      {report: with(func(r *substrate.RunnerInfo) { r.Sequence += maxSequenceGap + 1 }), want: claimChanged},
		"the same again":          {report: accepted, want: claimDelayed},
		"earlier one":             {report: with(func(r *substrate.RunnerInfo) { r.Sequence-- }), want: claimDelayed},
		"other capacity":          {report: with(func(r *substrate.RunnerInfo) { r.Sequence++; r.Capacity.MilliCPU = 1 }), want: claimCurrent},
		"other labels":            {report: with(func(r *substrate.RunnerInfo) { r.Sequence++; r.Labels = []string{"x"} }), want: claimCurrent},
		"other pool":              {report: with(func(r *substrate.RunnerInfo) { r.Sequence++; r.Pool = "q" }), want: claimChanged},
		"earlier incarnation":     {report: with(func(r *substrate.RunnerInfo) { r.Incarnation, r.StartedAt = "r@0", born.Add(-1) }), want: claimEarlier},
		"later, runner silent":    {report: later, want: claimCurrent},
		"later, runner answers":   {report: later, answering: true, want: claimReplaced},
		"later, runner is gone":   {report: later, answering: true, prepare: func(h *host) { h.runnerGone = true }, want: claimCurrent},
		"later, runner drains":    {report: later, answering: true, prepare: func(h *host) { h.info.Draining = true }, want: claimCurrent},
		"later, runner leaves":    {report: later, answering: true, prepare: func(h *host) { h.leaving = true }, want: claimCurrent},
		"later, last poll failed": {report: later, answering: true, prepare: func(h *host) { h.runs.failingFrom = 1 }, want: claimCurrent},
	} {
		t.Run(name, func(t *testing.T) {
			m, err := newMetrics(noop.NewMeterProvider())
			is.New(t).NoErr(err)
			h := newHost(Options{Clock: bootclock.Now, Log: nopLog}, m)
			h.info = accepted
			if c.answering {
				h.recordList(accepted.Incarnation, nil, nil)
			}
			if c.prepare != nil {
				c.prepare(h)
			}
			is.New(t).Equal(h.classify(c.report), c.want)
		})
	}
}
