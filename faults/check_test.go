package faults

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/standin"
	"github.com/daisywall/daisywall/structs"
)

// violations returns the invariants that the events of the runtimes violate.
func (c *simCluster) violations() []string {
	events := c.platform.History.Events()
	var violations []string
	for _, v := range append(c.platform.History.Violations(), standin.CheckOneRun(events)...) {
		violations = append(violations, v.String())
	}
	c.mu.Lock()
	defer c.mu.Unlock()
	outages := append([]outage{}, c.outages...)
	for domain, from := range c.outSince {
		outages = append(outages, outage{domain, from, time.Now()})
	}
	domains := map[structs.WorkerID]structs.FailureDomainID{}
	for _, p := range c.processes {
		domains[p.worker.ID] = p.worker.FailureDomain
	}
	violations = append(violations, checkOutages(events, domains, outages)...)
	return append(violations, checkAttempts(events, c.exactCheckpoints)...)
}

// checkOutages returns the starts in a failure domain that was out of service.
func checkOutages(events []standin.Event, domains map[structs.WorkerID]structs.FailureDomainID, outages []outage) []string {
	var violations []string
	for _, e := range events {
		for _, o := range outages {
			if e.Kind != standin.EventStarted || domains[e.Worker] != o.domain {
				continue
			}
			if e.At.After(o.from.Add(startAfterOutLimit)) && e.At.Before(o.to) {
				violations = append(violations, fmt.Sprintf("%s started on %s, %s after %s went out", e.Attempt, e.Worker, e.At.Sub(o.from), o.domain))
			}
		}
	}
	return violations
}

// checkAttempts returns the attempts that started twice and the attempts that
// resumed from a wrong checkpoint. An attempt may resume from any checkpoint
// that the previous attempt wrote, or from the checkpoint that the previous
// attempt resumed from. If exact is set, only the last of these checkpoints is
// correct, because no fault kept the leader from receiving it.
func checkAttempts(events []standin.Event, exact bool) []string {
	started := map[structs.AttemptID]bool{}
	lastStart := map[structs.TaskID]standin.Event{}
	lastEvent := map[structs.TaskID]standin.Event{}
	var violations []string
	for _, e := range events {
		task := e.Attempt.Task
		if e.Kind != standin.EventStarted {
			lastEvent[task] = e
			continue
		}
		if started[e.Attempt] {
			violations = append(violations, fmt.Sprintf("%s started twice", e.Attempt))
		}
		started[e.Attempt] = true
		before, hasEarlierStart := lastStart[task]
		lastStart[task] = e
		if !hasEarlierStart {
			continue
		}
		ownCheckpoints := fmt.Sprintf("checkpoint/%s/%d/%d/", task.Job, task.Index, before.Attempt.Number)
		isCorrect := e.Checkpoint == before.Checkpoint || strings.HasPrefix(e.Checkpoint, ownCheckpoints)
		if exact {
			isCorrect = e.Checkpoint == lastEvent[task].Checkpoint
		}
		if !isCorrect {
			violations = append(violations, fmt.Sprintf("%s resumed from %q and %s left %q", e.Attempt, e.Checkpoint, before.Attempt, lastEvent[task].Checkpoint))
		}
	}
	return violations
}

// countRunning returns the number of current runs of the job.
func countRunning(events []standin.Event, job structs.JobID) int {
	n := 0
	for _, e := range events {
		switch {
		case e.Attempt.Task.Job != job:
		case e.Kind == standin.EventStarted:
			n++
		default:
			n--
		}
	}
	return n
}

func TestChecksReportInjectedViolations(t *testing.T) {
	now := time.Now()
	event := func(kind standin.EventKind, number int32, checkpoint string, at time.Duration) standin.Event {
		id := structs.AttemptID{Task: structs.TaskID{Job: "j"}, Number: number}
		return standin.Event{Kind: kind, Attempt: id, Worker: "w", Checkpoint: checkpoint, At: now.Add(at)}
	}
	const firstCheckpoint, secondCheckpoint = "checkpoint/j/0/1/x", "checkpoint/j/0/2/x"
	start, stop := standin.EventStarted, standin.EventStopped
	evicted := []standin.Event{event(start, 1, "", 0), event(stop, 1, firstCheckpoint, 0)}
	moved := append(slices.Clone(evicted), event(start, 2, firstCheckpoint, 0), event(stop, 2, secondCheckpoint, 0))
	domains := map[structs.WorkerID]structs.FailureDomainID{"w": "north"}
	outages := []outage{{"north", now, now.Add(time.Minute)}}
	cases := map[string]struct {
		events     []standin.Event
		violations int // expected number of violations if exact checkpoints are not required
		exact      int // expected number of violations if exact checkpoints are required
	}{
		"a start within the limit":                         {[]standin.Event{event(start, 1, "", startAfterOutLimit)}, 0, 0},
		"a start in a domain that is out":                  {[]standin.Event{event(start, 1, "", startAfterOutLimit+1)}, 1, 1},
		"a start after the domain is in":                   {[]standin.Event{event(start, 1, "", time.Minute)}, 0, 0},
		"an attempt that starts twice":                     {[]standin.Event{event(start, 1, "", 0), event(stop, 1, "", 0), event(start, 1, "", 0)}, 1, 1},
		"a resume from the checkpoint":                     {append(slices.Clone(evicted), event(start, 2, firstCheckpoint, 0)), 0, 0},
		"a resume from the start of the attempt before":    {append(slices.Clone(evicted), event(start, 2, "", 0)), 0, 1},
		"a resume from a checkpoint of no earlier attempt": {append(slices.Clone(evicted), event(start, 2, secondCheckpoint, 0)), 1, 1},
		"a second resume from the last checkpoint":         {append(slices.Clone(moved), event(start, 3, secondCheckpoint, 0)), 0, 0},
		"a second resume without a checkpoint":             {append(slices.Clone(moved), event(start, 3, "", 0)), 1, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			out := len(checkOutages(c.events, domains, outages))
			is.Equal(out+len(checkAttempts(c.events, false)), c.violations)
			is.Equal(out+len(checkAttempts(c.events, true)), c.exact)
		})
	}
}
