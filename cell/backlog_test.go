package cell

import (
	"fmt"
	"slices"
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

func TestLargeTaskStartsBesideLaterSmallTasksOfItsTeam(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newSimulatedCluster(t, Timing{})
		defer w.close()
		one := structs.Resources{MilliCPU: 1000, MemoryMB: 1000}
		w.quotas = func() map[structs.TeamID]structs.Resources {
			return map[structs.TeamID]structs.Resources{"jabuka": one.Scale(4)}
		}
		w.addHosts("a", "north", 2)
		time.Sleep(10 * time.Second)
		submit := func(key string, size structs.Resources) structs.JobID {
			job, err := w.jobs.Submit(w.ctx, structs.Job{
				Team: "jabuka", Class: "batch", Kind: structs.WorkBatch, Program: "sleep", Tasks: 1, MaxAttempts: 3, Resources: size,
			}, key)
			is.NoErr(err)
			return job.ID
		}
		var large structs.JobID
		// The small tasks need more than the quota, and they end one after another.
		for i := range 400 {
			submit(fmt.Sprint("small-", i), one)
			if i == 20 {
				large = submit("large", one.Scale(3))
			}
			time.Sleep(700 * time.Millisecond)
		}
		status, err := w.jobs.Status(w.ctx, large)
		is.NoErr(err)
		is.Equal(status.Finished, int32(1))
	})
}

func TestOnlyATaskThatCanUseTheShareHoldsBackItsTeam(t *testing.T) {
	cores := func(n int64) structs.Resources { return structs.Resources{MilliCPU: 1000 * n, MemoryMB: 1000 * n} }
	cases := []struct {
		name   string
		size   int64         // cores that the waiting task needs
		waited time.Duration // by the waiting task
		kind   structs.WorkKind
		held   bool
	}{
		{"waits for the share", 3, 2 * shareWaitLimit, structs.WorkBatch, true},
		{"has not waited long", 3, shareWaitLimit / 2, structs.WorkBatch, false},
		{"fits beside the services", 2, 2 * shareWaitLimit, structs.WorkBatch, true},
		{"does not fit beside the services", 4, 2 * shareWaitLimit, structs.WorkBatch, false},
		{"fits on no worker", 5, 2 * shareWaitLimit, structs.WorkBatch, false},
		{"holds back no service", 3, 2 * shareWaitLimit, structs.WorkService, false},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			now := time.Now()
			l := &leader{cell: "a", state: NewState(), sessions: map[structs.WorkerID]*workerSession{"w": newWorkerSession("w")}, pendingSince: map[structs.TaskID]time.Time{}}
			l.sessions["w"].worker.Capacity = cores(4)
			share := cores(4)
			if c.size == 5 {
				share = cores(8)
			}
			l.quotas.teams = map[structs.TeamID]*teamQuota{"jabuka": {row: quotaRow{Shares: map[structs.CellID]structs.Resources{"a": share}}}}
			l.options.Quotas = func() map[structs.TeamID]structs.Resources { return nil }
			assign := func(job structs.Job) {
				t := pendingTasks(job, 1)[0]
				l.state.assigned[t.ID()] = t
			}
			assign(structs.Job{ID: "service", Team: "jabuka", Kind: structs.WorkService, Resources: cores(1)})
			assign(structs.Job{ID: "batch", Team: "jabuka", Kind: structs.WorkBatch, Resources: share.Sub(cores(2))})
			large := pendingTasks(structs.Job{ID: "large", Team: "jabuka", Kind: structs.WorkBatch, Resources: cores(c.size)}, 1)[0]
			later := pendingTasks(structs.Job{ID: "later", Team: "jabuka", Kind: c.kind, Resources: cores(1)}, 1)[0]
			l.pendingSince[large.ID()], l.pendingSince[later.ID()] = now.Add(-c.waited), now
			kept := l.leaveRoomInShares([]*Task{large, later}, l.remainingShares(), now)
			is.Equal(slices.Contains(kept, later), !c.held)
			is.True(slices.Contains(kept, large))
		})
	}
}
