package fleet

import (
	"time"

	"go.uber.org/zap"

	"github.com/daisywall/daisywall/api/fleetpb"
	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// report takes a worker's report in.
func (l *leader) report(s *session, r *fleetpb.WorkerReport) {
	w := s.worker
	if w == nil || w.session != s {
		return
	}
	now := l.o.Clock()
	w.reportedAt = now
	w.outbox.reply = true
	l.setDraining(w, r)
	if !r.GetListed() || w.incarnation == "" {
		return
	}
	w.listedAt = now
	w.echo = r.GetSentAt()
	w.lapsed = false
	for _, e := range r.GetEnded() {
		l.ended(w, e)
	}
	l.reconcile(w, r, now)
	w.acknowledge()
	l.learn(w, now)
	if !w.ready {
		w.ready = true
		l.log.Info("worker ready", zap.String("worker", string(w.id)), zap.Int("runs", len(w.runs)),
			zap.Int64("milli_cpu", w.capacity.MilliCPU), zap.Int64("memory_mb", w.capacity.MemoryMB))
	}
}

func (l *leader) setDraining(w *worker, r *fleetpb.WorkerReport) {
	w.remaining = time.Duration(r.GetRemainingMs()) * time.Millisecond
	if w.draining == r.GetDraining() {
		return
	}
	w.draining = r.GetDraining()
	l.log.Info("worker draining", zap.String("worker", string(w.id)), zap.Bool("draining", w.draining), zap.Duration("remaining", w.remaining))
}

// ended takes in the end of a run. The worker forgets it once it is stored.
func (l *leader) ended(w *worker, e *fleetpb.Ended) {
	if e.GetNumber() <= w.seen {
		return
	}
	w.seen = e.GetNumber()
	record := &endRecord{number: e.GetNumber()}
	w.ends = append(w.ends, record)
	id := runFromProto(e.GetRun())
	r, found := w.runs[id]
	delete(w.runs, id)
	j := l.jobs[id.Task.Job]
	if j == nil || !l.applyEnd(w, r, j, id, e) {
		l.log.Info("end of a run that is not current", zap.Stringer("run", id), zap.String("worker", string(w.id)),
			zap.String("end", e.GetEnd()), zap.Bool("assigned", found))
		l.storedWith(w, j, record)
		return
	}
	l.log.Info("ended", zap.Stringer("run", id), zap.String("worker", string(w.id)), zap.String("end", e.GetEnd()),
		zap.Duration("ran", l.ranFor(r)), zap.String("phase", string(j.Phase())))
	l.metrics.count(l.metrics.ends, e.GetEnd())
	l.storedWith(w, j, record)
	if j.Over() {
		l.stopAll(j)
	} else {
		l.stopGang(j, id)
	}
}

// storedWith acknowledges the end once the job's state is stored.
func (l *leader) storedWith(w *worker, j *job, record *endRecord) {
	s := w.session
	effect := func() {
		record.stored = true
		if w.session == s {
			w.acknowledge()
		}
	}
	// A change that is already in the store, or on its way, needs no commit of
	// its own; but which of the two isn't kept, so the next commit settles it.
	if j == nil {
		effect()
		return
	}
	l.touch(j, effect, nil)
}

// applyEnd changes the job's state. It reports false for a run that is not the
// task's current one.
func (l *leader) applyEnd(w *worker, r *run, j *job, id structs.TaskRun, e *fleetpb.Ended) bool {
	if j.Task(id.Task) == nil {
		return false
	}
	end := substrate.RunEnd(e.GetEnd())
	if end == substrate.RunEndDone && j.Step(id.Task).LongRunning {
		end = substrate.RunEndStopped // it is meant to go on
	}
	switch end {
	case substrate.RunEndDone:
		if !j.Finish(id) {
			return false
		}
		w.record.finished(l.o.Clock())
	case substrate.RunEndFailed:
		if !j.Fail(id, e.GetCheckpoint()) {
			return false
		}
		w.record.failed(l.o.Clock())
		j.failedOn[id.Task] = append(j.failedOn[id.Task], w.id)
	default:
		checkpoint := e.GetCheckpoint()
		if checkpoint == "" && r != nil {
			checkpoint = r.checkpoint
		}
		if !j.Release(id, checkpoint) {
			return false
		}
	}
	return true
}

func (l *leader) ranFor(r *run) time.Duration {
	if r == nil || r.startedAt == 0 {
		return 0
	}
	return l.o.Clock().Sub(r.startedAt)
}

// stopAll stops the runs of a job that is over.
func (l *leader) stopAll(j *job) {
	for _, w := range l.workers {
		for _, r := range w.sortedRuns() {
			if r.job == j {
				l.stop(w, r, "job is over")
			}
		}
	}
}

// reconcile compares what the worker runs with what it is meant to run.
func (l *leader) reconcile(w *worker, r *fleetpb.WorkerReport, now bootclock.Time) {
	listed := make(map[structs.TaskRun]bool, len(r.GetActive())+len(r.GetStarting()))
	for _, a := range r.GetActive() {
		id := runFromProto(a.GetRun())
		listed[id] = true
		if known := w.runs[id]; known != nil {
			l.adoptListed(w, known)
			known.observe(a, now)
			if reason := known.job.Obsolete(id); reason != "" {
				l.stop(w, known, reason)
			}
			continue
		}
		l.log.Warn("stops a run that is not assigned", zap.Stringer("run", id), zap.String("worker", string(w.id)))
		w.outbox.stops = append(w.outbox.stops, id)
	}
	for _, p := range r.GetStarting() {
		listed[runFromProto(p)] = true
	}
	for _, known := range w.sortedRuns() {
		if listed[known.run] {
			continue
		}
		if known.incarnation != w.incarnation {
			l.release(w, known, "runner restarted", "")
			continue
		}
		l.missing(w, known, r.GetOrdersSeen())
	}
}

// adoptListed takes note that a run goes on in the runner's next incarnation,
// which its start has reached.
func (l *leader) adoptListed(w *worker, r *run) {
	if r.incarnation == w.incarnation {
		return
	}
	l.log.Info("run found in the next incarnation", zap.Stringer("run", r.run), zap.String("worker", string(w.id)),
		zap.String("assigned_to", r.incarnation), zap.String("incarnation", w.incarnation))
	r.incarnation = w.incarnation
}

// missing deals with an assigned run that the worker neither runs, starts nor
// has ended.
func (l *leader) missing(w *worker, known *run, ordersSeen int64) {
	switch {
	case !known.stored:
		// It is ordered once it is stored. Ordered now, it would run unknown to
		// a next leader if the commit is lost.
	case !w.ready:
		// From before the session, whose fencing token makes sure that it no
		// longer starts by itself.
		l.orderAgain(w, known)
	case known.ordered > 0 && known.ordered <= ordersSeen:
		l.permits.drop(known.run.Task.StepID(), w)
		l.release(w, known, "not started", "")
	}
}

// orderAgain repeats the start of a run that an earlier session may not have
// delivered, or releases it when it need not start any more.
func (l *leader) orderAgain(w *worker, r *run) {
	if r.job.Obsolete(r.run) != "" || w.draining || l.drained(w.domain) || r.stopping != "" {
		l.release(w, r, "not started", "")
		return
	}
	l.orderStart(w, r)
}

// observe takes in what the runner says about a run.
func (r *run) observe(a *fleetpb.Active, now bootclock.Time) {
	if r.startedAt == 0 {
		r.startedAt, r.progressAt, r.startedWith = now, now, a.GetPercent()
	}
	r.paced = r.paced || a.GetPace() < fullPace
	if a.GetPercent() != r.percent || a.GetCheckpoint() != r.checkpoint {
		r.progressAt = now
	}
	r.percent, r.figure, r.pace = a.GetPercent(), a.GetFigure(), a.GetPace()
	if a.GetCheckpoint() != "" {
		r.checkpoint = a.GetCheckpoint()
	}
}
