package cell

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/daisywall/daisywall/structs"
)

// eventKind is the kind of an entry of the history.
type eventKind string

const (
	eventStart eventKind = "start" // the runtime started an attempt
	eventStop  eventKind = "stop"  // an attempt no longer runs
	eventEnd   eventKind = "end"   // the end of an attempt was committed to the table
	eventLead  eventKind = "lead"  // a leadership row was written
	eventOut   eventKind = "out"   // a failure domain went out
	eventIn    eventKind = "in"
)

// event is one entry of the runtimes' own record.
type event struct {
	at         time.Time
	late       time.Duration // how long after it happened it was added
	kind       eventKind
	attempt    structs.AttemptID
	host       structs.WorkerID
	cell       structs.CellID
	domain     structs.FailureDomainID
	epoch      int64
	size       structs.Resources
	checkpoint string
	cause      structs.EndCause // of a committed end
}

func (e event) String() string {
	return fmt.Sprintf("%s %s %s on %s cell %s epoch %d", e.at.Format("04:05.000"), e.kind, e.attempt, e.host, e.cell, e.epoch)
}

// history is written by the fakes, never by the code under test.
type history struct {
	mu     sync.Mutex
	events []event
}

func (h *history) add(e event) { h.addAt(e, time.Now()) }

func (h *history) addAt(e event, at time.Time) {
	e.at = at
	e.late = time.Since(at)
	h.mu.Lock()
	defer h.mu.Unlock()
	h.events = append(h.events, e)
}

// violation reports a broken invariant.
type violation struct {
	rule   string
	detail string
}

func (v *violation) Error() string { return v.rule + ": " + v.detail }

func violated(rule string, list ...any) error {
	return &violation{rule: rule, detail: fmt.Sprint(list...)}
}

// sorted returns the entries in the order of their times, and those of one
// moment as they were added. A stop that was added later than it happened comes
// first in its moment.
func (h *history) sorted() []event {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := slices.Clone(h.events)
	slices.SortStableFunc(list, func(a, b event) int {
		if c := a.at.Compare(b.at); c != 0 {
			return c
		}
		return cmp.Compare(b.late, a.late)
	})
	return list
}

// check applies every checker.
func check(events []event, capacity structs.Resources) error {
	for _, c := range []func([]event) error{
		checkOneRun, checkEpochs, checkAcknowledged, checkDomains, checkCheckpoints,
		func(e []event) error { return checkCapacity(e, capacity) },
	} {
		if err := c(events); err != nil {
			return err
		}
	}
	return nil
}

// checkOneRun: at most one attempt of a task runs, and no attempt starts twice.
func checkOneRun(events []event) error {
	running := map[structs.TaskID]event{}
	started := map[structs.AttemptID]event{}
	for _, e := range events {
		switch e.kind {
		case eventStart:
			if other, runs := running[e.attempt.Task]; runs {
				return violated("one run", other, " still runs at ", e)
			}
			if first, again := started[e.attempt]; again {
				return violated("one start", first, " started again at ", e)
			}
			running[e.attempt.Task] = e
			started[e.attempt] = e
		case eventStop:
			if running[e.attempt.Task].attempt == e.attempt {
				delete(running, e.attempt.Task)
			}
		}
	}
	return nil
}

// checkCapacity: what runs on a host fits into it.
func checkCapacity(events []event, capacity structs.Resources) error {
	used := map[structs.WorkerID]structs.Resources{}
	for _, e := range events {
		switch e.kind {
		case eventStart:
			used[e.host] = used[e.host].Add(e.size)
			if !used[e.host].Fits(capacity) {
				return violated("capacity", used[e.host], " at ", e)
			}
		case eventStop:
			used[e.host] = used[e.host].Sub(e.size)
		}
	}
	return nil
}

// checkEpochs: the epoch of a cell grows by one with every leader.
func checkEpochs(events []event) error {
	last := map[structs.CellID]event{}
	for _, e := range events {
		if e.kind != eventLead {
			continue
		}
		before := last[e.cell]
		if e.epoch != before.epoch && e.epoch != before.epoch+1 {
			return violated("epoch", before, " then ", e)
		}
		if e.epoch == before.epoch && e.host != before.host {
			return violated("epoch shared", before, " then ", e)
		}
		last[e.cell] = e
	}
	return nil
}

// checkAcknowledged: a task whose finished end is committed never starts again.
func checkAcknowledged(events []event) error {
	finished := map[structs.TaskID]event{}
	for _, e := range events {
		switch e.kind {
		case eventEnd:
			if e.cause == structs.EndFinished {
				finished[e.attempt.Task] = e
			}
		case eventStart:
			if end, found := finished[e.attempt.Task]; found {
				return violated("acknowledged end", end, " but ", e)
			}
		}
	}
	return nil
}

// startLimit is the time after which nothing starts in a failure domain that
// went out.
const startLimit = 3 * time.Second

// checkDomains: nothing starts in a failure domain later than the limit after
// it went out.
func checkDomains(events []event) error {
	out := map[structs.FailureDomainID]time.Time{}
	for _, e := range events {
		switch e.kind {
		case eventOut:
			out[e.domain] = e.at
		case eventIn:
			delete(out, e.domain)
		case eventStart:
			if since, gone := out[e.domain]; gone && e.at.Sub(since) > startLimit {
				return violated("domain out", "since ", since, " but ", e)
			}
		}
	}
	return nil
}

// checkCheckpoints: an attempt starts from exactly the checkpoint that was
// committed last for its task.
func checkCheckpoints(events []event) error {
	last := map[structs.TaskID]string{}
	for _, e := range events {
		task := e.attempt.Task
		switch {
		case e.kind == eventEnd && e.checkpoint != "":
			last[task] = e.checkpoint
		case e.kind == eventStart && e.checkpoint != last[task]:
			return violated("checkpoint", "committed ", last[task], " but ", e, " from ", e.checkpoint)
		}
	}
	return nil
}
