package config

import (
	"context"
	"fmt"
	"slices"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/daisywall/daisywall/standin"
)

// maxPropagationTime is the longest time from acceptance until a revision is in
// force in every reachable daemon.
const maxPropagationTime = 4 * time.Second

// checkMonotone reports daemons whose revision decreased.
func checkMonotone(observations []observation) []string {
	var violations []string
	last := map[string]int64{}
	for _, o := range observations {
		if o.revision < last[o.daemon] {
			violations = append(violations, fmt.Sprintf("daemon %s went from %d to %d", o.daemon, last[o.daemon], o.revision))
		}
		last[o.daemon] = o.revision
	}
	return violations
}

// checkContent reports revisions in force whose content differs from the table.
// checksums holds the checksum of the committed content by revision.
func checkContent(observations []observation, checksums map[int64]uint64) []string {
	var violations []string
	for _, o := range observations {
		if want, found := checksums[o.revision]; o.revision > 0 && (!found || want != o.checksum) {
			violations = append(violations, fmt.Sprintf("daemon %s has other content at %d", o.daemon, o.revision))
		}
	}
	return violations
}

// checkAccepted reports accepted changes whose revision the history assigns to
// another operator.
func checkAccepted(accepted []acceptedChange, history []HistoryEntry) []string {
	var violations []string
	owner := map[int64]string{}
	for _, entry := range history {
		owner[entry.Revision] = entry.Operator
	}
	for _, a := range accepted {
		if owner[a.revision] != a.operator {
			violations = append(violations, fmt.Sprintf("revision %d of %s belongs to %q", a.revision, a.operator, owner[a.revision]))
		}
	}
	return violations
}

// checkInForce reports daemons whose revision in force is lower than the given
// one.
func checkInForce(daemons []*simulatedDaemon, revision int64) []string {
	var violations []string
	for _, d := range daemons {
		if revisionInForce := d.holder.Revision(); revisionInForce < revision {
			violations = append(violations, fmt.Sprintf("daemon %s is at %d, accepted is %d", d.name, revisionInForce, revision))
		}
	}
	return violations
}

func TestCheckersFindViolations(t *testing.T) {
	is := is.New(t)
	is.Equal(len(checkMonotone([]observation{{"a", 2, 0}, {"b", 1, 0}, {"a", 1, 0}})), 1)
	is.Equal(checkMonotone([]observation{{"a", 2, 0}, {"b", 1, 0}, {"a", 2, 0}}), nil)
	is.Equal(len(checkContent([]observation{{"a", 1, 7}, {"a", 2, 9}}, map[int64]uint64{1: 7, 2: 8})), 1)
	is.Equal(len(checkContent([]observation{{"a", 5, 7}}, map[int64]uint64{1: 7})), 1)
	is.Equal(len(checkAccepted([]acceptedChange{{1, "ana"}, {1, "berta"}}, []HistoryEntry{{Revision: 1, Operator: "ana"}})), 1)
	is.Equal(len(checkInForce([]*simulatedDaemon{{name: "a", holder: NewHolder()}}, 1)), 1)
}

// historyChecksums returns the checksum of the content of each revision in the
// history.
func (c *simulatedCluster) historyChecksums(history []HistoryEntry) (map[int64]uint64, error) {
	store := NewStore(c.table)
	checksums := map[int64]uint64{}
	for _, entry := range history {
		config, err := store.ReadRevision(c.ctx, entry.Revision)
		if err != nil {
			return nil, err
		}
		s, err := newSnapshot(config)
		if err != nil {
			return nil, err
		}
		checksums[entry.Revision] = s.checksum
	}
	return checksums, nil
}

// check runs every checker on the recorded observations.
func (c *simulatedCluster) check() []string {
	history, err := NewStore(c.table).History(c.ctx, 1000)
	if err != nil {
		return []string{err.Error()}
	}
	checksums, err := c.historyChecksums(history)
	if err != nil {
		return []string{err.Error()}
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	var newest int64
	for _, entry := range history {
		newest = max(newest, entry.Revision)
	}
	return slices.Concat(checkMonotone(c.observations), checkContent(c.observations, checksums),
		checkAccepted(c.accepted, history), checkInForce(c.daemons, newest))
}

// runCluster runs the scenario on a simulated cluster in virtual time, clears
// every fault, waits for maxPropagationTime and returns the violations.
func runCluster(t *testing.T, leaders, agents int, seed uint64, scenario func(c *simulatedCluster)) (violations []string) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		c := newSimulatedCluster(ctx, leaders, agents, seed)
		scenario(c)
		c.table.Faults.Clear()
		for i := range c.daemons {
			c.daemon(i).gate.resume()
		}
		time.Sleep(20 * time.Second) // the pending commits of the operators end in this time
		c.apply("last", 7000)
		time.Sleep(maxPropagationTime)
		violations = c.check()
		cancel()
		c.group.Wait()
	})
	return violations
}

// fault is a kind of fault that a scenario can inject into the cluster or into
// one daemon.
type fault struct {
	name   string
	inject func(c *simulatedCluster, daemon int)
}

func faults() []fault {
	return []fault{
		{"table unavailable", func(c *simulatedCluster, _ int) { c.table.Faults.Refuse(standin.EveryCall) }},
		{"table does not answer", func(c *simulatedCluster, _ int) { c.table.Faults.Silence(standin.EveryCall) }},
		{"table slow", func(c *simulatedCluster, _ int) { c.table.Faults.Delay(400*time.Millisecond, standin.EveryCall) }},
		{"table slower than the timeouts", func(c *simulatedCluster, _ int) { c.table.Faults.Delay(3*time.Second, 6) }},
		{"response lost", func(c *simulatedCluster, _ int) { c.table.Faults.LoseAnswer(2) }},
		{"daemon paused", func(c *simulatedCluster, i int) { c.daemon(i).gate.pause() }},
		{"daemon restarted", func(c *simulatedCluster, i int) { c.restartDaemon(i) }},
		{"concurrent changes", func(c *simulatedCluster, i int) {
			for n := range 3 {
				c.group.Go(func() { c.apply(fmt.Sprintf("operator-%d-%d", i, n), int64(1000+10*i+n)) })
			}
		}},
	}
}

func TestAcceptedRevisionReachesEveryDaemonInTimeAfterEachFault(t *testing.T) {
	for _, fault := range faults() {
		t.Run(fault.name, func(t *testing.T) {
			violations := runCluster(t, 3, 12, 1, func(c *simulatedCluster) {
				c.apply("first", 5000)
				for i := range 5 {
					time.Sleep(700 * time.Millisecond)
					c.group.Go(func() { c.apply("second", int64(5001+i)) })
					fault.inject(c, i*3)
					time.Sleep(2500 * time.Millisecond)
				}
			})
			is.New(t).Equal(violations, nil)
		})
	}
}

func TestRevisionNeverDecreasesUnderRandomFaults(t *testing.T) {
	kinds := append(faults(),
		fault{"table faults cleared", func(c *simulatedCluster, _ int) { c.table.Faults.Clear() }},
		fault{"daemon resumed", func(c *simulatedCluster, i int) { c.daemon(i).gate.resume() }},
		fault{"change", func(c *simulatedCluster, i int) { c.group.Go(func() { c.apply("single", int64(3000+i)) }) }})
	const daemons = 9
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, len(kinds)*daemons-1), 5, 40).Draw(rt, "steps")
		pauses := rapid.SliceOfN(rapid.IntRange(0, 3000), len(steps), len(steps)).Draw(rt, "pauses")
		seed := rapid.Uint64().Draw(rt, "seed")
		violations := runCluster(t, 3, daemons-3, seed, func(c *simulatedCluster) {
			for i, step := range steps {
				kinds[step/daemons].inject(c, step%daemons)
				time.Sleep(time.Duration(pauses[i]) * time.Millisecond)
			}
		})
		if len(violations) > 0 {
			rt.Fatalf("%v", violations)
		}
	})
}

// TestRestartDuringTableOutageFetchesTheHighestPeerRevision restarts one daemon
// after another. A restarted daemon has no configuration and cannot read the
// table, so it depends on its peers.
func TestRestartDuringTableOutageFetchesTheHighestPeerRevision(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		c := newSimulatedCluster(ctx, 2, 4, 1)
		c.apply("first", 5000)
		time.Sleep(maxPropagationTime)
		c.table.Faults.Refuse(standin.EveryCall)
		for i := range c.daemons {
			c.restartDaemon(i)
			time.Sleep(maxPropagationTime)
			is.Equal(checkInForce(c.daemons, 1), nil)
		}
		is.Equal(checkMonotone(c.observations), nil)
		cancel()
		c.group.Wait()
	})
}

// TestAcceptedRevisionReachesEveryDaemonInTimeWhenTheTableFailsAfterOneRead
// makes the table fail when only one leader holds the accepted revision. The
// other leaders must fetch it from that peer.
func TestAcceptedRevisionReachesEveryDaemonInTimeWhenTheTableFailsAfterOneRead(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		c := newSimulatedCluster(ctx, 3, 6, 1)
		c.apply("first", 5000)
		for c.daemon(0).holder.Revision() == 0 && c.daemon(1).holder.Revision() == 0 && c.daemon(2).holder.Revision() == 0 {
			time.Sleep(time.Millisecond)
		}
		c.table.Faults.Refuse(standin.EveryCall) // only one leader has read the accepted revision
		time.Sleep(maxPropagationTime)
		is.Equal(checkInForce(c.daemons, 1), nil)
		cancel()
		c.group.Wait()
	})
}

func TestAcceptedRevisionReachesRunningDaemonsInTimeDuringAFault(t *testing.T) {
	const leaders, agents = 3, 9
	for name, begin := range map[string]func(c *simulatedCluster){
		"none":            func(*simulatedCluster) {},
		"table slow":      func(c *simulatedCluster) { c.table.Faults.Delay(400*time.Millisecond, standin.EveryCall) },
		"response lost":   func(c *simulatedCluster) { c.table.Faults.LoseAnswer(1) },
		"response late":   func(c *simulatedCluster) { c.table.Faults.Delay(5*time.Second, 3) },
		"agents paused":   func(c *simulatedCluster) { c.daemon(leaders).gate.pause(); c.daemon(leaders + 1).gate.pause() },
		"agent restarted": func(c *simulatedCluster) { c.restartDaemon(leaders + 2) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				c := newSimulatedCluster(ctx, leaders, agents, 1)
				c.apply("first", 5000)
				time.Sleep(maxPropagationTime)
				begin(c)
				c.apply("second", 5001)
				is.Equal(len(c.accepted), 2)
				time.Sleep(maxPropagationTime)
				reachable := slices.DeleteFunc(slices.Clone(c.daemons), func(d *simulatedDaemon) bool { return d.gate.resumed != nil })
				is.True(len(reachable) >= leaders+agents-2)
				is.Equal(checkInForce(reachable, 2), nil)
				for i := range c.daemons {
					c.daemon(i).gate.resume()
				}
				cancel()
				c.group.Wait()
			})
		})
	}
}
