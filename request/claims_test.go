package request

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/structs"
)

// TestKeyRepeatedAfterTheAgentForgotNeverRunsAgain repeats a key later than
// the agent remembers its request, for which the claim still stands.
func TestKeyRepeatedAfterTheAgentForgotNeverRunsAgain(t *testing.T) {
	for _, wait := range []time.Duration{time.Minute, keyedRetention - time.Second, keyedRetention + time.Minute, 5 * time.Hour} {
		t.Run(wait.String(), func(t *testing.T) {
			inWorld(t, 3, 8, 10*time.Millisecond, func(t *testing.T, w *world) {
				is := is.New(t)
				c := call("alert", "r1")
				c.Key = "key"
				_, err := w.router().Do(context.Background(), c)
				is.NoErr(err)
				time.Sleep(wait)
				w.refresh()
				answer, err := w.router().Do(context.Background(), c)
				is.Equal(w.history.runs()["r1"], 1)
				var unknown *structs.UnknownOutcomeError
				is.True(errors.As(err, &unknown) || isWhole(answer, "r1"))
			})
		})
	}
}

// TestClaimsAreSweptAfterADay writes a claim in every hour of two days, with
// two sweepers and an outage of six hours.
func TestClaimsAreSweptAfterADay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := newFakeTable()
		claims := NewTableClaims(table)
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		for range 2 {
			running.Go(func() { _ = NewClaimSweeper(table, nil).Run(ctx) })
		}
		write := func(hour int) {
			_, granted, err := claims.Acquire(ctx, fmt.Sprintf("%03d", hour), Claim{ID: "r"}, nil)
			is.NoErr(err)
			is.True(granted)
		}
		kept := func(hour int) bool {
			_, err := claims.Find(ctx, fmt.Sprintf("%03d", hour))
			return err == nil
		}
		for hour := range 24 {
			write(hour)
			time.Sleep(time.Hour)
		}
		is.True(kept(0)) // it is a day old at the most
		table.set(func(f *fakeTable) { f.down = true })
		time.Sleep(6 * time.Hour)
		table.set(func(f *fakeTable) { f.down = false })
		for hour := 24; hour < 54; hour++ {
			write(hour)
			time.Sleep(time.Hour)
		}
		is.True(!kept(0))
		is.True(!kept(23))
		is.True(kept(53 - claimRetentionMarks + 1))
		is.True(len(table.rows) < 2*claimRetentionMarks)
		cancel()
		running.Wait()
	})
}
