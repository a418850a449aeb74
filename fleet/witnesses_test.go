package fleet

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/api/fleetpb"
	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/structs"
)

// Guards against a wait of LeaseHorizon for hosts that are lost at the same time as the
// leader, or just before it, as with their rack.
func TestHostsThatAreLostTogetherWithTheLeaderRunAgainInTime(t *testing.T) {
	for _, c := range []struct {
		name   string
		hosts  int           // lost beside the leader
		before time.Duration // the loss of the leader
	}{
		{"one host", 1, 0},
		{"one host, 0.4 s before", 1, 400 * time.Millisecond},
		{"one host, 0.9 s before", 1, 900 * time.Millisecond},
		{"a quarter of the hosts", 3, 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			runWithServices(t, 12, func(m *mixedFleet, leader *simulatedHost, _ map[structs.RunID]int) {
				checkRestarts(m, func(l *lostHosts) {
					for range c.hosts {
						l.lose(l.follower())
					}
					l.observe(c.before)
					l.lose(leader)
				})
			})
		})
	}
}

// Guards against leases that a leader grants to hosts which are cut off with it, after the
// time at which the next leader starts their tasks on other hosts.
func TestTasksBehindAPartitionWithTheLeaderRunOnce(t *testing.T) {
	for _, others := range []int{1, 3} {
		t.Run(fmt.Sprintf("%d hosts beside the leader", others), func(t *testing.T) {
			runWithServices(t, 12, func(m *mixedFleet, leader *simulatedHost, tasks map[structs.RunID]int) {
				time.Sleep(m.timing.settledIncarnationAge())
				island := []*simulatedHost{leader}
				for _, h := range m.hosts {
					if h != leader && len(island) <= others {
						island = append(island, h)
					}
				}
				cutAt := time.Now()
				cutOffIsland("leader", island)
				m.nextLeader(leader)
				after := m.waitRestarted(tasks, leader, cutAt)
				m.t.Logf("tasks run again after %s", after)
			})
		})
	}
}

// witnessesOf returns a part of a row that names the workers w0 to w4.
func witnessesOf(ms int64) witnessedLeases {
	return witnessedLeases{Witnesses: []structs.WorkerID{"w0", "w1", "w2", "w3", "w4"}, WitnessMs: ms}
}

// Guards against a lease beyond what a row states of the witnesses, whether it is stored or in
// flight.
func TestLeasesEndSoonAfterMostWitnessesHaveAttended(t *testing.T) {
	start := bootclock.Time(time.Hour)
	for _, c := range []struct {
		name            string
		ages            []time.Duration // since the last confirmed orders of each witness
		stored, pending witnessedLeases
		want            time.Duration
	}{
		{"no witnesses", []time.Duration{9 * time.Second}, witnessedLeases{}, witnessedLeases{}, 4500 * time.Millisecond},
		{"all attend", nil, witnessesOf(4900), witnessesOf(4900), 4500 * time.Millisecond},
		{"two are lost", []time.Duration{9 * time.Second, 9 * time.Second}, witnessesOf(4900), witnessesOf(4900), 4500 * time.Millisecond},
		{"most attended 1 s ago", []time.Duration{time.Second, time.Second, time.Second}, witnessesOf(4900), witnessesOf(4900), 3900 * time.Millisecond},
		{"only in the commit in flight", []time.Duration{time.Second, time.Second, time.Second}, witnessedLeases{}, witnessesOf(4900), 3900 * time.Millisecond},
		{"only in the stored row", []time.Duration{time.Second, time.Second, time.Second}, witnessesOf(4900), witnessedLeases{}, 3900 * time.Millisecond},
		{"most are lost", []time.Duration{9 * time.Second, 9 * time.Second, 9 * time.Second}, witnessesOf(4900), witnessesOf(4900), 0},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := start
			l, _ := leaderWithWorkers(t, &now, 6)
			for i := range 5 {
				w := l.workers[structs.WorkerID(fmt.Sprintf("w%d", i))]
				w.confirmedAt = now
				if i < len(c.ages) {
					w.confirmedAt = now.Add(-c.ages[i])
				}
			}
			l.row.witnessedLeases = c.stored
			l.setNextWitnesses(c.pending)
			is.New(t).Equal(l.leaseDuration(l.workers["w5"], now), c.want)
		})
	}
}

// Guards against an end of earlier leases that is counted from a session whose agent may
// still go back to the earlier leader, and from too few of them.
func TestEarlierLeasesAreLimitedOnceMostWitnessesAttend(t *testing.T) {
	is := is.New(t)
	now := bootclock.Time(time.Hour)
	l, _ := leaderWithWorkers(t, &now, 7)
	lost := l.workers["w6"]
	lost.session, lost.listedAt = nil, 0
	row := leadership{Epoch: 7, witnessedLeases: witnessesOf(4900)}
	l.restoreLeases(l.o.Timing.earlierLeases("w5", leaderRow{leadership: row}, now, nil))
	attend := func(worker structs.WorkerID, ordersSeen int64) {
		w := l.workers[worker]
		s := newSession()
		l.attachSession(s, &fleetpb.Hello{Worker: string(worker), Incarnation: w.incarnation})
		now = now.Add(100 * time.Millisecond)
		l.handleReport(s, &fleetpb.WorkerReport{OrdersSeen: ordersSeen})
	}
	attend("w0", 1)
	attend("w1", 1)
	attend("w2", 0)
	attend("w5", 1) // is no witness
	is.Equal(lost.settledLeaseEnd(), lost.leaseEndsAt)
	begun := now
	attend("w2", 1)
	is.Equal(lost.settledLeaseEnd(), begun.Add(4900*time.Millisecond)) // from the start of the third session
	is.Equal(lost.leaseRule(lost.settledLeaseEnd()), ruleWitness)
	attend("w3", 1)
	is.Equal(lost.settledLeaseEnd(), begun.Add(4900*time.Millisecond))
}

func TestRowNamesWitnessesOfManyFailureDomains(t *testing.T) {
	for _, c := range []struct {
		name    string
		domains string // of w0, w1 and so on, one letter each; that of w0, which leads, first
		lost    []structs.WorkerID
		want    []structs.WorkerID
		isFull  bool
	}{
		{"three domains", "aabbcc", nil, []structs.WorkerID{"w2", "w4", "w1", "w3", "w5"}, true},
		{"two domains", "aaaaaaaaabbbbb", nil, []structs.WorkerID{"w10", "w1", "w11", "w12", "w2", "w13", "w3", "w4", "w9"}, true},
		{"an odd number", "abcdefg", nil, []structs.WorkerID{"w1", "w2", "w3", "w4", "w5"}, false},
		{"too few", "abcde", nil, nil, false},
		{"lost workers return", "aaaaaaaaabbbbb", []structs.WorkerID{"w10", "w1"}, []structs.WorkerID{"w11", "w12", "w2", "w13", "w3", "w4", "w9", "w5", "w6"}, true},
		{"some are lost", "aaaabbbb", []structs.WorkerID{"w4", "w1"}, []structs.WorkerID{"w5", "w2", "w6", "w3", "w7"}, false},
	} {
		t.Run(c.name, func(t *testing.T) {
			now := bootclock.Time(time.Hour)
			l, _ := leaderWithWorkers(t, &now, len(c.domains))
			l.o.Worker = "w0"
			for i, domain := range c.domains {
				w := l.workers[structs.WorkerID(fmt.Sprintf("w%d", i))]
				w.domain, w.confirmedAt = structs.FailureDomainID(string(domain)), now
			}
			for _, id := range c.lost {
				l.workers[id].confirmedAt = now.Add(-2 * time.Second)
			}
			is := is.New(t)
			is.Equal(l.nextRow(leadership{}, now).Witnesses, c.want)
			for _, id := range c.lost {
				l.workers[id].confirmedAt = now
			}
			if c.isFull {
				is.Equal(l.nextRow(leadership{}, now).Witnesses, c.want) // workers that return replace none
			}
		})
	}
}
