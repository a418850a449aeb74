package fleet

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/structs"
)

// violation is a period in which every reading of a service was over its
// latency target.
type violation struct {
	since           bootclock.Time // first reading over the target
	readAt          bootclock.Time // last reading over the target
	longestInterval time.Duration  // longest time between two readings
	worstRatio      float64        // highest latency as a ratio to the target
	besideWork      time.Duration  // time for which some filling task of the host had no confirmed pace of 0
	fillStarts      int            // filling tasks that were started on the host
	unansweredCalls int            // changes of pace with an unknown outcome
	fencingToken    int64          // session in which the violation began
	logged          bool
}

// fillState summarises the filling tasks of a host at one reading.
type fillState struct {
	running       int
	working       int // running without a confirmed pace of 0
	suspects      int
	fencingToken  int64 // session of the reading
	suspectsLimit int32 // decided pace of the suspects, in percent
	othersLimit   int32 // decided pace of the other filling tasks, in percent
}

// add counts a filling task.
func (f *fillState) add(run *pacedRun) {
	f.running++
	if run.appliedPercent != 0 {
		f.working++
	}
	if run.suspect {
		f.suspects++
	}
}

// violations tracks the violations of the services of one host, across
// sessions with leaders. It logs those that last for longer than half of
// Timing.ViolationLimit, with what is needed to tell their causes apart.
type violations struct {
	o       Options
	metrics *metrics
	open    map[structs.RunID]*violation
}

func newViolations(o Options, m *metrics) *violations {
	return &violations{o: o, metrics: m, open: map[structs.RunID]*violation{}}
}

// observe processes one reading of every service of the host. ratios holds the
// tail latency of each service as a ratio to its target.
func (v *violations) observe(ratios map[structs.RunID]float64, fills fillState, now bootclock.Time) {
	for run, ratio := range ratios {
		if ratio > 1 {
			v.extend(run, ratio, fills, now)
		}
	}
	for run, open := range v.open {
		if open.readAt != now {
			v.end(run, open, fills, now)
		}
	}
}

func (v *violations) extend(run structs.RunID, ratio float64, fills fillState, now bootclock.Time) {
	open := v.open[run]
	if open == nil {
		open = &violation{since: now, readAt: now, fencingToken: fills.fencingToken}
		v.open[run] = open
	}
	interval := now.Sub(open.readAt)
	open.longestInterval = max(open.longestInterval, interval)
	if fills.working > 0 {
		open.besideWork += interval
	}
	open.readAt = now
	open.worstRatio = max(open.worstRatio, ratio)
	if !open.logged && now.Sub(open.since) >= v.o.Timing.ViolationLimit/2 {
		open.logged = true
		v.log("service over its target", run, open, fills, now)
	}
}

func (v *violations) end(run structs.RunID, open *violation, fills fillState, now bootclock.Time) {
	delete(v.open, run)
	v.metrics.violations.Record(context.Background(), now.Sub(open.since).Seconds())
	if open.logged {
		v.log("service within its target", run, open, fills, now)
	}
}

func (v *violations) log(message string, run structs.RunID, open *violation, fills fillState, now bootclock.Time) {
	v.o.Log.Info(message, zap.Stringer("run", run), zap.Duration("for", now.Sub(open.since)), zap.Float64("worst_ratio", open.worstRatio),
		zap.Duration("beside_work", open.besideWork), zap.Duration("longest_interval", open.longestInterval),
		zap.Int("fill_starts", open.fillStarts), zap.Int("unanswered_calls", open.unansweredCalls),
		zap.Bool("same_session", open.fencingToken == fills.fencingToken),
		zap.Int("filling", fills.running), zap.Int("working", fills.working), zap.Int("suspects", fills.suspects),
		zap.Int32("suspects_percent", fills.suspectsLimit), zap.Int32("others_percent", fills.othersLimit))
}

// countFillStart counts the start of a filling task in the open violations.
func (v *violations) countFillStart() {
	for _, open := range v.open {
		open.fillStarts++
	}
}

// countUnansweredCall counts a change of pace with an unknown outcome in the
// open violations.
func (v *violations) countUnansweredCall() {
	for _, open := range v.open {
		open.unansweredCalls++
	}
}
