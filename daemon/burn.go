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

// Times of the looks at the failure domains.
const (
	awayPoll    = 10 * time.Second
	awayTimeout = 2 * time.Second
)

// burnCounts counts what a daemon did for the service-level burn report.
type burnCounts struct {
	recorder *burn.Recorder
	table    substrate.Table
	domains  *cell.Domains
	config   func() *structs.Config
	active   func() bool // whether this daemon counts now
	flusher  *burn.Flusher

	mu   sync.Mutex
	away []structs.FailureDomainID
}

func newBurnCounts(table substrate.Table, timeout time.Duration, daemon string, config func() *structs.Config, active func() bool) *burnCounts {
	recorder := burn.NewRecorder()
	return &burnCounts{
		recorder: recorder,
		table:    table,
		domains:  cell.NewDomains(table, timeout),
		config:   config,
		active:   active,
		flusher:  burn.NewFlusher(recorder, table, daemon),
	}
}

// watchAway looks at intervals which failure domains are out, until ctx ends.
func (b *burnCounts) watchAway(ctx context.Context) error {
	ticker := time.NewTicker(awayPoll)
	defer ticker.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-ticker.C:
			if b.active() {
				b.lookForAway(ctx)
			}
		}
	}
}

// lookForAway notes which failure domains are out.
func (b *burnCounts) lookForAway(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, awayTimeout)
	defer cancel()
	rows, err := b.domains.List(ctx)
	if err != nil {
		return // the last known state holds
	}
	var away []structs.FailureDomainID
	for _, row := range rows {
		if row.State == structs.DomainOut {
			away = append(away, row.ID)
		}
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.away = away
}

func (b *burnCounts) awayNow() []structs.FailureDomainID {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.away
}

// Request implements entryapi.Observer.
func (b *burnCounts) Request(team structs.TeamID, kind, outcome string, took time.Duration) {
	// What the caller itself broke off or got wrong burns no budget.
	if outcome == entryapi.OutcomeInvalid || outcome == entryapi.OutcomeCanceled {
		return
	}
	b.recorder.RecordRequest(burn.Request{
		Team:    team,
		Kind:    kind,
		Good:    outcome == entryapi.OutcomeAnswered && took <= b.threshold(team, kind),
		Latency: took,
		Outcome: outcome,
		Away:    b.awayNow(),
	})
}

// threshold is the latency of a good answer.
func (b *burnCounts) threshold(team structs.TeamID, kind string) time.Duration {
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
func (b *burnCounts) AttemptEnded(job *structs.Job, cause structs.EndCause) {
	switch {
	case cause == structs.EndEvicted:
		b.recorder.RecordEviction(job.Team, job.Class)
	case cause == structs.EndFinished && job.Kind == structs.WorkBatch:
		b.recorder.RecordTask(burn.Task{Team: job.Team, Class: job.Class, Away: b.awayNow()})
	}
}

// JobSettled implements cell.Observer.
func (b *burnCounts) JobSettled(job *structs.Job, onTime bool) {
	b.recorder.RecordJob(burn.Job{Team: job.Team, Class: job.Class, OnTime: onTime})
}

// Render implements entryapi.BurnReports. The counts of this daemon are
// written first.
func (b *burnCounts) Render(ctx context.Context, format string) ([]byte, string, error) {
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
