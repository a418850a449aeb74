package burn

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// State says how fast an error budget is used up.
type State string

// States of an objective.
const (
	StateOK       State = "ok"
	StateSlowBurn State = "slow burn" // over 6 hours and over 3 days
	StateFastBurn State = "fast burn" // over 5 minutes and over 1 hour
	StateSpent    State = "spent"     // nothing of the budget is left
)

const (
	// fastBurnRate uses up a budget of 30 days in about 2 days.
	fastBurnRate = 14.4
	// slowBurnRate uses up the budget before its window ends.
	slowBurnRate = 1.0
	// seriesPoints is the length of the plotted series, in hours.
	seriesPoints = 72
)

// Rates are burn rates over several windows: 1 uses up the budget exactly in
// the objective's window.
type Rates struct {
	Minutes5 float64 `json:"5m"`
	Hour1    float64 `json:"1h"`
	Hours6   float64 `json:"6h"`
	Days3    float64 `json:"3d"`
}

// Status is the standing of one objective. Counts are those of its window.
type Status struct {
	Objective  structs.Objective `json:"objective"`
	Good       int64             `json:"good"`
	Bad        int64             `json:"bad"`
	BudgetLeft float64           `json:"budget_left"` // share, below 0 when overspent
	Burn       Rates             `json:"burn"`
	State      State             `json:"state"`
}

// Point is one hour of a series.
type Point struct {
	At        time.Time `json:"at"`
	Good      int64     `json:"good"`
	Bad       int64     `json:"bad"`
	BurnRate  float64   `json:"burn_rate"`
	P99MS     int64     `json:"p99_ms"`    // of requests
	Tasks     int64     `json:"tasks"`     // finished, of batch work
	Evictions int64     `json:"evictions"` // of batch work
}

// RequestReport is the report of one kind of request.
type RequestReport struct {
	Team     structs.TeamID   `json:"team"`
	Kind     string           `json:"kind"`
	Urgency  structs.Urgency  `json:"urgency"`
	Status   Status           `json:"status"`
	Outcomes map[string]int64 `json:"outcomes"`
	P50MS    int64            `json:"p50_ms"` // over the last hour
	P99MS    int64            `json:"p99_ms"` // over the last hour
	Series   []Point          `json:"series"`
}

// BatchReport is the report of one class of batch work.
type BatchReport struct {
	Team      structs.TeamID `json:"team"`
	Class     string         `json:"class"`
	Status    Status         `json:"status"` // good: jobs finished by their deadline
	Tasks     int64          `json:"tasks"`
	Evictions int64          `json:"evictions"`
	Series    []Point        `json:"series"`
}

// DomainReport is what was completed while the failure domain was out.
type DomainReport struct {
	Domain   structs.FailureDomainID `json:"domain"`
	Tasks    int64                   `json:"tasks"`
	Requests int64                   `json:"requests"`
}

// Report is the service-level burn of all teams.
type Report struct {
	At             time.Time       `json:"at"`
	ConfigRevision int64           `json:"config_revision"`
	Requests       []RequestReport `json:"requests"`
	Batch          []BatchReport   `json:"batch"`
	Domains        []DomainReport  `json:"domains"`
}

// Load reads the counters at one point in time and reports on the objectives
// of the configuration. Errors are those of the table's reads and
// *CorruptError.
func Load(ctx context.Context, table substrate.Table, config *structs.Config) (*Report, error) {
	rows, _, err := table.Changes(ctx, prefix, 0)
	if err != nil {
		return nil, fmt.Errorf("read burn counters: %w", err)
	}
	buckets, err := decodeRows(rows)
	if err != nil {
		return nil, err
	}
	return compute(buckets, config, time.Now().UTC()), nil
}

// history gives the counts of any window.
type history struct {
	buckets []bucket
	now     time.Time
}

// since calls visit with the counts of each bucket that reaches into the
// window before now.
func (h *history) since(window time.Duration, visit func(c *counts)) {
	from := h.now.Add(-window)
	for _, b := range h.buckets {
		if b.end().After(from) {
			visit(b.counts)
		}
	}
}

// events sums the good and bad events of a window.
func (h *history) events(window time.Duration, pick tally) (good, bad int64) {
	h.since(window, func(c *counts) {
		g, b := pick(c)
		good, bad = good+g, bad+b
	})
	return good, bad
}

// hours sums the buckets of each hour of the series, oldest first.
func (h *history) hours() []bucket {
	last := h.now.Truncate(time.Hour)
	points := make([]bucket, seriesPoints)
	for i := range points {
		points[i] = bucket{start: last.Add(time.Duration(i-seriesPoints+1) * time.Hour), length: time.Hour, counts: newCounts()}
	}
	for _, b := range h.buckets {
		i := int(b.start.Sub(points[0].start) / time.Hour)
		if b.length <= time.Hour && !b.start.Before(points[0].start) && i < len(points) {
			points[i].counts.add(b.counts)
		}
	}
	return points
}

// compute reports on the objectives of the configuration.
func compute(buckets []bucket, config *structs.Config, now time.Time) *Report {
	h := &history{buckets: buckets, now: now}
	report := &Report{At: now, ConfigRevision: config.Revision, Requests: []RequestReport{}, Batch: []BatchReport{}, Domains: []DomainReport{}}
	hours := h.hours()
	for _, team := range config.Teams {
		for _, kind := range team.Requests {
			report.Requests = append(report.Requests, h.request(team.ID, kind, hours))
		}
		for _, class := range team.Batch {
			report.Batch = append(report.Batch, h.batch(team.ID, class, hours))
		}
	}
	report.Domains = h.domains()
	return report
}

// domains sums what was completed while each failure domain was out.
func (h *history) domains() []DomainReport {
	sums := map[structs.FailureDomainID]DomainReport{}
	h.since(daysKept, func(c *counts) {
		for domain, d := range c.Domains {
			sum := sums[domain]
			sums[domain] = DomainReport{Domain: domain, Tasks: sum.Tasks + d.Tasks, Requests: sum.Requests + d.Requests}
		}
	})
	list := slices.AppendSeq([]DomainReport{}, maps.Values(sums))
	slices.SortFunc(list, func(a, b DomainReport) int { return strings.Compare(string(a.Domain), string(b.Domain)) })
	return list
}

// tally picks the good and bad events of an objective.
type tally func(c *counts) (good, bad int64)

func (h *history) request(team structs.TeamID, kind structs.RequestKind, hours []bucket) RequestReport {
	name := key(team, kind.Name)
	events := func(c *counts) (good, bad int64) {
		if r := c.Requests[name]; r != nil {
			return r.Good, r.Bad
		}
		return 0, 0
	}
	report := RequestReport{
		Team: team, Kind: kind.Name, Urgency: kind.Urgency,
		Status: h.status(kind.Objective, events), Outcomes: map[string]int64{},
	}
	h.since(window(kind.Objective), func(c *counts) {
		if r := c.Requests[name]; r != nil {
			for outcome, n := range r.Outcomes {
				report.Outcomes[outcome] += n
			}
		}
	})
	lastHour := &requestCounts{}
	h.since(time.Hour, func(c *counts) {
		if r := c.Requests[name]; r != nil {
			lastHour.add(r)
		}
	})
	report.P50MS, report.P99MS = lastHour.percentile(percentileMedian), lastHour.percentile(percentileTail)
	for _, hour := range hours {
		p := point(hour, kind.Objective, events)
		if r := hour.counts.Requests[name]; r != nil {
			p.P99MS = r.percentile(percentileTail)
		}
		report.Series = append(report.Series, p)
	}
	return report
}

func (h *history) batch(team structs.TeamID, class structs.BatchConfig, hours []bucket) BatchReport {
	name := key(team, class.Class)
	events := func(c *counts) (good, bad int64) {
		if b := c.Batch[name]; b != nil {
			return b.OnTime, b.Late
		}
		return 0, 0
	}
	report := BatchReport{Team: team, Class: class.Class, Status: h.status(class.Objective, events)}
	h.since(window(class.Objective), func(c *counts) {
		if b := c.Batch[name]; b != nil {
			report.Tasks += b.Tasks
			report.Evictions += b.Evictions
		}
	})
	for _, hour := range hours {
		p := point(hour, class.Objective, events)
		if b := hour.counts.Batch[name]; b != nil {
			p.Tasks, p.Evictions = b.Tasks, b.Evictions
		}
		report.Series = append(report.Series, p)
	}
	return report
}

func window(o structs.Objective) time.Duration { return time.Duration(o.WindowH) * time.Hour }

func point(hour bucket, o structs.Objective, events tally) Point {
	good, bad := events(hour.counts)
	return Point{At: hour.start, Good: good, Bad: bad, BurnRate: rate(o, good, bad)}
}

func (h *history) status(o structs.Objective, events tally) Status {
	s := Status{Objective: o}
	s.Good, s.Bad = h.events(window(o), events)
	s.BudgetLeft = 1 - rate(o, s.Good, s.Bad)
	over := func(d time.Duration) float64 {
		good, bad := h.events(d, events)
		return rate(o, good, bad)
	}
	s.Burn = Rates{Minutes5: over(Window), Hour1: over(time.Hour), Hours6: over(6 * time.Hour), Days3: over(3 * day)}
	s.State = stateOf(s)
	return s
}

func stateOf(s Status) State {
	switch {
	case s.Burn.Minutes5 >= fastBurnRate && s.Burn.Hour1 >= fastBurnRate:
		return StateFastBurn
	case s.BudgetLeft <= 0:
		return StateSpent
	case s.Burn.Hours6 >= slowBurnRate && s.Burn.Days3 >= slowBurnRate:
		return StateSlowBurn
	default:
		return StateOK
	}
}

// rate is the share of bad events relative to the share that may be bad.
func rate(o structs.Objective, good, bad int64) float64 {
	allowed := 1 - o.Ratio
	if good+bad == 0 || allowed <= 0 {
		return 0
	}
	return float64(bad) / float64(good+bad) / allowed
}

// percentile of the latencies in milliseconds, 0 without any.
func (r *requestCounts) percentile(p float64) int64 {
	if r.Latencies == nil {
		return 0
	}
	return r.Latencies.histogram.ValueAtPercentile(p)
}
