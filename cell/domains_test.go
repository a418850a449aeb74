package cell

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/structs"
)

// newTwoCellCluster returns a cluster with cells in two failure domains.
func newTwoCellCluster(t *testing.T) *simulatedCluster {
	w := newSimulatedCluster(t, testTiming)
	w.addHosts("a", "north", 3)
	w.addHosts("b", "south", 3)
	time.Sleep(4 * time.Second)
	return w
}

// runningInCell returns the number of running tasks of the job on hosts of the
// cell.
func (w *simulatedCluster) runningInCell(job structs.JobID, cell structs.CellID) int {
	n := 0
	for _, m := range w.members {
		if m.host.cell != cell {
			continue
		}
		m.host.mu.Lock()
		m.host.endElapsedRuns(time.Now())
		for id, r := range m.host.runs {
			if id.Task.Job == job && !r.state.Final() {
				n++
			}
		}
		m.host.mu.Unlock()
	}
	return n
}

func TestRacingOperatorsGetAConflict(t *testing.T) {
	is := is.New(t)
	w := newSimulatedCluster(t, testTiming)
	seen, err := w.domains.Get(t.Context(), "north")
	is.NoErr(err)
	is.Equal(seen.State, structs.DomainIn)
	out, err := w.domains.TakeOutOfService(t.Context(), "north", seen.Revision, "ana", "maintenance")
	is.NoErr(err)
	_, err = w.domains.ReturnToService(t.Context(), "north", seen.Revision, "ivo", "not today")
	is.True(asConflict(err) != nil)
	_, err = w.domains.ReturnToService(t.Context(), "north", out.Revision, "ivo", "done")
	is.NoErr(err)
	list, err := w.domains.List(t.Context())
	is.NoErr(err)
	is.Equal(len(list), 1)
	is.Equal(list[0].SetBy, "ivo")
}

func TestDomainOutMovesItsWorkAndItResumes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTwoCellCluster(t)
		defer w.close()
		w.taskRunTime = time.Minute
		batch := w.submitJob("batch", structs.WorkBatch, 4)
		service := w.submitJob("service", structs.WorkService, 2)
		is.True(eventually(time.Minute, func() bool { return w.runningTasks(batch) == 4 && w.runningTasks(service) == 2 }))
		is.NoErr(w.takeDomainOutOfService("north"))
		is.True(eventually(time.Minute, func() bool {
			return w.runningInCell(batch, "b") == 4 && w.runningInCell(service, "b") == 2
		}))
		is.Equal(w.runningInCell(batch, "a")+w.runningInCell(service, "a"), 0)
		status, done := w.waitForJob(batch, 3*time.Minute)
		is.True(done)
		is.Equal(status.Finished, int32(4))
		is.NoErr(w.checkHistory())
		resumed := 0
		for _, e := range w.history.sorted() {
			if e.kind == eventStart && e.checkpoint != "" {
				resumed++
			}
		}
		is.True(resumed > 0)
	})
}

func TestSilentCellIsTakenOverAndItsWorkMoves(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTwoCellCluster(t)
		defer w.close()
		w.taskRunTime = time.Minute
		service := w.submitJob("service", structs.WorkService, 6)
		is.True(eventually(time.Minute, func() bool { return w.runningTasks(service) == 6 }))
		is.True(w.runningInCell(service, "a") > 0)
		for _, m := range w.members {
			if m.host.cell == "a" {
				m.host.restartRuntime()
				m.host.mu.Lock()
				m.host.down = true
				m.host.mu.Unlock()
				m.table.set(func(p *faultyTable) { p.unreachable = true })
			}
		}
		is.True(eventually(3*time.Minute, func() bool { return w.runningInCell(service, "b") == 6 }))
		is.NoErr(w.checkHistory())
		w.clearFaults()
		time.Sleep(20 * time.Second)
		is.Equal(len(w.leaders("a")), 1) // one of the cell's own agents leads again
		is.Equal(w.runningTasks(service), 6)
		is.NoErr(w.checkHistory())
	})
}

func TestStartsAreRateLimitedAfterADomainReturnsToService(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		timing := testTiming
		timing.StartsPerSecond = 2
		w := newSimulatedCluster(t, timing)
		defer w.close()
		w.addHosts("a", "north", 3)
		time.Sleep(4 * time.Second)
		is.NoErr(w.takeDomainOutOfService("north"))
		time.Sleep(3 * time.Second)
		service := w.submitJob("service", structs.WorkService, 12)
		time.Sleep(20 * time.Second)
		is.Equal(w.runningTasks(service), 0)
		w.returnDomainToService("north")
		time.Sleep(4 * time.Second)
		is.True(w.runningTasks(service) > 0)
		is.True(w.runningTasks(service) < 12)
		is.True(eventually(time.Minute, func() bool { return w.runningTasks(service) == 12 }))
		is.NoErr(w.checkHistory())
	})
}

func TestLeavingWorkerIsDrained(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newRunningCluster(t, 3)
		defer w.close()
		service := w.submitJob("service", structs.WorkService, 6)
		is.True(eventually(time.Minute, func() bool { return w.runningTasks(service) == 6 }))
		leaving := w.members[0].host
		leaving.mu.Lock()
		leaving.leaving = true
		leaving.mu.Unlock()
		is.True(eventually(time.Minute, func() bool {
			leaving.mu.Lock()
			defer leaving.mu.Unlock()
			for _, r := range leaving.runs {
				if !r.state.Final() {
					return false
				}
			}
			return true
		}))
		is.True(eventually(time.Minute, func() bool { return w.runningTasks(service) == 6 }))
		is.NoErr(w.checkHistory())
	})
}

func TestNewIncarnationEndsWhatRanBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newRunningCluster(t, 3)
		defer w.close()
		service := w.submitJob("service", structs.WorkService, 6)
		is.True(eventually(time.Minute, func() bool { return w.runningTasks(service) == 6 }))
		w.members[0].host.restartRuntime()
		// This is sooner than any lease can expire.
		is.True(eventually(testTiming.Lease.Service, func() bool { return w.runningTasks(service) == 6 }))
		is.NoErr(w.checkHistory())
	})
}

func TestHeartbeatOfAnOldIncarnationEndsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newRunningCluster(t, 1)
		defer w.close()
		h := w.members[0].host
		old, _ := h.buildHeartbeat()
		old.Reply, old.ReplyEpoch = h.ackedResponse, h.ackedResponseEpoch
		h.restartRuntime()
		service := w.submitJob("service", structs.WorkService, 2)
		is.True(eventually(time.Minute, func() bool { return w.runningTasks(service) == 2 }))
		for range 5 {
			_, _ = w.nodeOf(w.members[0]).Heartbeat(w.ctx, old)
			time.Sleep(time.Second)
		}
		starts := 0
		for _, e := range w.history.sorted() {
			if e.kind == eventStart {
				starts++
			}
		}
		is.Equal(starts, 2)
		is.Equal(w.runningTasks(service), 2)
	})
}

func TestEmptyStoppedCellIsNotTakenOverUntilItHasWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newTwoCellCluster(t)
		defer w.close()
		for _, m := range w.members {
			if m.host.cell == "a" {
				m.host.mu.Lock()
				m.host.down = true
				m.host.mu.Unlock()
				m.cancel()
				<-m.ended
			}
		}
		epoch := w.leadershipRow(t, "a").Epoch
		is.True(w.leadershipRow(t, "a").Empty)
		time.Sleep(5 * time.Minute)
		is.Equal(w.leadershipRow(t, "a").Epoch, epoch)
		service := w.submitJob("key", structs.WorkService, 6) // half of the tasks go to the stopped cell
		is.True(eventually(2*time.Minute, func() bool { return w.runningInCell(service, "b") == 6 }))
		is.NoErr(w.checkHistory())
	})
}

// Each candidate of a cell that stops may lead for a moment after the previous
// one has released the leadership.
func TestLeaderThatStopsBeforeItsRecoveryReleasesTheCellAsItFoundIt(t *testing.T) {
	for _, hasTasks := range []bool{false, true} {
		synctest.Test(t, func(t *testing.T) {
			is := is.New(t)
			w := newSimulatedCluster(t, testTiming)
			defer w.close()
			w.addHosts("a", "north", 1)
			time.Sleep(4 * time.Second)
			if hasTasks {
				service := w.submitJob("key", structs.WorkService, 1)
				is.True(eventually(time.Minute, func() bool { return w.runningTasks(service) == 1 }))
			}
			w.members[0].cancel()
			<-w.members[0].ended
			before := w.leadershipRow(t, "a")
			is.Equal(before.Empty, !hasTasks)

			n := w.members[0].node
			c := n.newCandidate("a", testTiming.TakeoverAfter)
			is.NoErr(c.readRow(w.ctx))
			acquired, err := c.acquireLeadership(w.ctx)
			is.NoErr(err)
			stopped, stop := context.WithCancel(w.ctx)
			stop()
			_ = newLeader(n.options, "a", n.client, n.metrics, acquired).run(stopped)
			after := w.leadershipRow(t, "a")
			is.Equal(after.Epoch, before.Epoch+1)
			is.True(after.Released)
			is.Equal(after.Empty, before.Empty)
		})
	}
}
