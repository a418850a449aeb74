package standin

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// EventKind is the kind of an Event.
type EventKind string

// Kinds of events. All but EventStarted end a run.
const (
	EventStarted EventKind = "started"
	EventExited  EventKind = "exited"
	EventStopped EventKind = "stopped"
	EventLapsed  EventKind = "lapsed"
	EventLost    EventKind = "lost" // the runtime restarted
)

// Event is the start or the end of an attempt inside a runtime.
type Event struct {
	Sequence    int64 // position in the history, from 1
	At          time.Time
	Clock       substrate.RuntimeClock // clock of the runtime
	Kind        EventKind
	Worker      structs.WorkerID
	Incarnation string
	Attempt     structs.AttemptID
	Class       string
	Program     string
	Resources   structs.Resources
	NotAfter    substrate.RuntimeClock // latest time at which the attempt may start, set for EventStarted only
	Checkpoint  string                 // checkpoint that a start resumed from, or that an ended run left
}

// Violation is one breach of a guarantee by the runtimes.
type Violation struct {
	Rule   string // "capacity" or "one_run"
	Event  Event  // event that broke the rule
	Detail string
}

func (v *Violation) String() string {
	return fmt.Sprintf("%s broken on %s by %s: %s", v.Rule, v.Event.Worker, v.Event.Attempt, v.Detail)
}

// History is the append-only record of starts and ends. Runtimes that share a
// history give checkers a total order of events over all workers.
type History struct {
	mu         sync.Mutex
	events     []Event
	violations []*Violation
}

// NewHistory returns an empty history.
func NewHistory() *History { return &History{} }

func (h *History) append(e Event) Event {
	h.mu.Lock()
	defer h.mu.Unlock()
	e.Sequence = int64(len(h.events) + 1)
	e.At = time.Now()
	h.events = append(h.events, e)
	return e
}

func (h *History) addViolation(v *Violation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, v)
}

// Events returns a copy of the events.
func (h *History) Events() []Event {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.events)
}

// Violations returns the starts beyond capacity that the runtimes recorded.
func (h *History) Violations() []*Violation {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.violations)
}

// CheckOneRun returns a violation for each start of a task that still had an
// active run, in the order of the events.
func CheckOneRun(events []Event) []*Violation {
	running := map[structs.TaskID]Event{}
	var violations []*Violation
	for _, e := range events {
		task := e.Attempt.Task
		active, found := running[task]
		if e.Kind == EventStarted {
			if found {
				detail := fmt.Sprintf("%s still runs on %s", active.Attempt, active.Worker)
				violations = append(violations, &Violation{Rule: "one_run", Event: e, Detail: detail})
			}
			running[task] = e
			continue
		}
		if found && active.Worker == e.Worker && active.Attempt == e.Attempt && active.Incarnation == e.Incarnation {
			delete(running, task)
		}
	}
	return violations
}
