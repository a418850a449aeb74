package fleet

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/placement/steps"
	"github.com/daisywall/daisywall/structs"
)

// Bounds of asking for permits.
const (
	permitWorkers = 30                     // asked for in one call; objectives allow for one call of this size
	permitCalls   = 2                      // at once; the service takes the calls of a host one by one
	permitMargin  = 500 * time.Millisecond // before its end in which a permit starts nothing: a commit and an order take less
	permitSlack   = 2 * time.Second        // for an answer, beyond what the policy says
	permitRetry   = 300 * time.Millisecond // after a call that decided nothing
)

// permits holds what is known of the workers that may run a step. It is not
// stored: a next leader asks again.
type permits struct {
	steps map[structs.StepID]*stepPermits
	calls int // under way
}

type stepPermits struct {
	workers map[structs.WorkerID]permit
	asking  bool
	retryAt bootclock.Time
}

// permit is the answer for one worker. A denial holds for good, and has no end.
type permit struct {
	incarnation string
	token       string // empty for a denial
	until       bootclock.Time
}

func newPermits() *permits { return &permits{steps: map[structs.StepID]*stepPermits{}} }

func (p *permits) of(step structs.StepID) *stepPermits {
	known := p.steps[step]
	if known == nil {
		known = &stepPermits{workers: map[structs.WorkerID]permit{}}
		p.steps[step] = known
	}
	return known
}

// drop forgets the permit of a worker that did not take a start.
func (p *permits) drop(step structs.StepID, w *worker) {
	if known := p.steps[step]; known != nil {
		delete(known.workers, w.id)
	}
}

// forget drops the permits of jobs that are over.
func (p *permits) forget(over func(structs.JobID) bool) {
	for step := range p.steps {
		if over(step.Job) {
			delete(p.steps, step)
		}
	}
}

// answer returns what is known of a worker. It reports false for one that has
// to be asked for.
func (s *stepPermits) answer(w *worker, now bootclock.Time) (permit, bool) {
	known, found := s.workers[w.id]
	if !found || known.incarnation != w.incarnation {
		return permit{}, false
	}
	return known, known.token == "" || now < known.until
}

// permitFor returns the permit for a run, and whether it may start.
func (l *leader) permitFor(w *worker, r *run) (string, bool) {
	if !l.queue(r.job).Permits.Required() {
		return "", true
	}
	known, found := l.permits.of(r.run.Task.StepID()).answer(w, l.o.Clock())
	return known.token, found && known.token != ""
}

// askPermits marks the workers that may run each demand of a queue with a
// policy, and asks for more where these don't hold its tasks. The most urgent
// demands ask first.
func (l *leader) askPermits(ctx context.Context, views []*steps.Worker, demands []steps.Demand) {
	steps.Sort(demands)
	for i := range demands {
		d := &demands[i]
		policy := l.queue(l.jobs[d.Job]).Permits
		if !policy.Required() {
			continue
		}
		step := structs.StepID{Job: d.Job, Round: d.Round, Step: d.Step}
		unknown := l.markPermitted(views, d, step)
		if len(unknown) > 0 {
			l.ask(ctx, step, policy, unknown)
		}
	}
	if len(l.permits.steps) > 0 {
		l.permits.forget(func(id structs.JobID) bool { return l.jobs[id] == nil || l.jobs[id].Over() })
	}
}

// markPermitted fills in the demand's permitted workers, and returns the best
// workers that have to be asked for, none while the permitted ones suffice.
func (l *leader) markPermitted(views []*steps.Worker, d *steps.Demand, step structs.StepID) []*worker {
	known := l.permits.of(step)
	now := l.o.Clock()
	d.Permitted = map[structs.WorkerID]bool{}
	var unknown []*worker
	for _, id := range steps.Candidates(views, *d, l.interference, len(views)) {
		w := l.workers[id]
		answer, found := known.answer(w, now)
		switch {
		case !found:
			unknown = append(unknown, w)
		case answer.token != "":
			d.Permitted[id] = true
		}
	}
	if len(d.Permitted) >= len(d.Tasks) {
		return nil
	}
	return unknown[:min(permitWorkers, len(unknown))]
}

// ask asks for permits unless a call for the step is under way.
func (l *leader) ask(ctx context.Context, step structs.StepID, policy structs.PermitPolicy, workers []*worker) {
	known, now := l.permits.of(step), l.o.Clock()
	if known.asking || now < known.retryAt || l.permits.calls >= permitCalls {
		return
	}
	if l.o.Permits == nil {
		l.log.Error("step waits: there is no service for permits", zap.Stringer("step", step))
		known.retryAt = now.Add(time.Minute)
		return
	}
	known.asking = true
	l.permits.calls++
	runners := make([]string, len(workers))
	incarnations := make([]string, len(workers))
	for i, w := range workers {
		runners[i], incarnations[i] = w.runner, w.incarnation
	}
	limit := policy.Decide + time.Duration(len(workers))*policy.PerWorker + permitSlack
	go func() {
		call, cancel := context.WithTimeout(ctx, limit)
		tokens, err := l.o.Permits.Permits(call, step, runners)
		cancel()
		l.do(ctx, func() {
			l.permits.calls--
			known.asking = false
			took := l.o.Clock().Sub(now)
			l.log.Info("permits", zap.Stringer("step", step), zap.Int("asked", len(runners)), zap.Int("given", len(tokens)), zap.Duration("took", took), zap.Error(err))
			if err != nil {
				known.retryAt = l.o.Clock().Add(permitRetry)
				return
			}
			// Valid from the decision on, which may be as early as the call.
			until := now.Add(policy.Valid - permitMargin)
			for i, w := range workers {
				known.workers[w.id] = permit{incarnation: incarnations[i], token: tokens[runners[i]], until: until}
			}
		})
	}()
}
