package fleet

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/daisywall/daisywall/api/fleetpb"
	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/placement/steps"
	"github.com/daisywall/daisywall/standin"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
	"github.com/daisywall/daisywall/workflow"
)

// Guards against a fleet that decides nothing any more because the state of one job does
// not fit into a row of the store.
func TestFleetWorksOnWhenAStateDoesNotFitIntoOneRow(t *testing.T) {
	t.Parallel()
	for name, c := range map[string]struct {
		text   string // repeated, after the index of the task
		length int
	}{
		"checkpoints of 256 bytes":                  {"0", 256},
		"longest checkpoints":                       {"0", workflow.MaxCheckpointBytes},
		"checkpoints that are too long":             {"0", 20_000},
		"longest checkpoints of markup":             {"<p>1</p>", workflow.MaxCheckpointBytes},
		"longest checkpoints of quotes":             {`"\`, workflow.MaxCheckpointBytes},
		"longest checkpoints of control characters": {"\x01", workflow.MaxCheckpointBytes},
		"longest checkpoints of line separators":    {"\u2028", workflow.MaxCheckpointBytes},
	} {
		t.Run(name, func(t *testing.T) {
			runInFleet(t, 4, func(f *simulatedFleet) {
				const tasks = 500
				is := is.New(t)
				f.checker.TaskCPU = func(structs.StepTaskID) int64 { return 0 }
				f.runTime.set(func(r structs.RunID) time.Duration {
					if r.Task.Job == "large" {
						return 25 * time.Second
					}
					return 300 * time.Millisecond
				})
				f.checkpoint.set(func(r structs.RunID) string {
					return strings.ToValidUTF8((fmt.Sprint(r.Task.Index%10) + strings.Repeat(c.text, c.length))[:c.length], "")
				})
				f.waitReady()
				e := f.newEntry()
				defer e.Close()
				large := testJob("large", tasks)
				large.Steps[0].Resources, large.Steps[0].Checkpoints = structs.Resources{}, true
				is.NoErr(f.submit(e, large))
				f.waitUntil("tasks run", 4*time.Second, func() bool { return f.checker.ActiveRuns() == tasks })
				f.setStores(standin.StoreUnresponsive)
				killed := f.leaderHost()
				killed.killAgent()
				time.Sleep(f.timing.MaxLease + 4*time.Second)
				is.Equal(f.checker.EndsOf(substrate.RunEndLapsed), tasks)
				killed.startAgent()
				f.setStores(standin.StoreServes)
				f.waitUntil("tasks run again", 6*time.Second, func() bool { return f.checker.ActiveRuns() == tasks })
				is.NoErr(f.submit(e, testJob("small", 2)))
				f.waitUntil("small completed", 4*time.Second, func() bool { return f.phase(e, "small") == structs.JobCompleted })
				next := f.leaderHost()
				next.killAgent()
				next.startAgent()
				f.waitUntil("large completed", 40*time.Second, func() bool { return f.phase(e, "large") == structs.JobCompleted })
				is.Equal(f.checker.StartsOfJob("large"), 2*tasks)
				time.Sleep(f.timing.Retention + 5*time.Second)
				for _, table := range []string{tableState, tableJobs, tableStateParts} {
					rows, _ := f.store.List(table, fleetPart)
					is.Equal(len(rows), 0)
				}
			})
		})
	}
}

// refusingStore refuses transactions with a row that it does not accept, and answers
// without a delay.
type refusingStore struct {
	substrate.PartStore
	rows    *standin.PartStore
	accepts func(substrate.PartRow) bool
	refused int
}

// Commit implements substrate.PartStore.
func (s *refusingStore) Commit(_ context.Context, txn substrate.PartTxn) (int64, error) {
	for _, row := range txn.Puts {
		if !s.accepts(row) {
			s.refused++
			return 0, &substrate.TxnRefusedError{Reason: "row " + row.Key}
		}
	}
	return s.rows.Commit(txn)
}

// storedPhase returns the phase of a job in the store.
func storedPhase(store *standin.PartStore, id string) (structs.JobPhase, error) {
	rows, _ := store.List(tableState, fleetPart)
	for _, row := range rows {
		if row.Key == id {
			phase, _, err := workflow.DecodeState(structs.JobID(id), row.Value)
			return phase, err
		}
	}
	return "", &structs.NotFoundError{Subject: "row", Name: id}
}

// commitAll commits until no job is dirty, for at most limit batches.
func commitAll(t *rapid.T, l *leader, limit int) (batches int) {
	for ; len(l.dirtyJobs) > 0; batches++ {
		if batches == limit {
			t.Fatalf("%d jobs are not stored after %d batches", len(l.dirtyJobs), batches)
		}
		l.commit(context.Background())
		switch result := <-l.commitResults; {
		case result.refused != nil:
			l.withdrawCommit(result)
			l.withdrawn.retry = nil // without its pause
		case result.err != nil:
			t.Fatal(result.err)
		default:
			l.handleCommitted(result)
		}
	}
	return batches
}

// Guards against one row that keeps all other decisions from being stored.
func TestRowThatTheStoreRefusesIsSetApart(tt *testing.T) {
	rapid.Check(tt, func(t *rapid.T) {
		now := bootclock.Time(time.Hour)
		l, _ := leaderWithWorkers(tt, &now, 1)
		part := standin.NewPartStore()
		bad := map[string]bool{}
		store := &refusingStore{rows: part, accepts: func(r substrate.PartRow) bool {
			return !bad[r.Key] || r.Table == tableState && strings.Contains(string(r.Value), string(workflow.FailedToStore))
		}}
		l.committer.store = store
		n := rapid.IntRange(1, 60).Draw(t, "jobs")
		outcomes := map[string]fleetpb.Outcome{}
		submit := func(id string) {
			l.submit(*testJob(id, 1), testQueue, func(o fleetpb.Outcome) { outcomes[id] = o })
		}
		for i := range n {
			submit(fmt.Sprint("stored-", i))
		}
		commitAll(t, l, 3)
		for range rapid.IntRange(0, 3).Draw(t, "bad stored") {
			bad[fmt.Sprint("stored-", rapid.IntRange(0, n-1).Draw(t, "index"))] = true
		}
		for range rapid.IntRange(0, 3).Draw(t, "bad new") {
			bad[fmt.Sprint("new-", rapid.IntRange(0, n-1).Draw(t, "index"))] = true
		}
		if rapid.Bool().Draw(t, "bad model") {
			bad[modelKey] = true
			l.interferenceCheckedAt = 0
			l.interference.Learn("a", 2, []steps.Neighbour{{Image: "b", MinPace: 1, MaxPace: 1}})
		}
		for i := range n {
			l.markDirty(l.jobs[structs.JobID(fmt.Sprint("stored-", i))], nil, nil)
			submit(fmt.Sprint("new-", i))
		}
		batches := commitAll(t, l, 12*(len(bad)+1))
		if len(bad) > 0 && store.refused == 0 {
			t.Fatalf("no refused batch of %d", batches)
		}
		for i := range n {
			for _, id := range []string{fmt.Sprint("stored-", i), fmt.Sprint("new-", i)} {
				phase, err := storedPhase(part, id)
				switch {
				case !bad[id]:
					if err != nil || phase != structs.JobQueued || outcomes[id] != fleetpb.Outcome_DONE {
						t.Fatalf("%s: %q, %v, %s", id, phase, err, outcomes[id])
					}
				case strings.HasPrefix(id, "new"):
					if err == nil || outcomes[id] != fleetpb.Outcome_REFUSED || l.jobs[structs.JobID(id)] != nil {
						t.Fatalf("%s: %q, %s", id, phase, outcomes[id])
					}
				case phase != structs.JobFailed:
					t.Fatalf("%s: %q, %v", id, phase, err)
				}
			}
		}
	})
}

// Guards against batches over the limits of a transaction, whatever the sizes of their
// rows, and against changes that are left out of them.
func TestBatchesKeepTheLimitsOfTheStore(tt *testing.T) {
	rapid.Check(tt, func(t *rapid.T) {
		now := bootclock.Time(time.Hour)
		l, _ := leaderWithWorkers(tt, &now, 1)
		part := standin.NewPartStore() // has the limits
		store := &refusingStore{rows: part, accepts: func(substrate.PartRow) bool { return true }}
		l.committer.store = store
		want := map[structs.JobID]int{}
		for i := range rapid.IntRange(1, 40).Draw(t, "jobs") {
			spec := testJob(fmt.Sprint(i), int32(rapid.IntRange(1, workflow.MaxTasks).Draw(t, "tasks")))
			spec.Payload = strings.Repeat("x", rapid.IntRange(0, workflow.MaxPayloadBytes).Draw(t, "payload"))
			checkpoint := strings.Repeat("c", rapid.SampledFrom([]int{0, 16, 256, workflow.MaxCheckpointBytes}).Draw(t, "checkpoint"))
			l.submit(*spec, testQueue, func(fleetpb.Outcome) {})
			j := l.jobs[spec.ID]
			j.Tasks(func(id structs.StepTaskID, _ *workflow.Task) {
				run, _ := j.Assign(id, "w0", "i")
				j.Release(run, checkpoint)
			})
			want[spec.ID] = len(checkpoint)
		}
		for i := range rapid.IntRange(0, 3000).Draw(t, "pairs") {
			l.interference.Learn(fmt.Sprint("service-", i), 2, []steps.Neighbour{{Image: fmt.Sprint("fill-", i), MinPace: 1, MaxPace: 1}})
		}
		for len(l.dirtyJobs) > 0 {
			l.commit(context.Background())
			result := <-l.commitResults
			if result.refused != nil || result.err != nil {
				t.Fatalf("batch of %d jobs: %v %v", len(l.committingJobs), result.refused, result.err)
			}
			l.handleCommitted(result)
		}
		state, err := loadState(context.Background(), part.Client(), nopLog)
		if err != nil || state.unreadableJobs > 0 || len(state.jobs) != len(want) {
			t.Fatalf("%d of %d jobs, %d unreadable, %v", len(state.jobs), len(want), state.unreadableJobs, err)
		}
		for _, j := range state.jobs {
			j.Tasks(func(id structs.StepTaskID, task *workflow.Task) {
				if len(task.Checkpoint) != want[j.Spec.ID] || task.Run != 1 {
					t.Fatalf("%v: %+v", id, task)
				}
			})
		}
	})
}

func TestPairsThatDoNotFitAreTheLeastCertain(t *testing.T) {
	is := is.New(t)
	var pairs []steps.PairOdds
	for i := range 2000 {
		pairs = append(pairs, steps.PairOdds{Service: fmt.Sprint("service-", i), Fill: "f", LogOdds: float64(i%2*2-1) * float64(i) / 500})
	}
	value, err := encodePairs(pairs, DefaultRowBytes)
	is.NoErr(err)
	is.True(len(value) <= DefaultRowBytes && len(value) > DefaultRowBytes/2)
	var kept []steps.PairOdds
	is.NoErr(json.Unmarshal(value, &kept))
	services := map[string]bool{}
	for _, p := range kept {
		services[p.Service] = true
	}
	is.True(services["service-1999"] && services["service-1998"])
	is.True(!services["service-0"] && !services["service-1"])
	is.Equal(len(services), len(kept))
}

// Guards against a job that each leader would try to store in vain.
func TestJobWhoseSpecificationDoesNotFitIntoOneRowIsRefusedAtOnce(t *testing.T) {
	runInFleet(t, 2, func(f *simulatedFleet) {
		is := is.New(t)
		f.waitReady()
		e := f.newEntry()
		defer e.Close()
		large := testJob("large", 1)
		large.Steps[0].Label = strings.Repeat("x", DefaultRowBytes)
		var invalid *structs.InvalidError
		is.True(errors.As(f.submit(e, large), &invalid))
		is.NoErr(f.submit(e, testJob("small", 1)))
		f.waitUntil("completed", 4*time.Second, func() bool { return f.phase(e, "small") == structs.JobCompleted })
	})
}
