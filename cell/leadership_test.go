package cell

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// leaders returns the members that act as leaders of the cell.
func (w *simulatedCluster) leaders(cell structs.CellID) []*member {
	var list []*member
	for _, m := range w.members {
		if m.host.cell != cell {
			continue
		}
		if _, leads := w.nodeOf(m).Leading(); leads {
			list = append(list, m)
		}
	}
	return list
}

func (w *simulatedCluster) leadershipRow(t *testing.T, cell structs.CellID) Leadership {
	t.Helper()
	row, err := w.table.Get(w.ctx, leaderKey(cell))
	if err != nil {
		t.Fatal(err)
	}
	var l Leadership
	if err := decode(row.Key, row.Value, &l); err != nil {
		t.Fatal(err)
	}
	return l
}

func TestOneCandidateLeads(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newSimulatedCluster(t, testTiming)
		defer w.close()
		w.addHosts("a", "north", 5)
		time.Sleep(time.Minute)
		is.Equal(len(w.leaders("a")), 1)
		is.Equal(w.leadershipRow(t, "a").Epoch, int64(1))
	})
}

func TestKilledLeaderIsReplacedWithinTheTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newSimulatedCluster(t, testTiming)
		defer w.close()
		w.addHosts("a", "north", 3)
		time.Sleep(10 * time.Second)
		w.killCandidate(w.leaders("a")[0])
		time.Sleep(testTiming.TakeoverAfter * 3 / 2)
		is.Equal(len(w.leaders("a")), 1)
		is.Equal(w.leadershipRow(t, "a").Epoch, int64(2))
	})
}

func TestStoppedLeaderReleasesItsLeadership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newSimulatedCluster(t, testTiming)
		defer w.close()
		w.addHosts("a", "north", 3)
		time.Sleep(10*time.Second + 300*time.Millisecond) // between two row reads of the other candidates
		first := w.leaders("a")[0]
		first.cancel()
		<-first.ended
		is.True(w.leadershipRow(t, "a").Released)
		time.Sleep(testTiming.TakeoverAfter / 2)
		is.Equal(w.leadershipRow(t, "a").Epoch, int64(2))
	})
}

func TestFrozenLeaderIsFencedWhenItWakes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newSimulatedCluster(t, testTiming)
		defer w.close()
		w.addHosts("a", "north", 3)
		time.Sleep(10 * time.Second)
		first := w.leaders("a")[0]
		first.host.gate.freeze()
		time.Sleep(testTiming.TakeoverAfter * 2)
		is.Equal(len(w.leaders("a")), 2) // both act as leader
		first.host.gate.thaw()
		time.Sleep(testTiming.TakeoverAfter)
		is.Equal(len(w.leaders("a")), 1)
		is.True(w.leaders("a")[0] != first)
	})
}

func TestLeaderWithoutTheTableRenewsLeasesForItsRideOut(t *testing.T) {
	for name, c := range map[string]struct {
		outage time.Duration
		stops  bool
	}{
		"shorter than the ride-out time": {testTiming.RideOut.Service - time.Second, false},
		"longer than the ride-out time":  {testTiming.RideOut.Service + testTiming.Lease.Service + 2*time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newSimulatedCluster(t, testTiming)
				defer w.close()
				w.addHosts("a", "north", 3)
				id := w.submitJob("key", structs.WorkService, 2)
				is.True(eventually(time.Minute, func() bool { return w.runningTasks(id) == 2 }))
				for _, m := range w.members {
					m.table.set(func(p *faultyTable) { p.unreachable = true })
				}
				time.Sleep(c.outage)
				is.Equal(w.runningTasks(id) == 0, c.stops)
				w.clearFaults()
				is.True(eventually(time.Minute, func() bool { return w.runningTasks(id) == 2 }))
				is.NoErr(w.checkHistory())
			})
		})
	}
}

func TestLeaseExpiryRule(t *testing.T) {
	start := time.Unix(1000, 0)
	timing := Timing{StartGrant: 2 * time.Second, MaxClockDrift: 0.005}
	rule := leaseExpiryRule{
		timing: timing, acquiredAt: start,
		earlierRideOut: KindDurations{Batch: 100 * time.Second, Service: 10 * time.Second},
		longestLease:   KindDurations{Batch: 10 * time.Second, Service: 10 * time.Second},
	}
	for name, c := range map[string]struct {
		kind               structs.WorkKind
		granted, committed time.Time
		want               time.Duration // time after the start of the leadership
	}{
		"earlier leader may renew batch leases for its ride-out time":   {structs.WorkBatch, time.Time{}, time.Time{}, 111100 * time.Millisecond},
		"earlier leader may renew service leases for a shorter time":    {structs.WorkService, time.Time{}, time.Time{}, 20200 * time.Millisecond},
		"later grant of this leader extends the expiry":                 {structs.WorkService, start.Add(30 * time.Second), time.Time{}, 40100 * time.Millisecond},
		"early grant of this leader does not shorten the ride-out time": {structs.WorkBatch, start.Add(30 * time.Second), time.Time{}, 111100 * time.Millisecond},
		"commit extends the expiry by the grant":                        {structs.WorkService, time.Time{}, start.Add(40 * time.Second), 52100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(rule.expiresAt(c.kind, c.granted, c.committed).Sub(start), c.want)
		})
	}
}

// scriptedTable is a table whose first commits return scripted results.
type scriptedTable struct {
	substrate.Table
	script []func(txn substrate.Txn) (int64, error)
}

func (s *scriptedTable) Commit(ctx context.Context, txn substrate.Txn) (int64, error) {
	if len(s.script) == 0 {
		return s.Table.Commit(ctx, txn)
	}
	next := s.script[0]
	s.script = s.script[1:]
	return next(txn)
}

func TestLostResponsesAreResolvedByReadingTheRow(t *testing.T) {
	unknown := &structs.UnknownOutcomeError{Operation: "commit"}
	for name, first := range map[string]func(table substrate.Table, txn substrate.Txn) (int64, error){
		"the write took effect": func(table substrate.Table, txn substrate.Txn) (int64, error) {
			_, _ = table.Commit(t.Context(), txn)
			return 0, unknown
		},
		"the write had no effect": func(substrate.Table, substrate.Txn) (int64, error) { return 0, unknown },
		"the write takes effect after the row was read": func(table substrate.Table, txn substrate.Txn) (int64, error) {
			time.AfterFunc(time.Millisecond, func() { _, _ = table.Commit(context.Background(), txn) })
			return 0, unknown
		},
		"the table was unavailable": func(substrate.Table, substrate.Txn) (int64, error) { return 0, errTableUnreachable },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newSimulatedCluster(t, testTiming)
				defer w.close()
				table := &scriptedTable{Table: w.table}
				table.script = append(table.script, func(txn substrate.Txn) (int64, error) { return first(w.table, txn) })
				client := newTableClient(table, time.Second)
				revision, _, err := client.commit(t.Context(), substrate.Txn{
					ID: "txn", Compares: []substrate.Compare{{Key: "k"}}, Puts: []substrate.Put{{Key: "k", Value: []byte("v")}},
				}, "k")
				is.NoErr(err)
				time.Sleep(time.Second)
				row, err := w.table.Get(t.Context(), "k")
				is.NoErr(err)
				is.Equal(row.Revision, revision) // written once
				is.Equal(row.TxnID, "txn")
			})
		})
	}
}

func TestUnknownWritesAreNotReportedAsCommitted(t *testing.T) {
	for name, c := range map[string]struct {
		err  error
		want any
	}{
		"unknown":     {&structs.UnknownOutcomeError{Operation: "commit"}, new(*structs.UnknownOutcomeError)},
		"unavailable": {errTableUnreachable, new(*structs.UnavailableError)},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newSimulatedCluster(t, testTiming)
				defer w.close()
				w.table.Faults.Refuse(-1)
				table := &scriptedTable{Table: w.table}
				for range 1000 {
					table.script = append(table.script, func(substrate.Txn) (int64, error) { return 0, c.err })
				}
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				_, _, err := newTableClient(table, time.Second).commit(ctx, substrate.Txn{ID: "txn"}, "k")
				is.True(errors.As(err, c.want))
			})
		})
	}
}

func TestJobLeasesAreNotRenewedBeyondItsRideOut(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newSimulatedCluster(t, testTiming)
		defer w.close()
		w.addHosts("a", "north", 3)
		w.taskRunTime = 10 * time.Minute
		long := w.submitJob("long", structs.WorkService, 2)
		w.rideOut = time.Second
		short := w.submitJob("short", structs.WorkService, 2)
		is.True(eventually(time.Minute, func() bool { return w.runningTasks(long) == 2 && w.runningTasks(short) == 2 }))
		for _, m := range w.members {
			m.table.set(func(p *faultyTable) { p.unreachable = true })
		}
		time.Sleep(w.rideOut + testTiming.Lease.Service + 2*time.Second)
		is.Equal(w.runningTasks(short), 0)
		is.Equal(w.runningTasks(long), 2)
		w.clearFaults()
		is.True(eventually(time.Minute, func() bool { return w.runningTasks(short) == 2 }))
		is.NoErr(w.checkHistory())
	})
}

func TestJobWithAShortRideOutRestartsSoonerOnAnUnreachableHost(t *testing.T) {
	is := is.New(t)
	rule := leaseExpiryRule{
		acquiredAt:     time.Unix(1000, 0),
		earlierRideOut: KindDurations{Batch: time.Hour, Service: time.Minute},
		longestLease:   KindDurations{Batch: 10 * time.Second, Service: 10 * time.Second},
	}
	expiresAfter := func(job structs.Job) time.Duration {
		return rule.forJob(&job).expiresAt(job.Kind, time.Time{}, time.Time{}).Sub(rule.acquiredAt)
	}
	is.Equal(expiresAfter(structs.Job{Kind: structs.WorkBatch}), time.Hour+10*time.Second)
	is.Equal(expiresAfter(structs.Job{Kind: structs.WorkBatch, RideOut: 2 * time.Minute}), 2*time.Minute+10*time.Second)
	is.Equal(expiresAfter(structs.Job{Kind: structs.WorkService, RideOut: time.Hour}), time.Minute+10*time.Second)
}
