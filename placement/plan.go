package placement

import (
	"time"

	"github.com/daisywall/daisywall/structs"
)

// Plan is the proposal of one round.
type Plan struct {
	Placements    []Placement
	Throttles     []Throttle
	Evictions     []Eviction
	Cancels       []structs.AttemptID // attempts to stop now; the rest of a burst follows in later rounds
	Unschedulable []Refusal
	Decisions     []Decision // bounded by Options.MaxDecisions
	Dropped       int        // decisions beyond the bound
	Waiting       int        // pending tasks without a placement
	// Memory is to be handed to the next round.
	Memory Memory
}

// Placement starts a task.
type Placement struct {
	Task      structs.TaskID
	Worker    structs.WorkerID
	Resources structs.Resources // to commit
}

// Throttle limits a run to a share of its processor time. Share 1 lifts the
// limit.
type Throttle struct {
	Attempt structs.AttemptID
	Worker  structs.WorkerID
	Share   float64
}

// Eviction checkpoints a run, stops it and lets its task wait again.
type Eviction struct {
	Attempt structs.AttemptID
	Worker  structs.WorkerID
	Reason  structs.Reason
}

// Refusal says that a task can never run.
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
	ReasonPace         structs.Reason = "pace"
	ReasonReserved     structs.Reason = "reserved"
	ReasonMinimum      structs.Reason = "service_minimum"
	ReasonDeadline     structs.Reason = "deadline"
	ReasonRecovered    structs.Reason = "recovered"
	ReasonFailedHere   structs.Reason = "failed_here"
	ReasonEvictedHere  structs.Reason = "evicted_here"
)

// Action is what a decision did.
type Action string

// Actions of decisions.
const (
	ActionPlace      Action = "place"
	ActionWait       Action = "wait"
	ActionThrottle   Action = "throttle"
	ActionRelease    Action = "release"
	ActionEvict      Action = "evict"
	ActionHold       Action = "hold" // a movement that has to wait
	ActionCancel     Action = "cancel"
	ActionRefuse     Action = "refuse"
	ActionQuarantine Action = "quarantine"
	ActionReadmit    Action = "readmit"
)

// Decision records what was decided about a task or a worker and why.
type Decision struct {
	At     time.Duration // the snapshot's Now
	Action Action
	Task   structs.TaskID   // zero for decisions about a worker
	Worker structs.WorkerID // empty for a task without one
	Reason structs.Reason
	// Subject is the other party, such as the service that an evicted run
	// harmed.
	Subject  string
	Detail   string
	Harm     float64 // predicted or measured growth of tail latency
	Score    float64 // of the chosen worker
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
	// Lost names the score that made the largest difference.
	Lost string  `json:"lost"`
	Harm float64 `json:"harm"`
}

// Memory is what the planner remembers between rounds. A new leader starts
// with the zero value and learns again.
type Memory struct {
	Ladders     map[structs.WorkerID]Ladder
	Quarantines map[structs.WorkerID]Quarantine
	Reserved    map[structs.TaskID]structs.WorkerID
	Avoided     map[structs.TaskID]Avoidance
}

// Ladder is the state of the reactions to services in trouble on one worker.
type Ladder struct {
	LastReport time.Duration // end of the newest report that was judged
	LastAction time.Duration
	Trouble    int // reports in a row above the upper bound
	Calm       int // reports in a row below the lower bound
	Throttled  []ThrottledRun
}

// ThrottledRun is a run that the ladder throttles or has throttled before.
type ThrottledRun struct {
	Attempt structs.AttemptID
	Since   time.Duration // last change
	Hold    time.Duration // least time until the throttle is lifted
	Active  bool
}

// Quarantine keeps tasks off a worker that fails what it starts.
type Quarantine struct {
	Since time.Duration // start of the present stage
	Term  time.Duration // length of the closed stage, doubles with every relapse
	Stage QuarantineStage
}

// QuarantineStage is a step on the way out of quarantine.
type QuarantineStage string

// Stages of a quarantine.
const (
	QuarantineClosed   QuarantineStage = "closed"   // nothing starts
	QuarantineTrial    QuarantineStage = "trial"    // one task at a time
	QuarantineReleased QuarantineStage = "released" // open again, watched for a relapse
)

// Avoidance keeps an evicted task off the worker that evicted it.
type Avoidance struct {
	Worker structs.WorkerID
	Until  time.Duration
}
