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
	cases := map[string]struct {
		record func(h *host, now *bootclock.Time)
		want   bool
	}{
		"answered":          {func(h *host, _ *bootclock.Time) { h.recordStart("i", run); h.recordStartEnd("i", run, true) }, true},
		"in progress":       {func(h *host, _ *bootclock.Time) { h.recordStart("i", run) }, false},
		"unanswered":        {func(h *host, _ *bootclock.Time) { h.recordStart("i", run); h.recordStartEnd("i", run, false) }, false},
		"not started here":  {func(h *host, _ *bootclock.Time) { list(h, substrate.ActiveRun{Run: run}) }, false},
		"other incarnation": {func(h *host, _ *bootclock.Time) { h.recordStart("j", run); h.recordStartEnd("j", run, true) }, false},
		"repeated, in progress": {func(h *host, _ *bootclock.Time) {
			h.recordStart("i", run)
			h.recordStartEnd("i", run, true)
			h.recordStart("i", run)
		}, false},
		"unanswered, then answered": {func(h *host, _ *bootclock.Time) {
			for _, answered := range []bool{false, true} {
				h.recordStart("i", run)
				h.recordStartEnd("i", run, answered)
			}
		}, false},
		"unanswered, not listed for a while": {func(h *host, now *bootclock.Time) {
			h.recordStart("i", run)
			h.recordStartEnd("i", run, false)
			*now = now.Add(time.Second)
			list(h)
			h.recordStart("i", run)
			h.recordStartEnd("i", run, true)
		}, false},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := bootclock.Time(time.Hour)
			h := newHost(Options{Clock: func() bootclock.Time { return now }, Timing: Timing{}.withDefaults()}, nil)
			h.info.Incarnation = "i"
			c.record(h, &now)
			list(h, substrate.ActiveRun{Run: run})
			is.New(t).Equal(h.isSettled("i", run), c.want)
		})
	}
}
