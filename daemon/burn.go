package daemon

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/daisywall/daisywall/burn"
	"github.com/daisywall/daisywall/cell"
	"github.com/daisywall/daisywall/entryapi"
	"github.com/daisywall/daisywall/platform"
	"github.com/daisywall/daisywall/structs"
)

// Times of the service-level counters.
const (
	burnFlush      = 10 * time.Second // between writes of the counts
	burnFinalFlush = 2 * time.Second
	awayPoll       = 10 * time.Second
	awayTimeout    = 2 * time.Second
)

// burnCounts counts what a daemon did for the service-level burn report.
type burnCounts struct {
	recorder *burn.Recorder
	table    platform.Table
	domains  *cell.Domains
	config   func() *structs.Config
	active   func() bool // whether this daemon counts now
	log      *zap.Logger

	mu      sync.Mutex // guards flusher
	flusher *burn.Flusher

	awayMu sync.Mutex
	away   []structs.FailureDomainID
}

func newBurnCounts(table platform.Table, timeout time.Duration, daemon string, config func() *structs.Config, active func() bool, log *zap.Logger) *burnCounts {
	recorder := burn.NewRecorder()
	return &burnCounts{
		recorder: recorder,
		table:    table,
		domains:  cell.NewDomains(table, timeout),
		config:   config,
		active:   active,
		log:      log,
		flusher:  burn.NewFlusher(recorder, table, daemon),
	}
}

// run writes the counts at intervals until ctx ends, and once more then.
func (b *burnCounts) run(ctx context.Context) error {
	flush := time.NewTicker(burnFlush)
	defer flush.Stop()
	look := time.NewTicker(awayPoll)
	defer look.Stop()
	for {
		select {
		case <-ctx.Done():
			last, cancel := context.WithTimeout(context.WithoutCancel(ctx), burnFinalFlush)
			defer cancel()
			b.flush(last)
			return nil
		case <-flush.C:
			b.flush(ctx)
		case <-look.C:
			if b.active() {
				b.lookForAway(ctx)
			}
		}
	}
}

func (b *burnCounts) flush(ctx context.Context) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.flusher.Flush(ctx)
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
	b.awayMu.Lock()
	defer b.awayMu.Unlock()
	b.away = away
}

func (b *burnCounts) awayNow() []structs.FailureDomainID {
	b.awayMu.Lock()
	defer b.awayMu.Unlock()
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
	b.flush(ctx)
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
