package cell

import (
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/structs"
)

// startsOf counts the starts of the job's attempts.
func (w *simulatedCluster) startsOf(job structs.JobID) int {
	n := 0
	for _, e := range w.history.sorted() {
		if e.kind == eventStart && e.attempt.Task.Job == job {
			n++
		}
	}
	return n
}

func TestTaskThatEndsItsRuntimesIsGivenUpAndOthersGoOn(t *testing.T) {
	for name, c := range map[string]struct {
		tasks   int32
		toAgent bool
	}{"one task": {1, false}, "several tasks": {3, false}, "one task that ends the agent too": {1, true}, "several that end the agent too": {3, true}} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newRunningCluster(t, 8)
				defer w.close()
				w.taskRunTime = 5 * time.Second
				var deadly atomic.Value
				w.deadlyToAgent, w.isDeadly = c.toAgent, func(id structs.TaskID) bool { return id.Job == deadly.Load() }
				service, batch := w.submitJob("service", structs.WorkService, 6), w.submitJob("batch", structs.WorkBatch, 20)
				is.True(eventually(time.Minute, func() bool { return w.runningTasks(service) == 6 }))
				job := w.submitJob("deadly", structs.WorkBatch, c.tasks)
				deadly.Store(job)
				status, done := w.waitForJob(job, 5*time.Minute)
				is.True(w.startsOf(job) <= int(c.tasks)*(maxCrashes+1)) // one may be attributed to another suspect
				is.True(done)
				is.Equal(status.Failed, c.tasks)
				is.True(strings.Contains(status.Details[0].Value, "3 runtimes in a row"))
				status, done = w.waitForJob(batch, 5*time.Minute)
				is.True(done)
				is.Equal(status.Finished, int32(20))
				is.True(eventually(2*time.Minute, func() bool { return w.runningTasks(service) == 6 }))
				is.NoErr(w.checkHistory())
			})
		})
	}
}

// A service is not given up, but each of its attempts waits longer.
func TestServiceThatEndsItsRuntimesDoesSoAtABoundedRate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newRunningCluster(t, 3)
		defer w.close()
		var deadly atomic.Value
		w.isDeadly = func(id structs.TaskID) bool { return id.Job == deadly.Load() }
		job := w.submitJob("deadly", structs.WorkService, 1)
		deadly.Store(job)
		time.Sleep(10 * time.Minute)
		is.True(w.startsOf(job) > maxCrashes)
		is.True(w.startsOf(job) <= 20) // one at once, then after 1 to 32 s, then one a minute
	})
}

func TestCrashesOfATaskAreCountedInItsState(t *testing.T) {
	lost := func(incarnation string, suspects ...TaskRef) *Batch {
		return &Batch{Epoch: 1, Workers: []WorkerChange{{Worker: "v", Incarnation: incarnation, Crashed: suspects}}}
	}
	ref := TaskRef{Job: "j"}
	cases := map[string]struct {
		kind      structs.WorkKind
		third     []TaskRef
		cancelled bool
		want      structs.TaskState
	}{
		"suspect of three in a row": {structs.WorkBatch, []TaskRef{ref}, false, structs.TaskFailed},
		"runs for long at last":     {structs.WorkBatch, nil, false, structs.TaskPending},
		"beside another suspect":    {structs.WorkBatch, []TaskRef{{Job: "k"}}, false, structs.TaskPending},
		"service":                   {structs.WorkService, []TaskRef{ref}, false, structs.TaskPending},
		"cancelled":                 {structs.WorkBatch, []TaskRef{ref}, true, structs.TaskCancelled},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			s := stateWithTasks(c.kind, 1)
			batches := []*Batch{startBatch("v", 1), lost("2", ref), startBatch("v", 2), lost("3", ref), startBatch("v", 3)}
			if c.cancelled {
				batches = append(batches, &Batch{Epoch: 1, Cancels: []structs.JobID{"j"}})
			}
			for i, b := range append(batches, lost("4", c.third...)) {
				s.Apply(int64(i+2), b)
			}
			is.Equal(s.Task(structs.TaskID{Job: "j"}).State, c.want)
			restored, err := decodeState("state", encode(s))
			is.NoErr(err)
			is.Equal(restored.Task(structs.TaskID{Job: "j"}).Crashes, s.Task(structs.TaskID{Job: "j"}).Crashes)
		})
	}
}
