package membership

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// withSimulatedCluster runs test in virtual time with a cluster that has no
// entries yet.
func withSimulatedCluster(t *testing.T, test func(t *testing.T, c *simulatedCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newSimulatedCluster()
		test(t, c)
		c.stopAll()
	})
}

func TestAgentFindsEntriesInTheTable(t *testing.T) {
	withSimulatedCluster(t, func(t *testing.T, c *simulatedCluster) {
		is := is.New(t)
		one, two := c.startEntry("e1"), c.startEntry("e2")
		a := c.startAgent("w1")
		defer a.cancel()
		// An entry whose row did not exist at the agent's first read is named
		// by the other entries, which read the rows at every
		// entryWriteInterval.
		time.Sleep(entryWriteInterval + 2*minRegisterInterval)
		is.Equal(len(candidateNames(one.registry)), 1)
		is.Equal(len(candidateNames(two.registry)), 1)
	})
}

func TestAgentFindsOtherEntriesThroughOneInATableOutage(t *testing.T) {
	withSimulatedCluster(t, func(t *testing.T, c *simulatedCluster) {
		is := is.New(t)
		one, two := c.startEntry("e1"), c.startEntry("e2")
		time.Sleep(2 * entryWriteInterval)
		c.table.setUnavailable(true)
		a := c.startAgent("w1", "e1")
		defer a.cancel()
		time.Sleep(5 * time.Second)
		is.Equal(len(candidateNames(one.registry)), 1)
		is.Equal(len(candidateNames(two.registry)), 1)
	})
}

// TestAllEntriesAreReplacedOneByOneInATableOutage replaces every entry by one at
// another address while the table is unavailable. The new entries announce
// themselves to the old ones, whose responses must lead the agent to them.
func TestAllEntriesAreReplacedOneByOneInATableOutage(t *testing.T) {
	withSimulatedCluster(t, func(t *testing.T, c *simulatedCluster) {
		is := is.New(t)
		for _, e := range []string{"e1", "e2", "e3"} {
			c.startEntry(e)
		}
		a := c.startAgent("w1")
		defer a.cancel()
		time.Sleep(time.Minute)
		c.table.setUnavailable(true)
		for i := 1; i <= 3; i++ {
			fresh := c.startEntry(fmt.Sprintf("f%d", i), "e1", "e2", "e3", "f1", "f2", "f3")
			time.Sleep(30 * time.Second)
			is.Equal(len(candidateNames(fresh.registry)), 1)
			c.stopEntry(fmt.Sprintf("e%d", i))
			time.Sleep(30 * time.Second)
		}
		for _, e := range c.entries {
			is.Equal(len(candidateNames(e.registry)), 1)
		}
	})
}

func TestAgentsRegisterWithRestartedEntryAtOnce(t *testing.T) {
	withSimulatedCluster(t, func(t *testing.T, c *simulatedCluster) {
		is := is.New(t)
		c.startEntry("e1")
		a := c.startAgent("w1")
		defer a.cancel()
		time.Sleep(time.Minute)
		c.stopEntry("e1")
		time.Sleep(time.Second)
		again := c.startEntry("e1")
		time.Sleep(registerRetryMax * 3 / 2)
		is.Equal(len(candidateNames(again.registry)), 1)
	})
}

func TestLeavingAgentIsRemovedFromEveryEntryAtOnce(t *testing.T) {
	withSimulatedCluster(t, func(t *testing.T, c *simulatedCluster) {
		is := is.New(t)
		one, two := c.startEntry("e1"), c.startEntry("e2")
		a := c.startAgent("w1")
		defer a.cancel()
		time.Sleep(time.Minute)
		is.Equal(len(candidateNames(one.registry)), 1)
		began := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		a.announcer.Leave(ctx)
		is.True(time.Since(began) < 100*time.Millisecond)
		is.Equal(len(candidateNames(one.registry))+len(candidateNames(two.registry)), 0)
	})
}

func TestLeavingTargetIsRemovedFromEntryAtOnce(t *testing.T) {
	withSimulatedCluster(t, func(t *testing.T, c *simulatedCluster) {
		is := is.New(t)
		one := c.startEntry("e1")
		a := c.startAgent("w1")
		defer a.cancel()
		time.Sleep(time.Minute)
		a.locals.Leave("t-w1")
		time.Sleep(time.Millisecond)
		is.Equal(len(candidateNames(one.registry)), 0)
	})
}

func TestRowOfDeadEntryExpiresOnlyWhileTableIsReadable(t *testing.T) {
	withSimulatedCluster(t, func(t *testing.T, c *simulatedCluster) {
		is := is.New(t)
		one, two := c.startEntry("e1"), c.startEntry("e2")
		time.Sleep(3 * entryWriteInterval)
		is.Equal(one.rows.Entries(), []string{"e1", "e2"})
		// An entry that is killed leaves its row behind.
		c.table.setUnavailable(true)
		c.stopEntry("e2")
		time.Sleep(10 * entryRowExpiry)
		c.table.setUnavailable(false)
		time.Sleep(entryRowExpiry - 2*entryWriteInterval)
		is.True(c.table.has("entry/entry-e2")) // the outage does not count
		time.Sleep(4 * entryWriteInterval)
		is.True(!c.table.has("entry/entry-e2"))
		is.True(c.table.has("entry/entry-e1"))
		is.True(!slices.Contains(one.rows.Entries(), "e2"))
		_ = two
	})
}
