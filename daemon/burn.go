package daemon

import (
	"context"
	"sync"
	"time"

	"github.com/daisywall/daisywall/burn"
	"github.com/daisywall/daisywall/cell"
	"github.com/daisywall/daisywall/entryapi"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// Interval and timeout for reading which failure domains are out of service.
const (
	domainPollInterval = 10 * time.Second
	domainReadTimeout  = 2 * time.Second
)

// burnReporter records the events of one daemon for the service-level burn
// report, and renders the report. The mutex guards outDomains.
type burnReporter struct {
	recorder    *burn.Recorder
	table       substrate.Table
	domains     *cell.Domains
	config      func() *structs.Config
	isRecording func() bool // reports whether this daemon records events at present (an agent does only while it leads)
	flusher     *burn.Flusher

	mu         sync.Mutex
	outDomains []structs.FailureDomainID
}

func newBurnReporter(table substrate.Table, timeout time.Duration, daemon string, config func() *structs.Config, isRecording func() bool) *burnReporter {
	recorder := burn.NewRecorder()
	return &burnReporter{
		recorder:    recorder,
		table:       table,
		domains:     cell.NewDomains(table, timeout),
		config:      config,
		isRecording: isRecording,
		flusher:     burn.NewFlusher(recorder, table, daemon),
	}
}

// pollOutDomains reads periodically which failure domains are out of service,
// until ctx ends.
func (b *burnReporter) pollOutDomains(ctx context.Context) error {
	ticker := time.NewTicker(domainPollInterval)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			if b.isRecording() {
				b.readOutDomains(ctx)
			}
		}
	}
}

// readOutDomains reads which failure domains are out.
func (b *burnReporter) readOutDomains(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, domainReadTimeout)
	defer cancel()
	rows, err := b.domains.List(ctx)
	if err != nil {
		return // keep the domains of the last successful read
	}
	var out []structs.FailureDomainID
	for _, row := range rows {
		if row.State == structs.DomainOut {
			out = append(out, row.ID)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.outDomains = out
}

func (b *burnReporter) currentOutDomains() []structs.FailureDomainID {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.outDomains
}

// RequestEnded implements entryapi.Observer.
func (b *burnReporter) RequestEnded(team structs.TeamID, kind, outcome string, latency time.Duration) {
	// Requests that the caller canceled or sent in an invalid form do not count
	// against the error budget.
	if outcome == entryapi.OutcomeInvalid || outcome == entryapi.OutcomeCanceled {
		return
	}
	b.recorder.RecordRequest(burn.Request{
		Team:       team,
		Kind:       kind,
		Good:       outcome == entryapi.OutcomeAnswered && latency <= b.latencyObjective(team, kind),
		Latency:    latency,
		Outcome:    outcome,
		OutDomains: b.currentOutDomains(),
	})
}

// latencyObjective returns the longest latency with which a request counts as
// good, or 0 if the kind of request is not configured.
func (b *burnReporter) latencyObjective(team structs.TeamID, kind string) time.Duration {
	teamConfig, err := b.config().Team(team)
	if err != nil {
		return 0
	}
	request, err := teamConfig.Request(kind)
	if err != nil {
		return 0
	}
	return time.Duration(request.Objective.LatencyMS) * time.Millisecond
}

// AttemptEnded implements cell.Observer.
func (b *burnReporter) AttemptEnded(job *structs.Job, cause structs.EndCause) {
	switch {
	case cause == structs.EndEvicted:
		b.recorder.RecordEviction(job.Team, job.Class)
	case cause == structs.EndFinished && job.Kind == structs.WorkBatch:
		b.recorder.RecordTask(burn.Task{Team: job.Team, Class: job.Class, OutDomains: b.currentOutDomains()})
	}
}

// JobOutcomeKnown implements cell.Observer.
func (b *burnReporter) JobOutcomeKnown(job *structs.Job, onTime bool) {
	b.recorder.RecordJob(burn.Job{Team: job.Team, Class: job.Class, OnTime: onTime})
}

// Render implements entryapi.BurnReports. It writes the unflushed counts of
// this daemon to the table before it loads the report.
func (b *burnReporter) Render(ctx context.Context, format string) ([]byte, string, error) {
	b.flusher.Flush(ctx)
	report, err := burn.Load(ctx, b.table, b.config())
	if err != nil {
		return nil, "", err
	}
	switch format {
	case "text":
		return []byte(report.Text()), "text/plain; charset=utf-8", nil
	case "json":
		body, err := report.JSON()
		return body, "application/json", err
	case "html":
		body, err := report.HTML()
		return body, "text/html; charset=utf-8", err
	}
	return nil, "", &structs.InvalidError{Subject: "query", Faults: []structs.Fault{{Path: "format", Value: format, Rule: "must be text, json or html"}}}
}
