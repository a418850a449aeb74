package soak

import (
	"fmt"
	"sync"

	"github.com/daisywall/daisywall/standin"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// witness sees what runners are told to do, and knows what callers have asked
// for. Beside what standin.RunChecker checks, nothing starts that nobody
// submitted, or before the step it follows.
type witness struct {
	*standin.RunChecker
	mu     sync.Mutex
	jobs   map[structs.JobID]*submitted
	faults []string
}

func newWitness() *witness {
	return &witness{RunChecker: standin.NewRunChecker(runnerCPU, taskCPU), jobs: map[structs.JobID]*submitted{}}
}

func (w *witness) add(j *submitted) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.jobs[j.id] = j
}

func (w *witness) job(id structs.JobID) *submitted {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.jobs[id]
}

func (w *witness) fault(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}

// gangSize implements the size of standin.Gangs.
func (w *witness) gangSize(id structs.StepTaskID) int {
	if j := w.job(id.Job); j != nil && j.gang {
		return j.widths[id.Step]
	}
	return 0
}

// Started implements standin.RunObserver.
func (w *witness) Started(runner string, run structs.TaskRun) {
	w.RunChecker.Started(runner, run)
	j := w.job(run.Task.Job)
	switch {
	case j == nil:
		w.fault("%s started on %s: nobody submitted it", run, runner)
	case run.Task.Step > 0 && !w.stepFinished(j, run.Task.Step-1):
		w.fault("%s started on %s before the step it follows had finished", run, runner)
	}
}

// stepFinished reports whether the tasks of a step have ended done; one of a
// gang stands for all.
func (w *witness) stepFinished(j *submitted, step int32) bool {
	finished := 0
	for i := range j.widths[step] {
		if w.Finished(structs.StepTaskID{Job: j.id, Step: step, Index: int32(i)}) {
			finished++
		}
	}
	return finished == j.widths[step] || j.gang && finished > 0
}

func (w *witness) allFinished(j *submitted) bool {
	for step := range j.widths {
		if !w.stepFinished(j, int32(step)) {
			return false
		}
	}
	return true
}

// found lists all violations.
func (w *witness) found() []string {
	faults := w.Found()
	w.mu.Lock()
	defer w.mu.Unlock()
	return append(faults, w.faults...)
}

var _ standin.RunObserver = (*witness)(nil)

var _ substrate.PartStore = (*relayedStore)(nil)
