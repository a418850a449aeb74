package fleet

import (
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/placement/steps"
	"github.com/daisywall/daisywall/structs"
)

// Readings of a runner cover about half a second.
const (
	readingWindow  = 700 * time.Millisecond // what a reading may still show
	readingEvery   = 450 * time.Millisecond // readings that overlap much count once
	settledPace    = 50                     // percent from which a filling task counts as working
	restartPercent = 10                     // work below which a run is stopped although it saves nothing
)

// learn takes in the readings of a worker's services, and deals with the
// filling tasks that disturb them.
func (l *leader) learn(w *worker, now bootclock.Time) {
	runs := w.sortedRuns()
	neighbours := w.neighbours(runs, now)
	if now.Sub(w.learnedAt) < readingEvery {
		return
	}
	w.learnedAt = now
	strained := false
	for _, r := range runs {
		step := r.job.Step(r.run.Task)
		if step.LatencyTarget <= 0 || r.figure <= 0 || now.Sub(r.startedAt) < readingWindow {
			continue
		}
		strain := float64(r.figure) / float64(step.LatencyTarget.Milliseconds())
		strained = strained || strain > 1
		l.interference.Learn(step.Image, strain, neighbours)
	}
	l.suspect(w, runs, strained, now)
}

// neighbours lists the filling images that the worker's readings may show.
func (w *worker) neighbours(runs []*run, now bootclock.Time) []steps.Neighbour {
	settled := map[string]bool{}
	for _, r := range runs {
		step := r.job.Step(r.run.Task)
		if !step.Fills || r.startedAt == 0 || r.pace == 0 {
			continue
		}
		w.filled[step.Image] = now
		if r.pace >= settledPace && now.Sub(r.pacedAt) >= readingWindow {
			settled[step.Image] = true
		}
	}
	var list []steps.Neighbour
	for image, at := range w.filled {
		if now.Sub(at) > readingWindow {
			delete(w.filled, image)
			continue
		}
		list = append(list, steps.Neighbour{Image: image, Settled: settled[image]})
	}
	return list
}

// suspect names the filling tasks of a worker that are taken to disturb its
// services, and moves those that can go on elsewhere.
func (l *leader) suspect(w *worker, runs []*run, strained bool, now bootclock.Time) {
	view := l.view(w)
	var suspects []structs.TaskRun
	var others []*steps.Worker
	for _, r := range runs {
		step := r.job.Step(r.run.Task)
		if !step.Fills || !view.Suspect(l.interference, step.Image) {
			continue
		}
		suspects = append(suspects, r.run)
		if r.stopping != "" || r.startedAt == 0 || (!step.Checkpoints && r.percent > restartPercent) {
			continue
		}
		if others == nil {
			others = l.usableViews(now)
		}
		d := steps.Demand{Job: r.run.Task.Job, Spec: step, Pool: l.queue(r.job).Pool}
		if d.CanMove(l.interference, others, view) {
			l.stop(w, r, "disturbs a service")
		}
	}
	if !slices.Equal(suspects, w.suspects) {
		l.log.Info("suspects", zap.String("worker", string(w.id)), zap.Stringers("runs", suspects), zap.Bool("strained", strained))
		w.suspects = suspects
		w.outbox.reply = true
	}
}

// usableViews returns the workers that may get new tasks.
func (l *leader) usableViews(now bootclock.Time) []*steps.Worker {
	var views []*steps.Worker
	for _, w := range l.workers {
		if l.usable(w, now) && !l.drained(w.domain) {
			views = append(views, l.view(w))
		}
	}
	slices.SortFunc(views, func(a, b *steps.Worker) int { return compareWorkers(a.ID, b.ID) })
	return views
}
