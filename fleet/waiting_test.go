package fleet

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/workflow"
)

// Guards against jobs that are not said to wait although no task of them has started: an
// assignment whose start was refused or lost is none.
func TestJobsWaitUntilARunnerHasStartedATask(t *testing.T) {
	for name, c := range map[string]struct {
		start     callFault
		nextLeads bool
	}{
		"starts are refused":                       {start: refuseAsUnhealthy},
		"starts have no answer":                    {start: loseCall},
		"connections are reset":                    {start: resetConnection},
		"starts are refused, and the leader fails": {start: refuseAsUnhealthy, nextLeads: true},
	} {
		t.Run(name, func(t *testing.T) {
			runInFleet(t, 3, func(f *simulatedFleet) {
				const jobs = 5
				is := is.New(t)
				f.runTime.set(func(structs.RunID) time.Duration { return 4 * time.Second })
				f.waitReady()
				e := f.newEntry()
				defer e.Close()
				waiting := func() int64 {
					ctx, cancel := context.WithTimeout(context.Background(), time.Second)
					defer cancel()
					n, err := e.Waiting(ctx, "q")
					is.NoErr(err)
					return n
				}
				for _, h := range f.hosts {
					h.setCallFaults(c.start, nil)
				}
				for _, id := range []string{"a", "b", "c", "d", "e"} {
					is.NoErr(f.submit(e, testJob(id, 1)))
				}
				time.Sleep(2 * time.Second)
				is.Equal(waiting(), int64(jobs))
				if c.nextLeads {
					h := f.leaderHost()
					h.killAgent()
					h.startAgent()
					f.waitReady()
					is.Equal(waiting(), int64(jobs))
				}
				for _, h := range f.hosts {
					h.setCallFaults(nil, nil)
				}
				f.waitUntil("tasks run", 12*time.Second, func() bool { return f.checker.ActiveRuns() == jobs })
				f.waitUntil("none waits", time.Second, func() bool { return waiting() == 0 })
				h := f.leaderHost()
				h.killAgent()
				h.startAgent()
				f.waitReady()
				is.Equal(waiting(), int64(0))
				f.waitUntil("completed", 10*time.Second, func() bool { return f.phase(e, "e") == structs.JobCompleted })
			})
		})
	}
}

func TestRecordsShowThatAJobHasBegun(t *testing.T) {
	is := is.New(t)
	restore := func(j *workflow.Job) *workflow.Job {
		spec, err := j.EncodeSpec()
		is.NoErr(err)
		state, err := j.EncodeState()
		is.NoErr(err)
		restored, err := workflow.Decode(j.Spec.ID, spec, state)
		is.NoErr(err)
		return restored
	}
	j := workflow.New(*testJob("a", 2), testQueue)
	task := structs.StepTaskID{Job: "a"}
	is.True(restore(j).IsWaiting())
	run, _ := j.Assign(task, "w", "i")
	is.True(restore(j).IsWaiting())
	j.Release(run, "")
	is.True(restore(j).IsWaiting()) // the start was refused
	run, _ = j.Assign(task, "w", "i")
	j.Fail(run, "")
	is.True(!restore(j).IsWaiting()) // in a record of an earlier version too
	other := workflow.New(*testJob("a", 2), testQueue)
	other.Assign(task, "w", "i")
	other.MarkBegun()
	is.True(!restore(other).IsWaiting())
	other.Cancelled = true
	is.True(!other.IsWaiting())
}
