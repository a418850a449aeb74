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

// checkQuota returns a violation if the running attempts, all of one team,
// ever exceed the quota of the team.
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
		Shares:  map[structs.CellID]structs.Resources{"a": unit.Scale(3), "b": unit},
		Tickets: map[structs.CellID]int64{"b": 1, "c": 2},
	}
	quota := unit.Scale(6)
	quota.MemoryMB += 500 // remainder that is too small for a task
	cases := []struct {
		name    string
		cell    structs.CellID
		need    demand
		inOrder bool
		want    structs.Resources
	}{
		{"the lowest ticket takes what it needs", "b", demand{assigned: unit, total: unit.Scale(2), smallestTask: unit}, true, unit.Scale(2)},
		{"the lowest ticket takes no part of a task", "b", demand{assigned: unit, total: unit.Scale(9), smallestTask: unit}, true, unit.Scale(3)},
		{"the next ticket waits", "c", demand{total: unit, smallestTask: unit}, true, structs.Resources{}},
		{"a cell without a ticket waits", "a", demand{assigned: unit.Scale(3), total: unit.Scale(4), smallestTask: unit}, true, unit.Scale(3)},
		{"the next ticket is served after the ticket timeout", "c", demand{total: unit, smallestTask: unit}, false, unit},
		{"a task that is larger than what is free gets nothing", "b", demand{assigned: unit, total: unit.Scale(6), smallestTask: unit.Scale(5)}, true, unit},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(row.grownShare(c.cell, quota, &c.need, c.inOrder), c.want)
		})
	}
}

func TestTicketOfADeadCellExpires(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newQuotaCluster(t)
		defer w.close()
		dead := quotaRow{Tickets: map[structs.CellID]int64{"gone": 1}}
		_, err := w.table.Commit(w.ctx, substrate.Txn{ID: "dead", Puts: []substrate.Put{{Key: quotaKey("jabuka"), Value: encode(dead)}}})
		is.NoErr(err)
		id := w.submitJob("beside", structs.WorkBatch, 6)
		_, done := w.waitForJob(id, 3*ticketTimeout)
		is.True(done)
	})
}

// sixTaskQuota allows six of the test's tasks to run at a time.
var sixTaskQuota = structs.Resources{MilliCPU: 6000, MemoryMB: 6000}

func newQuotaCluster(t testing.TB) *simulatedCluster {
	w := newSimulatedCluster(t, Timing{})
	w.quotas = func() map[structs.TeamID]structs.Resources {
		return map[structs.TeamID]structs.Resources{"jabuka": sixTaskQuota}
	}
	for _, c := range []structs.CellID{"a", "b", "c"} {
		w.addHosts(c, structs.FailureDomainID(c), 2)
	}
	return w
}

func TestQuotaHoldsOverAllCellsAndIsUsed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newQuotaCluster(t)
		defer w.close()
		// Together, the jobs request 60 times what one cell can hold.
		var ids []structs.JobID
		for i := range 3 {
			ids = append(ids, w.submitJob(fmt.Sprintf("spread-%d", i), structs.WorkBatch, 40))
		}
		began := time.Now()
		for _, id := range ids {
			_, done := w.waitForJob(id, 10*time.Minute)
			is.True(done)
		}
		is.NoErr(checkQuota(w.history.sorted(), sixTaskQuota))
		// 120 tasks of 3 s, six at a time, take a minute. The division of the
		// quota may take another minute.
		is.True(time.Since(began) < 2*time.Minute)
	})
}

func TestUnusedQuotaMovesToTheCellThatNeedsIt(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newQuotaCluster(t)
		defer w.close()
		for i := range 4 {
			// A job of up to 16 tasks stays in one cell, and the next job may
			// go to another cell.
			id := w.submitJob(fmt.Sprintf("one-cell-%d", i), structs.WorkBatch, 12)
			_, done := w.waitForJob(id, time.Minute)
			is.True(done)
		}
		is.NoErr(checkQuota(w.history.sorted(), sixTaskQuota))
	})
}

// quotaFaultSeeds is the number of seeded fault sequences.
const quotaFaultSeeds = 16

func TestQuotaHoldsUnderLeaderFaults(t *testing.T) {
	for seed := range uint64(quotaFaultSeeds) {
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) { quotaUnderFaults(t, rand.New(rand.NewPCG(seed, 1))) })
		})
	}
}

// quotaUnderFaults runs two jobs while leaders are killed or frozen, lose
// responses or lose the table.
func quotaUnderFaults(t *testing.T, random *rand.Rand) {
	is := is.New(t)
	w := newQuotaCluster(t)
	defer w.close()
	ids := []structs.JobID{
		w.submitJob("first", structs.WorkBatch, 20),
		w.submitJob("second", structs.WorkBatch, 20),
	}
	for range 6 {
		m := w.members[random.IntN(len(w.members))]
		switch random.IntN(4) {
		case 0:
			if w.killCandidate(m) {
				w.startCandidate(m)
			}
		case 1:
			m.host.gate.freeze()
		case 2:
			m.table.set(func(p *faultyTable) { p.lostResponses = 2 })
		case 3:
			m.table.set(func(p *faultyTable) { p.unreachable = true })
		}
		time.Sleep(time.Duration(1+random.IntN(12)) * time.Second)
		w.clearFaults()
	}
	for _, id := range ids {
		_, done := w.waitForJob(id, 20*time.Minute)
		is.True(done)
	}
	is.NoErr(checkQuota(w.history.sorted(), sixTaskQuota))
	is.NoErr(w.checkHistory())
}
