package fleet

import (
	"context"
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/api/fleetpb"
	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/standin"
	"github.com/daisywall/daisywall/structs"
)

// Guards against 504 for submissions whose commits a busy table refuses for 4 s, and
// against 503 where an attempt had no answer and may have been applied.
func TestSubmissionsWhoseCommitsAreRefusedAreNotRun(t *testing.T) {
	cases := map[string]struct {
		first standin.StoreMode // for 0.3 s, before the table refuses
		want  int
		phase structs.JobPhase // of the first job after the table serves again
	}{
		"refused":                      {standin.StoreRefuses, 503, ""},
		"applied without an answer":    {standin.StoreLosesReplies, 504, structs.JobCompleted},
		"applied late, without answer": {standin.StoreCommitsLate, 504, structs.JobCompleted},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			runInFleet(t, 3, func(f *simulatedFleet) {
				is := is.New(f.t)
				f.waitReady()
				e := f.newEntry() // reads the row, as an entry that the table serves
				defer e.Close()
				is.NoErr(f.submit(e, testJob("before", 1)))
				f.waitUntil("completed", 8*time.Second, func() bool { return f.phase(e, "before") == structs.JobCompleted })
				setModes := func(mode standin.StoreMode) {
					for _, h := range f.hosts {
						h.store.SetMode(mode)
					}
				}
				time.Sleep(50 * time.Millisecond) // no commit is in flight
				setModes(c.first)
				time.AfterFunc(300*time.Millisecond, func() { setModes(standin.StoreRefuses) })
				time.AfterFunc(4*time.Second, func() { setModes(standin.StoreServes) })
				first := make(chan int, 1)
				go func() { first <- outcomeOf(f.submit(e, testJob("job-0", 1))) }()
				time.Sleep(time.Second)
				later := outcomeOf(f.submit(e, testJob("job-1", 1)))
				is.Equal(<-first, c.want)
				is.Equal(later, 503) // no commit has contained it, or only refused ones
				time.Sleep(10 * time.Second)
				is.Equal(f.phase(e, "job-0"), c.phase)
				is.Equal(f.checker.StartsOf(structs.StepTaskID{Job: "job-1"}), 0)
				is.NoErr(f.submit(e, testJob("job-1", 1))) // the caller comes back
				f.waitUntil("completed", 8*time.Second, func() bool { return f.phase(e, "job-1") == structs.JobCompleted })
			})
		})
	}
}

// Guards against changes, removals and answers that are lost with a withdrawn batch, and
// against a later batch that is taken for it.
func TestNextBatchHasTheChangesOfAWithdrawnOne(t *testing.T) {
	is := is.New(t)
	now := bootclock.Time(time.Hour)
	l, _ := leaderWithWorkers(t, &now, 1)
	part := standin.NewPartStore()
	store := part.Client()
	l.committer.store = store
	commit := func(mode standin.StoreMode) commitResult {
		store.SetMode(mode)
		l.commit(t.Context())
		return <-l.commitResults
	}
	// An expired job, whose ID is submitted again while its rows are being removed.
	l.submit(*testJob("a", 1), testQueue, func(fleetpb.Outcome) {})
	l.cancel("a", "q", func(fleetpb.Outcome) {})
	l.handleCommitted(commit(standin.StoreServes))
	now = now.Add(l.o.Timing.Retention)
	var outcomes []string
	record := func(id string) func(fleetpb.Outcome) {
		return func(o fleetpb.Outcome) { outcomes = append(outcomes, fmt.Sprint(id, " ", o)) }
	}
	l.submit(*testJob("b", 1), testQueue, record("b"))
	first := commit(standin.StoreRefuses)
	is.True(first.refused != nil)
	l.markDirty(l.jobs["b"], nil, nil) // changes while the batch is in flight
	l.withdrawCommit(first)
	is.True(l.withdrawn.retry != nil)
	l.submit(*testJob("a", 1), testQueue, record("a"))
	second := commit(standin.StoreServes)
	is.Equal(second.row.Commit, l.row.Commit+2)
	l.handleCommitted(second)
	is.Equal(outcomes, []string{"b DONE", "a DONE"})
	is.Equal(len(l.dirtyJobs)+len(l.withdrawn.removes), 0)
	for _, id := range []structs.JobID{"a", "b"} {
		phase, _, err := ReadStoredPhase(context.Background(), store, id)
		is.NoErr(err)
		is.Equal(phase, structs.JobQueued)
	}
}
