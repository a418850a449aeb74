package cell

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/structs"
)

// twoCells starts cells in two failure domains.
func twoCells(t *testing.T) *world {
	w := newWorld(t, testTiming)
	w.add("a", "north", 3)
	w.add("b", "south", 3)
	time.Sleep(4 * time.Second)
	return w
}

// hosted counts the tasks of the job that run on hosts of the cell.
func (w *world) hosted(job structs.JobID, cell structs.CellID) int {
	n := 0
	for _, m := range w.members {
		if m.host.cell != cell {
			continue
		}
		m.host.mu.Lock()
		m.host.tick(time.Now())
		for id, r := range m.host.runs {
			if id.Task.Job == job && !r.state.Over() {
				n++
			}
		}
		m.host.mu.Unlock()
	}
	return n
}

func TestRacingOperatorsGetAConflict(t *testing.T) {
	is := is.New(t)
	w := newWorld(t, testTiming)
	seen, err := w.domains.Get(t.Context(), "north")
	is.NoErr(err)
	is.Equal(seen.State, structs.DomainIn)
	out, err := w.domains.Out(t.Context(), "north", seen.Revision, "ana", "maintenance")
	is.NoErr(err)
	_, err = w.domains.In(t.Context(), "north", seen.Revision, "ivo", "not today")
	is.True(asConflict(err) != nil)
	_, err = w.domains.In(t.Context(), "north", out.Revision, "ivo", "done")
	is.NoErr(err)
	list, err := w.domains.List(t.Context())
	is.NoErr(err)
	is.Equal(len(list), 1)
	is.Equal(list[0].By, "ivo")
}

func TestDomainOutMovesItsWorkAndItResumes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := twoCells(t)
		defer w.close()
		w.runs = time.Minute
		batch := w.submit("batch", structs.WorkBatch, 4)
		service := w.submit("service", structs.WorkService, 2)
		is.True(eventually(time.Minute, func() bool { return w.running(batch) == 4 && w.running(service) == 2 }))
		is.NoErr(w.out("north"))
		is.True(eventually(time.Minute, func() bool {
			return w.hosted(batch, "b") == 4 && w.hosted(service, "b") == 2
		}))
		is.Equal(w.hosted(batch, "a")+w.hosted(service, "a"), 0)
		status, done := w.settled(batch, 3*time.Minute)
		is.True(done)
		is.Equal(status.Finished, int32(4))
		is.NoErr(w.verdict())
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
		w := twoCells(t)
		defer w.close()
		w.runs = time.Minute
		service := w.submit("service", structs.WorkService, 6)
		is.True(eventually(time.Minute, func() bool { return w.running(service) == 6 }))
		is.True(w.hosted(service, "a") > 0)
		for _, m := range w.members {
			if m.host.cell == "a" {
				m.host.restartRuntime()
				m.host.mu.Lock()
				m.host.down = true
				m.host.mu.Unlock()
				m.port.set(func(p *port) { p.cut = true })
			}
		}
		is.True(eventually(3*time.Minute, func() bool { return w.hosted(service, "b") == 6 }))
		is.NoErr(w.verdict())
		w.heal()
		time.Sleep(20 * time.Second)
		is.Equal(len(w.leading("a")), 1) // its own agents lead it again
		is.Equal(w.running(service), 6)
		is.NoErr(w.verdict())
	})
}

func TestDomainInComesBackAtABoundedPace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		timing := testTiming
		timing.StartPace = 2
		w := newWorld(t, timing)
		defer w.close()
		w.add("a", "north", 3)
		time.Sleep(4 * time.Second)
		is.NoErr(w.out("north"))
		time.Sleep(3 * time.Second)
		service := w.submit("service", structs.WorkService, 12)
		time.Sleep(20 * time.Second)
		is.Equal(w.running(service), 0)
		w.domainIn("north")
		time.Sleep(4 * time.Second)
		is.True(w.running(service) > 0)
		is.True(w.running(service) < 12)
		is.True(eventually(time.Minute, func() bool { return w.running(service) == 12 }))
		is.NoErr(w.verdict())
	})
}

func TestLeavingWorkerIsEmptied(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := runningWorld(t, 3)
		defer w.close()
		service := w.submit("service", structs.WorkService, 6)
		is.True(eventually(time.Minute, func() bool { return w.running(service) == 6 }))
		leaving := w.members[0].host
		leaving.mu.Lock()
		leaving.leaving = true
		leaving.mu.Unlock()
		is.True(eventually(time.Minute, func() bool {
			leaving.mu.Lock()
			defer leaving.mu.Unlock()
			for _, r := range leaving.runs {
				if !r.state.Over() {
					return false
				}
			}
			return true
		}))
		is.True(eventually(time.Minute, func() bool { return w.running(service) == 6 }))
		is.NoErr(w.verdict())
	})
}

func TestNewIncarnationEndsWhatRanBefore(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := runningWorld(t, 3)
		defer w.close()
		service := w.submit("service", structs.WorkService, 6)
		is.True(eventually(time.Minute, func() bool { return w.running(service) == 6 }))
		w.members[0].host.restartRuntime()
		// Sooner than any lease can lapse.
		is.True(eventually(testTiming.Lease.Service, func() bool { return w.running(service) == 6 }))
		is.NoErr(w.verdict())
	})
}

func TestHeartbeatOfAnOldIncarnationEndsNothing(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := runningWorld(t, 1)
		defer w.close()
		h := w.members[0].host
		old, _ := h.report()
		old.Reply, old.ReplyEpoch = h.reply, h.replyEpoch
		h.restartRuntime()
		service := w.submit("service", structs.WorkService, 2)
		is.True(eventually(time.Minute, func() bool { return w.running(service) == 2 }))
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
		is.Equal(w.running(service), 2)
	})
}

func TestStoppedCellIsLeftAloneUntilItIsGivenWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := twoCells(t)
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
		epoch := w.row(t, "a").Epoch
		is.True(w.row(t, "a").Empty)
		time.Sleep(5 * time.Minute)
		is.Equal(w.row(t, "a").Epoch, epoch)
		service := w.submit("key", structs.WorkService, 6) // half of it goes to the stopped cell
		is.True(eventually(2*time.Minute, func() bool { return w.hosted(service, "b") == 6 }))
		is.NoErr(w.verdict())
	})
}
