package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/api/fleetpb"
	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/workflow"
)

// silence is shorter than a lease, so that the runs of a silent worker go on.
const silence = DefaultLease - 300*time.Millisecond

// reportingFleet is a leader whose workers list their runs every 200 ms.
type reportingFleet struct {
	l      *leader
	now    *bootclock.Time
	silent map[*worker]bool
	paused map[*worker]bool           // the runs of the worker make no progress
	work   map[structs.RunID]float64  // share of the work done, in percent
	active map[structs.RunID]bool     // the runner has started the run
	orders map[structs.WorkerID]int64 // number of the last orders that the agent has seen
}

// report lets the worker list its runs, in a new session if the leader has ended
// the one before.
func (f *reportingFleet) report(w *worker) {
	if w.session == nil {
		f.l.attachSession(newSession(), &fleetpb.Hello{
			Worker: string(w.id), Incarnation: w.incarnation, Pool: string(w.pool), MilliCpu: testCapacity.MilliCPU, MemoryMb: testCapacity.MemoryMB,
		})
	}
	r := &fleetpb.WorkerReport{Listed: true, OrdersSeen: f.orders[w.id]}
	for _, run := range w.sortedRuns() {
		if !f.active[run.id] {
			r.Starting = append(r.Starting, runToProto(run.id))
			continue
		}
		r.Active = append(r.Active, &fleetpb.Active{Run: runToProto(run.id), Percent: int32(f.work[run.id]), Pace: fullPacePercent})
	}
	f.l.handleReport(w.session, r)
}

// play advances the clock. A run does 4 % of its work in 200 ms.
func (f *reportingFleet) play(d time.Duration) {
	for until := f.now.Add(d); *f.now < until; {
		*f.now = f.now.Add(200 * time.Millisecond)
		for _, w := range f.l.workers {
			for _, run := range w.sortedRuns() {
				if !f.paused[w] {
					f.work[run.id] = min(99, f.work[run.id]+4)
				}
			}
			if !f.silent[w] {
				f.report(w)
			}
		}
		f.l.runPeriodicChecks()
	}
}

// TestRunsOfAWorkerThatWasSilentGoOn guards against taking the time in which a
// worker was paused, or did not report, for time in which its runs made no
// progress.
func TestRunsOfAWorkerThatWasSilentGoOn(t *testing.T) {
	for _, c := range []struct {
		name     string
		tasks    int32 // on each worker
		estimate time.Duration
		started  bool
		paused   bool
	}{
		{"host was paused, runs would count as stuck", 1, time.Second, true, true},
		{"host was paused, runs would count as far slower than others", 2, 0, true, true},
		{"agent was silent, runs worked on", 2, time.Second, true, false},
		{"host was paused while its runner started runs", 1, time.Second, false, true},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			now := bootclock.Time(time.Hour)
			l, _ := leaderWithWorkers(t, &now, 4)
			f := &reportingFleet{
				l: l, now: &now, silent: map[*worker]bool{}, paused: map[*worker]bool{}, work: map[structs.RunID]float64{},
				active: map[structs.RunID]bool{}, orders: map[structs.WorkerID]int64{},
			}
			spec := testJob("a", 4*c.tasks)
			spec.Steps[0].Estimate = c.estimate
			j := &job{Job: workflow.New(*spec, testQueue)}
			l.addJob(j)
			slow := l.workers["w0"]
			index := int32(0)
			for _, w := range l.workers {
				w.session.worker, w.listedAt, w.leaseEndsAt = w, now, now.Add(time.Minute)
				for range c.tasks {
					id, _ := j.Assign(structs.StepTaskID{Job: "a", Index: index}, w.id, "i")
					r := w.assign(id, "i", j)
					r.stored, r.startOrderNumber, r.startOrderedAt = true, 1, now
					f.active[id] = c.started || w != slow
					index++
				}
			}
			f.play(600 * time.Millisecond)
			f.silent[slow], f.paused[slow] = true, c.paused
			f.play(silence)
			f.silent[slow], f.paused[slow] = false, false
			f.play(600 * time.Millisecond)
			for _, r := range slow.sortedRuns() {
				f.active[r.id] = true
			}
			f.play(600 * time.Millisecond)
			is.Equal(len(slow.runs), int(c.tasks))
			for _, r := range slow.runs {
				is.Equal(r.stopReason, "")
			}
			is.Equal(slow.health.quarantinedAt, bootclock.Time(0))
		})
	}
}
