package placement

import "time"

// Options tunes a planner. Zero fields take their default.
type Options struct {
	MaxTasks           int           // pending tasks considered in a round
	MaxDecisions       int           // decision records in a plan
	MaxAlternatives    int           // losing workers in one record
	MaxCandidates      int           // workers scored for one task
	MaxStartsPerWorker int           // starts on one worker in a round
	MaxMoves           int           // evictions for planned movement in a round
	MaxCancels         int           // stops of cancelled attempts in a round
	MaxPreemptions     int           // evictions for tasks without slack in a round
	MaxReservations    int           // workers held free for tasks that fit nowhere
	HarmLimit          float64       // accepted growth of a service's tail latency
	UnknownDeviation   float64       // deviation from which a pair counts as untried
	MaxProbes          int           // untried pairs of one class tried at a time
	CriticalSlack      time.Duration // slack below which a task takes precedence
	OpenSlack          time.Duration // slack of a task without a deadline
	AgeFactor          float64       // slack lost for each unit of time waited
	ReserveAfter       time.Duration // waiting time after which a worker is held free
	RelaxAfter         time.Duration // waiting time after which the harm limit grows
	DefaultAttempts    int32         // failures after which a task is unschedulable
	Ladder             LadderOptions
	Quarantine         QuarantineOptions
}

// LadderOptions tunes the reactions to services in trouble.
type LadderOptions struct {
	Upper       float64       // growth of tail latency that is trouble
	Lower       float64       // growth of tail latency that is calm
	Window      time.Duration // time that one report averages over
	Reports     int           // reports of trouble in a row before an action
	CalmReports int           // reports of calm in a row before a release
	Share       float64       // processor share of a throttled run
	Hold        time.Duration // least time that a throttle stays
	MaxHold     time.Duration
	Avoid       time.Duration // time that an evicted task stays away
	Culprit     float64       // least predicted harm of a culprit
}

// QuarantineOptions tunes the quarantine of workers.
type QuarantineOptions struct {
	Evidence float64       // log-likelihood ratio that quarantines
	Tasks    int           // least number of distinct failed tasks
	Term     time.Duration // first term
	MaxTerm  time.Duration
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
	defaultEvidence           = 4.6 // odds of a hundred to one
	defaultFailedTasks        = 3
	defaultTerm               = 5 * time.Minute
	defaultMaxTerm            = 2 * time.Hour
)

func orDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// complete returns the options with every default filled in.
func (o Options) complete() Options {
	orDefault(&o.MaxTasks, defaultMaxTasks)
	orDefault(&o.MaxDecisions, defaultMaxDecisions)
	orDefault(&o.MaxAlternatives, defaultMaxAlternatives)
	orDefault(&o.MaxCandidates, defaultMaxCandidates)
	orDefault(&o.MaxStartsPerWorker, defaultMaxStartsPerWorker)
	orDefault(&o.MaxMoves, defaultMaxMoves)
	orDefault(&o.MaxCancels, defaultMaxCancels)
	orDefault(&o.MaxPreemptions, defaultMaxPreemptions)
	orDefault(&o.MaxReservations, defaultMaxReservations)
	orDefault(&o.HarmLimit, defaultHarmLimit)
	orDefault(&o.UnknownDeviation, defaultUnknownDeviation)
	orDefault(&o.MaxProbes, defaultMaxProbes)
	orDefault(&o.CriticalSlack, defaultCriticalSlack)
	orDefault(&o.OpenSlack, defaultOpenSlack)
	orDefault(&o.AgeFactor, defaultAgeFactor)
	orDefault(&o.ReserveAfter, defaultReserveAfter)
	orDefault(&o.RelaxAfter, defaultRelaxAfter)
	orDefault(&o.DefaultAttempts, defaultAttempts)
	o.Ladder.complete()
	o.Quarantine.complete()
	return o
}

func (o *LadderOptions) complete() {
	orDefault(&o.Upper, defaultUpper)
	orDefault(&o.Lower, defaultLower)
	orDefault(&o.Window, defaultWindow)
	orDefault(&o.Reports, defaultReports)
	orDefault(&o.CalmReports, defaultCalmReports)
	orDefault(&o.Share, defaultShare)
	orDefault(&o.Hold, defaultHold)
	orDefault(&o.MaxHold, defaultMaxHold)
	orDefault(&o.Avoid, defaultAvoid)
	orDefault(&o.Culprit, defaultCulprit)
}

func (o *QuarantineOptions) complete() {
	orDefault(&o.Evidence, defaultEvidence)
	orDefault(&o.Tasks, defaultFailedTasks)
	orDefault(&o.Term, defaultTerm)
	orDefault(&o.MaxTerm, defaultMaxTerm)
}
