package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/bootclock"
)

// Guards against a wait for leases whose log line names another rule than the one applied.
func TestLeaseRuleNamesWhatTheLeaderKnows(t *testing.T) {
	cases := map[leaseRule]func(l *leader, w *worker, now bootclock.Time){
		ruleHorizon: func(_ *leader, w *worker, _ bootclock.Time) { w.listedAt = 0 },
		ruleBound:   func(_ *leader, w *worker, now bootclock.Time) { w.listedAt, w.boundEndsAt = 0, now },
		ruleList: func(l *leader, w *worker, now bootclock.Time) {
			w.leaseEndsAt = now.Add(l.o.Timing.LeaseHorizon)
			w.othersCalledUntil = now.Add(-l.o.Timing.settledIncarnationAge())
			l.limitEarlierLease(w, now)
		},
		ruleGranted: func(_ *leader, w *worker, now bootclock.Time) { w.leaseEndsAt, w.grantedEndsAt = now, now },
		ruleIncarnation: func(l *leader, w *worker, now bootclock.Time) {
			w.grantedEndsAt = now
			l.extendToMaxLease(w)
		},
	}
	for want, change := range cases {
		t.Run(string(want), func(t *testing.T) {
			now := bootclock.Time(time.Hour)
			l, _ := leaderWithWorkers(t, &now, 1)
			w := l.workers["w0"]
			change(l, w, now)
			is.New(t).Equal(w.leaseRule(w.leaseEndsAt), want)
		})
	}
}
