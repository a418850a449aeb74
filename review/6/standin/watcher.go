package main

import (
	"fmt"
	"os"
	"sync"
	"time"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// recorder writes the record of a case.
type recorder struct {
	mu    sync.Mutex
	file  *os.File
	begun time.Time
}

func newRecorder(path string) (*recorder, error) {
	file, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{file: file, begun: time.Now()}, nil
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.file, "%8.3f %s\n", time.Since(r.begun).Seconds(), fmt.Sprintf(format, args...))
}

func (r *recorder) close() { r.file.Close() }

// watcher sees what the runners start and end, and finds tasks with two runs at the same time.
type watcher struct {
	log     *recorder
	mu      sync.Mutex
	active  map[structs.StepTaskID]map[string]structs.RunID // by runner
	lapsed  int
	failed  int
	twice   int
	started int
}

func newWatcher(log *recorder) *watcher {
	return &watcher{log: log, active: map[structs.StepTaskID]map[string]structs.RunID{}}
}

// Started implements standin.RunObserver.
func (w *watcher) Started(runner string, run structs.RunID) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.started++
	others := w.active[run.Task]
	for other, id := range others {
		w.twice++
		w.log.printf("TWICE: run %s starts on %s while run %s runs on %s", run, runner, id, other)
	}
	if others == nil {
		others = map[string]structs.RunID{}
		w.active[run.Task] = others
	}
	others[runner] = run
	w.log.printf("start of run %s on %s", run, runner)
}

// Ended implements standin.RunObserver.
func (w *watcher) Ended(runner string, run structs.RunID, end substrate.RunEnd) {
	w.mu.Lock()
	defer w.mu.Unlock()
	delete(w.active[run.Task], runner)
	switch end {
	case substrate.RunEndLapsed:
		w.lapsed++
	case substrate.RunEndFailed:
		w.failed++
	}
	w.log.printf("end of run %s on %s: %s", run, runner, end)
}

// Acknowledged implements standin.RunObserver.
func (w *watcher) Acknowledged(runner string, run structs.RunID, end substrate.RunEnd) {
	w.log.printf("end %s of run %s on %s is taken note of", end, run, runner)
}

// Crashed implements standin.RunObserver.
func (w *watcher) Crashed(string, structs.RunID) {}

// Reset implements standin.RunObserver.
func (w *watcher) Reset(runner string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, runs := range w.active {
		delete(runs, runner)
	}
}

// failures returns the number of runs that have ended failed.
func (w *watcher) failures() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.failed
}

// CapacityChanged implements standin.RunObserver.
func (w *watcher) CapacityChanged(string, structs.Resources, structs.Resources) {}

// running returns the number of runs.
func (w *watcher) running() int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for _, runs := range w.active {
		n += len(runs)
	}
	return n
}

func (w *watcher) isRunning(task structs.StepTaskID) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	return len(w.active[task]) > 0
}

// tasksOn returns the tasks that run on a runner.
func (w *watcher) tasksOn(runner string) []structs.StepTaskID {
	w.mu.Lock()
	defer w.mu.Unlock()
	var tasks []structs.StepTaskID
	for task, runs := range w.active {
		if _, found := runs[runner]; found {
			tasks = append(tasks, task)
		}
	}
	return tasks
}

// startsOf returns the number of starts of a job's tasks.
func (w *watcher) startsOf(job string) int {
	w.mu.Lock()
	defer w.mu.Unlock()
	n := 0
	for task := range w.active {
		if string(task.Job) == job {
			n++
		}
	}
	return n
}

// report writes the counts and reports whether a task has had two runs at the same time.
func (w *watcher) report(tasks int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.log.printf("%d starts of %d tasks, %d runs lapsed, %d starts beside another run of the task", w.started, tasks, w.lapsed, w.twice)
	return w.twice > 0
}
