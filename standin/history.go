package standin

import (
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// EventKind is what happened to an attempt inside a runtime.
type EventKind string

// Kinds of events. All but EventStarted end a run.
const (
	EventStarted EventKind = "started"
	EventExited  EventKind = "exited"
	EventStopped EventKind = "stopped"
	EventLapsed  EventKind = "lapsed"
	EventLost    EventKind = "lost" // the runtime restarted
)

// Event is one record of a History.
type Event struct {
	Sequence    int64 // position in the history, from 1
	At          time.Time
	Clock       substrate.RuntimeClock // of the runtime
	Kind        EventKind
	Worker      structs.WorkerID
	Incarnation string
	Attempt     structs.AttemptID
	Class       string
	Program     string
	Resources   structs.Resources
	NotAfter    substrate.RuntimeClock // of a start
	Checkpoint  string                 // that a start resumed from, or an end left
}

// Violation is a broken rule that a history shows.
type Violation struct {
	Rule   string // "capacity" or "one_run"
	Event  Event  // that broke the rule
	Detail string
}

func (v *Violation) String() string {
	return fmt.Sprintf("%s broken on %s by %s: %s", v.Rule, v.Event.Worker, v.Event.Attempt, v.Detail)
}

// History is the append-only record of starts and ends. Runtimes that share
// one give checkers a total order over all workers.
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

func (h *History) violate(v *Violation) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.violations = append(h.violations, v)
}

// Events returns a copy of the record.
func (h *History) Events() []Event {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.events)
}

// Violations returns the starts beyond capacity that runtimes have seen.
func (h *History) Violations() []*Violation {
	h.mu.Lock()
	defer h.mu.Unlock()
	return slices.Clone(h.violations)
}

// CheckOneRun returns a violation for each start of a task that was still
// running somewhere, in the order of the events.
func CheckOneRun(events []Event) []*Violation {
	running := map[structs.TaskID]Event{}
	var broken []*Violation
	for _, e := range events {
		task := e.Attempt.Task
		other, found := running[task]
		if e.Kind == EventStarted {
			if found {
				detail := fmt.Sprintf("%s still runs on %s", other.Attempt, other.Worker)
				broken = append(broken, &Violation{Rule: "one_run", Event: e, Detail: detail})
			}
			running[task] = e
			continue
		}
		if found && other.Worker == e.Worker && other.Attempt == e.Attempt && other.Incarnation == e.Incarnation {
			delete(running, task)
		}
	}
	return broken
}
