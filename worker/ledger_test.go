package worker

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

const notAfter = substrate.RuntimeClock(10 * time.Second)

// admittingLedger returns a ledger that admits assignments and has no attempts.
func admittingLedger(is *is.I) *ledger {
	l := newLedger(hostCapacity, DefaultStartGrant)
	l.applySnapshotAt(0)
	l.applySnapshotAt(5 * time.Second)
	is.True(l.isAdmitting())
	return l
}

// applySnapshotAt applies a snapshot with the given runtime clock and runs.
func (l *ledger) applySnapshotAt(now time.Duration, runs ...substrate.Run) snapshotLosses {
	return l.applySnapshot(l.beginSnapshot(), snapshotAt(now, runs...))
}

func snapshotAt(now time.Duration, runs ...substrate.Run) substrate.Snapshot {
	return substrate.Snapshot{Incarnation: "i1", Now: substrate.RuntimeClock(now), Runs: runs}
}

func runOf(id structs.AttemptID, state substrate.RunState) substrate.Run {
	return substrate.Run{Attempt: id, State: state, Resources: oneTask}
}

func ledgerWithReservation(is *is.I) (*ledger, structs.AttemptID) {
	l, id := admittingLedger(is), attemptOf("j", 1)
	is.True(l.reserve(id, oneTask, notAfter) == nil)
	return l, id
}

func TestLedgerKeepsAStartInFlight(t *testing.T) {
	is := is.New(t)
	l, id := ledgerWithReservation(is)
	is.Equal(l.applySnapshotAt(time.Minute).missingAttempts, 0)
	is.Equal(l.committed(), oneTask)
	l.settleStart(id, substrate.Run{}, false)
	is.Equal(l.applySnapshotAt(2*time.Minute).missingAttempts, 1)
	is.Equal(l.committed(), structs.Resources{})
}

func TestLedgerKeepsAnUnknownStartUntilItsGrantHasEnded(t *testing.T) {
	is := is.New(t)
	l, id := ledgerWithReservation(is)
	l.settleStart(id, substrate.Run{}, false)
	is.Equal(l.applySnapshotAt(time.Duration(notAfter)).missingAttempts, 0)
	is.Equal(l.committed(), oneTask)
	is.Equal(l.applySnapshotAt(time.Duration(notAfter)+1).missingAttempts, 1)
	is.Equal(l.reserve(id, oneTask, notAfter).Reason, structs.ReasonStaleGrant)
}

func TestLedgerKeepsRunMissingFromOlderSnapshot(t *testing.T) {
	is := is.New(t)
	l, id := ledgerWithReservation(is)
	number := l.beginSnapshot()
	l.settleStart(id, runOf(id, substrate.RunRunning), true)
	is.Equal(l.applySnapshot(number, snapshotAt(6*time.Second)).missingAttempts, 0)
	is.Equal(l.committed(), oneTask)
	is.Equal(l.applySnapshotAt(7*time.Second).missingAttempts, 1)
}

func TestLedgerKeepsEndMissingFromOlderSnapshot(t *testing.T) {
	is := is.New(t)
	l, id := ledgerWithReservation(is)
	l.settleStart(id, runOf(id, substrate.RunRunning), true)
	l.recordEnd(runOf(id, substrate.RunStopped))
	l.applySnapshotAt(6*time.Second, runOf(id, substrate.RunRunning))
	is.Equal(l.committed(), structs.Resources{})
	is.True(!l.mayForget(id)) // a copy of the start may still arrive
	l.applySnapshotAt(time.Duration(notAfter)+1, runOf(id, substrate.RunRunning))
	is.True(l.mayForget(id))
	l.close(id, structs.ReasonDuplicate, "")
	l.applySnapshotAt(time.Duration(notAfter)+1, runOf(id, substrate.RunStopped))
	is.True(!l.isAdmitted(id))
}

func TestLedgerIsClearedWhenRuntimeRestarts(t *testing.T) {
	is := is.New(t)
	l, id := ledgerWithReservation(is)
	l.settleStart(id, runOf(id, substrate.RunRunning), true)
	s := snapshotAt(0)
	s.Incarnation = "i2"
	is.True(l.applySnapshot(l.beginSnapshot(), s).runtimeRestarted)
	is.Equal(l.committed(), structs.Resources{})
	is.True(l.isAdmitting())
}

func TestLedgerRefusesSecondAttemptOfRunningTask(t *testing.T) {
	is := is.New(t)
	l, id := ledgerWithReservation(is)
	next := attemptOf("j", 2)
	is.Equal(l.reserve(next, oneTask, notAfter).Reason, structs.ReasonDuplicate)
	l.settleStart(id, runOf(id, substrate.RunRunning), true)
	l.recordEnd(runOf(id, substrate.RunExited))
	is.True(l.reserve(next, oneTask, notAfter) == nil)
}

func TestLedgerRemovesClosedAttemptsAfterGrant(t *testing.T) {
	is := is.New(t)
	l, id := ledgerWithReservation(is)
	l.close(id, structs.ReasonDuplicate, "")
	l.applySnapshotAt(5*time.Second + DefaultStartGrant)
	is.Equal(len(l.closed), 1)
	l.applySnapshotAt(5*time.Second + DefaultStartGrant + 1)
	is.Equal(len(l.closed), 0)
}
