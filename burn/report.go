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

// State describes how fast an error budget is used up.
type State string

// States of an objective.
const (
	StateOK       State = "ok"
	StateSlowBurn State = "slow burn" // burn rate of at least 1 over 6 hours and over 3 days
	StateFastBurn State = "fast burn" // burn rate of at least 14.4 over 5 minutes and over 1 hour
	StateSpent    State = "spent"     // no error budget is left
)

const (
	// fastBurnRate is a burn rate that uses up an error budget of 30 days in
	// about 2 days.
	fastBurnRate = 14.4
	// slowBurnRate is the burn rate that uses up an error budget exactly at the
	// end of its window.
	slowBurnRate = 1.0
	// seriesPoints is the number of hourly points of a plotted series.
	seriesPoints = 72
)

// Rates are burn rates over several windows. A rate of 1 uses up the error
// budget exactly in the window of the objective.
type Rates struct {
	Minutes5 float64 `json:"5m"`
	Hour1    float64 `json:"1h"`
	Hours6   float64 `json:"6h"`
	Days3    float64 `json:"3d"`
}

// Status describes one objective. Good and Bad count the events in the window
// of the objective.
type Status struct {
	Objective  structs.Objective `json:"objective"`
	Good       int64             `json:"good"`
	Bad        int64             `json:"bad"`
	BudgetLeft float64           `json:"budget_left"` // fraction of the error budget that is left, negative when overspent
	Burn       Rates             `json:"burn"`
	State      State             `json:"state"`
}

// Point is one hour of a plotted series.
type Point struct {
	At        time.Time `json:"at"`
	Good      int64     `json:"good"`
	Bad       int64     `json:"bad"`
	BurnRate  float64   `json:"burn_rate"`
	P99MS     int64     `json:"p99_ms"`    // 99th percentile of request latencies
	Tasks     int64     `json:"tasks"`     // finished batch tasks
	Evictions int64     `json:"evictions"` // evicted batch tasks
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
	Status    Status         `json:"status"` // counts jobs by whether they met their deadline
	Tasks     int64          `json:"tasks"`
	Evictions int64          `json:"evictions"`
	Series    []Point        `json:"series"`
}

// DomainReport counts the work that was completed while a failure domain was
// out of service.
type DomainReport struct {
	Domain   structs.FailureDomainID `json:"domain"`
	Tasks    int64                   `json:"tasks"`
	Requests int64                   `json:"requests"`
}

// Report is the service-level burn report of all teams.
type Report struct {
	At             time.Time       `json:"at"`
	ConfigRevision int64           `json:"config_revision"`
	Requests       []RequestReport `json:"requests"`
	Batch          []BatchReport   `json:"batch"`
	Domains        []DomainReport  `json:"domains"`
}

// Load reads a consistent snapshot of the counters from the table and returns
// the report on the objectives of the configuration. It returns errors of the
// table and *CorruptError.
func Load(ctx context.Context, table substrate.Table, config *structs.Config) (*Report, error) {
	rows, _, err := table.Changes(ctx, rowPrefix, 0)
	if err != nil {
		return nil, fmt.Errorf("read burn counters: %w", err)
	}
	buckets, err := decodeRows(rows)
	if err != nil {
		return nil, err
	}
	return buildReport(buckets, config, time.Now().UTC()), nil
}

// history holds all counts and sums them over any window that ends now.
type history struct {
	buckets []bucket
	now     time.Time
}

// visitSince calls visit for each bucket that overlaps the window that ends
// now.
func (h *history) visitSince(window time.Duration, visit func(c *counts)) {
	from := h.now.Add(-window)
	for _, b := range h.buckets {
		if b.end().After(from) {
			visit(b.counts)
		}
	}
}

// countEvents sums the good and bad events of the window that ends now.
func (h *history) countEvents(window time.Duration, counter eventCounter) (good, bad int64) {
	h.visitSince(window, func(c *counts) {
		g, b := counter(c)
		good, bad = good+g, bad+b
	})
	return good, bad
}

// hourly sums the buckets of each hour of a plotted series, oldest first.
func (h *history) hourly() []bucket {
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

// buildReport computes the report on the objectives of the configuration.
func buildReport(buckets []bucket, config *structs.Config, now time.Time) *Report {
	h := &history{buckets: buckets, now: now}
	report := &Report{At: now, ConfigRevision: config.Revision, Requests: []RequestReport{}, Batch: []BatchReport{}, Domains: []DomainReport{}}
	hours := h.hourly()
	for _, team := range config.Teams {
		for _, kind := range team.Requests {
			report.Requests = append(report.Requests, h.requestReport(team.ID, kind, hours))
		}
		for _, class := range team.Batch {
			report.Batch = append(report.Batch, h.batchReport(team.ID, class, hours))
		}
	}
	report.Domains = h.domainReports()
	return report
}

// domainReports sums the work that was completed while each failure domain was
// out of service.
func (h *history) domainReports() []DomainReport {
	sums := map[structs.FailureDomainID]DomainReport{}
	h.visitSince(dayRetention, func(c *counts) {
		for domain, d := range c.Domains {
			sum := sums[domain]
			sums[domain] = DomainReport{Domain: domain, Tasks: sum.Tasks + d.Tasks, Requests: sum.Requests + d.Requests}
		}
	})
	list := slices.AppendSeq([]DomainReport{}, maps.Values(sums))
	slices.SortFunc(list, func(a, b DomainReport) int { return strings.Compare(string(a.Domain), string(b.Domain)) })
	return list
}

// eventCounter returns the good and bad events of an objective from the counts
// of one bucket.
type eventCounter func(c *counts) (good, bad int64)

func (h *history) requestReport(team structs.TeamID, kind structs.RequestKind, hours []bucket) RequestReport {
	name := countsKey(team, kind.Name)
	counter := func(c *counts) (good, bad int64) {
		if r := c.Requests[name]; r != nil {
			return r.Good, r.Bad
		}
		return 0, 0
	}
	report := RequestReport{
		Team: team, Kind: kind.Name, Urgency: kind.Urgency,
		Status: h.objectiveStatus(kind.Objective, counter), Outcomes: map[string]int64{},
	}
	h.visitSince(objectiveWindow(kind.Objective), func(c *counts) {
		if r := c.Requests[name]; r != nil {
			for outcome, n := range r.Outcomes {
				report.Outcomes[outcome] += n
			}
		}
	})
	lastHour := &requestCounts{}
	h.visitSince(time.Hour, func(c *counts) {
		if r := c.Requests[name]; r != nil {
			lastHour.add(r)
		}
	})
	report.P50MS, report.P99MS = lastHour.percentile(percentileMedian), lastHour.percentile(percentileTail)
	for _, hour := range hours {
		p := newPoint(hour, kind.Objective, counter)
		if r := hour.counts.Requests[name]; r != nil {
			p.P99MS = r.percentile(percentileTail)
		}
		report.Series = append(report.Series, p)
	}
	return report
}

func (h *history) batchReport(team structs.TeamID, class structs.BatchConfig, hours []bucket) BatchReport {
	name := countsKey(team, class.Class)
	counter := func(c *counts) (good, bad int64) {
		if b := c.Batch[name]; b != nil {
			return b.OnTime, b.Late
		}
		return 0, 0
	}
	report := BatchReport{Team: team, Class: class.Class, Status: h.objectiveStatus(class.Objective, counter)}
	h.visitSince(objectiveWindow(class.Objective), func(c *counts) {
		if b := c.Batch[name]; b != nil {
			report.Tasks += b.Tasks
			report.Evictions += b.Evictions
		}
	})
	for _, hour := range hours {
		p := newPoint(hour, class.Objective, counter)
		if b := hour.counts.Batch[name]; b != nil {
			p.Tasks, p.Evictions = b.Tasks, b.Evictions
		}
		report.Series = append(report.Series, p)
	}
	return report
}

func objectiveWindow(o structs.Objective) time.Duration { return time.Duration(o.WindowH) * time.Hour }

func newPoint(hour bucket, o structs.Objective, counter eventCounter) Point {
	good, bad := counter(hour.counts)
	return Point{At: hour.start, Good: good, Bad: bad, BurnRate: burnRate(o, good, bad)}
}

func (h *history) objectiveStatus(o structs.Objective, counter eventCounter) Status {
	s := Status{Objective: o}
	s.Good, s.Bad = h.countEvents(objectiveWindow(o), counter)
	s.BudgetLeft = 1 - burnRate(o, s.Good, s.Bad)
	burnOver := func(d time.Duration) float64 {
		good, bad := h.countEvents(d, counter)
		return burnRate(o, good, bad)
	}
	s.Burn = Rates{Minutes5: burnOver(Window), Hour1: burnOver(time.Hour), Hours6: burnOver(6 * time.Hour), Days3: burnOver(3 * day)}
	s.State = classifyState(s)
	return s
}

func classifyState(s Status) State {
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

// burnRate returns the fraction of bad events, divided by the fraction that the
// objective allows.
func burnRate(o structs.Objective, good, bad int64) float64 {
	allowed := 1 - o.Ratio
	if good+bad == 0 || allowed <= 0 {
		return 0
	}
	return float64(bad) / float64(good+bad) / allowed
}

// percentile returns a percentile of the latencies in milliseconds, or 0
// without latencies.
func (r *requestCounts) percentile(p float64) int64 {
	if r.Latencies == nil {
		return 0
	}
	return r.Latencies.histogram.ValueAtPercentile(p)
}
