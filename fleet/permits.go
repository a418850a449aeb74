package fleet

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/placement/steps"
	"github.com/daisywall/daisywall/structs"
)

// Limits of the calls to the permit service.
const (
	maxWorkersPerPermitCall = 30                     // more workers would need a second call, and the objectives allow for one
	maxPermitCalls          = 2                      // the service handles the calls of a host one after the other
	permitExpiryMargin      = 500 * time.Millisecond // no start is ordered this long before a permit expires; a commit and an order take less
	permitCallMargin        = 2 * time.Second        // added to the answer time in the policy to get the timeout of a call
	permitRetryDelay        = 300 * time.Millisecond // delay of the next call for a step after a failed one
)

// permits caches, for each step, the permits and denials of workers. It is not
// stored. A new leader requests the permits again.
type permits struct {
	byStep        map[structs.StepID]*stepPermits
	callsInFlight int
}

// stepPermits holds the answers of the permit service for one step.
type stepPermits struct {
	workers      map[structs.WorkerID]permit
	callInFlight bool
	retryAt      bootclock.Time // earliest time of the next call after a failed one
}

// permit is the answer of the permit service for one worker. A denial does not
// expire.
type permit struct {
	incarnation string
	token       string // empty for a denial
	expiresAt   bootclock.Time
}

func newPermits() *permits { return &permits{byStep: map[structs.StepID]*stepPermits{}} }

func (p *permits) forStep(step structs.StepID) *stepPermits {
	cached := p.byStep[step]
	if cached == nil {
		cached = &stepPermits{workers: map[structs.WorkerID]permit{}}
		p.byStep[step] = cached
	}
	return cached
}

// removeWorker removes the permit of a worker that did not carry out a start.
func (p *permits) removeWorker(step structs.StepID, w *worker) {
	if cached := p.byStep[step]; cached != nil {
		delete(cached.workers, w.id)
	}
}

// removeJobs removes the permits of finished jobs.
func (p *permits) removeJobs(isOver func(structs.JobID) bool) {
	for step := range p.byStep {
		if isOver(step.Job) {
			delete(p.byStep, step)
		}
	}
}

// lookup returns the cached answer for a worker. It returns false if there is
// none for the worker's incarnation or the permit has expired.
func (s *stepPermits) lookup(w *worker, now bootclock.Time) (permit, bool) {
	cached, found := s.workers[w.id]
	if !found || cached.incarnation != w.incarnation {
		return permit{}, false
	}
	return cached, cached.token == "" || now < cached.expiresAt
}

// permitFor returns the permit for a run, and whether the run may start.
func (l *leader) permitFor(w *worker, r *run) (string, bool) {
	if !l.queueOf(r.job).Permits.Required() {
		return "", true
	}
	answer, found := l.permits.forStep(r.id.Task.StepID()).lookup(w, l.o.Clock())
	return answer.token, found && answer.token != ""
}

// requestMissingPermits marks the permitted workers of each demand whose queue
// has a permit policy. It requests more permits for demands with more tasks
// than permitted workers, the most urgent demands first.
func (l *leader) requestMissingPermits(ctx context.Context, views []*steps.Worker, demands []steps.Demand) {
	steps.Sort(demands)
	for i := range demands {
		d := &demands[i]
		policy := l.queueOf(l.jobs[d.Job]).Permits
		if !policy.Required() {
			continue
		}
		step := structs.StepID{Job: d.Job, Round: d.Round, Step: d.Step}
		unknown := l.markPermittedWorkers(views, d, step)
		if len(unknown) > 0 {
			l.requestPermits(ctx, step, policy, unknown)
		}
	}
	if len(l.permits.byStep) > 0 {
		l.permits.removeJobs(func(id structs.JobID) bool { return l.jobs[id] == nil || l.jobs[id].Final() })
	}
}

// markPermittedWorkers fills in the permitted workers of the demand. If the
// demand has more tasks than permitted workers, it returns the best workers for
// which a permit has to be requested.
func (l *leader) markPermittedWorkers(views []*steps.Worker, d *steps.Demand, step structs.StepID) []*worker {
	cached := l.permits.forStep(step)
	now := l.o.Clock()
	d.Permitted = map[structs.WorkerID]bool{}
	var unknown []*worker
	for _, id := range steps.Candidates(views, *d, l.interference, len(views)) {
		w := l.workers[id]
		answer, found := cached.lookup(w, now)
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
	return unknown[:min(maxWorkersPerPermitCall, len(unknown))]
}

// requestPermits requests permits for the workers in the background. It does
// nothing while a call for the step or maxPermitCalls calls are in flight, or
// before the retry delay of the step has passed.
func (l *leader) requestPermits(ctx context.Context, step structs.StepID, policy structs.PermitPolicy, workers []*worker) {
	cached, now := l.permits.forStep(step), l.o.Clock()
	if cached.callInFlight || now < cached.retryAt || l.permits.callsInFlight >= maxPermitCalls {
		return
	}
	if l.o.Permits == nil {
		l.log.Error("step waits: no permit service is configured", zap.Stringer("step", step))
		cached.retryAt = now.Add(time.Minute)
		return
	}
	cached.callInFlight = true
	l.permits.callsInFlight++
	runners := make([]string, len(workers))
	incarnations := make([]string, len(workers))
	for i, w := range workers {
		runners[i], incarnations[i] = w.runner, w.incarnation
	}
	limit := policy.BaseLatency + time.Duration(len(workers))*policy.PerWorker + permitCallMargin
	go func() {
		call, cancel := context.WithTimeout(ctx, limit)
		tokens, err := l.o.Permits.RequestPermits(call, step, runners)
		cancel()
		l.runInLoop(ctx, func() {
			l.permits.callsInFlight--
			cached.callInFlight = false
			took := l.o.Clock().Sub(now)
			l.log.Info("permits", zap.Stringer("step", step), zap.Int("asked", len(runners)), zap.Int("given", len(tokens)), zap.Duration("took", took), zap.Error(err))
			if err != nil {
				cached.retryAt = l.o.Clock().Add(permitRetryDelay)
				return
			}
			// The validity of a permit begins with the decision of the permit
			// service, which may be as early as the start of the call.
			until := now.Add(policy.Validity - permitExpiryMargin)
			for i, w := range workers {
				cached.workers[w.id] = permit{incarnation: incarnations[i], token: tokens[runners[i]], expiresAt: until}
			}
		})
	}()
}
