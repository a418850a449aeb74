package questionnaire

import (
	"fmt"
	"math"
	"time"

	"github.com/daisywall/daisywall/config"
	"github.com/daisywall/daisywall/structs"
)

// Explanation says why one field has its value.
type Explanation struct {
	Path   string `json:"path"`  // such as /requests/slot-check/deadline_ms
	Value  string `json:"value"` // as in the configuration
	Reason string `json:"reason"`
}

// Result is a generated configuration with the reason of each field.
type Result struct {
	Team         structs.TeamConfig
	Explanations []Explanation
}

const (
	// rateHeadroom is the factor between the expected peak and the rate limit.
	rateHeadroom = 2
	// quotaHeadroom is the factor between the declared need and the quota, so
	// that work can be moved before its old place is free.
	quotaHeadroom = 1.25
	// minConcurrency keeps small teams from being refused on short bursts.
	minConcurrency = 8
	milliCPU       = 1000
	hoursPerDay    = 24

	attemptsGiveUp = 3
	attemptsKeepOn = 20
)

// How long leases are renewed without the table, by what hurts more.
var (
	serviceRide = map[string]time.Duration{lateStart: 30 * time.Second, balanced: 2 * time.Minute, stopped: 15 * time.Minute}
	batchRide   = map[string]time.Duration{lateStart: 2 * time.Minute, balanced: 15 * time.Minute, stopped: 2 * time.Hour}
)

// generator collects explanations while it fills fields.
type generator struct {
	explanations []Explanation
}

func (g *generator) note(path string, value any, format string, args ...any) {
	g.explanations = append(g.explanations, Explanation{Path: path, Value: fmt.Sprint(value), Reason: fmt.Sprintf(format, args...)})
}

// Generate makes the team's configuration. It returns *structs.InvalidError
// when the answers lead to a configuration that breaks a rule.
func Generate(a *Answers) (*Result, error) {
	g := &generator{}
	team := structs.TeamConfig{ID: structs.TeamID(a.Team)}
	g.note("/id", team.ID, "The team's name.")
	team.Limits = g.limits(a)
	for _, r := range a.Requests {
		team.Requests = append(team.Requests, g.request(r, a.BudgetDays))
	}
	for _, s := range a.Services {
		team.Services = append(team.Services, g.service(s))
	}
	for _, b := range a.Batch {
		team.Batch = append(team.Batch, g.batch(b, a.BudgetDays))
	}
	team.Quota = g.quota(a)
	data, err := config.EncodeTeam(team)
	if err != nil {
		return nil, fmt.Errorf("generate team %s: %w", a.Team, err)
	}
	if team, err = config.DecodeTeam(data); err != nil {
		return nil, fmt.Errorf("generate team %s: %w", a.Team, err)
	}
	return &Result{Team: team, Explanations: g.explanations}, nil
}

// limits follow Little's law: concurrency is rate times time.
func (g *generator) limits(a *Answers) structs.TeamLimits {
	var peak, inFlight float64
	for _, r := range a.Requests {
		peak += r.PeakPerSecond
		inFlight += r.PeakPerSecond * float64(r.GoodWithinMS) / float64(time.Second/time.Millisecond)
	}
	limits := structs.TeamLimits{
		RequestsPerSecond: max(math.Ceil(rateHeadroom*peak), 1),
		Concurrency:       max(int(math.Ceil(rateHeadroom*inFlight)), minConcurrency),
	}
	g.note("/limits/requests_per_second", limits.RequestsPerSecond, "%d times the sum of the peaks, %v per second, so that one entry can carry all of it.", rateHeadroom, peak)
	g.note("/limits/concurrency", limits.Concurrency, "%d times the peaks multiplied by good_within_ms, at least %d.", rateHeadroom, minConcurrency)
	return limits
}

func (g *generator) request(r RequestAnswers, budgetDays int64) structs.RequestKind {
	at := "/requests/" + r.Name
	kind := structs.RequestKind{
		Name:       r.Name,
		Urgency:    structs.Deferred,
		Idempotent: r.RunTwice == harmless,
		DeadlineMS: r.UselessAfterMS,
		Objective:  structs.Objective{Ratio: ratio(r.MayMissPer10000, 10_000), LatencyMS: r.GoodWithinMS, WindowH: budgetDays * hoursPerDay},
	}
	g.note(at+"/name", kind.Name, "The name of the kind.")
	if r.Caller == waits {
		kind.Urgency = structs.Urgent
		g.note(at+"/urgency", kind.Urgency, "Somebody waits for the answer.")
	} else {
		g.note(at+"/urgency", kind.Urgency, "Nobody waits, so it yields to urgent requests.")
	}
	if kind.Idempotent {
		g.note(at+"/idempotent", kind.Idempotent, "A second run is harmless, so a request of unknown outcome is sent again.")
	} else {
		g.note(at+"/idempotent", kind.Idempotent, "A second run does harm, so a request runs at most once and an unknown outcome is reported as such.")
	}
	g.note(at+"/deadline_ms", kind.DeadlineMS, "An answer is useless after this time.")
	g.objective(at, kind.Objective, "Nearly all answers should come within this time.")
	return kind
}

func (g *generator) objective(at string, o structs.Objective, latency string) {
	g.note(at+"/objective/ratio", o.Ratio, "The share that remains after what may be missed.")
	g.note(at+"/objective/latency_ms", o.LatencyMS, "%s", latency)
	g.note(at+"/objective/window_h", o.WindowH, "The days of the error budget in hours.")
}

func (g *generator) service(s ServiceAnswers) structs.ServiceConfig {
	at := "/services/" + s.Name
	service := structs.ServiceConfig{
		Name: s.Name, Program: s.Program, Instances: s.Instances, Minimum: s.AlwaysUp,
		Resources:    s.resources(),
		RideOutageMS: serviceRide[s.HurtsMore].Milliseconds(),
	}
	g.note(at+"/name", s.Name, "The name of the service.")
	g.note(at+"/program", s.Program, "The program that runs.")
	g.note(at+"/instances", s.Instances, "Instances in normal operation.")
	g.note(at+"/minimum", s.AlwaysUp, "Instances that stay up while others are moved.")
	g.size(at, service.Resources)
	g.note(at+"/ride_outage_ms", service.RideOutageMS, "%s Leases are renewed for %v without the table; a silent host's instances restart no earlier than that.", reasons[s.HurtsMore], serviceRide[s.HurtsMore])
	return service
}

// batch limits the ride through an outage to half of the slack, so that a task
// of a silent host can still run again before its deadline.
func (g *generator) batch(b BatchAnswers, budgetDays int64) structs.BatchConfig {
	at := "/batch/" + b.Class
	runTime := time.Duration(b.UsualMinutes * float64(time.Minute))
	deadline := time.Duration(b.FinishWithinHours * float64(time.Hour))
	ride := min(batchRide[b.HurtsMore], (deadline-runTime)/2)
	batch := structs.BatchConfig{
		Class: b.Class, Program: b.Program, Resources: b.resources(),
		RunTimeMS: runTime.Milliseconds(), DeadlineMS: deadline.Milliseconds(),
		MaxAttempts:  attemptsKeepOn,
		RideOutageMS: ride.Milliseconds(),
		Objective:    structs.Objective{Ratio: ratio(b.MayMissPer1000, 1000), LatencyMS: deadline.Milliseconds(), WindowH: budgetDays * hoursPerDay},
	}
	if b.FailingTask == giveUp {
		batch.MaxAttempts = attemptsGiveUp
	}
	g.note(at+"/class", b.Class, "The name of the class.")
	g.note(at+"/program", b.Program, "The program that runs.")
	g.size(at, batch.Resources)
	g.note(at+"/run_time_ms", batch.RunTimeMS, "The usual run time, a first guess until tasks have been observed.")
	g.note(at+"/deadline_ms", batch.DeadlineMS, "A job must be finished this long after its submission.")
	g.note(at+"/max_attempts", batch.MaxAttempts, "Answer %q: a task is given up after this many failures. Evictions and lost hosts don't count.", b.FailingTask)
	g.note(at+"/ride_outage_ms", batch.RideOutageMS, "%s Leases are renewed for up to %v without the table, and for no more than half of the time between run time and deadline.", reasons[b.HurtsMore], batchRide[b.HurtsMore])
	g.objective(at, batch.Objective, "The deadline of a job.")
	return batch
}

var reasons = map[string]string{
	stopped:   "Being stopped in an outage hurts more.",
	lateStart: "A late restart hurts more.",
	balanced:  "Both hurt about the same.",
}

func (g *generator) size(at string, r structs.Resources) {
	g.note(at+"/resources/milli_cpu", r.MilliCPU, "Declared processors in thousandths.")
	g.note(at+"/resources/memory_mb", r.MemoryMB, "Declared memory.")
	g.note(at+"/resources/accelerators", r.Accelerators, "Declared accelerators.")
}

func (g *generator) quota(a *Answers) structs.Resources {
	var need structs.Resources
	for _, s := range a.Services {
		need = need.Add(s.resources().Scale(int64(s.Instances)))
	}
	for _, b := range a.Batch {
		need = need.Add(b.resources().Scale(b.TasksAtOnce))
	}
	quota := structs.Resources{MilliCPU: withHeadroom(need.MilliCPU), MemoryMB: withHeadroom(need.MemoryMB), Accelerators: withHeadroom(need.Accelerators)}
	for _, field := range []struct {
		name        string
		value, need int64
	}{{"milli_cpu", quota.MilliCPU, need.MilliCPU}, {"memory_mb", quota.MemoryMB, need.MemoryMB}, {"accelerators", quota.Accelerators, need.Accelerators}} {
		g.note("/quota/"+field.name, field.value, "All instances and all tasks at once need %d; %v times that leaves room to move work.", field.need, quotaHeadroom)
	}
	return quota
}

func withHeadroom(need int64) int64 { return int64(math.Ceil(float64(need) * quotaHeadroom)) }

func (s Size) resources() structs.Resources {
	return structs.Resources{MilliCPU: int64(math.Round(s.Processors * milliCPU)), MemoryMB: s.MemoryMB, Accelerators: s.Accelerators}
}

// ratio is the share of good events when misses of total may be bad.
func ratio(misses, total int64) float64 { return float64(total-misses) / float64(total) }
