package worker

import (
	"fmt"
	"time"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// phase is how far an attempt has come on this worker.
type phase int

const (
	starting phase = iota // capacity is reserved, the start may take effect
	live                  // the runtime runs it
	over                  // it has ended, and the leader has not said forget
)

// entry is one attempt in the ledger.
type entry struct {
	resources structs.Resources
	phase     phase
	inFlight  bool                   // the start has not returned
	notAfter  substrate.RuntimeClock // the runtime refuses the start later than this
	asOf      int64                  // snapshots up to this number may lack the attempt
	ending    bool                   // an evict or a cancel is in progress
	run       substrate.Run          // the last record, unless starting
}

// closing says why an attempt never starts (again).
type closing struct {
	reason structs.Reason
	detail string
	at     substrate.RuntimeClock
}

// ledger holds what is committed of one worker's capacity. The sum of the
// entries that are starting or live never exceeds the capacity, except for runs
// that were found in the runtime. It is pure: it reads no clock.
type ledger struct {
	capacity    structs.Resources
	grant       time.Duration
	incarnation string // of the runtime, empty before the first snapshot
	now         substrate.RuntimeClock
	openAfter   substrate.RuntimeClock // assignments are taken after this
	snapshots   int64                  // snapshots begun
	entries     map[structs.AttemptID]*entry
	closed      map[structs.AttemptID]closing
}

func newLedger(capacity structs.Resources, grant time.Duration) *ledger {
	l := &ledger{capacity: capacity, grant: grant}
	l.reset("")
	return l
}

// reset drops everything: the runtime has lost its runs.
func (l *ledger) reset(incarnation string) {
	l.incarnation = incarnation
	l.entries = map[structs.AttemptID]*entry{}
	l.closed = map[structs.AttemptID]closing{}
}

// beginSnapshot numbers a snapshot that is about to be read.
func (l *ledger) beginSnapshot() int64 {
	l.snapshots++
	return l.snapshots
}

// lost says what a snapshot showed to be gone.
type lost struct {
	restarted bool // the runtime lost every run
	runs      int  // runs and possible starts that the runtime does not have
}

// takeSnapshot brings the ledger up to a snapshot.
func (l *ledger) takeSnapshot(number int64, s substrate.Snapshot) lost {
	var lost lost
	if l.incarnation == "" {
		// A start that an earlier agent sent may still take effect until its
		// grant ends.
		l.openAfter = s.Now.Add(l.grant)
	} else if l.incarnation != s.Incarnation {
		lost.restarted = true
		l.openAfter = -1 // the runtime refuses starts for the earlier incarnation
	}
	if l.incarnation != s.Incarnation {
		l.reset(s.Incarnation)
	}
	l.now = s.Now
	seen := make(map[structs.AttemptID]struct{}, len(s.Runs))
	for _, run := range s.Runs {
		seen[run.Attempt] = struct{}{}
		l.takeRun(run)
	}
	for attempt, e := range l.entries {
		if _, found := seen[attempt]; !found && l.isGone(number, e) {
			l.close(attempt, structs.ReasonStaleGrant, "not in the runtime")
			lost.runs++
		}
	}
	for attempt, c := range l.closed {
		// Nothing that was sent before the closing can start after its grant.
		if l.now > c.at.Add(l.grant) {
			delete(l.closed, attempt)
		}
	}
	return lost
}

func (l *ledger) takeRun(run substrate.Run) {
	e, found := l.entries[run.Attempt]
	if !found {
		if _, closed := l.closed[run.Attempt]; closed && run.State.Over() {
			return // a snapshot that was read before the runtime forgot it
		}
		e = &entry{resources: run.Resources}
		l.entries[run.Attempt] = e
	}
	if e.phase != over {
		e.update(run)
	}
}

func (e *entry) update(run substrate.Run) {
	e.run = run
	e.phase = live
	if run.State.Over() {
		e.phase = over
	}
}

// isGone reports whether an attempt that the snapshot lacks is not in the
// runtime and can't come into it.
func (l *ledger) isGone(number int64, e *entry) bool {
	if e.inFlight || number <= e.asOf {
		return false
	}
	return e.phase != starting || l.now > e.notAfter
}

// isOpen reports whether assignments may be taken.
func (l *ledger) isOpen() bool { return l.incarnation != "" && l.now > l.openAfter }

// committed returns the sum of what is starting or live.
func (l *ledger) committed() structs.Resources {
	var sum structs.Resources
	for _, e := range l.entries {
		if e.phase != over {
			sum = sum.Add(e.resources)
		}
	}
	return sum
}

func refuse(reason structs.Reason, format string, args ...any) *structs.RefusedError {
	return &structs.RefusedError{Subject: "assignment", Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

// isAdmitted reports whether the attempt has been admitted before. It must not
// be rejected then, since the leader would start it elsewhere.
func (l *ledger) isAdmitted(attempt structs.AttemptID) bool {
	_, found := l.entries[attempt]
	return found
}

// reserve commits capacity to an attempt before its start is sent.
func (l *ledger) reserve(attempt structs.AttemptID, r structs.Resources, notAfter substrate.RuntimeClock) *structs.RefusedError {
	if c, found := l.closed[attempt]; found {
		return refuse(c.reason, "%s", c.detail)
	}
	for other, e := range l.entries {
		if other.Task == attempt.Task && e.phase != over {
			return refuse(structs.ReasonDuplicate, "%s has not ended here", other)
		}
	}
	if sum := l.committed().Add(r); !sum.Fits(l.capacity) {
		return refuse(structs.ReasonCapacity, "%+v of %+v with it", sum, l.capacity)
	}
	l.entries[attempt] = &entry{resources: r, phase: starting, inFlight: true, notAfter: notAfter}
	return nil
}

// started settles the start of an attempt. Certain is false when its outcome is
// unknown; a later snapshot then tells.
func (l *ledger) started(attempt structs.AttemptID, run substrate.Run, certain bool) {
	e, found := l.entries[attempt]
	if !found {
		return
	}
	e.inFlight = false
	e.asOf = l.snapshots
	if certain && e.phase == starting {
		e.update(run)
	}
}

// ended records the final record of a run.
func (l *ledger) ended(run substrate.Run) {
	if e, found := l.entries[run.Attempt]; found && e.phase != over {
		e.update(run)
	}
}

// close drops an attempt that never starts (again).
func (l *ledger) close(attempt structs.AttemptID, reason structs.Reason, detail string) {
	delete(l.entries, attempt)
	l.closed[attempt] = closing{reason: reason, detail: detail, at: l.now}
}

// mayForget reports whether the runtime may drop an attempt: it has ended, and
// no copy of its start, of this agent or the one before, can run it again.
func (l *ledger) mayForget(attempt structs.AttemptID) bool {
	e, found := l.entries[attempt]
	return found && e.phase == over && !e.inFlight && l.now > e.notAfter && l.isOpen()
}
