package cell

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// checkQuota finds the first time at which the running attempts, all of one
// team, held more than its quota.
func checkQuota(events []event, quota structs.Resources) error {
	running := map[structs.AttemptID]structs.Resources{}
	for _, e := range events {
		switch e.kind {
		case eventStart:
			running[e.attempt] = e.size
		case eventStop:
			delete(running, e.attempt)
		}
		var held structs.Resources
		for _, size := range running {
			held = held.Add(size)
		}
		if !held.Fits(quota) {
			return &violation{rule: "quota", detail: fmt.Sprintf("%+v held at %s", held, e)}
		}
	}
	return nil
}

func TestQuotaCheckerFindsAPlantedViolation(t *testing.T) {
	is := is.New(t)
	size := structs.Resources{MilliCPU: 1000}
	start := func(index int32) event {
		return event{kind: eventStart, attempt: structs.AttemptID{Task: structs.TaskID{Job: "j", Index: index}, Number: 1}, size: size}
	}
	is.NoErr(checkQuota([]event{start(0)}, size))
	is.True(checkQuota([]event{start(0), start(1)}, size) != nil)
}

func TestFreeQuotaGoesToTheLowestTicketInWholeTasks(t *testing.T) {
	unit := structs.Resources{MilliCPU: 1000, MemoryMB: 1000}
	row := quotaRow{
		Shares: map[structs.CellID]structs.Resources{"a": unit.Scale(3), "b": unit},
		Wants:  map[structs.CellID]int64{"b": 1, "c": 2},
	}
	quota := unit.Scale(6)
	quota.MemoryMB += 500 // no task fits into the rest
	cases := []struct {
		name    string
		cell    structs.CellID
		need    need
		inOrder bool
		want    structs.Resources
	}{
		{"the lowest ticket takes what it needs", "b", need{used: unit, wanted: unit.Scale(2), step: unit}, true, unit.Scale(2)},
		{"and no part of a task", "b", need{used: unit, wanted: unit.Scale(9), step: unit}, true, unit.Scale(3)},
		{"the next ticket waits", "c", need{wanted: unit, step: unit}, true, structs.Resources{}},
		{"a cell without a ticket waits", "a", need{used: unit.Scale(3), wanted: unit.Scale(4), step: unit}, true, unit.Scale(3)},
		{"not for a cell that takes nothing for too long", "c", need{wanted: unit, step: unit}, false, unit},
		{"a task that is larger than what is free gets nothing", "b", need{used: unit, wanted: unit.Scale(6), step: unit.Scale(5)}, true, unit},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(row.grown(c.cell, quota, &c.need, c.inOrder), c.want)
		})
	}
}

func TestTicketOfADeadCellHoldsNobodyUpForLong(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newQuotaWorld(t)
		defer w.close()
		dead := quotaRow{Wants: map[structs.CellID]int64{"gone": 1}}
		_, err := w.table.Commit(w.ctx, substrate.Txn{ID: "dead", Puts: []substrate.Put{{Key: quotaKey("jabuka"), Value: encode(dead)}}})
		is.NoErr(err)
		id := w.submit("beside", structs.WorkBatch, 6)
		_, done := w.settled(id, 3*ticketHold)
		is.True(done)
	})
}

// quotaOfSix lets six of the test's tasks run at a time.
var quotaOfSix = structs.Resources{MilliCPU: 6000, MemoryMB: 6000}

func newQuotaWorld(t testing.TB) *world {
	w := newWorld(t, Timing{})
	w.quotas = func() map[structs.TeamID]structs.Resources {
		return map[structs.TeamID]structs.Resources{"jabuka": quotaOfSix}
	}
	for _, c := range []structs.CellID{"a", "b", "c"} {
		w.add(c, structs.FailureDomainID(c), 2)
	}
	return w
}

func TestQuotaHoldsOverAllCellsAndIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newQuotaWorld(t)
		defer w.close()
		// Jobs in all cells want 60 times what one cell could hold.
		var ids []structs.JobID
		for i := range 3 {
			ids = append(ids, w.submit(fmt.Sprintf("spread-%d", i), structs.WorkBatch, 40))
		}
		began := time.Now()
		for _, id := range ids {
			_, done := w.settled(id, 10*time.Minute)
			is.True(done)
		}
		is.NoErr(checkQuota(w.history.sorted(), quotaOfSix))
		// 120 tasks of 3 s, six at a time, take a minute; the division of the
		// quota may cost as much again.
		is.True(time.Since(began) < 2*time.Minute)
	})
}

func TestUnusedQuotaMovesToTheCellThatNeedsIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newQuotaWorld(t)
		defer w.close()
		for i := range 4 {
			// A job of up to 16 tasks stays in one cell; the next one may go to
			// another.
			id := w.submit(fmt.Sprintf("one-cell-%d", i), structs.WorkBatch, 12)
			_, done := w.settled(id, time.Minute)
			is.True(done)
		}
		is.NoErr(checkQuota(w.history.sorted(), quotaOfSix))
	})
}

// quotaSeeds is the number of seeded histories of faults.
const quotaSeeds = 16

func TestQuotaHoldsWhateverHappensToLeaders(t *testing.T) {
	for seed := range uint64(quotaSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { quotaUnderFaults(t, rand.New(rand.NewPCG(seed, 1))) })
		})
	}
}

// quotaUnderFaults runs two jobs while leaders die, freeze, lose answers and
// lose the table.
func quotaUnderFaults(t *testing.T, random *rand.Rand) {
	is := is.New(t)
	w := newQuotaWorld(t)
	defer w.close()
	ids := []structs.JobID{
		w.submit("first", structs.WorkBatch, 20),
		w.submit("second", structs.WorkBatch, 20),
	}
	for range 6 {
		m := w.members[random.IntN(len(w.members))]
		switch random.IntN(4) {
		case 0:
			if w.kill(m) {
				w.boot(m)
			}
		case 1:
			m.host.gate.freeze()
		case 2:
			m.port.set(func(p *port) { p.lose = 2 })
		case 3:
			m.port.set(func(p *port) { p.cut = true })
		}
		time.Sleep(time.Duration(1+random.IntN(12)) * time.Second)
		w.heal()
	}
	for _, id := range ids {
		_, done := w.settled(id, 20*time.Minute)
		is.True(done)
	}
	is.NoErr(checkQuota(w.history.sorted(), quotaOfSix))
	is.NoErr(w.verdict())
}
