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
	MaxDrainEvictions  int           // runs of draining workers that are stopping at a time
	MaxCancels         int           // stops of cancelled attempts in a planning cycle
	MaxPreemptions     int           // evictions in favour of critical tasks in a planning cycle
	MaxReservations    int           // workers reserved at a time for tasks that fit nowhere
	HarmLimit          float64       // accepted harm to a service
	UnknownDeviation   float64       // standard deviation of a harm estimate above which the pair must be probed
	MaxProbes          int           // runs of one class that probe uncertain pairs at a time
	CriticalSlack      time.Duration // slack below which a task is critical
	NoDeadlineSlack    time.Duration // slack of a task without a deadline
	AgeFactor          float64       // reduction of a task's slack per unit of waiting time
	ReserveAfter       time.Duration // waiting time after which a worker is reserved
	RelaxAfter         time.Duration // waiting time after which the harm limit grows and MaxProbes is ignored
	DefaultAttempts    int32         // failures after which a task is unschedulable
	Mitigation         MitigationOptions
	Quarantine         QuarantineOptions
}

// MitigationOptions configures how the planner throttles and evicts batch runs
// that harm services.
type MitigationOptions struct {
	HighGrowth               float64       // growth of tail latency above which a report is high
	LowGrowth                float64       // growth of tail latency below which a report is low
	Window                   time.Duration // period that one latency report covers
	HighReports              int           // consecutive high reports before an action
	LowReports               int           // consecutive low reports before a throttle is lifted
	Share                    float64       // processor share of a throttled run
	MinThrottleDuration      time.Duration // minimum duration of a run's first throttle, doubled with each later one
	MinThrottleDurationLimit time.Duration // upper bound of the doubled minimum duration
	AvoidDuration            time.Duration // time for which an evicted task avoids the worker
	MinSuspectHarm           float64       // predicted harm (mean plus deviation) above which a run is suspected of causing harm
}

// QuarantineOptions configures the quarantine of workers.
type QuarantineOptions struct {
	Evidence     float64       // log-likelihood ratio from which a worker is quarantined
	Tasks        int           // minimum number of distinct failed tasks
	Term         time.Duration // length of the first quarantine, doubled with each relapse
	MaxTerm      time.Duration // maximum length of a quarantine
	TrialRunTime time.Duration // run time after which a trial task counts as a success
}

// Default option values.
const (
	defaultMaxTasks                 = 4096
	defaultMaxDecisions             = 512
	defaultMaxAlternatives          = 3
	defaultMaxCandidates            = 32
	defaultMaxStartsPerWorker       = 4
	defaultMaxDrainEvictions        = 8
	defaultMaxCancels               = 256
	defaultMaxPreemptions           = 2
	defaultMaxReservations          = 2
	defaultHarmLimit                = 0.06
	defaultUnknownDeviation         = 0.15
	defaultMaxProbes                = 1
	defaultCriticalSlack            = 2 * time.Minute
	defaultNoDeadlineSlack          = 4 * time.Hour
	defaultAgeFactor                = 4.0
	defaultReserveAfter             = 2 * time.Minute
	defaultRelaxAfter               = 30 * time.Minute
	defaultAttempts                 = 5
	defaultHighGrowth               = 0.20
	defaultLowGrowth                = 0.07
	defaultWindow                   = 5 * time.Second
	defaultHighReports              = 2
	defaultLowReports               = 3
	defaultShare                    = 0.25
	defaultMinThrottleDuration      = time.Minute
	defaultMinThrottleDurationLimit = 32 * time.Minute
	defaultAvoidDuration            = 10 * time.Minute
	defaultMinSuspectHarm           = 0.03
	defaultEvidence                 = 4.6 // likelihood ratio of 100 to 1
	defaultFailedTasks              = 3
	defaultTerm                     = 5 * time.Minute
	defaultMaxTerm                  = 2 * time.Hour
	defaultTrialRunTime             = 2 * time.Minute
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
	setDefault(&o.MaxDrainEvictions, defaultMaxDrainEvictions)
	setDefault(&o.MaxCancels, defaultMaxCancels)
	setDefault(&o.MaxPreemptions, defaultMaxPreemptions)
	setDefault(&o.MaxReservations, defaultMaxReservations)
	setDefault(&o.HarmLimit, defaultHarmLimit)
	setDefault(&o.UnknownDeviation, defaultUnknownDeviation)
	setDefault(&o.MaxProbes, defaultMaxProbes)
	setDefault(&o.CriticalSlack, defaultCriticalSlack)
	setDefault(&o.NoDeadlineSlack, defaultNoDeadlineSlack)
	setDefault(&o.AgeFactor, defaultAgeFactor)
	setDefault(&o.ReserveAfter, defaultReserveAfter)
	setDefault(&o.RelaxAfter, defaultRelaxAfter)
	setDefault(&o.DefaultAttempts, defaultAttempts)
	o.Mitigation.setDefaults()
	o.Quarantine.setDefaults()
	return o
}

func (o *MitigationOptions) setDefaults() {
	setDefault(&o.HighGrowth, defaultHighGrowth)
	setDefault(&o.LowGrowth, defaultLowGrowth)
	setDefault(&o.Window, defaultWindow)
	setDefault(&o.HighReports, defaultHighReports)
	setDefault(&o.LowReports, defaultLowReports)
	setDefault(&o.Share, defaultShare)
	setDefault(&o.MinThrottleDuration, defaultMinThrottleDuration)
	setDefault(&o.MinThrottleDurationLimit, defaultMinThrottleDurationLimit)
	setDefault(&o.AvoidDuration, defaultAvoidDuration)
	setDefault(&o.MinSuspectHarm, defaultMinSuspectHarm)
}

func (o *QuarantineOptions) setDefaults() {
	setDefault(&o.Evidence, defaultEvidence)
	setDefault(&o.Tasks, defaultFailedTasks)
	setDefault(&o.Term, defaultTerm)
	setDefault(&o.MaxTerm, defaultMaxTerm)
	setDefault(&o.TrialRunTime, defaultTrialRunTime)
}
