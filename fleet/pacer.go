package fleet

import (
	"context"
	"errors"
	"time"

	"go.uber.org/zap"

	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/placement/steps"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// latencyWindow is the period that one reading of a runner covers.
const latencyWindow = 500 * time.Millisecond

// pacer throttles filling tasks while the latency of a service on the host is
// near or above its target. It works without the leader, which only reports the
// tasks that probably interfere with the services.
type pacer struct {
	session *agentSession
	runs    map[structs.RunID]*pacedRun
	pace    steps.Pace
	readAt  bootclock.Time // last reading, 0 before the first
}

// pacedRun is the pacer's state of a run.
type pacedRun struct {
	fills          bool
	suspect        bool
	targetMS       int64 // latency target in milliseconds, 0 for none
	appliedPercent int32 // pace that the runner has confirmed
	callInFlight   bool
}

func newPacer(session *agentSession) *pacer {
	return &pacer{session: session, runs: map[structs.RunID]*pacedRun{}, pace: steps.FullPace()}
}

// addRun adds a run with full pace.
func (p *pacer) addRun(r structs.RunID, fills bool, targetMS int64) {
	p.runs[r] = &pacedRun{fills: fills, targetMS: targetMS, appliedPercent: 100}
}

// appliedPace returns the percentage to which the run is limited.
func (p *pacer) appliedPace(r structs.RunID) int32 {
	if run, found := p.runs[r]; found {
		return run.appliedPercent
	}
	return 100
}

// update decides on a new pace after a reading of the runner, and sends the
// changes to the runner.
func (p *pacer) update(ctx context.Context, active []substrate.ActiveRun, now bootclock.Time) {
	listed := make(map[structs.RunID]bool, len(active))
	ratios := map[structs.RunID]float64{}
	reading := steps.LatencyReading{}
	fills := fillState{fencingToken: p.session.fencingToken, suspectsLimit: p.pace.Suspects, othersLimit: p.pace.Others}
	for _, r := range active {
		listed[r.Run] = true
		run := p.runs[r.Run]
		if run == nil {
			continue
		}
		if run.fills {
			fills.running++
			if run.suspect {
				fills.suspects++
			}
			if run.appliedPercent > 0 {
				fills.working++
				reading.SuspectWorking = reading.SuspectWorking || run.suspect
			}
		}
		if run.targetMS > 0 {
			ratios[r.Run] = float64(r.Reading) / float64(run.targetMS)
			reading.LatencyRatio = max(reading.LatencyRatio, ratios[r.Run])
		}
	}
	for r := range p.runs {
		if !listed[r] && p.session.starting[r] == nil {
			delete(p.runs, r)
		}
	}
	if p.readAt > 0 {
		reading.Elapsed = now.Sub(p.readAt)
	}
	p.readAt = now
	p.decide(reading, fills)
	p.session.host.violations.observe(ratios, fills, now)
	p.apply(ctx, listed)
}

// setSuspects replaces the set of runs that probably interfere with a service
// on the host.
func (p *pacer) setSuspects(runs []structs.RunID) {
	for _, run := range p.runs {
		run.suspect = false
	}
	for _, r := range runs {
		if run := p.runs[r]; run != nil {
			run.suspect = true
		}
	}
}

// apply sends the runner the pace of each run whose pace has changed.
func (p *pacer) apply(ctx context.Context, listed map[structs.RunID]bool) {
	for r, run := range p.runs {
		if run.fills && listed[r] && !run.callInFlight && run.appliedPercent != p.targetPercent(run) {
			p.sendPace(ctx, r, run)
		}
	}
}

func (p *pacer) targetPercent(run *pacedRun) int32 {
	if run.suspect {
		return p.pace.Suspects
	}
	return p.pace.Others
}

func (p *pacer) decide(reading steps.LatencyReading, fills fillState) {
	t := p.session.host.o.Timing
	next := p.pace.Next(reading, steps.PaceTiming{ReadingWindow: latencyWindow, PaceDelay: t.PaceDelay, ViolationLimit: t.ViolationLimit})
	if (next.Suspects != p.pace.Suspects || next.Others != p.pace.Others) && fills.running > 0 {
		p.session.log.Info("pace", zap.Float64("strain", reading.LatencyRatio), zap.Int("filling", fills.running), zap.Int("suspects", fills.suspects),
			zap.Int32("suspects_percent", next.Suspects), zap.Int32("others_percent", next.Others))
	}
	p.pace = next
}

func (p *pacer) sendPace(ctx context.Context, r structs.RunID, run *pacedRun) {
	run.callInFlight = true
	percent := p.targetPercent(run)
	go func() {
		err := p.session.callRunner(ctx, p.session.host.o.Timing.RunnerCallTimeout*2, func(call context.Context) error {
			return p.session.runner.SetPace(call, p.session.fencingToken, r, int(percent))
		})
		if err != nil {
			p.session.log.Warn("pace not set", zap.Stringer("run", r), zap.Int32("percent", percent), zap.Error(err))
		}
		p.session.host.metrics.count(p.session.host.metrics.paceCalls, callOutcome(err))
		p.session.runInLoop(ctx, func() {
			run.callInFlight = false
			if isUnknownOutcome(err) {
				p.session.host.violations.countUnansweredCall()
			}
			if err == nil {
				run.appliedPercent = percent
			}
		})
	}()
}

func isUnknownOutcome(err error) bool {
	var unknown *structs.UnknownOutcomeError
	return errors.As(err, &unknown)
}

// callOutcome returns the label of a call's result in the metrics.
func callOutcome(err error) string {
	switch {
	case err == nil:
		return "done"
	case isUnknownOutcome(err):
		return "unknown"
	default:
		return refusalLabel(err)
	}
}
