// Package substrate declares the interfaces to the services that daisywall runs
// on: the table service, the object store and the worker runtime, and for jobs
// of steps the partitioned store, the task runner and the permit service.
// Adapters are in sub-packages and in package platform. docs/PLATFORM.md lists
// what an adapter must guarantee.
package substrate

import (
	"context"
	"time"

	"github.com/daisywall/daisywall/structs"
)

// Row is one row of the table service.
type Row struct {
	Key      string
	Value    []byte
	Revision int64  // table-wide revision of the last write, always above 0
	TxnID    string // transaction that made the last write
}

// Compare is a condition that holds if the row has the revision. Revision 0
// means that the row does not exist.
type Compare struct {
	Key      string
	Revision int64
}

// Put writes a row.
type Put struct {
	Key   string
	Value []byte
}

// Txn is a transaction. It is atomic: either all comparisons hold and all
// writes take effect at one point in time, or nothing is written.
type Txn struct {
	ID       string // unique; stored with every row it writes
	Compares []Compare
	Puts     []Put
	Deletes  []string
}

// Table is the transactional table service.
//
// Reads return *structs.UnavailableError when the service cannot be reached.
// Commit returns *structs.ConflictError when a comparison fails,
// *structs.UnavailableError when the transaction certainly had no effect, and
// *structs.UnknownOutcomeError when it may have taken effect.
type Table interface {
	// Get returns a row, or *structs.NotFoundError.
	Get(ctx context.Context, key string) (Row, error)
	// List returns the rows whose keys start with prefix and sort after the
	// key after, in key order, at most limit of them.
	List(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies the transaction and returns its revision.
	Commit(ctx context.Context, txn Txn) (revision int64, err error)
	// Changes returns the rows below prefix that were written or deleted
	// after the revision since, and the table's current revision. A deleted
	// row has a nil Value.
	Changes(ctx context.Context, prefix string, since int64) (rows []Row, revision int64, err error)
}

// Objects is the object store. Get and List return *structs.UnavailableError
// when the store cannot be reached. Put and Delete return it when they
// certainly had no effect, and *structs.UnknownOutcomeError when they may have
// taken effect. A Put of unknown outcome can be repeated safely with the same
// content.
type Objects interface {
	Put(ctx context.Context, key string, value []byte) error
	// Get returns the content, or *structs.NotFoundError.
	Get(ctx context.Context, key string) ([]byte, error)
	Delete(ctx context.Context, key string) error
	List(ctx context.Context, prefix string) ([]string, error)
}

// RuntimeClock is a reading of the monotonic clock of a worker runtime or task
// runner, counted from the start of its incarnation.
type RuntimeClock time.Duration

// Add returns the reading moved by d.
func (c RuntimeClock) Add(d time.Duration) RuntimeClock { return c + RuntimeClock(d) }

// RunState is the state of an attempt inside the runtime.
type RunState string

// Run states.
const (
	RunRunning   RunState = "running"
	RunThrottled RunState = "throttled"
	RunExited    RunState = "exited"  // the program ended by itself
	RunStopped   RunState = "stopped" // stopped on request
	RunLapsed    RunState = "lapsed"  // the runtime stopped the run when its lease ran out
)

// Final reports whether the attempt no longer runs.
func (s RunState) Final() bool { return s == RunExited || s == RunStopped || s == RunLapsed }

// Run is the runtime's record of one attempt.
type Run struct {
	Attempt    structs.AttemptID
	State      RunState
	Failed     bool   // whether an exited program failed
	Detail     string // reason of a failure
	Checkpoint string // object key of the last checkpoint
	Result     string // object key of the result of a finished run
	Resources  structs.Resources
	Class      string
	Kind       structs.WorkKind // kind from the StartSpec
	LeaseUntil RuntimeClock
	Progress   float64 // completed share of the work, 0 to 1
}

// Snapshot is the runtime's state at one reading of its clock.
type Snapshot struct {
	Incarnation string // changes when the runtime restarts; no run survives a restart
	Now         RuntimeClock
	Runs        []Run
}

// StartSpec asks the runtime to start an attempt.
type StartSpec struct {
	Incarnation string // a start for another incarnation is refused with ReasonIncarnation
	Attempt     structs.AttemptID
	Class       string
	Kind        structs.WorkKind // stored with the run, may be empty
	Program     string
	Input       string // object key
	Checkpoint  string // object key to resume from, empty for a fresh start
	Resources   structs.Resources
	NotAfter    RuntimeClock // latest time at which the runtime accepts the start
	LeaseUntil  RuntimeClock // end of the lease, at which the runtime stops the run
}

// Usage is a delayed measurement of the resources that one run uses.
type Usage struct {
	Attempt   structs.AttemptID
	Class     string
	Resources structs.Resources // average use over the measurement window
	Age       time.Duration     // time since the end of the window
	LatencyMS float64           // tail latency of a service, 0 for batch
}

// WorkerRuntime runs tasks on one worker. Refused calls return
// *structs.RefusedError. A failed call that certainly had no effect returns
// *structs.UnavailableError, and a call that may have taken effect returns
// *structs.UnknownOutcomeError. Start, Stop and DropRecords are idempotent for
// an attempt.
type WorkerRuntime interface {
	Snapshot(ctx context.Context) (Snapshot, error)
	Start(ctx context.Context, spec StartSpec) error
	// Renew extends leases. It never shortens a lease and never restarts a run
	// that has ended.
	Renew(ctx context.Context, incarnation string, leases map[structs.AttemptID]RuntimeClock) error
	// Checkpoint writes a checkpoint and returns its object key.
	Checkpoint(ctx context.Context, attempt structs.AttemptID) (string, error)
	// Throttle limits the run to a share of its processor time, 0 to 1.
	Throttle(ctx context.Context, attempt structs.AttemptID, share float64) error
	// Stop ends the run and returns its final record.
	Stop(ctx context.Context, attempt structs.AttemptID) (Run, error)
	// DropRecords drops the records of runs that have ended.
	DropRecords(ctx context.Context, attempts []structs.AttemptID) error
	Usage(ctx context.Context) ([]Usage, error)
}
