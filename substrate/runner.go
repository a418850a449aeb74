package substrate

import (
	"context"
	"fmt"
	"time"

	"github.com/daisywall/daisywall/structs"
)

// RunnerInfo is what the task runner of a host reports about itself.
type RunnerInfo struct {
	ID             string    // name of the runner
	Incarnation    string    // changes with each start of the runner; no run survives a start
	StartedAt      time.Time // start time of the incarnation, later for later incarnations
	Sequence       int64     // increases with every report of an incarnation
	Address        string    // host:port of its API
	Pool           structs.PoolID
	FailureDomain  structs.FailureDomainID
	Rack           string
	Labels         []string // labels of the host, which may include its rack
	Capacity       structs.Resources
	Draining       bool          // the runner will end soon and must get no new tasks
	DrainRemaining time.Duration // minimum time until a draining runner ends
}

// RunnerIdentity is what stays the same for all incarnations of a host's runner, from the
// settings of the host. Empty fields are not known.
type RunnerIdentity struct {
	Address string // IP address and port
	Pool    structs.PoolID
}

// Check returns *ForeignReportError if the report cannot be one of the runner.
func (i RunnerIdentity) Check(info RunnerInfo) error {
	switch {
	case i.Address != "" && info.Address != i.Address:
		return &ForeignReportError{Field: "address", Reported: info.Address, Want: i.Address}
	case i.Pool != "" && info.Pool != i.Pool:
		return &ForeignReportError{Field: "pool", Reported: string(info.Pool), Want: string(i.Pool)}
	default:
		return nil
	}
}

// ForeignReportError reports that a report is not one of the host's runner.
type ForeignReportError struct {
	Field          string // "address" or "pool"
	Reported, Want string // values of the field
}

func (e *ForeignReportError) Error() string {
	return fmt.Sprintf("not the runner of this host: its %s is %q, want %q", e.Field, e.Reported, e.Want)
}

// TaskStart describes a run to start.
type TaskStart struct {
	Run        structs.RunID
	Payload    string
	Checkpoint string // checkpoint to resume from, empty for a fresh start
	Permit     string // permit for the step on this runner, empty if none is required
}

// ActiveRun is the state of a run that has not ended.
type ActiveRun struct {
	Run        structs.RunID
	Checkpoint string // latest checkpoint, empty if there is none
	Percent    int    // completed share of the work; 100 for a long-running task in operation
	// Reading is an approximate measurement over the last half second: the tail
	// latency in milliseconds of a task with a latency target, otherwise the
	// processor use in thousandths of a processor.
	Reading int64
}

// RunEnd says how a run ended.
type RunEnd string

// Ways in which a run ends.
const (
	RunEndDone            RunEnd = "done"
	RunEndFailed          RunEnd = "failed"
	RunEndStopped         RunEnd = "stopped" // stopped on request
	RunEndLapsed          RunEnd = "lapsed"  // its lease lapsed
	RunEndGangMemberEnded RunEnd = "broken"  // another member of its gang ended
	RunEndGangIncomplete  RunEnd = "alone"   // the other members of its gang were not started in time
)

// EndedRun is a run that has ended. The runner lists it until it is
// acknowledged.
type EndedRun struct {
	Number     int64 // sequence number of the end, from 1 in each incarnation
	Run        structs.RunID
	End        RunEnd
	Checkpoint string // last checkpoint, empty if there is none
}

// RunnerState is the runner's list of its runs.
type RunnerState struct {
	Clock  RuntimeClock // reading of the runner's monotonic clock
	Active []ActiveRun  // all runs that have not ended
	Ended  []EndedRun   // oldest ends that are not acknowledged, by number
	// MoreEnds is set if the runner may hold back further ends until those in
	// Ended are acknowledged. A run in neither list may then have ended.
	MoreEnds bool
}

// StartRefusal says why a runner refused a start.
type StartRefusal string

// Reasons for refusing a start. None of them started a run.
const (
	RefusalFenced      StartRefusal = "fenced"    // the runner has received a higher fencing token
	RefusalStaleRun    StartRefusal = "old"       // this run, or a later run of the task, has ended
	RefusalLeaseLapsed StartRefusal = "late"      // the lease in the call has lapsed already
	RefusalCapacity    StartRefusal = "room"      // the free capacity is too small
	RefusalPermit      StartRefusal = "permit"    // the permit for the step is missing or not valid
	RefusalUnhealthy   StartRefusal = "unhealthy" // the runner accepts no starts at present
	RefusalInvalid     StartRefusal = "invalid"   // the runner cannot decode the start
)

// StartRefusedError reports that a runner refused a start, or another call with
// an outdated fencing token.
type StartRefusedError struct{ Refusal StartRefusal }

func (e *StartRefusedError) Error() string { return "start refused: " + string(e.Refusal) }

// IncarnationError reports that a call reached another incarnation of the
// runner than the addressed incarnation. The other incarnation may have
// executed the call.
type IncarnationError struct {
	Want      string
	StartedAt time.Time // start of the incarnation that has executed the call, zero if none is known to
}

func (e *IncarnationError) Error() string { return "runner is not incarnation " + e.Want }

// ConnectionRefusedError reports that nothing listens at the address of the
// runner.
type ConnectionRefusedError struct{ Address string }

func (e *ConnectionRefusedError) Error() string { return "no runner at " + e.Address }

// Runner runs tasks on one host. One lease covers all its runs. Each call
// carries a fencing token. A runner refuses a call whose token is lower than
// the highest one that it has received, with *StartRefusedError.
//
// A call that reaches another incarnation than the addressed one returns
// *IncarnationError, and a call to an address where nothing listens returns
// *ConnectionRefusedError. Calls return *structs.UnknownOutcomeError if they
// may have taken effect or may still do so.
type Runner interface {
	// Start starts a run and returns a reading of the runner's clock. It
	// succeeds if the run is active already. lease is the end of the lease as a
	// reading of that clock.
	Start(ctx context.Context, fence int64, start TaskStart, lease RuntimeClock) (RuntimeClock, error)
	// Stop ends a run. A run that has not started can no longer start.
	Stop(ctx context.Context, fence int64, run structs.RunID) error
	// PollRuns extends the lease to the given reading of the runner's clock, or
	// leaves it unchanged if lease is 0. It drops the records of ended runs up
	// to the end number acknowledged, waits at most wait for another run to
	// end, and returns the runs. With *IncarnationError it returns those of the incarnation
	// that has answered, as far as that has listed them.
	PollRuns(ctx context.Context, fence, acknowledged int64, lease RuntimeClock, wait time.Duration) (RunnerState, error)
	// SetPace throttles a run to a percentage of its processor time.
	SetPace(ctx context.Context, fence int64, run structs.RunID, percent int) error
}
