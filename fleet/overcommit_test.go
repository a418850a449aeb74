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

func TestTasksWithCheckpointsLeaveAWorkerThatHasShrunk(t *testing.T) {
	for _, c := range []struct {
		name    string
		to      structs.Resources
		lasts   time.Duration
		stopped []string
	}{
		{"brief dip", structs.Resources{}, overcommitDelay / 2, nil},
		{"processors", structs.Resources{MilliCPU: 1400, MemoryMB: 8000}, overcommitDelay, []string{"resumable"}},
		{"memory", structs.Resources{MilliCPU: 4000, MemoryMB: 300}, overcommitDelay, []string{"filling"}},
		{"everything", structs.Resources{}, overcommitDelay, []string{"filling", "resumable"}},
		{"still fits", structs.Resources{MilliCPU: 2000, MemoryMB: 500}, overcommitDelay, nil},
	} {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			now := bootclock.Time(time.Hour)
			l, lines := leaderWithWorkers(t, &now, 1)
			w := l.workers["w0"]
			w.session.worker, w.leaseEndsAt = w, now.Add(time.Minute)
			for name, change := range map[string]func(*structs.Step){
				"service": func(s *structs.Step) { s.LongRunning, s.Checkpoints = true, true }, "short": func(*structs.Step) {},
				"resumable": func(s *structs.Step) { s.Checkpoints = true }, "filling": func(s *structs.Step) { s.Checkpoints, s.Fills = true, true },
			} {
				spec := testJob(name, 1)
				change(&spec.Steps[0])
				j := &job{Job: workflow.New(*spec, testQueue)}
				l.addJob(j)
				id, _ := j.Assign(structs.StepTaskID{Job: spec.ID}, w.id, "i")
				w.assign(id, "i", j).startedAt = now
			}
			shrink := &fleetpb.Hello{Incarnation: "i", Pool: "pool", MilliCpu: c.to.MilliCPU, MemoryMb: c.to.MemoryMB}
			l.handleReport(w.session, &fleetpb.WorkerReport{Hello: shrink})
			l.checkWorker(w, now)
			now = now.Add(c.lasts)
			l.handleReport(w.session, &fleetpb.WorkerReport{})
			l.checkWorker(w, now)
			var stopped []string
			for _, r := range w.sortedRuns() {
				if r.stopReason != "" {
					stopped = append(stopped, string(r.id.Task.Job))
				}
			}
			is.Equal(stopped, c.stopped)
			is.Equal(lines.FilterMessage("worker over its capacity").Len() == 1, c.stopped != nil || c.lasts < overcommitDelay)
			shrink.MilliCpu, shrink.MemoryMb = 4000, 8000
			l.handleReport(w.session, &fleetpb.WorkerReport{Hello: shrink})
			l.checkWorker(w, now)
			is.Equal(w.overcommittedSince, bootclock.Time(0))
		})
	}
}
