package fleet

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/standin"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// Guards against a wait of LeaseHorizon after a second planned change, before the first
// leader after the handover has granted leases, and against leases beyond its first rows.
func TestHandoverIsPassedOnUntilTheNextLeaderGrantsLeases(t *testing.T) {
	is := is.New(t)
	now := bootclock.Time(time.Hour)
	l, _ := leaderWithWorkers(t, &now, 2)
	l.o.Worker = "w1"
	seen := leaderRow{leadership: leadership{Epoch: 7, settledLeases: settledLeases{HandoverMs: 4500, Unsettled: []string{"web/0/0/0#1"}}}}
	e := l.o.Timing.earlierLeases("w1", seen, now, nil)
	now = now.Add(time.Second)
	first := e.firstRow(leadership{}, "w1", l.o.Timing, now)
	is.Equal(first.HandoverMs, int64(4500)) // longer than what is left of the earlier leases
	is.Equal(first.Unsettled, []string{"web/0/0/0#1"})
	is.Equal(first.bounds(), []leaseBound{{Worker: "w1", Ms: 4500}})

	l.lastCommitSentAt = now
	l.restoreLeases(e)
	now = now.Add(300 * time.Millisecond)
	is.Equal(l.leaseDuration(l.workers["w0"], now), 4200*time.Millisecond)
	row := l.nextRow(leadership{}, now)
	is.Equal(row.HandoverMs, int64(0))
	l.handleCommitted(commitResult{row: leaderRow{leadership: row}, sent: now})
	is.Equal(l.leaseDuration(l.workers["w0"], now), l.o.Timing.Lease)
}

// Guards against a run that starts beside another one, since a bound applies to a run that
// the row had no room to name, and against young runs that take the bounds from all workers.
func TestRowWithTooManyUnsettledRunsBoundsNoLease(t *testing.T) {
	cases := []struct {
		name       string
		own, other int // unsettled runs on the leader's worker and on another one
		bounds     bool
		handover   bool
	}{
		{name: "fit", own: 1, other: maxUnsettledRuns - 1, bounds: true, handover: true},
		{name: "those of all workers do not fit", own: 1, other: maxUnsettledRuns, bounds: true},
		{name: "those of the own worker do not fit", own: maxUnsettledRuns + 1},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			now := bootclock.Time(time.Hour)
			l, _ := leaderWithWorkers(t, &now, 2)
			l.o.Worker = "w0"
			l.handover.statedAt = now
			service := addService(l, "web", int32(c.own+c.other), 1)
			for i := range c.own + c.other {
				w := l.workers["w1"]
				if i < c.own {
					w = l.workers["w0"]
				}
				w.assign(structs.RunID{Task: structs.StepTaskID{Job: "web", Index: int32(i)}, Number: 1}, "i", service)
			}
			row := l.nextRow(leadership{}, now)
			is.Equal(len(row.bounds()) > 0, c.bounds)
			is.Equal(row.HandoverMs > 0, c.handover)
			is.Equal(l.nextHorizon == l.o.Timing.Lease, c.handover)
			is.True(l.handover.isSent)
		})
	}
}

// Guards against an agent that is killed since it waits for too long at its stop, and
// against a wait for a next leader where none can be.
func TestLeaveEndsInTime(t *testing.T) {
	cases := []struct {
		name  string
		hosts int
		store standin.StoreMode
		limit time.Duration
	}{
		{name: "another host", hosts: 2, store: standin.StoreServes, limit: 1500 * time.Millisecond},
		{name: "no other host", hosts: 1, store: standin.StoreServes, limit: 100 * time.Millisecond},
		{name: "store does not answer", hosts: 2, store: standin.StoreUnresponsive, limit: leaveTimeout + 100*time.Millisecond},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			runInFleet(t, c.hosts, func(f *simulatedFleet) {
				f.waitReady()
				time.Sleep(lostAfterTakeover)
				for _, h := range f.hosts {
					h.store.SetMode(c.store)
				}
				leader := f.leaderHost()
				begun := time.Now()
				leader.node.Leave(context.Background())
				if after := time.Since(begun); after > c.limit {
					t.Errorf("Leave returned after %s, the limit is %s", after, c.limit)
				}
				is.New(t).Equal(leader.node.IsLeader(), c.hosts == 1 || c.store != standin.StoreServes)
			})
		})
	}
}

// Guards against a node that stops at once since its leadership has just ended, or has just
// begun, so that no other agent attends.
func TestLeaderWithoutSessionsIsNotAlone(t *testing.T) {
	cases := map[string]func(l *leader){
		"has ended": func(l *leader) { close(l.done) },
		"has just begun": func(l *leader) {
			clear(l.workers)
			go func() { (<-l.loopCalls).handle() }()
		},
	}
	for name, change := range cases {
		t.Run(name, func(t *testing.T) {
			now := bootclock.Time(time.Hour)
			l, _ := leaderWithWorkers(t, &now, 1)
			l.o.Worker = "w0"
			change(l)
			is.New(t).Equal(l.isAlone(context.Background()), false)
		})
	}
}

// Guards against work that ends in a short outage of the store, since a leader has stated
// an earlier end of all leases and is not replaced.
func TestLeaderThatStopsDuringAStoreOutageRenewsLeasesAsItStated(t *testing.T) {
	runWithServices(t, 4, func(m *mixedFleet, leader *simulatedHost, _ map[structs.RunID]int) {
		before := m.checker.ActiveRuns()
		for _, h := range m.hosts {
			h.store.SetMode(standin.StoreUnresponsive)
		}
		leader.node.StepDown()
		time.Sleep(4 * time.Second)
		is.New(m.t).Equal(m.checker.ActiveRuns(), before)
		for _, h := range m.hosts {
			h.store.SetMode(standin.StoreServes)
		}
		m.nextLeader(leader)
		time.Sleep(m.timing.MaxLease)
		is.New(m.t).Equal(m.checker.ActiveRuns(), before)
	})
}

// Guards against candidates that fail again and again, since the leader that asks for a takeover
// goes on to commit.
func TestBusyLeaderThatStopsIsReplacedAtTheFirstRequest(t *testing.T) {
	runWithServices(t, 8, func(m *mixedFleet, leader *simulatedHost, _ map[structs.RunID]int) {
		m.beforeCommit.set(func(*simulatedHost, substrate.PartTxn) { time.Sleep(60 * time.Millisecond) })
		m.streamShortTasks(denseBacklog)
		time.Sleep(2 * time.Second)
		begun := time.Now()
		m.streams.Go(leader.stopAgent)
		m.nextLeader(leader)
		if after := time.Since(begun); after > takeoverRequestInterval {
			m.t.Errorf("another host leads after %s, the limit is %s", after, takeoverRequestInterval)
		}
		m.endStreams()
	})
}

// Guards against leases beyond the bound of a worker that is not lost, in a row that states no
// end of all leases since the names of the unsettled runs do not fit.
func TestRowWithoutAHandoverHasNoBoundsOfLongLeases(t *testing.T) {
	is := is.New(t)
	now := bootclock.Time(time.Hour)
	l, _ := leaderWithWorkers(t, &now, 3)
	l.o.Worker = "w0"
	l.handover.statedAt = now
	for _, w := range l.workers {
		w.listed, w.reportedAt = true, now
	}
	service := addService(l, "web", maxUnsettledRuns+2, 1)
	w1 := l.workers["w1"]
	w1.leaseEndsAt = now.Add(4600 * time.Millisecond) // left of extendForEarlierCalls
	settled := w1.assign(structs.RunID{Task: structs.StepTaskID{Job: "web"}, Number: 1}, "i", service)
	settled.startedAt, settled.isStartAnswered = now, true
	for i := range maxUnsettledRuns + 1 {
		l.workers["w2"].assign(structs.RunID{Task: structs.StepTaskID{Job: "web", Index: int32(i + 1)}, Number: 1}, "i", service)
	}
	row := l.nextRow(leadership{}, now)
	is.Equal(row.HandoverMs, int64(0))
	l.handleCommitted(commitResult{row: leaderRow{leadership: row, Version: 1}, sent: now})
	for _, b := range row.bounds() {
		if b.Worker == "w1" {
			t.Errorf("the row has a bound of %d ms", b.Ms)
		}
	}
}
