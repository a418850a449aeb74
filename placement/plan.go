package placement

import (
	"time"

	"github.com/daisywall/daisywall/structs"
)

// Plan is the result of one planning cycle.
type Plan struct {
	Placements       []Placement
	Throttles        []Throttle
	Evictions        []Eviction
	Cancels          []structs.AttemptID // cancelled attempts to stop now; later cycles stop the others
	Unschedulable    []Refusal
	Decisions        []Decision // at most Options.MaxDecisions
	DroppedDecisions int        // number of decisions that exceeded MaxDecisions
	Waiting          int        // number of pending tasks without a placement
	// State is the input of the next cycle.
	State PlannerState
}

// Placement starts a task.
type Placement struct {
	Task      structs.TaskID
	Worker    structs.WorkerID
	Resources structs.Resources // resources to commit
}

// Throttle limits a run to a share of its processor time. Share 1 lifts the
// limit.
type Throttle struct {
	Attempt structs.AttemptID
	Worker  structs.WorkerID
	Share   float64
}

// Eviction checkpoints and stops a run. Its task becomes pending again.
type Eviction struct {
	Attempt structs.AttemptID
	Worker  structs.WorkerID
	Reason  structs.Reason
}

// Refusal reports that a task can never run.
type Refusal struct {
	Task   structs.TaskID
	Reason structs.Reason
	Detail string
}

// Reasons of decisions beyond those that all packages share.
const (
	ReasonInterference structs.Reason = "interference"
	ReasonProbing      structs.Reason = "probe_elsewhere"
	ReasonScore        structs.Reason = "lower_score"
	ReasonRateLimit    structs.Reason = "pace"
	ReasonReserved     structs.Reason = "reserved"
	ReasonMinimum      structs.Reason = "service_minimum"
	ReasonDeadline     structs.Reason = "deadline"
	ReasonRecovered    structs.Reason = "recovered"
	ReasonFailedHere   structs.Reason = "failed_here"
	ReasonEvictedHere  structs.Reason = "evicted_here"
)

// Action is the kind of a decision.
type Action string

// Actions of decisions.
const (
	ActionPlace            Action = "place"
	ActionWait             Action = "wait"
	ActionThrottle         Action = "throttle"
	ActionRelease          Action = "release"
	ActionEvict            Action = "evict"
	ActionPostponeEviction Action = "hold" // an eviction from a draining worker is postponed
	ActionCancel           Action = "cancel"
	ActionRefuse           Action = "refuse"
	ActionQuarantine       Action = "quarantine"
	ActionReadmit          Action = "readmit"
)

// Decision is the record of one decision about a task or a worker.
type Decision struct {
	At     time.Duration // the snapshot's Now
	Action Action
	Task   structs.TaskID   // zero for decisions about a worker
	Worker structs.WorkerID // empty for decisions about a task without a worker
	Reason structs.Reason
	// Subject is the task in whose favour the decision was made, such as the
	// service that an evicted run harmed.
	Subject  string
	Detail   string
	Harm     float64 // predicted or measured relative growth of tail latency
	Score    float64 // score of the chosen worker
	Slack    time.Duration
	Rejected []Rejection
	// Alternatives holds the best workers that lost by score.
	Alternatives []Alternative
}

// Rejection counts the workers that one filter rejected.
type Rejection struct {
	Filter  string           `json:"filter"`
	Reason  structs.Reason   `json:"reason"`
	Workers int              `json:"workers"`
	Example structs.WorkerID `json:"example"`
}

// Alternative is a worker that passed every filter and lost by score.
type Alternative struct {
	Worker structs.WorkerID `json:"worker"`
	Score  float64          `json:"score"`
	// DecidingScorer is the name of the scorer with the largest difference.
	DecidingScorer string  `json:"lost"`
	Harm           float64 `json:"harm"`
}

// PlannerState is the planner's state between cycles. It is not persisted: a
// new leader starts with the zero value. Times are readings of the leader's
// clock.
type PlannerState struct {
	Mitigations map[structs.WorkerID]MitigationState
	Quarantines map[structs.WorkerID]Quarantine
	Reserved    map[structs.TaskID]structs.WorkerID // workers that are kept free for a task
	Avoided     map[structs.TaskID]Avoidance
}

// MitigationState is the state of throttling and eviction for the services of
// one worker.
type MitigationState struct {
	LastReport  time.Duration  // end of the newest evaluated report
	LastAction  time.Duration  // time of the last throttle, release or eviction, 0 before the first
	HighReports int            // consecutive high reports
	LowReports  int            // consecutive low reports
	Throttled   []ThrottledRun // runs that are or were throttled
}

// ThrottledRun is a run that is throttled or has been throttled before.
type ThrottledRun struct {
	Attempt     structs.AttemptID
	Since       time.Duration // time of the last throttle or release
	MinDuration time.Duration // minimum duration of the throttle
	Active      bool          // the throttle is in force
}

// Quarantine keeps tasks off a worker on which they fail.
type Quarantine struct {
	Since time.Duration // start of the current stage
	Term  time.Duration // length of the closed stage, doubled with each relapse
	Stage QuarantineStage
}

// QuarantineStage is a stage of a quarantine: closed, then trial, then
// released.
type QuarantineStage string

// Stages of a quarantine.
const (
	QuarantineClosed   QuarantineStage = "closed"   // no task may start
	QuarantineTrial    QuarantineStage = "trial"    // one task at a time may start
	QuarantineReleased QuarantineStage = "released" // open to all tasks; a relapse doubles the term
)

// Avoidance keeps an evicted task off the worker that evicted it.
type Avoidance struct {
	Worker structs.WorkerID
	Until  time.Duration
}
