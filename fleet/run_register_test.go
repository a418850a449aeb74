package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// Guards against a run that counts as settled while a call to start it may still reach the
// next incarnation of the runner.
func TestRunIsSettledOnceAllCallsToStartItAreAnswered(t *testing.T) {
	run := structs.RunID{Task: structs.StepTaskID{Job: "web"}, Number: 1}
	list := func(h *host, active ...substrate.ActiveRun) { h.recordList("i", active, nil) }
	start := func(h *host, incarnation string, areAnswered bool) {
		h.recordStartEnd(h.recordStart(1, incarnation, run), areAnswered)
	}
	cases := map[string]struct {
		record func(h *host, now *bootclock.Time)
		want   bool
	}{
		"answered":              {func(h *host, _ *bootclock.Time) { start(h, "i", true) }, true},
		"in progress":           {func(h *host, _ *bootclock.Time) { h.recordStart(1, "i", run) }, false},
		"unanswered":            {func(h *host, _ *bootclock.Time) { start(h, "i", false) }, false},
		"not started here":      {func(h *host, _ *bootclock.Time) { list(h, substrate.ActiveRun{Run: run}) }, false},
		"other incarnation":     {func(h *host, _ *bootclock.Time) { start(h, "j", true) }, false},
		"repeated, in progress": {func(h *host, _ *bootclock.Time) { start(h, "i", true); h.recordStart(1, "i", run) }, false},
		"unanswered, then answered": {func(h *host, _ *bootclock.Time) {
			start(h, "i", false)
			start(h, "i", true)
		}, false},
		"unanswered, not listed for a while": {func(h *host, now *bootclock.Time) {
			start(h, "i", false)
			*now = now.Add(time.Second)
			list(h)
			start(h, "i", true)
		}, false},
		"perhaps also started by an earlier process": {func(h *host, now *bootclock.Time) {
			h.called.since = *now
			start(h, "i", true)
		}, false},
		"one start ends after the incarnation was disputed": {func(h *host, _ *bootclock.Time) {
			first := h.recordStart(1, "i", run)
			h.info.Incarnation = "j"
			list(h)
			h.recordStart(1, "j", run)
			h.info.Incarnation = "i"
			h.recordStart(1, "i", run)
			h.recordStartEnd(first, true)
		}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := bootclock.Time(time.Hour)
			h := newHost(Options{Clock: func() bootclock.Time { return now }, Timing: Timing{}.withDefaults()}, nil)
			h.info.Incarnation, h.called.since = "i", now.Add(-h.o.Timing.Lease)
			c.record(h, &now)
			list(h, substrate.ActiveRun{Run: run})
			is.New(t).Equal(h.isSettled("i", run), c.want)
		})
	}
}

// Guards against a start by an order of an earlier leader, which the new leader on this host does
// not count as one that may be under way.
func TestOrderOfAnEarlierLeaderStartsNothing(t *testing.T) {
	is := is.New(t)
	h := newHost(Options{Clock: func() bootclock.Time { return bootclock.Time(time.Hour) }, Timing: Timing{}.withDefaults()}, nil)
	is.True(h.admitEpoch(2))
	is.True(h.recordStart(1, "i", structs.RunID{}) == nil)
	is.True(h.recordStart(2, "i", structs.RunID{}) != nil)
}
