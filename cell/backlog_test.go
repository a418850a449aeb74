package cell

import (
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/structs"
)

// pendingTasks returns n pending tasks of a job.
func pendingTasks(job structs.Job, n int32) []*Task {
	state := &JobState{Job: job}
	tasks := make([]*Task, n)
	for i := range tasks {
		tasks[i] = &Task{Index: int32(i), job: state}
	}
	return tasks
}

func TestPendingSelectionIncludesEveryTeam(t *testing.T) {
	due := time.Date(2026, 12, 4, 0, 0, 0, 0, time.UTC)
	largeBacklog := pendingTasks(structs.Job{ID: "a", Team: "jabuka", Kind: structs.WorkBatch}, 500)
	otherTeam := pendingTasks(structs.Job{ID: "z", Team: "graz", Kind: structs.WorkBatch, Deadline: due}, 2)
	urgent := pendingTasks(structs.Job{ID: "y", Team: "jabuka", Kind: structs.WorkBatch, Deadline: due}, 3)
	all := append(append(append([]*Task{}, largeBacklog...), otherTeam...), urgent...)
	count := func(chosen []*Task) map[structs.JobID]int {
		byJob := map[structs.JobID]int{}
		for _, task := range chosen {
			byJob[task.job.Job.ID]++
		}
		return byJob
	}
	everybody := func(*structs.Job) bool { return true }
	cases := []struct {
		name    string
		hasRoom func(*structs.Job) bool
		limit   int
		want    map[structs.JobID]int
	}{
		{"a large backlog leaves room for another team and for urgent tasks", everybody, 100, map[structs.JobID]int{"a": 95, "y": 3, "z": 2}},
		{"a team without room is left out", func(j *structs.Job) bool { return j.Team == "graz" }, 100, map[structs.JobID]int{"z": 2}},
		{"no team has room", func(*structs.Job) bool { return false }, 100, map[structs.JobID]int{}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(count(selectPending(all, c.hasRoom, c.limit)), c.want)
		})
	}
}

func TestTeamStartsBesideABacklogThatItsQuotaHoldsBack(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newSimulatedCluster(t, Timing{})
		defer w.close()
		one := structs.Resources{MilliCPU: 1000, MemoryMB: 1000}
		w.quotas = func() map[structs.TeamID]structs.Resources {
			return map[structs.TeamID]structs.Resources{"jabuka": one, "graz": one.Scale(4)}
		}
		w.addHosts("a", "north", 2)
		w.submitJob("long", structs.WorkBatch, 5000)
		time.Sleep(5 * time.Second)
		for i := range 6 {
			job, err := w.jobs.Submit(w.ctx, structs.Job{
				Team: "graz", Class: "batch", Kind: structs.WorkBatch, Program: "sleep", Tasks: 1, MaxAttempts: 3, Resources: one,
			}, fmt.Sprint("free-", i))
			is.NoErr(err)
			_, done := w.waitForJob(job.ID, time.Minute)
			is.True(done)
		}
	})
}

func TestRejectedStartDoesNotRestartTheWaitOfATask(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newSimulatedCluster(t, Timing{})
		defer w.close()
		w.addHosts("a", "north", 1)
		only := w.members[0]
		only.host.mu.Lock()
		only.host.rejectStarts = true
		only.host.mu.Unlock()
		id := w.submitJob("rejected", structs.WorkBatch, 1)
		time.Sleep(time.Minute)
		longest := 0.0
		for range 100 {
			report, err := w.nodeOf(only).leader("a").explain(subjectTask, structs.TaskID{Job: id}.String(), time.Now())
			is.NoErr(err)
			longest = max(longest, report.Waiting)
			time.Sleep(100 * time.Millisecond)
		}
		is.True(longest > 50)
	})
}
