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
// its latency target. It does so without the leader, which only names the tasks
// that it takes to disturb.
type pacer struct {
	a       *attendance
	runs    map[structs.TaskRun]*paced
	pace    steps.Pace
	decided bootclock.Time
}

// paced is what the pacer knows of a run.
type paced struct {
	fills    bool
	suspect  bool
	targetMS int64
	percent  int32 // that the runner has been told
	calling  bool
}

func newPacer(a *attendance) *pacer {
	return &pacer{a: a, runs: map[structs.TaskRun]*paced{}, pace: steps.FullPace()}
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
	strain, fills, suspects := 0.0, 0, 0
	for _, r := range active {
		listed[r.Run] = true
		known := p.runs[r.Run]
		if known == nil {
			continue
		}
		if known.fills {
			fills++
			if known.suspect {
				suspects++
			}
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
		p.decide(strain, fills, suspects)
	}
	p.apply(ctx, listed)
}

// suspected names the runs that are taken to disturb a service of the host.
func (p *pacer) suspected(runs []structs.TaskRun) {
	for _, known := range p.runs {
		known.suspect = false
	}
	for _, r := range runs {
		if known := p.runs[r]; known != nil {
			known.suspect = true
		}
	}
}

// apply tells the runner the pace of the runs for which it has changed.
func (p *pacer) apply(ctx context.Context, listed map[structs.TaskRun]bool) {
	for r, known := range p.runs {
		if known.fills && listed[r] && !known.calling && known.percent != p.want(known) {
			p.tell(ctx, r, known)
		}
	}
}

func (p *pacer) want(known *paced) int32 {
	if known.suspect {
		return p.pace.Suspects
	}
	return p.pace.Others
}

func (p *pacer) decide(strain float64, fills, suspects int) {
	next := p.pace.Next(strain, suspects > 0)
	if next != p.pace && fills > 0 {
		p.a.log.Info("pace", zap.Float64("strain", strain), zap.Int("filling", fills), zap.Int("suspects", suspects),
			zap.Int32("suspects_percent", next.Suspects), zap.Int32("others_percent", next.Others))
	}
	p.pace = next
}

func (p *pacer) tell(ctx context.Context, r structs.TaskRun, known *paced) {
	known.calling = true
	percent := p.want(known)
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
