package fleet

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/placement/steps"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// paceInterval is the time between two decisions: the runner's readings cover
// the last half second.
const paceInterval = 500 * time.Millisecond

// pacer slows filling tasks down while a service on the host is near or over
// its latency target. All filling tasks of the host get the same pace.
type pacer struct {
	a       *attendance
	runs    map[structs.TaskRun]*paced
	percent int32
	decided bootclock.Time
}

// paced is what the pacer knows of a run.
type paced struct {
	fills    bool
	targetMS int64
	percent  int32 // that the runner has been told
	calling  bool
}

func newPacer(a *attendance) *pacer {
	return &pacer{a: a, runs: map[structs.TaskRun]*paced{}, percent: 100}
}

// know takes in what a run is. It is taken to run at full speed.
func (p *pacer) know(r structs.TaskRun, fills bool, targetMS int64) {
	p.runs[r] = &paced{fills: fills, targetMS: targetMS, percent: 100}
}

// allowed returns the percentage at which the run may work.
func (p *pacer) allowed(r structs.TaskRun) int32 {
	if known, found := p.runs[r]; found {
		return known.percent
	}
	return 100
}

// step decides after a reading of the runner and tells it what changes.
func (p *pacer) step(ctx context.Context, active []substrate.ActiveRun, now bootclock.Time) {
	listed := make(map[structs.TaskRun]bool, len(active))
	strain, fills := 0.0, 0
	for _, r := range active {
		listed[r.Run] = true
		known := p.runs[r.Run]
		if known == nil {
			continue
		}
		if known.fills {
			fills++
		}
		if known.targetMS > 0 {
			strain = max(strain, float64(r.Figure)/float64(known.targetMS))
		}
	}
	for r := range p.runs {
		if !listed[r] && p.a.starting[r] == nil {
			delete(p.runs, r)
		}
	}
	if now.Sub(p.decided) >= paceInterval {
		p.decided = now
		p.decide(strain, fills)
	}
	for r, known := range p.runs {
		if known.fills && listed[r] && known.percent != p.percent && !known.calling {
			p.tell(ctx, r, known)
		}
	}
}

func (p *pacer) decide(strain float64, fills int) {
	next := steps.NextPace(p.percent, strain)
	if next != p.percent && fills > 0 {
		p.a.log.Info("pace", zap.Int32("from", p.percent), zap.Int32("to", next), zap.Float64("strain", strain), zap.Int("filling", fills))
	}
	p.percent = next
}

func (p *pacer) tell(ctx context.Context, r structs.TaskRun, known *paced) {
	known.calling = true
	percent := p.percent
	go func() {
		err := p.a.callRunner(ctx, p.a.h.o.Timing.RunnerRTT*2, func(call context.Context) error {
			return p.a.runner.Pace(call, p.a.fence, r, int(percent))
		})
		if err != nil {
			p.a.log.Warn("pace not set", zap.Stringer("run", r), zap.Int32("percent", percent), zap.Error(err))
		}
		p.a.later(ctx, func() {
			known.calling = false
			if err == nil {
				known.percent = percent
			}
		})
	}()
}
