package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/api/fleetpb"
	"github.com/daisywall/daisywall/bootclock"
)

// Guards against a short wait for a runner that a call for an earlier incarnation may have
// reached, and against a long one where none was ever made under its ID.
func TestIncarnationIsSettledOnceNoCallForAnotherOneMatters(t *testing.T) {
	second := func(s int64) bootclock.Time { return bootclock.Time(time.Hour + time.Duration(s)*time.Second) }
	type step struct {
		at              int64
		id, incarnation string
		ageMs           int64 // in the hello
	}
	cases := map[string]struct {
		sessions []step
		until    int64
	}{
		"first session with this leader":           {[]step{{0, "r", "r@1", 0}}, 0},
		"agent knows that it was alone for longer": {[]step{{20, "r", "r@1", 5000}}, 15},
		"new ID":                     {[]step{{0, "r", "r@1", 0}, {30, "s", "s@2", 0}}, 0},
		"new ID, agent restarts too": {[]step{{0, "r", "r@1", 0}, {30, "s", "s@2", 100}}, 0},
		"same ID":                    {[]step{{0, "r", "r@1", 0}, {30, "r", "r@2", 0}}, 30},
		"same incarnation again, new agent process": {[]step{{0, "r", "r@1", 0}, {30, "r", "r@1", 100}}, 0},
		"earlier ID again":                          {[]step{{0, "r", "r@1", 0}, {30, "s", "s@2", 0}, {33, "r", "r@3", 0}}, 30},
		"earlier ID again, long ago":                {[]step{{0, "r", "r@1", 0}, {30, "s", "s@2", 0}, {60, "r", "r@3", 0}}, 0},
		"between sessions without a runner":         {[]step{{0, "r", "r@1", 0}, {30, "", "", 0}, {32, "r", "r@2", 0}}, 32},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			now := second(0)
			l, _ := leaderWithWorkers(t, &now, 0)
			var w *worker
			for _, s := range c.sessions {
				now = second(s.at)
				w = l.attachSession(newSession(), &fleetpb.Hello{Worker: "w0", Runner: s.id, Incarnation: s.incarnation, IncarnationAgeMs: s.ageMs})
			}
			is := is.New(t)
			is.Equal(w.othersCalledUntil, second(c.until))
			is.True(!l.isIncarnationSettled(w, second(c.until).Add(l.o.Timing.settledIncarnationAge()-1)))
			is.True(l.isIncarnationSettled(w, second(c.until).Add(l.o.Timing.settledIncarnationAge())))
		})
	}
}
