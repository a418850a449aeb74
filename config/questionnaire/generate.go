package questionnaire

import (
	"fmt"
	"math"
	"time"

	"github.com/daisywall/daisywall/config"
	"github.com/daisywall/daisywall/structs"
)

// Explanation gives the reason for the value of one field.
type Explanation struct {
	Path   string `json:"path"`  // for example /requests/slot-check/deadline_ms
	Value  string `json:"value"` // as in the configuration
	Reason string `json:"reason"`
}

// Result is a generated configuration with the reason for each field.
type Result struct {
	Team         structs.TeamConfig
	Explanations []Explanation
}

const (
	// rateHeadroom is the ratio of the rate limit to the expected peak.
	rateHeadroom = 2
	// quotaHeadroom is the ratio of the quota to the declared need. The surplus
	// lets a moved task start before its previous resources are released.
	quotaHeadroom = 1.25
	// minConcurrency lets small teams send short bursts without rejections.
	minConcurrency       = 8
	milliCPUPerProcessor = 1000
	hoursPerDay          = 24

	maxAttemptsGiveUpEarly = 3
	maxAttemptsKeepTrying  = 20
)

// Durations for which leases are renewed while the table is unavailable, by the
// answer to hurts_more.
var (
	serviceOutageRenewal = map[string]time.Duration{lateRestartHurtsMore: 30 * time.Second, bothHurtTheSame: 2 * time.Minute, stopHurtsMore: 15 * time.Minute}
	batchOutageRenewal   = map[string]time.Duration{lateRestartHurtsMore: 2 * time.Minute, bothHurtTheSame: 15 * time.Minute, stopHurtsMore: 2 * time.Hour}
)

// generator collects the explanations of the fields that it generates.
type generator struct {
	explanations []Explanation
}

func (g *generator) explain(path string, value any, format string, args ...any) {
	g.explanations = append(g.explanations, Explanation{Path: path, Value: fmt.Sprint(value), Reason: fmt.Sprintf(format, args...)})
}

// Generate generates the team's configuration. It returns *structs.InvalidError
// if the configuration breaks a rule.
func Generate(a *Answers) (*Result, error) {
	g := &generator{}
	team := structs.TeamConfig{ID: structs.TeamID(a.Team)}
	g.explain("/id", team.ID, "The team's name.")
	team.Limits = g.generateLimits(a)
	for _, r := range a.Requests {
		team.Requests = append(team.Requests, g.generateRequest(r, a.BudgetDays))
	}
	for _, s := range a.Services {
		team.Services = append(team.Services, g.generateService(s))
	}
	for _, b := range a.Batch {
		team.Batch = append(team.Batch, g.generateBatch(b, a.BudgetDays))
	}
	team.Quota = g.generateQuota(a)
	data, err := config.EncodeTeam(team)
	if err != nil {
		return nil, fmt.Errorf("generate team %s: %w", a.Team, err)
	}
	if team, err = config.DecodeTeam(data); err != nil {
		return nil, fmt.Errorf("generate team %s: %w", a.Team, err)
	}
	return &Result{Team: team, Explanations: g.explanations}, nil
}

// generateLimits applies Little's law: concurrency is rate times latency.
func (g *generator) generateLimits(a *Answers) structs.TeamLimits {
	var peak, inFlight float64
	for _, r := range a.Requests {
		peak += r.PeakPerSecond
		inFlight += r.PeakPerSecond * float64(r.GoodWithinMS) / float64(time.Second/time.Millisecond)
	}
	limits := structs.TeamLimits{
		RequestsPerSecond: max(math.Ceil(rateHeadroom*peak), 1),
		Concurrency:       max(int(math.Ceil(rateHeadroom*inFlight)), minConcurrency),
	}
	g.explain("/limits/requests_per_second", limits.RequestsPerSecond, "%d times the sum of the peaks, %v per second, so that one entry can carry all of it.", rateHeadroom, peak)
	g.explain("/limits/concurrency", limits.Concurrency, "%d times the peaks multiplied by good_within_ms, at least %d.", rateHeadroom, minConcurrency)
	return limits
}

func (g *generator) generateRequest(r RequestAnswers, budgetDays int64) structs.RequestKind {
	path := "/requests/" + r.Name
	kind := structs.RequestKind{
		Name:       r.Name,
		Urgency:    structs.Deferred,
		Idempotent: r.RunTwice == secondRunHarmless,
		DeadlineMS: r.UselessAfterMS,
		Objective:  structs.Objective{Ratio: objectiveRatio(r.MayMissPer10000, 10_000), LatencyMS: r.GoodWithinMS, WindowH: budgetDays * hoursPerDay},
	}
	g.explain(path+"/name", kind.Name, "The name of the kind.")
	if r.Caller == callerWaits {
		kind.Urgency = structs.Urgent
		g.explain(path+"/urgency", kind.Urgency, "Somebody waits for the answer.")
	} else {
		g.explain(path+"/urgency", kind.Urgency, "Nobody waits, so it yields to urgent requests.")
	}
	if kind.Idempotent {
		g.explain(path+"/idempotent", kind.Idempotent, "A second run is harmless, so a request of unknown outcome is sent again.")
	} else {
		g.explain(path+"/idempotent", kind.Idempotent, "A second run does harm, so a request runs at most once and an unknown outcome is reported as such.")
	}
	g.explain(path+"/deadline_ms", kind.DeadlineMS, "An answer is useless after this time.")
	g.explainObjective(path, kind.Objective, "Nearly all answers should come within this time.")
	return kind
}

func (g *generator) explainObjective(path string, o structs.Objective, latencyReason string) {
	g.explain(path+"/objective/ratio", o.Ratio, "The share that remains after what may be missed.")
	g.explain(path+"/objective/latency_ms", o.LatencyMS, "%s", latencyReason)
	g.explain(path+"/objective/window_h", o.WindowH, "The days of the error budget in hours.")
}

func (g *generator) generateService(s ServiceAnswers) structs.ServiceConfig {
	path := "/services/" + s.Name
	service := structs.ServiceConfig{
		Name: s.Name, Program: s.Program, Instances: s.Instances, MinAvailable: s.AlwaysUp,
		Resources: s.resources(),
		RideOutMS: serviceOutageRenewal[s.HurtsMore].Milliseconds(),
	}
	g.explain(path+"/name", s.Name, "The name of the service.")
	g.explain(path+"/program", s.Program, "The program that runs.")
	g.explain(path+"/instances", s.Instances, "Instances in normal operation.")
	g.explain(path+"/minimum", s.AlwaysUp, "Instances that stay up while others are moved.")
	g.explainResources(path, service.Resources)
	g.explain(path+"/ride_outage_ms", service.RideOutMS, "%s Leases are renewed for %v without the table; a silent host's instances restart no earlier than that.", outageReasons[s.HurtsMore], serviceOutageRenewal[s.HurtsMore])
	return service
}

// generateBatch limits the renewal of leases during an outage to half of the
// slack. After a host has stopped responding, its tasks can then still run
// again before their deadline.
func (g *generator) generateBatch(b BatchAnswers, budgetDays int64) structs.BatchConfig {
	path := "/batch/" + b.Class
	runTime := time.Duration(b.UsualMinutes * float64(time.Minute))
	deadline := time.Duration(b.FinishWithinHours * float64(time.Hour))
	outageRenewal := min(batchOutageRenewal[b.HurtsMore], (deadline-runTime)/2)
	batch := structs.BatchConfig{
		Class: b.Class, Program: b.Program, Resources: b.resources(),
		RunTimeMS: runTime.Milliseconds(), DeadlineMS: deadline.Milliseconds(),
		MaxAttempts: maxAttemptsKeepTrying,
		RideOutMS:   outageRenewal.Milliseconds(),
		Objective:   structs.Objective{Ratio: objectiveRatio(b.MayMissPer1000, 1000), LatencyMS: deadline.Milliseconds(), WindowH: budgetDays * hoursPerDay},
	}
	if b.FailingTask == giveUpEarly {
		batch.MaxAttempts = maxAttemptsGiveUpEarly
	}
	g.explain(path+"/class", b.Class, "The name of the class.")
	g.explain(path+"/program", b.Program, "The program that runs.")
	g.explainResources(path, batch.Resources)
	g.explain(path+"/run_time_ms", batch.RunTimeMS, "The usual run time, a first guess until tasks have been observed.")
	g.explain(path+"/deadline_ms", batch.DeadlineMS, "A job must be finished this long after its submission.")
	g.explain(path+"/max_attempts", batch.MaxAttempts, "Answer %q: a task is given up after this many failures. Evictions and lost hosts don't count.", b.FailingTask)
	g.explain(path+"/ride_outage_ms", batch.RideOutMS, "%s Leases are renewed for up to %v without the table, and for no more than half of the time between run time and deadline.", outageReasons[b.HurtsMore], batchOutageRenewal[b.HurtsMore])
	g.explainObjective(path, batch.Objective, "The deadline of a job.")
	return batch
}

var outageReasons = map[string]string{
	stopHurtsMore:        "Being stopped in an outage hurts more.",
	lateRestartHurtsMore: "A late restart hurts more.",
	bothHurtTheSame:      "Both hurt about the same.",
}

func (g *generator) explainResources(path string, r structs.Resources) {
	g.explain(path+"/resources/milli_cpu", r.MilliCPU, "Declared processors in thousandths.")
	g.explain(path+"/resources/memory_mb", r.MemoryMB, "Declared memory.")
	g.explain(path+"/resources/accelerators", r.Accelerators, "Declared accelerators.")
}

func (g *generator) generateQuota(a *Answers) structs.Resources {
	var need structs.Resources
	for _, s := range a.Services {
		need = need.Add(s.resources().Scale(int64(s.Instances)))
	}
	for _, b := range a.Batch {
		need = need.Add(b.resources().Scale(b.TasksAtOnce))
	}
	quota := structs.Resources{MilliCPU: addQuotaHeadroom(need.MilliCPU), MemoryMB: addQuotaHeadroom(need.MemoryMB), Accelerators: addQuotaHeadroom(need.Accelerators)}
	for _, field := range []struct {
		name        string
		value, need int64
	}{{"milli_cpu", quota.MilliCPU, need.MilliCPU}, {"memory_mb", quota.MemoryMB, need.MemoryMB}, {"accelerators", quota.Accelerators, need.Accelerators}} {
		g.explain("/quota/"+field.name, field.value, "All instances and all tasks at once need %d; %v times that leaves room to move work.", field.need, quotaHeadroom)
	}
	return quota
}

func addQuotaHeadroom(need int64) int64 { return int64(math.Ceil(float64(need) * quotaHeadroom)) }

func (s Size) resources() structs.Resources {
	return structs.Resources{MilliCPU: int64(math.Round(s.Processors * milliCPUPerProcessor)), MemoryMB: s.MemoryMB, Accelerators: s.Accelerators}
}

// objectiveRatio returns the required share of good events if misses of total
// events may be bad.
func objectiveRatio(misses, total int64) float64 { return float64(total-misses) / float64(total) }
