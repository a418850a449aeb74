package fleet

import (
	"context"

	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/placement/steps"
	"github.com/daisywall/daisywall/structs"
)

// permits caches, for each step, the permits and denials of workers. It is not
// stored. A new leader requests the permits again.
type permits struct {
	byStep map[structs.StepID]*stepPermits
	shares map[structs.QueueID]*permitShare
	calls  permitCalls
}

// stepPermits holds the answers of the permit service for one step.
type stepPermits struct {
	workers map[structs.WorkerID]permit
	retryAt bootclock.Time // earliest time of the next call after a failed one
	wait    permitWait
}

// permit is the answer of the permit service for one worker. A denial does not
// expire.
type permit struct {
	incarnation string
	token       string // empty for a denial
	expiresAt   bootclock.Time
}

func newPermits() *permits {
	return &permits{byStep: map[structs.StepID]*stepPermits{}, shares: map[structs.QueueID]*permitShare{}}
}

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

// lookup returns the answer for the worker's incarnation, false if there is none. The
// permit may have expired.
func (s *stepPermits) lookup(w *worker) (permit, bool) {
	cached, found := s.workers[w.id]
	return cached, found && cached.incarnation == w.incarnation
}

func (p permit) isDenial() bool { return p.token == "" }

// isValid reports whether the permit allows starts that are ordered now.
func (p permit) isValid(now bootclock.Time) bool { return !p.isDenial() && now < p.expiresAt }

// permitFor returns the permit for a run, and whether the run may start.
func (l *leader) permitFor(w *worker, r *run) (string, bool) {
	if !l.queueOf(r.job).Permits.Required() {
		return "", true
	}
	answer, found := l.permits.forStep(r.id.Task.StepID()).lookup(w)
	return answer.token, found && answer.isValid(l.o.Clock())
}

// requestMissingPermits marks the permitted workers of each demand whose queue
// has a permit policy. It requests more permits for one of the demands with more
// tasks than permitted workers.
func (l *leader) requestMissingPermits(ctx context.Context, views []*steps.Worker, demands []steps.Demand) {
	steps.Sort(demands)
	var requests []permitRequest
	for i := range demands {
		d := &demands[i]
		queue := l.queueOf(l.jobs[d.Job])
		if !queue.Permits.Required() {
			continue
		}
		step := structs.StepID{Job: d.Job, Round: d.Round, Step: d.Step}
		if workers := l.markPermittedWorkers(views, d, step, queue); len(workers) > 0 {
			requests = append(requests, permitRequest{step: step, queue: queue, permits: l.permits.forStep(step), workers: workers})
		}
	}
	l.requestPermits(ctx, requests)
	if len(l.permits.byStep) > 0 {
		l.permits.removeJobs(func(id structs.JobID) bool { return l.jobs[id] == nil || l.jobs[id].Final() })
	}
}

// markPermittedWorkers fills in the permitted workers of the demand. If the
// demand has more tasks than permitted workers, it returns the workers that the
// next call for the step names.
func (l *leader) markPermittedWorkers(views []*steps.Worker, d *steps.Demand, step structs.StepID, queue structs.Queue) []*worker {
	cached := l.permits.forStep(step)
	now := l.o.Clock()
	d.Permitted = map[structs.WorkerID]bool{}
	var expired, unknown []*worker
	for _, id := range steps.Candidates(views, *d, l.interference, len(views)) {
		w := l.workers[id]
		answer, found := cached.lookup(w)
		switch {
		case !found:
			unknown = append(unknown, w)
		case answer.isValid(now):
			d.Permitted[id] = true
		case !answer.isDenial():
			expired = append(expired, w)
		}
	}
	return workersToName(expired, unknown, len(d.Tasks)-len(d.Permitted), queue.Permits, l.permits.shareOf(queue.ID))
}
