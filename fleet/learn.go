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
	readingWindow   = 900 * time.Millisecond // what a reading may still show
	readingEvery    = 800 * time.Millisecond // readings that overlap count once
	restartPercent  = 10                     // work below which a run is stopped although it saves nothing
	heldBackPercent = 50                     // pace below which a run counts as held back
)

// paceSample is the pace of a worker's filling images at one report: 0 to 1,
// the highest of the tasks of an image.
type paceSample struct {
	at    bootclock.Time
	paces map[string]float64
}

// learn takes in the readings of a worker's services, and deals with the
// filling tasks that disturb them.
func (l *leader) learn(w *worker, now bootclock.Time) {
	runs := w.sortedRuns()
	w.samplePaces(runs, now)
	strains := map[string]float64{}
	strained := false
	for _, r := range runs {
		step := r.job.Step(r.run.Task)
		if step.LatencyTarget <= 0 || r.figure <= 0 || r.startedAt == 0 || now.Sub(r.startedAt) < readingWindow {
			continue
		}
		strain := float64(r.figure) / float64(step.LatencyTarget.Milliseconds())
		strained = strained || strain > 1
		strains[step.Image] = max(strains[step.Image], strain)
	}
	if now.Sub(w.learnedAt) >= readingEvery {
		w.learnedAt = now
		neighbours := w.neighbours()
		for image, strain := range strains {
			l.interference.Learn(image, strain, neighbours)
		}
	}
	l.suspect(w, runs, strained)
}

// samplePaces records the pace of the filling tasks.
func (w *worker) samplePaces(runs []*run, now bootclock.Time) {
	sample := paceSample{at: now, paces: map[string]float64{}}
	for _, r := range runs {
		if step := r.job.Step(r.run.Task); step.Fills && r.startedAt != 0 {
			sample.paces[step.Image] = max(sample.paces[step.Image], float64(r.pace)/100)
		}
	}
	w.paces = append(w.paces, sample)
	// The last sample from before the window tells the pace at its begin.
	for len(w.paces) > 1 && now.Sub(w.paces[1].at) >= readingWindow {
		w.paces = w.paces[1:]
	}
}

// neighbours lists the filling images that the worker's readings may show.
func (w *worker) neighbours() []steps.Neighbour {
	most := map[string]float64{}
	for _, sample := range w.paces {
		for image, pace := range sample.paces {
			most[image] = max(most[image], pace)
		}
	}
	var list []steps.Neighbour
	for image, pace := range most {
		if pace == 0 {
			continue
		}
		n := steps.Neighbour{Image: image, Least: 1, Most: pace}
		for _, sample := range w.paces {
			n.Least = min(n.Least, sample.paces[image])
		}
		list = append(list, n)
	}
	return list
}

// suspect names the filling tasks of a worker that are taken to disturb its
// services. Those that can go on elsewhere, or later, give their place up: a
// task that is held back keeps others from the worker.
func (l *leader) suspect(w *worker, runs []*run, strained bool) {
	view := l.view(w)
	var suspects []structs.TaskRun
	for _, r := range runs {
		step := r.job.Step(r.run.Task)
		if !step.Fills || !view.Suspect(l.interference, step.Image) {
			continue
		}
		suspects = append(suspects, r.run)
		heldBack := strained || r.pace < heldBackPercent
		// Long-running tasks are only paced: a stop would spend their step's
		// disruption budget.
		movable := !step.LongRunning && (step.Checkpoints || r.percent <= restartPercent)
		if r.stopping == "" && r.startedAt != 0 && heldBack && movable {
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
