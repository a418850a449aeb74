package placement

import "time"

// Options configures a planner. Zero fields take their default. Harm is a
// relative growth of a service's tail latency, such as 0.1 for a tenth.
type Options struct {
	MaxTasks           int           // pending tasks considered in a planning cycle
	MaxDecisions       int           // decision records in a plan
	MaxAlternatives    int           // losing workers in a decision record
	MaxCandidates      int           // workers scored for one task
	MaxStartsPerWorker int           // starts on one worker in a planning cycle
	MaxMoves           int           // runs of draining workers that are stopping at a time
	MaxCancels         int           // stops of cancelled attempts in a planning cycle
	MaxPreemptions     int           // evictions in favour of critical tasks in a planning cycle
	MaxReservations    int           // workers reserved at a time for tasks that fit nowhere
	HarmLimit          float64       // accepted harm to a service
	UnknownDeviation   float64       // standard deviation of a harm estimate above which the pair must be probed
	MaxProbes          int           // runs of one class that probe uncertain pairs at a time
	CriticalSlack      time.Duration // slack below which a task is critical
	OpenSlack          time.Duration // slack of a task without a deadline
	AgeFactor          float64       // reduction of a task's slack per unit of waiting time
	ReserveAfter       time.Duration // waiting time after which a worker is reserved
	RelaxAfter         time.Duration // waiting time after which the harm limit grows and MaxProbes is ignored
	DefaultAttempts    int32         // failures after which a task is unschedulable
	Ladder             LadderOptions
	Quarantine         QuarantineOptions
}

// LadderOptions configures how the planner throttles and evicts batch runs that
// harm services.
type LadderOptions struct {
	Upper       float64       // growth of tail latency above which a report is high
	Lower       float64       // growth of tail latency below which a report is low
	Window      time.Duration // period that one latency report covers
	Reports     int           // consecutive high reports before an action
	CalmReports int           // consecutive low reports before a throttle is lifted
	Share       float64       // processor share of a throttled run
	Hold        time.Duration // minimum duration of a run's first throttle, doubled with each later one
	MaxHold     time.Duration // maximum of the doubled hold
	Avoid       time.Duration // time for which an evicted task avoids the worker
	Culprit     float64       // predicted harm (mean plus deviation) above which a run is a possible culprit
}

// QuarantineOptions configures the quarantine of workers.
type QuarantineOptions struct {
	Evidence float64       // log-likelihood ratio from which a worker is quarantined
	Tasks    int           // minimum number of distinct failed tasks
	Term     time.Duration // length of the first quarantine, doubled with each relapse
	MaxTerm  time.Duration // maximum length of a quarantine
}

// Default option values.
const (
	defaultMaxTasks           = 4096
	defaultMaxDecisions       = 512
	defaultMaxAlternatives    = 3
	defaultMaxCandidates      = 32
	defaultMaxStartsPerWorker = 4
	defaultMaxMoves           = 8
	defaultMaxCancels         = 256
	defaultMaxPreemptions     = 2
	defaultMaxReservations    = 2
	defaultHarmLimit          = 0.06
	defaultUnknownDeviation   = 0.15
	defaultMaxProbes          = 1
	defaultCriticalSlack      = 2 * time.Minute
	defaultOpenSlack          = 4 * time.Hour
	defaultAgeFactor          = 4.0
	defaultReserveAfter       = 2 * time.Minute
	defaultRelaxAfter         = 30 * time.Minute
	defaultAttempts           = 5
	defaultUpper              = 0.20
	defaultLower              = 0.07
	defaultWindow             = 5 * time.Second
	defaultReports            = 2
	defaultCalmReports        = 3
	defaultShare              = 0.25
	defaultHold               = time.Minute
	defaultMaxHold            = 32 * time.Minute
	defaultAvoid              = 10 * time.Minute
	defaultCulprit            = 0.03
	defaultEvidence           = 4.6 // likelihood ratio of 100 to 1
	defaultFailedTasks        = 3
	defaultTerm               = 5 * time.Minute
	defaultMaxTerm            = 2 * time.Hour
)

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// withDefaults returns the options with all defaults filled in.
func (o Options) withDefaults() Options {
	setDefault(&o.MaxTasks, defaultMaxTasks)
	setDefault(&o.MaxDecisions, defaultMaxDecisions)
	setDefault(&o.MaxAlternatives, defaultMaxAlternatives)
	setDefault(&o.MaxCandidates, defaultMaxCandidates)
	setDefault(&o.MaxStartsPerWorker, defaultMaxStartsPerWorker)
	setDefault(&o.MaxMoves, defaultMaxMoves)
	setDefault(&o.MaxCancels, defaultMaxCancels)
	setDefault(&o.MaxPreemptions, defaultMaxPreemptions)
	setDefault(&o.MaxReservations, defaultMaxReservations)
	setDefault(&o.HarmLimit, defaultHarmLimit)
	setDefault(&o.UnknownDeviation, defaultUnknownDeviation)
	setDefault(&o.MaxProbes, defaultMaxProbes)
	setDefault(&o.CriticalSlack, defaultCriticalSlack)
	setDefault(&o.OpenSlack, defaultOpenSlack)
	setDefault(&o.AgeFactor, defaultAgeFactor)
	setDefault(&o.ReserveAfter, defaultReserveAfter)
	setDefault(&o.RelaxAfter, defaultRelaxAfter)
	setDefault(&o.DefaultAttempts, defaultAttempts)
	o.Ladder.setDefaults()
	o.Quarantine.setDefaults()
	return o
}

func (o *LadderOptions) setDefaults() {
	setDefault(&o.Upper, defaultUpper)
	setDefault(&o.Lower, defaultLower)
	setDefault(&o.Window, defaultWindow)
	setDefault(&o.Reports, defaultReports)
	setDefault(&o.CalmReports, defaultCalmReports)
	setDefault(&o.Share, defaultShare)
	setDefault(&o.Hold, defaultHold)
	setDefault(&o.MaxHold, defaultMaxHold)
	setDefault(&o.Avoid, defaultAvoid)
	setDefault(&o.Culprit, defaultCulprit)
}

func (o *QuarantineOptions) setDefaults() {
	setDefault(&o.Evidence, defaultEvidence)
	setDefault(&o.Tasks, defaultFailedTasks)
	setDefault(&o.Term, defaultTerm)
	setDefault(&o.MaxTerm, defaultMaxTerm)
}
