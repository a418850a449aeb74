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

// leading returns the members that believe that they lead the cell.
func (w *world) leading(cell structs.CellID) []*member {
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

func (w *world) row(t *testing.T, cell structs.CellID) Leadership {
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
		w := newWorld(t, testTiming)
		defer w.close()
		w.add("a", "north", 5)
		time.Sleep(time.Minute)
		is.Equal(len(w.leading("a")), 1)
		is.Equal(w.row(t, "a").Epoch, int64(1))
	})
}

func TestKilledLeaderIsReplacedWithinTheTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, testTiming)
		defer w.close()
		w.add("a", "north", 3)
		time.Sleep(10 * time.Second)
		w.kill(w.leading("a")[0])
		time.Sleep(testTiming.Term * 3 / 2)
		is.Equal(len(w.leading("a")), 1)
		is.Equal(w.row(t, "a").Epoch, int64(2))
	})
}

func TestStoppedLeaderReleasesItsLeadership(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, testTiming)
		defer w.close()
		w.add("a", "north", 3)
		time.Sleep(10*time.Second + 300*time.Millisecond) // between two looks of the others
		first := w.leading("a")[0]
		first.cancel()
		<-first.ended
		is.True(w.row(t, "a").Released)
		time.Sleep(testTiming.Term / 2)
		is.Equal(w.row(t, "a").Epoch, int64(2))
	})
}

func TestFrozenLeaderIsFencedWhenItWakes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, testTiming)
		defer w.close()
		w.add("a", "north", 3)
		time.Sleep(10 * time.Second)
		first := w.leading("a")[0]
		first.host.gate.freeze()
		time.Sleep(testTiming.Term * 2)
		is.Equal(len(w.leading("a")), 2) // both believe
		first.host.gate.thaw()
		time.Sleep(testTiming.Term)
		is.Equal(len(w.leading("a")), 1)
		is.True(w.leading("a")[0] != first)
	})
}

func TestLeaderWithoutTheTableKeepsItsWorkThroughItsRide(t *testing.T) {
	for name, c := range map[string]struct {
		outage time.Duration
		stops  bool
	}{
		"shorter than the ride": {testTiming.Ride.Service - time.Second, false},
		"longer than the ride":  {testTiming.Ride.Service + testTiming.Lease.Service + 2*time.Second, true},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t, testTiming)
				defer w.close()
				w.add("a", "north", 3)
				id := w.submit("key", structs.WorkService, 2)
				is.True(eventually(time.Minute, func() bool { return w.running(id) == 2 }))
				for _, m := range w.members {
					m.port.set(func(p *port) { p.cut = true })
				}
				time.Sleep(c.outage)
				is.Equal(w.running(id) == 0, c.stops)
				w.heal()
				is.True(eventually(time.Minute, func() bool { return w.running(id) == 2 }))
				is.NoErr(w.verdict())
			})
		})
	}
}

func TestLapseRule(t *testing.T) {
	start := time.Unix(1000, 0)
	timing := Timing{Grant: 2 * time.Second, ClockRate: 0.005}
	rule := lapseRule{
		timing: timing, tookOver: start,
		ride:  KindDurations{Batch: 100 * time.Second, Service: 10 * time.Second},
		lease: KindDurations{Batch: 10 * time.Second, Service: 10 * time.Second},
	}
	for name, c := range map[string]struct {
		kind               structs.WorkKind
		granted, committed time.Time
		want               time.Duration // after the takeover
	}{
		"earlier leader may renew batch for its ride":     {structs.WorkBatch, time.Time{}, time.Time{}, 111100 * time.Millisecond},
		"and services for a shorter one":                  {structs.WorkService, time.Time{}, time.Time{}, 20200 * time.Millisecond},
		"a grant of this leader counts when later":        {structs.WorkService, start.Add(30 * time.Second), time.Time{}, 40100 * time.Millisecond},
		"an earlier grant does not shorten the ride":      {structs.WorkBatch, start.Add(30 * time.Second), time.Time{}, 111100 * time.Millisecond},
		"a commit counts with the grant that it rests on": {structs.WorkService, time.Time{}, start.Add(40 * time.Second), 52100 * time.Millisecond},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			is.Equal(rule.lapsesAt(c.kind, c.granted, c.committed).Sub(start), c.want)
		})
	}
}

// scripted is a table whose commits follow a script.
type scripted struct {
	substrate.Table
	script []func(txn substrate.Txn) (int64, error)
}

func (s *scripted) Commit(ctx context.Context, txn substrate.Txn) (int64, error) {
	if len(s.script) == 0 {
		return s.Table.Commit(ctx, txn)
	}
	next := s.script[0]
	s.script = s.script[1:]
	return next(txn)
}

func TestLostAnswersAreSettledByReadingBack(t *testing.T) {
	unknown := &structs.UnknownOutcomeError{Operation: "commit"}
	for name, first := range map[string]func(table substrate.Table, txn substrate.Txn) (int64, error){
		"the write took effect": func(table substrate.Table, txn substrate.Txn) (int64, error) {
			_, _ = table.Commit(t.Context(), txn)
			return 0, unknown
		},
		"the write had no effect": func(substrate.Table, substrate.Txn) (int64, error) { return 0, unknown },
		"the write takes effect after the read back": func(table substrate.Table, txn substrate.Txn) (int64, error) {
			time.AfterFunc(time.Millisecond, func() { _, _ = table.Commit(context.Background(), txn) })
			return 0, unknown
		},
		"the table was unavailable": func(substrate.Table, substrate.Txn) (int64, error) { return 0, errCut },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t, testTiming)
				defer w.close()
				table := &scripted{Table: w.table}
				table.script = append(table.script, func(txn substrate.Txn) (int64, error) { return first(w.table, txn) })
				s := newSettler(table, time.Second)
				revision, _, err := s.commit(t.Context(), substrate.Txn{
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

func TestUnsettledWritesAreNeverReportedAsDone(t *testing.T) {
	for name, c := range map[string]struct {
		err  error
		want any
	}{
		"unknown":     {&structs.UnknownOutcomeError{Operation: "commit"}, new(*structs.UnknownOutcomeError)},
		"unavailable": {errCut, new(*structs.UnavailableError)},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t, testTiming)
				defer w.close()
				w.table.Faults.Refuse(-1)
				table := &scripted{Table: w.table}
				for range 1000 {
					table.script = append(table.script, func(substrate.Txn) (int64, error) { return 0, c.err })
				}
				ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
				defer cancel()
				_, _, err := newSettler(table, time.Second).commit(ctx, substrate.Txn{ID: "txn"}, "k")
				is.True(errors.As(err, c.want))
			})
		})
	}
}

func TestJobIsNotRenewedBeyondItsOwnRide(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, testTiming)
		defer w.close()
		w.add("a", "north", 3)
		w.runs = 10 * time.Minute
		long := w.submit("long", structs.WorkService, 2)
		w.rideOutage = time.Second
		short := w.submit("short", structs.WorkService, 2)
		is.True(eventually(time.Minute, func() bool { return w.running(long) == 2 && w.running(short) == 2 }))
		for _, m := range w.members {
			m.port.set(func(p *port) { p.cut = true })
		}
		time.Sleep(w.rideOutage + testTiming.Lease.Service + 2*time.Second)
		is.Equal(w.running(short), 0)
		is.Equal(w.running(long), 2)
		w.heal()
		is.True(eventually(time.Minute, func() bool { return w.running(short) == 2 }))
		is.NoErr(w.verdict())
	})
}

func TestJobWithAShortRideIsRestartedSoonerOnASilentHost(t *testing.T) {
	is := is.New(t)
	rule := lapseRule{
		tookOver: time.Unix(1000, 0),
		ride:     KindDurations{Batch: time.Hour, Service: time.Minute},
		lease:    KindDurations{Batch: 10 * time.Second, Service: 10 * time.Second},
	}
	lapses := func(job structs.Job) time.Duration {
		return rule.forJob(&job).lapsesAt(job.Kind, time.Time{}, time.Time{}).Sub(rule.tookOver)
	}
	is.Equal(lapses(structs.Job{Kind: structs.WorkBatch}), time.Hour+10*time.Second)
	is.Equal(lapses(structs.Job{Kind: structs.WorkBatch, RideOutage: 2 * time.Minute}), 2*time.Minute+10*time.Second)
	is.Equal(lapses(structs.Job{Kind: structs.WorkService, RideOutage: time.Hour}), time.Minute+10*time.Second)
}
