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

// TestKeyRepeatedAfterTheAgentsRetentionNeverRunsAgain repeats a key one minute
// to five hours after its first send. The agent removes the record of the
// request earlier than the claim is removed. A missing record must not count as
// proof that the request has not run.
func TestKeyRepeatedAfterTheAgentsRetentionNeverRunsAgain(t *testing.T) {
	for _, wait := range []time.Duration{time.Minute, keyedRetention - time.Second, keyedRetention + time.Minute, 5 * time.Hour} {
		t.Run(wait.String(), func(t *testing.T) {
			inSimulatedCluster(t, 3, 8, 10*time.Millisecond, func(t *testing.T, cluster *simulatedCluster) {
				is := is.New(t)
				c := newCall("alert", "r1")
				c.Key = "key"
				_, err := cluster.newRouter().Do(context.Background(), c)
				is.NoErr(err)
				time.Sleep(wait)
				cluster.refreshMembers()
				answer, err := cluster.newRouter().Do(context.Background(), c)
				is.Equal(cluster.history.executionCounts()["r1"], 1)
				var unknown *structs.UnknownOutcomeError
				is.True(errors.As(err, &unknown) || isCompleteAnswer(answer, "r1"))
			})
		})
	}
}

// TestSweepersRemoveClaimsAfterADay writes a claim in every hour of two days,
// with two sweepers and a table outage of six hours in between. Claims must
// stay for a day and be removed afterwards.
func TestSweepersRemoveClaimsAfterADay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		table := newFakeTable()
		claims := NewTableClaimStore(table)
		ctx, cancel := context.WithCancel(context.Background())
		var running sync.WaitGroup
		for range 2 {
			running.Go(func() { _ = NewClaimSweeper(table, nil).Run(ctx) })
		}
		write := func(hour int) {
			_, granted, err := claims.Acquire(ctx, fmt.Sprintf("%03d", hour), Claim{RequestID: "r"}, nil)
			is.NoErr(err)
			is.True(granted)
		}
		isKept := func(hour int) bool {
			_, err := claims.Find(ctx, fmt.Sprintf("%03d", hour))
			return err == nil
		}
		for hour := range 24 {
			write(hour)
			time.Sleep(time.Hour)
		}
		is.True(isKept(0)) // at most a day old
		table.set(func(f *fakeTable) { f.down = true })
		time.Sleep(6 * time.Hour)
		table.set(func(f *fakeTable) { f.down = false })
		for hour := 24; hour < 54; hour++ {
			write(hour)
			time.Sleep(time.Hour)
		}
		is.True(!isKept(0))
		is.True(!isKept(23))
		is.True(isKept(53 - claimRetentionMarks + 1))
		is.True(len(table.rows) < 2*claimRetentionMarks)
		cancel()
		running.Wait()
	})
}
