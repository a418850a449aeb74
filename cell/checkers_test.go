package cell

import (
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/structs"
)

func newAttemptID(index, number int32) structs.AttemptID {
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
			{kind: eventStart, attempt: newAttemptID(0, 1)}, {kind: eventStart, attempt: newAttemptID(0, 2)}}},
		"an attempt starts twice": {"one start", []event{
			{kind: eventStart, attempt: newAttemptID(0, 1)}, {kind: eventStop, attempt: newAttemptID(0, 1)}, {kind: eventStart, attempt: newAttemptID(0, 1)}}},
		"a host is committed beyond its capacity": {"capacity", []event{
			{kind: eventStart, attempt: newAttemptID(0, 1), host: "h", size: size}, {kind: eventStart, attempt: newAttemptID(1, 1), host: "h", size: size}}},
		"an epoch goes back": {"epoch", []event{
			{kind: eventLead, cell: "a", epoch: 1}, {kind: eventLead, cell: "a", epoch: 2}, {kind: eventLead, cell: "a", epoch: 1}}},
		"an epoch is left out": {"epoch", []event{{kind: eventLead, cell: "a", epoch: 1}, {kind: eventLead, cell: "a", epoch: 3}}},
		"two hosts share an epoch": {"epoch shared", []event{
			{kind: eventLead, cell: "a", epoch: 1, host: "h"}, {kind: eventLead, cell: "a", epoch: 1, host: "i"}}},
		"a finished task starts again": {"acknowledged end", []event{
			{kind: eventEnd, attempt: newAttemptID(0, 1), cause: structs.EndFinished}, {kind: eventStart, attempt: newAttemptID(0, 2)}}},
		"a start in a domain that is out": {"domain out", []event{
			{kind: eventOut, domain: "d", at: at(0)}, {kind: eventStart, domain: "d", attempt: newAttemptID(0, 1), at: at(3.1)}}},
		"a resume from another checkpoint": {"checkpoint", []event{
			{kind: eventEnd, attempt: newAttemptID(0, 1), checkpoint: "one"}, {kind: eventStart, attempt: newAttemptID(0, 2), checkpoint: "two"}}},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			err := checkAll(c.events, structs.Resources{MilliCPU: 1000})
			var v *violation
			is.True(errors.As(err, &v))
			is.Equal(v.rule, c.rule)
		})
	}
}

// TestCheckersFindFaultyWorkers guards against checkers that miss violations.
// Each case lets workers break a rule that the cell relies on, and the
// checkers must find the violation in the history of the whole run.
func TestCheckersFindFaultyWorkers(t *testing.T) {
	for name, c := range map[string]struct {
		rule string
		act  func(w *simulatedCluster)
	}{
		"a runtime that does not enforce leases": {"one run", func(w *simulatedCluster) {
			w.submitJob("key", structs.WorkService, 6)
			time.Sleep(20 * time.Second)
			for _, m := range w.members {
				m.host.mu.Lock()
				m.host.ignoreLease = true
				m.host.mu.Unlock()
			}
			cut := 0
			for _, m := range w.members {
				if w.runningOn(m) > 0 && cut < 2 {
					cut++
					w.isolateFromAll(faultStep{duration: time.Minute}, m)
				}
			}
		}},
		"an agent that starts on heartbeats of any age": {"domain out", func(w *simulatedCluster) {
			for _, m := range w.members {
				m.host.mu.Lock()
				m.host.ignoreGrant = true
				m.host.mu.Unlock()
			}
			w.mu.Lock()
			w.assignDelay = 10 * time.Second
			w.mu.Unlock()
			w.submitJob("key", structs.WorkService, 6)
			time.Sleep(3 * time.Second)
			_ = w.takeDomainOutOfService("north")
		}},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				w := newSimulatedCluster(t, testTiming)
				defer w.close()
				w.capacity = w.capacity.Scale(2) // one host has room for every task
				w.addHosts("a", "north", 3)
				c.act(w)
				time.Sleep(40 * time.Second)
				var v *violation
				is.True(errors.As(w.checkHistory(), &v))
				is.Equal(v.rule, c.rule)
			})
		})
	}
}
