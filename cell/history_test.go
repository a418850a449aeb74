package cell

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/daisywall/daisywall/structs"
)

// eventKind is the kind of an event in the history.
type eventKind string

const (
	eventStart eventKind = "start" // the runtime started an attempt
	eventStop  eventKind = "stop"  // an attempt stopped running
	eventEnd   eventKind = "end"   // the end of an attempt was committed to the table
	eventLead  eventKind = "lead"  // a leadership row was written
	eventOut   eventKind = "out"   // a failure domain was taken out of service
	eventIn    eventKind = "in"
)

// event is one entry of the history.
type event struct {
	at            time.Time
	recordedAfter time.Duration // delay between the event and its recording
	kind          eventKind
	attempt       structs.AttemptID
	host          structs.WorkerID
	cell          structs.CellID
	domain        structs.FailureDomainID
	epoch         int64
	size          structs.Resources
	checkpoint    string
	cause         structs.EndCause // cause of a committed end
}

func (e event) String() string {
	return fmt.Sprintf("%s %s %s on %s cell %s epoch %d", e.at.Format("04:05.000"), e.kind, e.attempt, e.host, e.cell, e.epoch)
}

// history records the events of a run. Only the fakes write it, never the code
// under test.
type history struct {
	// committing is held while a commit is applied and recorded, so that commits
	// are recorded in the order in which the table has applied them.
	committing sync.Mutex

	mu     sync.Mutex
	events []event
}

func (h *history) add(e event) { h.addAt(e, time.Now()) }

func (h *history) addAt(e event, at time.Time) {
	e.at = at
	e.recordedAfter = time.Since(at)
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

func newViolation(rule string, list ...any) error {
	return &violation{rule: rule, detail: fmt.Sprint(list...)}
}

// sorted returns the events ordered by their times. Events of the same time
// keep the order in which they were recorded, except that a stop that was
// recorded late comes first.
func (h *history) sorted() []event {
	h.mu.Lock()
	defer h.mu.Unlock()
	list := slices.Clone(h.events)
	slices.SortStableFunc(list, func(a, b event) int {
		if c := a.at.Compare(b.at); c != 0 {
			return c
		}
		return cmp.Compare(b.recordedAfter, a.recordedAfter)
	})
	return list
}

// checkAll runs every checker on the events.
func checkAll(events []event, capacity structs.Resources) error {
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

// checkOneRun checks that at most one attempt of a task runs at a time, and
// that no attempt starts twice.
func checkOneRun(events []event) error {
	running := map[structs.TaskID]event{}
	started := map[structs.AttemptID]event{}
	for _, e := range events {
		switch e.kind {
		case eventStart:
			if other, runs := running[e.attempt.Task]; runs {
				return newViolation("one run", other, " still runs at ", e)
			}
			if first, again := started[e.attempt]; again {
				return newViolation("one start", first, " started again at ", e)
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

// checkCapacity checks that the running attempts on a host fit its capacity.
func checkCapacity(events []event, capacity structs.Resources) error {
	used := map[structs.WorkerID]structs.Resources{}
	for _, e := range events {
		switch e.kind {
		case eventStart:
			used[e.host] = used[e.host].Add(e.size)
			if !used[e.host].Fits(capacity) {
				return newViolation("capacity", used[e.host], " at ", e)
			}
		case eventStop:
			used[e.host] = used[e.host].Sub(e.size)
		}
	}
	return nil
}

// checkEpochs checks that the epoch of a cell grows by one with every leader.
func checkEpochs(events []event) error {
	last := map[structs.CellID]event{}
	for _, e := range events {
		if e.kind != eventLead {
			continue
		}
		before := last[e.cell]
		if e.epoch != before.epoch && e.epoch != before.epoch+1 {
			return newViolation("epoch", before, " then ", e)
		}
		if e.epoch == before.epoch && e.host != before.host {
			return newViolation("epoch shared", before, " then ", e)
		}
		last[e.cell] = e
	}
	return nil
}

// checkAcknowledged checks that a task whose finished end is committed never
// starts again.
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
				return newViolation("acknowledged end", end, " but ", e)
			}
		}
	}
	return nil
}

// maxStartDelayAfterOut is the longest time after a failure domain went out in
// which an attempt may still start there.
const maxStartDelayAfterOut = 3 * time.Second

// checkDomains checks that nothing starts in a failure domain later than
// maxStartDelayAfterOut after it went out.
func checkDomains(events []event) error {
	out := map[structs.FailureDomainID]time.Time{}
	for _, e := range events {
		switch e.kind {
		case eventOut:
			out[e.domain] = e.at
		case eventIn:
			delete(out, e.domain)
		case eventStart:
			if since, gone := out[e.domain]; gone && e.at.Sub(since) > maxStartDelayAfterOut {
				return newViolation("domain out", "since ", since, " but ", e)
			}
		}
	}
	return nil
}

// checkCheckpoints checks that an attempt starts from the checkpoint that was
// last committed for its task.
func checkCheckpoints(events []event) error {
	last := map[structs.TaskID]string{}
	for _, e := range events {
		task := e.attempt.Task
		switch {
		case e.kind == eventEnd && e.checkpoint != "":
			last[task] = e.checkpoint
		case e.kind == eventStart && e.checkpoint != last[task]:
			return newViolation("checkpoint", "committed ", last[task], " but ", e, " from ", e.checkpoint)
		}
	}
	return nil
}
