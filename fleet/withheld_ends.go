package fleet

import (
	"context"

	"go.uber.org/zap"

	"github.com/daisywall/daisywall/api/fleetpb"
	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
	"github.com/daisywall/daisywall/workflow"
)

// withheldEnds is the state of a worker with an end that must not be acknowledged yet: a call for an earlier
// incarnation has started the run in this one, while its task was started elsewhere. Its end would count
// beside the other run's, unless the lease of the runner has lapsed between the end and the acknowledgement.
type withheldEnds struct {
	incarnation string // with such an end, empty without one
	lapsed      string // incarnation whose lease has lapsed after such an end
	// lapsedRuns are the runs that this leader has released because the lease had lapsed, with their incarnations,
	// until the worker has listed all ends.
	lapsedRuns map[structs.RunID]string
}

// awaitsLapse reports whether the worker gets no lease until its lease has lapsed.
func (e *withheldEnds) awaitsLapse() bool { return e.incarnation != "" }

// recordLapse records that the lease of the incarnation has lapsed under which the runs were assigned.
func (e *withheldEnds) recordLapse(runs []*run) {
	if e.awaitsLapse() {
		e.lapsed, e.incarnation = e.incarnation, ""
	}
	e.lapsedRuns = make(map[structs.RunID]string, len(runs))
	for _, r := range runs {
		e.lapsedRuns[r.id] = r.incarnation
	}
}

// keepOnly drops what holds for another incarnation than the given one.
func (e *withheldEnds) keepOnly(incarnation string) {
	if e.incarnation != incarnation {
		e.incarnation = ""
	}
}

// mustLapseFirst reports whether the end of a run that is not current may be acknowledged only once the lease of the
// runner has lapsed. Once the incarnation is settled, that has happened since any call for an earlier one. An end failed may
// have been counted before its acknowledgement was lost, also by an earlier leader.
func (l *leader) mustLapseFirst(w *worker, r *run, j *job, id structs.RunID, e *fleetpb.Ended, now bootclock.Time) bool {
	isSessionsOwn := r != nil && r.incarnation == w.incarnation
	switch {
	case substrate.RunEnd(e.GetEnd()) != substrate.RunEndDone, isSessionsOwn, l.isIncarnationSettled(w, now):
		return false
	case w.withheld.lapsed == w.incarnation, w.withheld.lapsedRuns[id] == w.incarnation:
		return false
	}
	step := j.Step(id.Task)
	return !step.LongRunning && !workflow.MayCopy(step) && j.MayRunAfter(id)
}

// withholdEnd lets the lease of the worker lapse before the end is acknowledged, and with it all later ones. It takes
// the longest lease at most. The worker gets no tasks meanwhile.
func (l *leader) withholdEnd(w *worker, id structs.RunID, e *fleetpb.Ended) {
	if w.withheld.incarnation == w.incarnation {
		return
	}
	w.withheld.incarnation = w.incarnation
	l.extendToMaxLease(w)
	l.log.Warn("end of a stale run: its lease must lapse before it is acknowledged", zap.Stringer("run", id), zap.String("worker", string(w.id)),
		zap.String("incarnation", w.incarnation), zap.String("end", e.GetEnd()), zap.Duration("for", w.leaseEndsAt.Sub(l.o.Clock())), zap.Int("runs", len(w.runs)))
	l.metrics.withheldEnds.Add(context.Background(), 1)
}
