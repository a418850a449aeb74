package placement

import (
	"fmt"
	"math"
	"time"

	"github.com/daisywall/daisywall/structs"
)

// tally counts the ends of attempts.
type tally struct {
	failed, total float64
}

type jobWorker struct {
	job    structs.JobID
	worker structs.WorkerID
}

// outcomeTable sums up the recent outcomes by job and worker.
type outcomeTable struct {
	byWorker map[structs.WorkerID][]Outcome
	cells    map[jobWorker]tally
	workers  map[structs.JobID][]structs.WorkerID // in order of first appearance
}

func newOutcomeTable(outcomes []Outcome) *outcomeTable {
	t := &outcomeTable{
		byWorker: map[structs.WorkerID][]Outcome{},
		cells:    map[jobWorker]tally{},
		workers:  map[structs.JobID][]structs.WorkerID{},
	}
	for _, o := range outcomes {
		t.byWorker[o.Worker] = append(t.byWorker[o.Worker], o)
		key := jobWorker{o.Task.Job, o.Worker}
		c, seen := t.cells[key]
		if !seen {
			t.workers[o.Task.Job] = append(t.workers[o.Task.Job], o.Worker)
		}
		c.total++
		if o.Failed {
			c.failed++
		}
		t.cells[key] = c
	}
	return t
}

// elsewhere returns how likely a task of the job is to fail on other workers,
// and on how many of them the job was tried. Every worker has one vote, so
// that a worker which fails a hundred tasks in the time of one success does
// not outvote the rest.
func (t *outcomeTable) elsewhere(job structs.JobID, worker structs.WorkerID, excluded func(structs.WorkerID) bool) (rate float64, votes int) {
	const priorFailed, priorTotal = 0.25, 0.5
	failed := priorFailed
	for _, w := range t.workers[job] {
		if w == worker || excluded(w) {
			continue
		}
		c := t.cells[jobWorker{job, w}]
		failed += c.failed / c.total
		votes++
	}
	return failed / (priorTotal + float64(votes)), votes
}

// failureRate is the chance that a broken worker fails a task.
const failureRate = 0.97

// jobEvidence is what is known about one job while the outcomes of one worker
// are judged.
type jobEvidence struct {
	rate    float64
	votes   int
	counted bool
}

// evidence returns the log-likelihood ratio of "the worker is broken" against
// "its tasks fail as often as elsewhere", and the number of distinct tasks
// that failed on it. Only outcomes after since count. All failures of a job
// that was tried nowhere else count as one, since they may have one cause.
func (t *outcomeTable) evidence(worker structs.WorkerID, since time.Duration, excluded func(structs.WorkerID) bool) (ratio float64, tasks int) {
	jobs := map[structs.JobID]*jobEvidence{}
	seen := map[structs.TaskID]bool{}
	for _, o := range t.byWorker[worker] {
		if o.At < since {
			continue
		}
		job := jobs[o.Task.Job]
		if job == nil {
			job = &jobEvidence{}
			job.rate, job.votes = t.elsewhere(o.Task.Job, worker, excluded)
			jobs[o.Task.Job] = job
		}
		if !o.Failed {
			ratio += math.Log((1 - failureRate) / (1 - job.rate))
			continue
		}
		if job.votes > 0 || !job.counted {
			job.counted = true
			ratio += math.Log(failureRate / job.rate)
		}
		if !seen[o.Task] {
			seen[o.Task] = true
			tasks++
		}
	}
	return ratio, tasks
}

// judgeWorkers quarantines workers that fail what succeeds elsewhere and
// readmits those whose trial went well.
func (r *round) judgeWorkers() {
	if len(r.snapshot.Outcomes) == 0 && len(r.plan.Memory.Quarantines) == 0 {
		return
	}
	for i := range r.nodes {
		n := &r.nodes[i]
		q, found := r.plan.Memory.Quarantines[n.worker.ID]
		if found && q.Stage != QuarantineReleased {
			r.judgeQuarantined(n, q)
			continue
		}
		r.judgeOpen(n, q)
	}
}

// closed reports whether the worker is in quarantine.
func (r *round) closed(w structs.WorkerID) bool {
	q, found := r.plan.Memory.Quarantines[w]
	return found && q.Stage != QuarantineReleased
}

// judgeOpen quarantines an open worker on enough evidence. previous is the
// zero value or the quarantine that it was released from.
func (r *round) judgeOpen(n *node, previous Quarantine) {
	ratio, tasks := r.outcomes.evidence(n.worker.ID, previous.Since, r.closed)
	if ratio < r.options.Quarantine.Evidence || tasks < r.options.Quarantine.Tasks {
		if previous.Term > 0 && r.snapshot.Now-previous.Since > r.options.Quarantine.MaxTerm {
			delete(r.plan.Memory.Quarantines, n.worker.ID)
		}
		return
	}
	term := max(r.options.Quarantine.Term, min(2*previous.Term, r.options.Quarantine.MaxTerm))
	r.quarantine(n, term, fmt.Sprintf("%d tasks failed here that run elsewhere", tasks))
}

func (r *round) quarantine(n *node, term time.Duration, detail string) {
	r.plan.Memory.Quarantines[n.worker.ID] = Quarantine{Since: r.snapshot.Now, Term: term, Stage: QuarantineClosed}
	if n.gate == "" {
		n.gate = structs.ReasonQuarantined
	}
	r.record(Decision{Action: ActionQuarantine, Worker: n.worker.ID, Reason: structs.ReasonQuarantined, Detail: detail})
}

// judgeQuarantined keeps the worker closed for its term, then lets single
// tasks try it: a success readmits it, a failure doubles the term.
func (r *round) judgeQuarantined(n *node, q Quarantine) {
	now := r.snapshot.Now
	if q.Stage == QuarantineClosed {
		if now < q.Since+q.Term {
			if n.gate == "" {
				n.gate = structs.ReasonQuarantined
			}
			return
		}
		q = Quarantine{Since: now, Term: q.Term, Stage: QuarantineTrial}
	}
	n.trial = true
	for _, o := range r.outcomes.byWorker[n.worker.ID] {
		if o.At < q.Since {
			continue
		}
		if o.Failed {
			r.quarantine(n, min(2*q.Term, r.options.Quarantine.MaxTerm), "the trial task failed")
			return
		}
		q = Quarantine{Since: now, Term: q.Term, Stage: QuarantineReleased}
		n.trial = false
		r.record(Decision{Action: ActionReadmit, Worker: n.worker.ID, Reason: ReasonRecovered, Detail: "the trial task finished"})
		break
	}
	n.trying = startedSince(n.worker.Runs, now-q.Since)
	r.plan.Memory.Quarantines[n.worker.ID] = q
}

// startedSince reports whether a run started less than age ago. Runs that were
// there before a trial are no part of it.
func startedSince(runs []Run, age time.Duration) bool {
	for i := range runs {
		if runs[i].Age < age {
			return true
		}
	}
	return false
}
