package cell

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/structs"
)

func attempt(index, number int32) structs.AttemptID {
	return structs.AttemptID{Task: structs.TaskID{Job: "j", Index: index}, Number: number}
}

func TestCheckersFindPlantedViolations(t *testing.T) {
	at := func(s float64) time.Time { return time.Unix(0, 0).Add(time.Duration(s * float64(time.Second))) }
	size := structs.Resources{MilliCPU: 600}
	for name, c := range map[string]struct {
		rule   string
		events []event
	}{
		"two attempts run": {"one run", []event{
			{kind: eventStart, attempt: attempt(0, 1)}, {kind: eventStart, attempt: attempt(0, 2)}}},
		"an attempt starts twice": {"one start", []event{
			{kind: eventStart, attempt: attempt(0, 1)}, {kind: eventStop, attempt: attempt(0, 1)}, {kind: eventStart, attempt: attempt(0, 1)}}},
		"a host is committed beyond its capacity": {"capacity", []event{
			{kind: eventStart, attempt: attempt(0, 1), host: "h", size: size}, {kind: eventStart, attempt: attempt(1, 1), host: "h", size: size}}},
		"an epoch goes back": {"epoch", []event{
			{kind: eventLead, cell: "a", epoch: 1}, {kind: eventLead, cell: "a", epoch: 2}, {kind: eventLead, cell: "a", epoch: 1}}},
		"an epoch is left out": {"epoch", []event{{kind: eventLead, cell: "a", epoch: 1}, {kind: eventLead, cell: "a", epoch: 3}}},
		"two hosts share an epoch": {"epoch shared", []event{
			{kind: eventLead, cell: "a", epoch: 1, host: "h"}, {kind: eventLead, cell: "a", epoch: 1, host: "i"}}},
		"a finished task starts again": {"acknowledged end", []event{
			{kind: eventEnd, attempt: attempt(0, 1), cause: structs.EndFinished}, {kind: eventStart, attempt: attempt(0, 2)}}},
		"a start in a domain that is out": {"domain out", []event{
			{kind: eventOut, domain: "d", at: at(0)}, {kind: eventStart, domain: "d", attempt: attempt(0, 1), at: at(3.1)}}},
		"a resume from another checkpoint": {"checkpoint", []event{
			{kind: eventEnd, attempt: attempt(0, 1), checkpoint: "one"}, {kind: eventStart, attempt: attempt(0, 2), checkpoint: "two"}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			err := check(c.events, structs.Resources{MilliCPU: 1000})
			var v *violation
			is.True(errors.As(err, &v))
			is.Equal(v.rule, c.rule)
		})
	}
}

// TestBrokenWorkersAreFound breaks a rule that the cell relies on and expects
// the checkers to see it in a whole run.
func TestBrokenWorkersAreFound(t *testing.T) {
	for name, c := range map[string]struct {
		rule string
		act  func(w *world)
	}{
		"a runtime that does not enforce leases": {"one run", func(w *world) {
			w.submit("key", structs.WorkService, 6)
			time.Sleep(20 * time.Second)
			for _, m := range w.members {
				m.host.mu.Lock()
				m.host.ignoreLease = true
				m.host.mu.Unlock()
			}
			cut := 0
			for _, m := range w.members {
				if w.hostedOn(m) > 0 && cut < 2 {
					cut++
					w.cutOff(step{lasts: time.Minute}, m)
				}
			}
		}},
		"an agent that starts on heartbeats of any age": {"domain out", func(w *world) {
			for _, m := range w.members {
				m.host.mu.Lock()
				m.host.ignoreGrant = true
				m.host.mu.Unlock()
			}
			w.mu.Lock()
			w.lateAssign = 10 * time.Second
			w.mu.Unlock()
			w.submit("key", structs.WorkService, 6)
			time.Sleep(3 * time.Second)
			_ = w.out("north")
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newWorld(t, testTiming)
				defer w.close()
				w.capacity = w.capacity.Scale(2) // one host has room for everything
				w.add("a", "north", 3)
				c.act(w)
				time.Sleep(40 * time.Second)
				var v *violation
				is.True(errors.As(w.verdict(), &v))
				is.Equal(v.rule, c.rule)
			})
		})
	}
}
