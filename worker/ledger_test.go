package worker

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

const notAfter = substrate.RuntimeClock(10 * time.Second)

// openLedger returns a ledger that has taken two snapshots without runs.
func openLedger(is *is.I) *ledger {
	l := newLedger(hostCapacity, DefaultStartGrant)
	l.take(0)
	l.take(5 * time.Second)
	is.True(l.isOpen())
	return l
}

// take brings the ledger up to a snapshot at a reading.
func (l *ledger) take(now time.Duration, runs ...substrate.Run) lost {
	return l.takeSnapshot(l.beginSnapshot(), snapshotAt(now, runs...))
}

func snapshotAt(now time.Duration, runs ...substrate.Run) substrate.Snapshot {
	return substrate.Snapshot{Incarnation: "i1", Now: substrate.RuntimeClock(now), Runs: runs}
}

func runOf(id structs.AttemptID, state substrate.RunState) substrate.Run {
	return substrate.Run{Attempt: id, State: state, Resources: oneTask}
}

func reserved(is *is.I) (*ledger, structs.AttemptID) {
	l, id := openLedger(is), attemptOf("j", 1)
	is.True(l.reserve(id, oneTask, notAfter) == nil)
	return l, id
}

func TestLedgerKeepsAStartInFlight(t *testing.T) {
	is := is.New(t)
	l, id := reserved(is)
	is.Equal(l.take(time.Minute).runs, 0)
	is.Equal(l.committed(), oneTask)
	l.started(id, substrate.Run{}, false)
	is.Equal(l.take(2*time.Minute).runs, 1)
	is.Equal(l.committed(), structs.Resources{})
}

func TestLedgerKeepsAnUnknownStartUntilItsGrantHasEnded(t *testing.T) {
	is := is.New(t)
	l, id := reserved(is)
	l.started(id, substrate.Run{}, false)
	is.Equal(l.take(time.Duration(notAfter)).runs, 0)
	is.Equal(l.committed(), oneTask)
	is.Equal(l.take(time.Duration(notAfter)+1).runs, 1)
	is.Equal(l.reserve(id, oneTask, notAfter).Reason, structs.ReasonStaleGrant)
}

func TestLedgerKeepsARunThatAnOlderSnapshotLacks(t *testing.T) {
	is := is.New(t)
	l, id := reserved(is)
	number := l.beginSnapshot()
	l.started(id, runOf(id, substrate.RunRunning), true)
	is.Equal(l.takeSnapshot(number, snapshotAt(6*time.Second)).runs, 0)
	is.Equal(l.committed(), oneTask)
	is.Equal(l.take(7*time.Second).runs, 1)
}

func TestLedgerKeepsTheEndThatAnOlderSnapshotLacks(t *testing.T) {
	is := is.New(t)
	l, id := reserved(is)
	l.started(id, runOf(id, substrate.RunRunning), true)
	l.ended(runOf(id, substrate.RunStopped))
	l.take(6*time.Second, runOf(id, substrate.RunRunning))
	is.Equal(l.committed(), structs.Resources{})
	is.True(!l.mayForget(id)) // a copy of the start may be under way
	l.take(time.Duration(notAfter)+1, runOf(id, substrate.RunRunning))
	is.True(l.mayForget(id))
	l.close(id, structs.ReasonDuplicate, "")
	l.take(time.Duration(notAfter)+1, runOf(id, substrate.RunStopped))
	is.True(!l.isAdmitted(id))
}

func TestLedgerDropsEverythingWithTheIncarnation(t *testing.T) {
	is := is.New(t)
	l, id := reserved(is)
	l.started(id, runOf(id, substrate.RunRunning), true)
	s := snapshotAt(0)
	s.Incarnation = "i2"
	is.True(l.takeSnapshot(l.beginSnapshot(), s).restarted)
	is.Equal(l.committed(), structs.Resources{})
	is.True(l.isOpen())
}

func TestLedgerRefusesASecondAttemptOfALiveTask(t *testing.T) {
	is := is.New(t)
	l, id := reserved(is)
	next := attemptOf("j", 2)
	is.Equal(l.reserve(next, oneTask, notAfter).Reason, structs.ReasonDuplicate)
	l.started(id, runOf(id, substrate.RunRunning), true)
	l.ended(runOf(id, substrate.RunExited))
	is.True(l.reserve(next, oneTask, notAfter) == nil)
}

func TestLedgerForgetsClosingsAfterTheGrant(t *testing.T) {
	is := is.New(t)
	l, id := reserved(is)
	l.close(id, structs.ReasonDuplicate, "")
	l.take(5*time.Second + DefaultStartGrant)
	is.Equal(len(l.closed), 1)
	l.take(5*time.Second + DefaultStartGrant + 1)
	is.Equal(len(l.closed), 0)
}
