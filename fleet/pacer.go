package fleet

import (
	"context"
	"errors"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/placement/steps"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// latencyWindow is the period that one reading of a runner covers.
const latencyWindow = 500 * time.Millisecond

// maxPaceCalls limits the changes of pace in flight. They have a limit of their
// own, so that they don't wait for starts that get no answer.
const maxPaceCalls = 6

// unknownPercent is the applied pace of a run whose pace is not known.
const unknownPercent = -1

// pacer throttles filling tasks while the latency of a service on the host is
// near or above its target. It belongs to one incarnation of the runner and
// lasts across sessions with leaders. It works without a leader, which only
// reports the tasks that probably interfere with the services.
type pacer struct {
	o           Options
	metrics     *metrics
	incarnation string
	callSlots   chan struct{}

	mu           sync.Mutex
	log          *zap.Logger
	runner       substrate.Runner
	fencingToken int64
	runs         map[structs.RunID]*pacedRun
	pace         steps.Pace
	readAt       bootclock.Time // last reading, 0 before the first
	violations   *violations
}

// pacedRun is the pacer's state of a run.
type pacedRun struct {
	fills          bool
	suspect        bool
	unproven       bool
	active         bool  // the runner has started or listed the run
	targetMS       int64 // latency target in milliseconds, 0 for none
	appliedPercent int32 // pace that the runner has confirmed, or unknownPercent
	callInFlight   bool
	// mayChange is set after a call without an answer. The runner may still
	// execute that call, even after newer ones.
	mayChange bool
	repeats   int // calls repeated without an answer since the last reading
}

func newPacer(o Options, m *metrics, incarnation string) *pacer {
	return &pacer{
		o: o, metrics: m, incarnation: incarnation, callSlots: make(chan struct{}, maxPaceCalls),
		log: o.Log, runs: map[structs.RunID]*pacedRun{}, pace: steps.FullPace(), violations: newViolations(o, m),
	}
}

// attach makes the pacer use the runner's client and the fencing token of a
// new session.
func (p *pacer) attach(log *zap.Logger, runner substrate.Runner, fencingToken int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.log, p.runner, p.fencingToken = log, runner, fencingToken
}

// addKnownRun adds a run that was assigned before the session, unless the pacer
// has it already. The pace of such a run is not known.
func (p *pacer) addKnownRun(r structs.RunID, fills bool, targetMS int64) {
	p.addRun(r, fills, targetMS, unknownPercent)
}

// addStart adds a run that is about to start. Runs start at full pace.
func (p *pacer) addStart(r structs.RunID, fills bool, targetMS int64) {
	p.addRun(r, fills, targetMS, 100)
}

func (p *pacer) addRun(r structs.RunID, fills bool, targetMS int64, appliedPercent int32) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.runs[r] == nil {
		p.runs[r] = &pacedRun{fills: fills, targetMS: targetMS, appliedPercent: appliedPercent}
	}
}

// setStarted records that the runner has started the run, and throttles the
// run if the other filling tasks are throttled.
func (p *pacer) setStarted(ctx context.Context, r structs.RunID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	run := p.runs[r]
	if run == nil {
		return
	}
	run.active = true
	if run.fills {
		p.violations.countFillStart()
	}
	p.applyLocked(ctx, r, run)
}

// appliedPace returns the percentage to which the run is limited, 100 if it is
// not known.
func (p *pacer) appliedPace(r structs.RunID) int32 {
	p.mu.Lock()
	defer p.mu.Unlock()
	if run, found := p.runs[r]; found && run.appliedPercent != unknownPercent {
		return run.appliedPercent
	}
	return 100
}

// setEstimates replaces the sets of runs that probably interfere with a service
// on the host, and of those of which it is not known.
func (p *pacer) setEstimates(suspects, unproven []structs.RunID) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for _, run := range p.runs {
		run.suspect, run.unproven = false, false
	}
	for _, r := range suspects {
		if run := p.runs[r]; run != nil {
			run.suspect = true
		}
	}
	for _, r := range unproven {
		if run := p.runs[r]; run != nil {
			run.unproven = true
		}
	}
}

// forgetRuns removes the runs that are neither listed nor about to start.
func (p *pacer) forgetRuns(active []substrate.ActiveRun, starting map[structs.RunID]*startOp) {
	p.mu.Lock()
	defer p.mu.Unlock()
	listed := make(map[structs.RunID]bool, len(active))
	for _, r := range active {
		listed[r.Run] = true
	}
	for r := range p.runs {
		if !listed[r] && starting[r] == nil {
			delete(p.runs, r)
		}
	}
}

// update decides on a new pace after a reading of the runner, and sends the
// changes to the runner.
func (p *pacer) update(ctx context.Context, active []substrate.ActiveRun, now bootclock.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	ratios := map[structs.RunID]float64{}
	reading := steps.LatencyReading{}
	fills := fillState{fencingToken: p.fencingToken, suspectsLimit: p.pace.Suspects, othersLimit: p.pace.Others}
	for _, r := range active {
		run := p.runs[r.Run]
		if run == nil {
			continue
		}
		run.active = true
		if run.fills {
			fills.add(run)
			reading.SuspectWorking = reading.SuspectWorking || run.suspect && run.appliedPercent != 0
			reading.UnprovenWorking = reading.UnprovenWorking || run.unproven && run.appliedPercent != 0
		}
		if run.targetMS > 0 {
			ratios[r.Run] = float64(r.Reading) / float64(run.targetMS)
			reading.LatencyRatio = max(reading.LatencyRatio, ratios[r.Run])
		}
	}
	if p.readAt > 0 {
		reading.Elapsed = now.Sub(p.readAt)
		p.metrics.readingInterval.Record(ctx, reading.Elapsed.Seconds())
	}
	p.readAt = now
	p.decideLocked(reading, fills)
	p.violations.observe(ratios, fills, now)
	for r, run := range p.runs {
		run.repeats = 0
		p.applyLocked(ctx, r, run)
	}
}

// readIfDue reads the latencies of the services if the last reading is older
// than twice the interval of a session's readings. It leaves the lease and the
// records of ends unchanged.
func (p *pacer) readIfDue(ctx context.Context) {
	p.mu.Lock()
	runner, token, due := p.runner, p.fencingToken, p.readAt > 0 && p.o.Clock().Sub(p.readAt) >= 2*p.o.Timing.ReportInterval
	p.mu.Unlock()
	if !due {
		return
	}
	call, cancel := context.WithTimeout(ctx, 2*p.o.Timing.RunnerCallTimeout)
	defer cancel()
	state, err := runner.PollRuns(call, token, 0, 0, 0)
	if err != nil {
		return // the session reports failed polls
	}
	p.update(ctx, state.Active, p.o.Clock())
}

func (p *pacer) decideLocked(reading steps.LatencyReading, fills fillState) {
	t := p.o.Timing
	next := p.pace.Next(reading, steps.PaceTiming{ReadingWindow: latencyWindow, PaceDelay: t.PaceDelay, ViolationLimit: t.ViolationLimit})
	if (next.Suspects != p.pace.Suspects || next.Unproven != p.pace.Unproven || next.Others != p.pace.Others) && fills.running > 0 {
		p.log.Info("pace", zap.Float64("strain", reading.LatencyRatio), zap.Int("filling", fills.running), zap.Int("suspects", fills.suspects),
			zap.Int32("suspects_percent", next.Suspects), zap.Int32("unproven_percent", next.Unproven), zap.Int32("others_percent", next.Others))
	}
	p.pace = next
}

func (p *pacer) targetPercent(run *pacedRun) int32 {
	switch {
	case run.suspect:
		return p.pace.Suspects
	case run.unproven:
		return p.pace.Unproven
	default:
		return p.pace.Others
	}
}

// applyLocked sends the runner the pace of the run, if the run is active and
// may have another pace.
func (p *pacer) applyLocked(ctx context.Context, r structs.RunID, run *pacedRun) {
	percent := p.targetPercent(run)
	if !run.fills || !run.active || run.callInFlight || (run.appliedPercent == percent && !run.mayChange) {
		return
	}
	run.callInFlight = true
	runner, token, log := p.runner, p.fencingToken, p.log
	// The end of a session must not cancel the call, since its outcome would
	// then be unknown.
	ctx = context.WithoutCancel(ctx)
	go func() {
		p.callSlots <- struct{}{}
		call, cancel := context.WithTimeout(ctx, p.o.Timing.RunnerCallTimeout)
		err := runner.SetPace(call, token, r, int(percent))
		cancel()
		<-p.callSlots
		p.metrics.count(p.metrics.paceCalls, callOutcome(err))
		p.finishCall(ctx, r, run, percent, err, log)
	}()
}

// maxPaceRepeats limits the repetitions of a change of pace without an answer.
// The next reading repeats it again.
const maxPaceRepeats = 2

// finishCall records the result of a change of pace. It sends the pace again
// if there was no answer, or if the wanted pace has changed meanwhile.
func (p *pacer) finishCall(ctx context.Context, r structs.RunID, run *pacedRun, percent int32, err error, log *zap.Logger) {
	p.mu.Lock()
	defer p.mu.Unlock()
	run.callInFlight = false
	if err != nil && (!isUnknownOutcome(err) || !run.mayChange) {
		log.Warn("pace not set", zap.Stringer("run", r), zap.Int32("percent", percent), zap.Error(err))
	}
	switch {
	case isUnknownOutcome(err):
		run.mayChange = true
		p.violations.countUnansweredCall()
		if run.repeats >= maxPaceRepeats {
			return
		}
		run.repeats++
	case err != nil:
		return // the next reading repeats the call
	default:
		run.appliedPercent = percent
		if p.targetPercent(run) == percent {
			return
		}
	}
	if p.runs[r] == run {
		p.applyLocked(ctx, r, run)
	}
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
