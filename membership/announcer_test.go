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

// inCluster runs a test in virtual time.
func inCluster(t *testing.T, test func(t *testing.T, c *cluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		c := newCluster()
		test(t, c)
		c.stopAll()
	})
}

func TestAgentFindsEntriesInTheTable(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		one, two := c.start("e1"), c.start("e2")
		a := c.agent("w1")
		defer a.cancel()
		// An entry whose row was not there yet is named by the others, which
		// read the rows at every beat.
		time.Sleep(entryBeat + 2*minInterval)
		is.Equal(len(names(one.registry)), 1)
		is.Equal(len(names(two.registry)), 1)
	})
}

func TestAgentFindsOtherEntriesThroughOneInATableOutage(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		one, two := c.start("e1"), c.start("e2")
		time.Sleep(2 * entryBeat)
		c.table.setDown(true)
		a := c.agent("w1", "e1")
		defer a.cancel()
		time.Sleep(5 * time.Second)
		is.Equal(len(names(one.registry)), 1)
		is.Equal(len(names(two.registry)), 1)
	})
}

// TestAllEntriesAreReplacedOneByOneInATableOutage replaces every entry, by
// entries at other addresses, while the table is out.
func TestAllEntriesAreReplacedOneByOneInATableOutage(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		for _, e := range []string{"e1", "e2", "e3"} {
			c.start(e)
		}
		a := c.agent("w1")
		defer a.cancel()
		time.Sleep(time.Minute)
		c.table.setDown(true)
		for i := 1; i <= 3; i++ {
			fresh := c.start(fmt.Sprintf("f%d", i), "e1", "e2", "e3", "f1", "f2", "f3")
			time.Sleep(30 * time.Second)
			is.Equal(len(names(fresh.registry)), 1)
			c.stop(fmt.Sprintf("e%d", i))
			time.Sleep(30 * time.Second)
		}
		for _, e := range c.entries {
			is.Equal(len(names(e.registry)), 1)
		}
	})
}

func TestRestartedEntryHearsFromAgentsAtOnce(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		c.start("e1")
		a := c.agent("w1")
		defer a.cancel()
		time.Sleep(time.Minute)
		c.stop("e1")
		time.Sleep(time.Second)
		again := c.start("e1")
		time.Sleep(registerRetryMax * 3 / 2)
		is.Equal(len(names(again.registry)), 1)
	})
}

func TestLeavingAgentIsWithdrawnEverywhereAtOnce(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		one, two := c.start("e1"), c.start("e2")
		a := c.agent("w1")
		defer a.cancel()
		time.Sleep(time.Minute)
		is.Equal(len(names(one.registry)), 1)
		began := time.Now()
		ctx, cancel := context.WithTimeout(context.Background(), time.Second)
		defer cancel()
		a.announcer.Leave(ctx)
		is.True(time.Since(began) < 100*time.Millisecond)
		is.Equal(len(names(one.registry))+len(names(two.registry)), 0)
	})
}

func TestLeavingTargetIsWithdrawnEverywhereAtOnce(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		one := c.start("e1")
		a := c.agent("w1")
		defer a.cancel()
		time.Sleep(time.Minute)
		a.locals.Leave("t-w1")
		time.Sleep(time.Millisecond)
		is.Equal(len(names(one.registry)), 0)
	})
}

func TestRowOfADeadEntryIsRemovedButNotInAnOutage(t *testing.T) {
	inCluster(t, func(t *testing.T, c *cluster) {
		is := is.New(t)
		one, two := c.start("e1"), c.start("e2")
		time.Sleep(3 * entryBeat)
		is.Equal(one.rows.Entries(), []string{"e1", "e2"})
		// An entry that is killed leaves its row behind.
		c.table.setDown(true)
		c.stop("e2")
		time.Sleep(10 * entryDead)
		c.table.setDown(false)
		time.Sleep(entryDead - 2*entryBeat)
		is.True(c.table.has("entry/entry-e2")) // the outage does not count
		time.Sleep(4 * entryBeat)
		is.True(!c.table.has("entry/entry-e2"))
		is.True(c.table.has("entry/entry-e1"))
		is.True(!slices.Contains(one.rows.Entries(), "e2"))
		_ = two
	})
}
