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

// inForceWithin is the promise: the longest time from acceptance until every
// reachable daemon has a revision.
const inForceWithin = 4 * time.Second

// checkMonotone reports daemons whose revision stepped back.
func checkMonotone(seen []observation) []string {
	var violations []string
	last := map[string]int64{}
	for _, o := range seen {
		if o.revision < last[o.daemon] {
			violations = append(violations, fmt.Sprintf("daemon %s went from %d to %d", o.daemon, last[o.daemon], o.revision))
		}
		last[o.daemon] = o.revision
	}
	return violations
}

// checkContent reports revisions whose content was not that of the table.
// Sums holds the accepted content by revision.
func checkContent(seen []observation, sums map[int64]uint64) []string {
	var violations []string
	for _, o := range seen {
		if want, known := sums[o.revision]; o.revision > 0 && (!known || want != o.sum) {
			violations = append(violations, fmt.Sprintf("daemon %s has other content at %d", o.daemon, o.revision))
		}
	}
	return violations
}

// checkAccepted reports revisions that were accepted for two operators or that
// the history gives to another.
func checkAccepted(accepted []acceptance, history []HistoryEntry) []string {
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

// checkInForce reports daemons below the revision.
func checkInForce(daemons []*daemon, revision int64) []string {
	var violations []string
	for _, d := range daemons {
		if have := d.holder.Revision(); have < revision {
			violations = append(violations, fmt.Sprintf("daemon %s is at %d, accepted is %d", d.name, have, revision))
		}
	}
	return violations
}

func TestCheckersFindPlantedViolations(t *testing.T) {
	is := is.New(t)
	is.Equal(len(checkMonotone([]observation{{"a", 2, 0}, {"b", 1, 0}, {"a", 1, 0}})), 1)
	is.Equal(checkMonotone([]observation{{"a", 2, 0}, {"b", 1, 0}, {"a", 2, 0}}), nil)
	is.Equal(len(checkContent([]observation{{"a", 1, 7}, {"a", 2, 9}}, map[int64]uint64{1: 7, 2: 8})), 1)
	is.Equal(len(checkContent([]observation{{"a", 5, 7}}, map[int64]uint64{1: 7})), 1)
	is.Equal(len(checkAccepted([]acceptance{{1, "ana"}, {1, "berta"}}, []HistoryEntry{{Revision: 1, Operator: "ana"}})), 1)
	is.Equal(len(checkInForce([]*daemon{{name: "a", holder: NewHolder()}}, 1)), 1)
}

// sums replays the history into the content of each revision.
func (f *fleet) sums(history []HistoryEntry) (map[int64]uint64, error) {
	store := NewStore(f.table)
	sums := map[int64]uint64{}
	for _, entry := range history {
		config, err := store.At(f.ctx, entry.Revision)
		if err != nil {
			return nil, err
		}
		s, err := newSnapshot(config)
		if err != nil {
			return nil, err
		}
		sums[entry.Revision] = s.sum
	}
	return sums, nil
}

// check runs every checker on the record.
func (f *fleet) check() []string {
	history, err := NewStore(f.table).History(f.ctx, 1000)
	if err != nil {
		return []string{err.Error()}
	}
	sums, err := f.sums(history)
	if err != nil {
		return []string{err.Error()}
	}
	f.mu.Lock()
	defer f.mu.Unlock()
	var newest int64
	for _, entry := range history {
		newest = max(newest, entry.Revision)
	}
	return slices.Concat(checkMonotone(f.seen), checkContent(f.seen, sums),
		checkAccepted(f.accepted, history), checkInForce(f.daemons, newest))
}

// runFleet runs scenario on a fleet in virtual time, heals every fault, waits
// for the promised time and returns the violations.
func runFleet(t *testing.T, leaders, agents int, seed uint64, scenario func(f *fleet)) (violations []string) {
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(ctx, leaders, agents, seed)
		scenario(f)
		f.table.Faults.Clear()
		for i := range f.daemons {
			f.daemon(i).gate.thaw()
		}
		time.Sleep(20 * time.Second) // operators' commits on the way end
		f.apply("last", 7000)
		time.Sleep(inForceWithin)
		violations = f.check()
		cancel()
		f.group.Wait()
	})
	return violations
}

// fault is one kind of step of a scenario.
type fault struct {
	name string
	do   func(f *fleet, daemon int)
}

func faults() []fault {
	return []fault{
		{"table down", func(f *fleet, _ int) { f.table.Faults.Refuse(standin.Every) }},
		{"table silent", func(f *fleet, _ int) { f.table.Faults.Silence(standin.Every) }},
		{"table slow", func(f *fleet, _ int) { f.table.Faults.Delay(400*time.Millisecond, standin.Every) }},
		{"table too slow", func(f *fleet, _ int) { f.table.Faults.Delay(3*time.Second, 6) }},
		{"answer lost", func(f *fleet, _ int) { f.table.Faults.LoseAnswer(2) }},
		{"daemon frozen", func(f *fleet, i int) { f.daemon(i).gate.freeze() }},
		{"daemon replaced", func(f *fleet, i int) { f.replace(i) }},
		{"operators race", func(f *fleet, i int) {
			for n := range 3 {
				f.group.Go(func() { f.apply(fmt.Sprintf("operator-%d-%d", i, n), int64(1000+10*i+n)) })
			}
		}},
	}
}

func TestAcceptedIsInForceEverywhereInTimeUnderEachFault(t *testing.T) {
	for _, fault := range faults() {
		t.Run(fault.name, func(t *testing.T) {
			violations := runFleet(t, 3, 12, 1, func(f *fleet) {
				f.apply("first", 5000)
				for i := range 5 {
					time.Sleep(700 * time.Millisecond)
					f.group.Go(func() { f.apply("second", int64(5001+i)) })
					fault.do(f, i*3)
					time.Sleep(2500 * time.Millisecond)
				}
			})
			is.New(t).Equal(violations, nil)
		})
	}
}

func TestRevisionNeverStepsBackUnderAnyMixOfFaults(t *testing.T) {
	kinds := append(faults(),
		fault{"table well", func(f *fleet, _ int) { f.table.Faults.Clear() }},
		fault{"daemon thawed", func(f *fleet, i int) { f.daemon(i).gate.thaw() }},
		fault{"change", func(f *fleet, i int) { f.group.Go(func() { f.apply("single", int64(3000+i)) }) }})
	const daemons = 9
	rapid.Check(t, func(rt *rapid.T) {
		steps := rapid.SliceOfN(rapid.IntRange(0, len(kinds)*daemons-1), 5, 40).Draw(rt, "steps")
		pauses := rapid.SliceOfN(rapid.IntRange(0, 3000), len(steps), len(steps)).Draw(rt, "pauses")
		seed := rapid.Uint64().Draw(rt, "seed")
		violations := runFleet(t, 3, daemons-3, seed, func(f *fleet) {
			for i, step := range steps {
				kinds[step/daemons].do(f, step%daemons)
				time.Sleep(time.Duration(pauses[i]) * time.Millisecond)
			}
		})
		if len(violations) > 0 {
			rt.Fatalf("%v", violations)
		}
	})
}

func TestRestartDuringATableOutageTakesTheHighestOfThePeers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(ctx, 2, 4, 1)
		f.apply("first", 5000)
		time.Sleep(inForceWithin)
		f.table.Faults.Refuse(standin.Every)
		for i := range f.daemons {
			f.replace(i)
			time.Sleep(inForceWithin)
			is.Equal(checkInForce(f.daemons, 1), nil)
		}
		is.Equal(checkMonotone(f.seen), nil)
		cancel()
		f.group.Wait()
	})
}

func TestAcceptedIsInForceInTimeWhileTheTableGoesOutAfterwards(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		ctx, cancel := context.WithCancel(t.Context())
		f := newFleet(ctx, 3, 6, 1)
		f.apply("first", 5000)
		for f.daemon(0).holder.Revision() == 0 && f.daemon(1).holder.Revision() == 0 && f.daemon(2).holder.Revision() == 0 {
			time.Sleep(time.Millisecond)
		}
		f.table.Faults.Refuse(standin.Every) // only one leader has read it
		time.Sleep(inForceWithin)
		is.Equal(checkInForce(f.daemons, 1), nil)
		cancel()
		f.group.Wait()
	})
}

func TestAcceptedIsInForceInTimeWhileAFaultLasts(t *testing.T) {
	const leaders, agents = 3, 9
	for name, begin := range map[string]func(f *fleet){
		"none":           func(*fleet) {},
		"table slow":     func(f *fleet) { f.table.Faults.Delay(400*time.Millisecond, standin.Every) },
		"answer lost":    func(f *fleet) { f.table.Faults.LoseAnswer(1) },
		"answer late":    func(f *fleet) { f.table.Faults.Delay(5*time.Second, 3) },
		"agents frozen":  func(f *fleet) { f.daemon(leaders).gate.freeze(); f.daemon(leaders + 1).gate.freeze() },
		"agent replaced": func(f *fleet) { f.replace(leaders + 2) },
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				ctx, cancel := context.WithCancel(t.Context())
				f := newFleet(ctx, leaders, agents, 1)
				f.apply("first", 5000)
				time.Sleep(inForceWithin)
				begin(f)
				f.apply("second", 5001)
				is.Equal(len(f.accepted), 2)
				time.Sleep(inForceWithin)
				reachable := slices.DeleteFunc(slices.Clone(f.daemons), func(d *daemon) bool { return d.gate.closed != nil })
				is.True(len(reachable) >= leaders+agents-2)
				is.Equal(checkInForce(reachable, 2), nil)
				for i := range f.daemons {
					f.daemon(i).gate.thaw()
				}
				cancel()
				f.group.Wait()
			})
		})
	}
}
