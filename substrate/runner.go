package substrate

import (
	"context"
	"time"

	"github.com/daisywall/daisywall/structs"
)

// RunnerInfo is what the task runner of a host says about itself.
type RunnerInfo struct {
	ID            string    // name of the runner
	Incarnation   string    // changes with each start of the runner, which loses every run
	Born          time.Time // start of the incarnation; later ones are larger
	Sequence      int64     // grows with every report of an incarnation
	Address       string    // host:port of its interface
	Pool          structs.PoolID
	FailureDomain structs.FailureDomainID
	Rack          string
	Labels        []string // those of the host, without the rack
	Capacity      structs.Resources
	Draining      bool          // it leaves soon and must get no new tasks
	Remaining     time.Duration // least time left while draining
}

// TaskStart asks a runner to start a run.
type TaskStart struct {
	Run        structs.TaskRun
	Payload    string
	Checkpoint string // progress to resume from, may be empty
	Permit     string // to run the step on this runner, empty where none is needed
}

// ActiveRun is a run that a runner works on.
type ActiveRun struct {
	Run        structs.TaskRun
	Checkpoint string // latest saved progress, may be empty
	Percent    int    // of the work done; 100 for a long-running task that is at work
	// Figure is a rough reading of the last half second: the tail latency in
	// milliseconds of a task with a latency target, else the thousandths of a
	// processor in use.
	Figure int64
}

// RunEnd says how a run ended.
type RunEnd string

// Ends of runs.
const (
	RunEndDone    RunEnd = "done"
	RunEndFailed  RunEnd = "failed"
	RunEndStopped RunEnd = "stopped" // on request
	RunEndLapsed  RunEnd = "lapsed"  // its lease ran out
	RunEndBroken  RunEnd = "broken"  // another member of its gang ended
	RunEndAlone   RunEnd = "alone"   // the other members of its gang did not come
)

// EndedRun is a run that is over and that the runner remembers until it is
// acknowledged.
type EndedRun struct {
	Number     int64 // position in the runner's list of ends, from 1
	Run        structs.TaskRun
	End        RunEnd
	Checkpoint string // saved progress, may be empty
}

// RunnerState is the runner's own account of its runs.
type RunnerState struct {
	Clock  RuntimeClock // the runner's monotonic clock
	Active []ActiveRun
	Ended  []EndedRun
}

// StartRefusal says why a runner refused a start.
type StartRefusal string

// Refusals of a start. None of them started anything.
const (
	RefusalFenced    StartRefusal = "fenced"    // a higher fencing token was seen
	RefusalOld       StartRefusal = "old"       // this run, or a later one, is over
	RefusalLate      StartRefusal = "late"      // its lease has run out already
	RefusalRoom      StartRefusal = "room"      // it does not fit
	RefusalPermit    StartRefusal = "permit"    // no permit to run the step
	RefusalUnhealthy StartRefusal = "unhealthy" // the runner takes no starts now
	RefusalInvalid   StartRefusal = "invalid"   // the runner can't read it
)

// StartRefusedError reports that a runner did not start a run.
type StartRefusedError struct{ Refusal StartRefusal }

func (e *StartRefusedError) Error() string { return "start refused: " + string(e.Refusal) }

// IncarnationError reports that the runner is another incarnation than the one
// that was addressed. Nothing was done.
type IncarnationError struct{ Want string }

func (e *IncarnationError) Error() string { return "runner is not incarnation " + e.Want }

// GoneError reports that nothing listens at the address of the runner.
type GoneError struct{ Address string }

func (e *GoneError) Error() string { return "no runner at " + e.Address }

// Runner runs tasks on one host under one lease that holds for all of them.
// Each call carries a fencing token; a runner does nothing for a token lower
// than one that it has seen.
//
// Besides the errors above, calls return *structs.UnknownOutcomeError when they
// may have taken effect, or may do so later.
type Runner interface {
	// Start starts a run. It succeeds when the run is there already.
	Start(ctx context.Context, fence int64, start TaskStart, lease RuntimeClock) (RuntimeClock, error)
	// Stop ends a run; one that has not started never will.
	Stop(ctx context.Context, fence int64, run structs.TaskRun) error
	// Hold moves the lease forward to the reading of the runner's clock (0
	// leaves it), forgets the ends up to acknowledged, waits at most the time
	// given for an end, and returns the state.
	Hold(ctx context.Context, fence, acknowledged int64, lease RuntimeClock, wait time.Duration) (RunnerState, error)
	// Pace limits a run to a percentage of its processor time.
	Pace(ctx context.Context, fence int64, run structs.TaskRun, percent int) error
}
