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

// verdict returns what the records of the runtimes show to be broken.
func (w *world) verdict() []string {
	events := w.platform.History.Events()
	var broken []string
	for _, v := range append(w.platform.History.Violations(), standin.CheckOneRun(events)...) {
		broken = append(broken, v.String())
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	outages := append([]outage{}, w.outages...)
	for domain, from := range w.out {
		outages = append(outages, outage{domain, from, time.Now()})
	}
	domains := map[structs.WorkerID]structs.FailureDomainID{}
	for _, p := range w.processes {
		domains[p.worker.ID] = p.worker.FailureDomain
	}
	broken = append(broken, checkOutages(events, domains, outages)...)
	return append(broken, checkAttempts(events, w.exact)...)
}

// checkOutages returns the starts in a failure domain that was out.
func checkOutages(events []standin.Event, domains map[structs.WorkerID]structs.FailureDomainID, outages []outage) []string {
	var broken []string
	for _, e := range events {
		for _, o := range outages {
			if e.Kind != standin.EventStarted || domains[e.Worker] != o.domain {
				continue
			}
			if e.At.After(o.from.Add(outBound)) && e.At.Before(o.to) {
				broken = append(broken, fmt.Sprintf("%s started on %s, %s after %s went out", e.Attempt, e.Worker, e.At.Sub(o.from), o.domain))
			}
		}
	}
	return broken
}

// checkAttempts returns the attempts that started twice, and those that did not
// resume where the attempt before was. That is a checkpoint of the attempt
// before or the one it had started from itself; when exact is set, only the
// last one, as nothing has kept the leader from hearing of it.
func checkAttempts(events []standin.Event, exact bool) []string {
	started := map[structs.AttemptID]bool{}
	first := map[structs.TaskID]standin.Event{}
	last := map[structs.TaskID]standin.Event{}
	var broken []string
	for _, e := range events {
		task := e.Attempt.Task
		if e.Kind != standin.EventStarted {
			last[task] = e
			continue
		}
		if started[e.Attempt] {
			broken = append(broken, fmt.Sprintf("%s started twice", e.Attempt))
		}
		started[e.Attempt] = true
		before, found := first[task]
		first[task] = e
		if !found {
			continue
		}
		own := fmt.Sprintf("checkpoint/%s/%d/%d/", task.Job, task.Index, before.Attempt.Number)
		resumes := e.Checkpoint == before.Checkpoint || strings.HasPrefix(e.Checkpoint, own)
		if exact {
			resumes = e.Checkpoint == last[task].Checkpoint
		}
		if !resumes {
			broken = append(broken, fmt.Sprintf("%s resumed from %q and %s left %q", e.Attempt, e.Checkpoint, before.Attempt, last[task].Checkpoint))
		}
	}
	return broken
}

// running returns the number of runs of the job.
func running(events []standin.Event, job structs.JobID) int {
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

func TestChecksShowPlantedViolations(t *testing.T) {
	now := time.Now()
	event := func(kind standin.EventKind, number int32, checkpoint string, at time.Duration) standin.Event {
		id := structs.AttemptID{Task: structs.TaskID{Job: "j"}, Number: number}
		return standin.Event{Kind: kind, Attempt: id, Worker: "w", Checkpoint: checkpoint, At: now.Add(at)}
	}
	const one, two = "checkpoint/j/0/1/x", "checkpoint/j/0/2/x"
	start, stop := standin.EventStarted, standin.EventStopped
	evicted := []standin.Event{event(start, 1, "", 0), event(stop, 1, one, 0)}
	moved := append(slices.Clone(evicted), event(start, 2, one, 0), event(stop, 2, two, 0))
	domains := map[structs.WorkerID]structs.FailureDomainID{"w": "north"}
	outages := []outage{{"north", now, now.Add(time.Minute)}}
	cases := map[string]struct {
		events []standin.Event
		broken int // without exact checkpoints
		exact  int
	}{
		"a start within the bound":         {[]standin.Event{event(start, 1, "", outBound)}, 0, 0},
		"a start in a domain that is out":  {[]standin.Event{event(start, 1, "", outBound+1)}, 1, 1},
		"a start after the domain is in":   {[]standin.Event{event(start, 1, "", time.Minute)}, 0, 0},
		"an attempt that starts twice":     {[]standin.Event{event(start, 1, "", 0), event(stop, 1, "", 0), event(start, 1, "", 0)}, 1, 1},
		"a resume from the checkpoint":     {append(slices.Clone(evicted), event(start, 2, one, 0)), 0, 0},
		"a resume from where it had begun": {append(slices.Clone(evicted), event(start, 2, "", 0)), 0, 1},
		"a resume from somewhere else":     {append(slices.Clone(evicted), event(start, 2, two, 0)), 1, 1},
		"a resume after another":           {append(slices.Clone(moved), event(start, 3, two, 0)), 0, 0},
		"a resume that falls back":         {append(slices.Clone(moved), event(start, 3, "", 0)), 1, 1},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			out := len(checkOutages(c.events, domains, outages))
			is.Equal(out+len(checkAttempts(c.events, false)), c.broken)
			is.Equal(out+len(checkAttempts(c.events, true)), c.exact)
		})
	}
}
