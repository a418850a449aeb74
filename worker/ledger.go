package worker

import (
	"fmt"
	"time"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// phase is the phase of an attempt on this worker.
type phase int

const (
	phaseStarting phase = iota // capacity is reserved and the start may take effect
	phaseRunning               // the attempt runs in the runtime
	phaseEnded                 // the attempt has ended and has not been forgotten
)

// ledgerEntry is one attempt in the ledger.
type ledgerEntry struct {
	resources         structs.Resources
	phase             phase
	startInFlight     bool                   // the call that starts the attempt has not returned
	notAfter          substrate.RuntimeClock // time after which the runtime refuses the start
	lastStaleSnapshot int64                  // number of the last snapshot that may have been taken before the start
	stopInProgress    bool                   // an eviction or a cancellation is in progress
	run               substrate.Run          // last record of the run, zero while starting
}

// closedAttempt records why an attempt must not start, or not start again.
type closedAttempt struct {
	reason   structs.Reason
	detail   string
	closedAt substrate.RuntimeClock
}

// ledger records the attempts of one worker and the capacity committed to them.
// The resources of starting and running attempts never exceed the capacity,
// except for runs that a snapshot found in the runtime. The ledger reads no
// clock and makes no calls to the runtime or the leader. Agent.mu guards it.
type ledger struct {
	capacity       structs.Resources
	startGrant     time.Duration
	incarnation    string // incarnation of the runtime, empty before the first snapshot
	snapshotClock  substrate.RuntimeClock
	admitAfter     substrate.RuntimeClock // reading of the runtime's clock after which assignments are admitted
	snapshotsBegun int64                  // number of the latest snapshot, increased when a snapshot begins
	entries        map[structs.AttemptID]*ledgerEntry
	closed         map[structs.AttemptID]closedAttempt
}

func newLedger(capacity structs.Resources, grant time.Duration) *ledger {
	l := &ledger{capacity: capacity, startGrant: grant}
	l.reset("")
	return l
}

// reset removes all attempts and sets the incarnation of the runtime. A new
// incarnation of the runtime has lost the runs of the previous incarnation.
func (l *ledger) reset(incarnation string) {
	l.incarnation = incarnation
	l.entries = map[structs.AttemptID]*ledgerEntry{}
	l.closed = map[structs.AttemptID]closedAttempt{}
}

// beginSnapshot returns the number of a snapshot that is about to be read.
func (l *ledger) beginSnapshot() int64 {
	l.snapshotsBegun++
	return l.snapshotsBegun
}

// snapshotLosses describes what the runtime has lost according to a snapshot.
type snapshotLosses struct {
	runtimeRestarted bool // whether the runtime has a new incarnation and has lost every run
	missingAttempts  int  // number of attempts that the runtime does not have and can no longer start
}

// applySnapshot updates the ledger from a snapshot of the runtime.
func (l *ledger) applySnapshot(number int64, s substrate.Snapshot) snapshotLosses {
	var losses snapshotLosses
	if l.incarnation == "" {
		// A start that an earlier agent process sent may still take effect until
		// its grant ends.
		l.admitAfter = s.Now.Add(l.startGrant)
	} else if l.incarnation != s.Incarnation {
		losses.runtimeRestarted = true
		l.admitAfter = -1 // starts need not wait, because the runtime refuses those for an earlier incarnation
	}
	if l.incarnation != s.Incarnation {
		l.reset(s.Incarnation)
	}
	l.snapshotClock = s.Now
	seen := make(map[structs.AttemptID]struct{}, len(s.Runs))
	for _, run := range s.Runs {
		seen[run.Attempt] = struct{}{}
		l.applyRun(run)
	}
	for attempt, e := range l.entries {
		if _, found := seen[attempt]; !found && l.isGone(number, e) {
			l.close(attempt, structs.ReasonStaleGrant, "not in the runtime")
			losses.missingAttempts++
		}
	}
	for attempt, c := range l.closed {
		// A start that was sent before the attempt was closed can no longer
		// take effect once its start grant has ended.
		if l.snapshotClock > c.closedAt.Add(l.startGrant) {
			delete(l.closed, attempt)
		}
	}
	return losses
}

func (l *ledger) applyRun(run substrate.Run) {
	e, found := l.entries[run.Attempt]
	if !found {
		if _, closed := l.closed[run.Attempt]; closed && run.State.Final() {
			return // the snapshot was read before the runtime dropped the attempt
		}
		e = &ledgerEntry{resources: run.Resources}
		l.entries[run.Attempt] = e
	}
	if e.phase != phaseEnded {
		e.update(run)
	}
}

func (e *ledgerEntry) update(run substrate.Run) {
	e.run = run
	e.phase = phaseRunning
	if run.State.Final() {
		e.phase = phaseEnded
	}
}

// isGone reports whether an attempt that the snapshot lacks is not in the
// runtime and can no longer start there.
func (l *ledger) isGone(number int64, e *ledgerEntry) bool {
	if e.startInFlight || number <= e.lastStaleSnapshot {
		return false
	}
	return e.phase != phaseStarting || l.snapshotClock > e.notAfter
}

// isAdmitting reports whether assignments may be admitted.
func (l *ledger) isAdmitting() bool { return l.incarnation != "" && l.snapshotClock > l.admitAfter }

// committed returns the resources of all starting and running attempts.
func (l *ledger) committed() structs.Resources {
	var sum structs.Resources
	for _, e := range l.entries {
		if e.phase != phaseEnded {
			sum = sum.Add(e.resources)
		}
	}
	return sum
}

func newRefusal(reason structs.Reason, format string, args ...any) *structs.RefusedError {
	return &structs.RefusedError{Subject: "assignment", Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

// isAdmitted reports whether the attempt has been admitted before. A repeated
// assignment of such an attempt must not be rejected, since the leader would
// start the task elsewhere.
func (l *ledger) isAdmitted(attempt structs.AttemptID) bool {
	_, found := l.entries[attempt]
	return found
}

// reserve commits capacity to an attempt before its start is sent.
func (l *ledger) reserve(attempt structs.AttemptID, r structs.Resources, notAfter substrate.RuntimeClock) *structs.RefusedError {
	if c, found := l.closed[attempt]; found {
		return newRefusal(c.reason, "%s", c.detail)
	}
	for other, e := range l.entries {
		if other.Task == attempt.Task && e.phase != phaseEnded {
			return newRefusal(structs.ReasonDuplicate, "%s has not ended here", other)
		}
	}
	if sum := l.committed().Add(r); !sum.Fits(l.capacity) {
		return newRefusal(structs.ReasonCapacity, "%+v of %+v with it", sum, l.capacity)
	}
	l.entries[attempt] = &ledgerEntry{resources: r, phase: phaseStarting, startInFlight: true, notAfter: notAfter}
	return nil
}

// settleStart records that the start of an attempt has returned. If the outcome
// of the start is unknown, a later snapshot settles it.
func (l *ledger) settleStart(attempt structs.AttemptID, run substrate.Run, outcomeKnown bool) {
	e, found := l.entries[attempt]
	if !found {
		return
	}
	e.startInFlight = false
	e.lastStaleSnapshot = l.snapshotsBegun
	if outcomeKnown && e.phase == phaseStarting {
		e.update(run)
	}
}

// recordEnd stores the final record of a run.
func (l *ledger) recordEnd(run substrate.Run) {
	if e, found := l.entries[run.Attempt]; found && e.phase != phaseEnded {
		e.update(run)
	}
}

// close removes an attempt and records why it must not start, or not start
// again.
func (l *ledger) close(attempt structs.AttemptID, reason structs.Reason, detail string) {
	delete(l.entries, attempt)
	l.closed[attempt] = closedAttempt{reason: reason, detail: detail, closedAt: l.snapshotClock}
}

// mayForget reports whether the runtime may drop an attempt. The attempt must
// have ended, and no delayed copy of its start, from this agent process or the
// previous agent process, can start the attempt again.
func (l *ledger) mayForget(attempt structs.AttemptID) bool {
	e, found := l.entries[attempt]
	return found && e.phase == phaseEnded && !e.startInFlight && l.snapshotClock > e.notAfter && l.isAdmitting()
}
