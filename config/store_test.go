package config

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/standin"
	"github.com/daisywall/daisywall/structs"
)

func TestAppliedChangeCreatesTheNextRevision(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := NewStore(standin.NewTable())
	for i := int64(0); i < 3; i++ {
		revision, err := store.Apply(ctx, i, replaceTeams(testTeam("jabuka", 800+i)), "ana")
		is.NoErr(err)
		is.Equal(revision, i+1)
	}
	current, err := store.Current(ctx)
	is.NoErr(err)
	is.Equal(current.Revision, int64(3))
	is.Equal(current.Teams[0].Requests[0].DeadlineMS, int64(802))
	history, err := store.History(ctx, 2)
	is.NoErr(err)
	is.Equal(len(history), 2)
	is.Equal(history[0].Revision, int64(3))
	is.Equal(history[0].Operator, "ana")
}

func TestApplyOnAnOldRevisionReturnsTheDifference(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := NewStore(standin.NewTable())
	_, err := store.Apply(ctx, 0, replaceTeams(testTeam("jabuka", 800)), "ana")
	is.NoErr(err)
	_, err = store.Apply(ctx, 1, replaceTeams(testTeam("jabuka", 900)), "ana")
	is.NoErr(err)
	_, err = store.Apply(ctx, 1, replaceTeams(testTeam("jabuka", 700)), "berta")
	var conflict *ConflictError
	is.True(errors.As(err, &conflict))
	is.Equal(conflict.Current, int64(2))
	is.Equal(conflict.Difference, Difference{{Path: "/teams/jabuka/requests/check/deadline_ms", Before: "800", After: "900"}})
	current, err := store.Current(ctx)
	is.NoErr(err)
	is.Equal(current.Revision, int64(2))
}

func TestOnlyOneOfConcurrentChangesIsCommitted(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := NewStore(standin.NewTable())
	results := make(chan error, 8)
	for i := range 8 {
		go func() {
			_, err := store.Apply(ctx, 0, replaceTeams(testTeam(fmt.Sprintf("team-%d", i), 800)), "ana")
			results <- err
		}()
	}
	committed := 0
	for range 8 {
		err := <-results
		var conflict *ConflictError
		if err == nil {
			committed++
		} else {
			is.True(errors.As(err, &conflict))
		}
	}
	is.Equal(committed, 1)
	current, err := store.Current(ctx)
	is.NoErr(err)
	is.Equal(len(current.Teams), 1)
}

func TestRollbackCreatesANewRevision(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := NewStore(standin.NewTable())
	_, err := store.Apply(ctx, 0, replaceTeams(testTeam("jabuka", 800)), "ana")
	is.NoErr(err)
	_, err = store.Apply(ctx, 1, Change{Put: []structs.TeamConfig{testTeam("graz", 500)}, Remove: []structs.TeamID{"jabuka"}}, "ana")
	is.NoErr(err)
	revision, err := store.Rollback(ctx, 1, "berta")
	is.NoErr(err)
	is.Equal(revision, int64(3))
	earlier, err := store.ReadRevision(ctx, 1)
	is.NoErr(err)
	current, err := store.Current(ctx)
	is.NoErr(err)
	is.Equal(Diff(earlier, current), nil)
	is.Equal(current.Teams, earlier.Teams)
	_, err = store.Rollback(ctx, 9, "berta")
	var notFound *structs.NotFoundError
	is.True(errors.As(err, &notFound))
}

// TestCommitWithLostResponseTakesEffectOnce repeats a commit whose response is
// lost. Without the compare on the head row and the lookup of the transaction
// ID, the change would take effect twice or be reported as a conflict with
// itself.
func TestCommitWithLostResponseTakesEffectOnce(t *testing.T) {
	for name, fault := range map[string]func(f *standin.Faults){
		"after the effect":        func(f *standin.Faults) { f.LoseAnswer(1) },
		"before the effect":       func(f *standin.Faults) { f.Silence(1) },
		"both, one after another": func(f *standin.Faults) { f.Silence(1); f.LoseAnswer(1) },
		"long before the effect":  func(f *standin.Faults) { f.Delay(3*commitTimeout, 1) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				table := standin.NewTable()
				store := NewStore(table)
				stored, err := store.readCurrent(t.Context())
				is.NoErr(err)
				fault(&table.Faults)
				revision, err := store.apply(t.Context(), stored, replaceTeams(testTeam("jabuka", 800)), HistoryEntry{Operator: "ana"})
				is.NoErr(err)
				is.Equal(revision, int64(1))
				time.Sleep(10 * commitTimeout) // delayed writes arrive
				history, err := store.History(t.Context(), 10)
				is.NoErr(err)
				is.Equal(len(history), 1)
				is.Equal(table.Load().RowsWritten, int64(3))
			})
		})
	}
}

// TestOutcomeIsUnknownWhenTheTableFailsAfterALostResponse guards against an
// error that says that nothing was changed. The lost commit may have taken
// effect.
func TestOutcomeIsUnknownWhenTheTableFailsAfterALostResponse(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := standin.NewTable()
		store := NewStore(table)
		ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
		defer cancel()
		stored, err := store.readCurrent(ctx)
		is.NoErr(err)
		table.Faults.LoseAnswer(1)
		go func() {
			time.Sleep(commitRetryInterval / 10)
			table.Faults.Refuse(standin.EveryCall)
		}()
		_, err = store.apply(ctx, stored, replaceTeams(testTeam("jabuka", 800)), HistoryEntry{Operator: "ana"})
		var unknown *structs.UnknownOutcomeError
		is.True(errors.As(err, &unknown))
	})
}

func TestRejectedChangeReportsEveryFaultAndChangesNothing(t *testing.T) {
	is := is.New(t)
	ctx := context.Background()
	store := NewStore(standin.NewTable())
	invalidTeam := testTeam("jabuka", 800)
	invalidTeam.Requests[0].Urgency = "soon"
	invalidTeam.Services[0].MinAvailable = 9
	invalidTeam.Batch[0].RunTimeMS = invalidTeam.Batch[0].DeadlineMS + 1
	_, err := store.Apply(ctx, 0, Change{Put: []structs.TeamConfig{invalidTeam, testTeam("graz", 1), testTeam("graz", 2)}, Remove: []structs.TeamID{"nobody"}}, "ana")
	var invalid *structs.InvalidError
	is.True(errors.As(err, &invalid))
	is.Equal(len(invalid.Faults), 5)
	var paths []string
	for _, fault := range invalid.Faults {
		is.True(fault.Value != "" && fault.Rule != "")
		paths = append(paths, fault.Path)
	}
	is.Equal(paths, []string{
		"/remove", "/teams/graz/id", "/teams/jabuka/batch/0/run_time_ms",
		"/teams/jabuka/requests/0/urgency", "/teams/jabuka/services/0/minimum",
	})
	current, err := store.Current(ctx)
	is.NoErr(err)
	is.Equal(current.Revision, int64(0))
}

// TestLostCommitOvertakenByAnotherChangeReturnsAConflict loses the first
// operator's commit before it takes effect. Another operator commits the same
// revision before the retry. The first operator must receive a conflict,
// because the history row is not from its transaction.
func TestLostCommitOvertakenByAnotherChangeReturnsAConflict(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := standin.NewTable()
		store := NewStore(table)
		stored, err := store.readCurrent(t.Context())
		is.NoErr(err)
		table.Faults.Silence(1)
		go func() {
			time.Sleep(commitTimeout / 2)
			_, err := store.apply(t.Context(), stored, replaceTeams(testTeam("graz", 500)), HistoryEntry{Operator: "berta"})
			is.NoErr(err)
		}()
		_, err = store.apply(t.Context(), stored, replaceTeams(testTeam("jabuka", 800)), HistoryEntry{Operator: "ana"})
		var conflict *ConflictError
		is.True(errors.As(err, &conflict))
		is.Equal(conflict.Current, int64(1))
		is.True(len(conflict.Difference) > 0)
		history, err := store.History(t.Context(), 10)
		is.NoErr(err)
		is.Equal(history[0].Operator, "berta")
	})
}
