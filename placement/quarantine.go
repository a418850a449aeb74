package placement

import (
	"fmt"
	"math"
	"time"

	"github.com/daisywall/daisywall/structs"
)

// outcomeCount counts the outcomes of one job on one worker.
type outcomeCount struct {
	failed, total float64
}

type jobWorker struct {
	job    structs.JobID
	worker structs.WorkerID
}

// outcomeTable indexes the recent outcomes by job and worker.
type outcomeTable struct {
	byWorker     map[structs.WorkerID][]Outcome
	counts       map[jobWorker]outcomeCount
	workersByJob map[structs.JobID][]structs.WorkerID // workers of each job, in order of first appearance
}

func newOutcomeTable(outcomes []Outcome) *outcomeTable {
	t := &outcomeTable{
		byWorker:     map[structs.WorkerID][]Outcome{},
		counts:       map[jobWorker]outcomeCount{},
		workersByJob: map[structs.JobID][]structs.WorkerID{},
	}
	for _, o := range outcomes {
		t.byWorker[o.Worker] = append(t.byWorker[o.Worker], o)
		key := jobWorker{o.Task.Job, o.Worker}
		count, found := t.counts[key]
		if !found {
			t.workersByJob[o.Task.Job] = append(t.workersByJob[o.Task.Job], o.Worker)
		}
		count.total++
		if o.Failed {
			count.failed++
		}
		t.counts[key] = count
	}
	return t
}

// failureRateElsewhere returns the failure rate of the job's tasks on other
// workers that are not excluded, and the number of these workers. Every worker
// has the same weight, since a broken worker may fail a hundred tasks in the
// time of one success elsewhere.
func (t *outcomeTable) failureRateElsewhere(job structs.JobID, worker structs.WorkerID, excluded func(structs.WorkerID) bool) (rate float64, workers int) {
	const priorFailed, priorTotal = 0.25, 0.5
	failed := priorFailed
	for _, w := range t.workersByJob[job] {
		if w == worker || excluded(w) {
			continue
		}
		count := t.counts[jobWorker{job, w}]
		failed += count.failed / count.total
		workers++
	}
	return failed / (priorTotal + float64(workers)), workers
}

// failedOnExcluded reports whether tasks of the job have failed on another worker
// that is excluded.
func (t *outcomeTable) failedOnExcluded(job structs.JobID, worker structs.WorkerID, excluded func(structs.WorkerID) bool) bool {
	for _, w := range t.workersByJob[job] {
		if w != worker && excluded(w) && t.counts[jobWorker{job, w}].failed > 0 {
			return true
		}
	}
	return false
}

// brokenFailureRate is the probability that a task fails on a broken worker.
const brokenFailureRate = 0.97

// jobEvidence holds what the evaluation of one worker uses about one job.
type jobEvidence struct {
	rateElsewhere  float64 // failure rate of the job on other workers
	otherWorkers   int     // number of other workers with outcomes of the job
	failureCounted bool    // no further failure of the job counts if there are no other workers
}

// brokenEvidence returns the log-likelihood ratio of the worker being broken to
// its tasks failing as often as on other workers, and the number of distinct
// tasks that failed on it. Outcomes before since are ignored. All failures of a
// job without outcomes on other workers count as one, since they may have one
// cause. They don't count if the job has failed on an excluded worker, else a
// job that fails everywhere would be evidence against one worker after another.
func (t *outcomeTable) brokenEvidence(worker structs.WorkerID, since time.Duration, excluded func(structs.WorkerID) bool) (ratio float64, tasks int) {
	jobs := map[structs.JobID]*jobEvidence{}
	seen := map[structs.TaskID]bool{}
	for _, o := range t.byWorker[worker] {
		if o.At < since {
			continue
		}
		job := jobs[o.Task.Job]
		if job == nil {
			job = &jobEvidence{}
			job.rateElsewhere, job.otherWorkers = t.failureRateElsewhere(o.Task.Job, worker, excluded)
			job.failureCounted = job.otherWorkers == 0 && t.failedOnExcluded(o.Task.Job, worker, excluded)
			jobs[o.Task.Job] = job
		}
		if !o.Failed {
			ratio += math.Log((1 - brokenFailureRate) / (1 - job.rateElsewhere))
			continue
		}
		if job.otherWorkers > 0 || !job.failureCounted {
			job.failureCounted = true
			ratio += math.Log(brokenFailureRate / job.rateElsewhere)
		}
		if !seen[o.Task] {
			seen[o.Task] = true
			tasks++
		}
	}
	return ratio, tasks
}

// updateQuarantines quarantines workers on which tasks fail that succeed on
// others, and readmits workers after a successful trial.
func (r *cycle) updateQuarantines() {
	if len(r.snapshot.Outcomes) == 0 && len(r.plan.State.Quarantines) == 0 {
		return
	}
	for i := range r.nodes {
		n := &r.nodes[i]
		q, found := r.plan.State.Quarantines[n.worker.ID]
		if found && q.Stage != QuarantineReleased {
			r.advanceQuarantine(n, q)
			continue
		}
		r.quarantineIfBroken(n, q)
	}
}

// isQuarantined reports whether the worker is in quarantine, which includes the
// trial.
func (r *cycle) isQuarantined(w structs.WorkerID) bool {
	q, found := r.plan.State.Quarantines[w]
	return found && q.Stage != QuarantineReleased
}

// quarantineIfBroken quarantines an open worker if there is enough evidence
// that it is broken. previous is the quarantine from which the worker was
// released, or the zero value. After MaxTerm without a relapse, the term starts
// anew. The time of the release is kept, so that earlier outcomes are not counted
// again.
func (r *cycle) quarantineIfBroken(n *node, previous Quarantine) {
	ratio, tasks := r.outcomes.brokenEvidence(n.worker.ID, previous.Since, r.isQuarantined)
	if ratio < r.options.Quarantine.Evidence || tasks < r.options.Quarantine.Tasks {
		if previous.Term > 0 && r.snapshot.Now-previous.Since > r.options.Quarantine.MaxTerm {
			previous.Term = 0
			r.plan.State.Quarantines[n.worker.ID] = previous
		}
		return
	}
	term := max(r.options.Quarantine.Term, min(2*previous.Term, r.options.Quarantine.MaxTerm))
	r.quarantine(n, term, fmt.Sprintf("%d tasks failed here that run elsewhere", tasks))
}

// quarantine closes the worker for the term.
func (r *cycle) quarantine(n *node, term time.Duration, detail string) {
	r.plan.State.Quarantines[n.worker.ID] = Quarantine{Since: r.snapshot.Now, Term: term, Stage: QuarantineClosed}
	if n.closedReason == "" {
		n.closedReason = structs.ReasonQuarantined
	}
	r.recordDecision(Decision{Action: ActionQuarantine, Worker: n.worker.ID, Reason: structs.ReasonQuarantined, Detail: detail})
}

// advanceQuarantine keeps the worker closed until the end of its term and then
// starts the trial, in which one task at a time may run. A success readmits the
// worker, and so does a task that has run for TrialRunTime, since a service
// never finishes. A failure closes the worker again for twice the term, unless the
// job fails on other workers as well.
func (r *cycle) advanceQuarantine(n *node, q Quarantine) {
	now := r.snapshot.Now
	if q.Stage == QuarantineClosed {
		if now < q.Since+q.Term {
			if n.closedReason == "" {
				n.closedReason = structs.ReasonQuarantined
			}
			return
		}
		q = Quarantine{Since: now, Term: q.Term, Stage: QuarantineTrial}
	}
	n.onTrial = true
	for _, o := range r.outcomes.byWorker[n.worker.ID] {
		if o.At < q.Since {
			continue
		}
		if o.Failed && r.failsElsewhere(o.Task.Job, n.worker.ID) {
			continue
		}
		if o.Failed {
			r.quarantine(n, min(2*q.Term, r.options.Quarantine.MaxTerm), "the trial task failed")
			return
		}
		r.readmit(n, q, "the trial task finished")
		return
	}
	longest, running := longestTrialRun(n.worker.Runs, now-q.Since)
	if longest >= r.options.Quarantine.TrialRunTime {
		r.readmit(n, q, fmt.Sprintf("the trial task has run for %s", longest.Round(time.Second)))
		return
	}
	n.trialRunning = running
	r.plan.State.Quarantines[n.worker.ID] = q
}

// failsElsewhere reports whether the job fails on other workers more often than
// it succeeds, so that a failure on this worker says nothing about the worker.
func (r *cycle) failsElsewhere(job structs.JobID, worker structs.WorkerID) bool {
	rate, _ := r.outcomes.failureRateElsewhere(job, worker, r.isQuarantined)
	return rate > 0.5
}

// readmit opens the worker to all tasks.
func (r *cycle) readmit(n *node, q Quarantine, detail string) {
	n.onTrial = false
	r.plan.State.Quarantines[n.worker.ID] = Quarantine{Since: r.snapshot.Now, Term: q.Term, Stage: QuarantineReleased}
	r.recordDecision(Decision{Action: ActionReadmit, Worker: n.worker.ID, Reason: ReasonRecovered, Detail: detail})
}

// longestTrialRun returns the age of the oldest of the runs that started less
// than age ago, and whether there is one. The caller passes the age of the
// trial, so that runs that started earlier don't count. A run that is being
// stopped is running, but its age is no sign of health.
func longestTrialRun(runs []Run, age time.Duration) (longest time.Duration, running bool) {
	for i := range runs {
		if runs[i].Age >= age {
			continue
		}
		running = true
		if !runs[i].Stopping {
			longest = max(longest, runs[i].Age)
		}
	}
	return longest, running
}
