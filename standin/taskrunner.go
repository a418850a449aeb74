package standin

import (
	"fmt"
	"sync"
	"time"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// RunObserver is told what happens on task runners. Calls come one at a time
// for each runner.
type RunObserver interface {
	Started(runner string, run structs.TaskRun)
	Ended(runner string, run structs.TaskRun, end substrate.RunEnd)
	// Acknowledged is called when the end of a run is forgotten on request. An
	// end from before a lapse of the lease does not count as known to anyone.
	Acknowledged(runner string, run structs.TaskRun, end substrate.RunEnd)
	// Reset is called when a runner has lost every run.
	Reset(runner string)
}

// TaskRunnerOptions describe a TaskRunner.
type TaskRunnerOptions struct {
	Info     substrate.RunnerInfo // Born, Incarnation and Sequence are filled in
	HoldMax  time.Duration        // longest lease
	RunTime  func(structs.TaskRun) time.Duration
	Observer RunObserver
	Gangs    *Gangs        // shared by all runners; nil without gangs
	Permits  *PermitIssuer // without whose permit nothing starts; nil where none is needed
	// KeepsID makes each incarnation take starts that are meant for an earlier
	// one, since it has the same ID. The answers tell of the new incarnation.
	KeepsID bool
}

// LateStart is when a start that went without an answer is carried out.
const LateStart = 3 * time.Second

// hung is the run time of a task that stands still.
const hung = 1000 * time.Hour

// slowClock is the rate of the clock by which a TaskRunner measures leases.
const slowClock = 1.02

// TaskRunner runs tasks under one lease, in memory. Its tasks do nothing but
// take time.
type TaskRunner struct {
	o TaskRunnerOptions

	mu         sync.Mutex
	info       substrate.RunnerInfo
	began      time.Time // of the incarnation
	fence      int64
	lease      time.Time
	runs       map[structs.TaskRun]*taskRun
	highest    map[structs.StepTaskID]int32 // highest run that ended or was stopped
	ended      []substrate.EndedRun
	ends       int64
	lapsedTo   int64 // ends up to this one lie before a lapse of the lease
	down       bool  // nothing listens
	dark       bool  // nothing answers
	failing    bool
	hanging    bool // runs that begin stand still
	slow       int  // times as long as usual that runs take that begin, 0 for 1
	unanswered int  // starts that go without an answer
	notified   chan struct{}
}

type taskRun struct {
	timer      *time.Timer
	began      time.Time
	took       time.Duration
	checkpoint string
	percent    int // of its pace
}

// NewTaskRunner returns a runner in its first incarnation.
func NewTaskRunner(o TaskRunnerOptions) *TaskRunner {
	r := &TaskRunner{o: o, info: o.Info}
	r.Restart()
	return r
}

// Restart begins a new incarnation, which knows nothing of before.
func (r *TaskRunner) Restart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lose()
	r.began = time.Now()
	r.info.Born = r.began
	r.info.Incarnation = fmt.Sprintf("%s@%d", r.info.ID, r.began.UnixMilli())
	r.info.Sequence = 0
	r.fence, r.ends, r.lapsedTo, r.ended, r.lease = 0, 0, 0, nil, time.Time{}
	r.highest = map[structs.StepTaskID]int32{}
	r.notified = make(chan struct{})
	r.down, r.dark = false, false
}

// lose drops every run; the caller holds the lock.
func (r *TaskRunner) lose() {
	for id, run := range r.runs {
		run.timer.Stop()
		r.leaveGang(id)
	}
	r.runs = map[structs.TaskRun]*taskRun{}
	if r.o.Observer != nil {
		r.o.Observer.Reset(r.info.ID)
	}
}

// Crash ends the incarnation. Its port is closed, or if dark does not answer.
func (r *TaskRunner) Crash(dark bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lose()
	r.down, r.dark = !dark, dark
}

// Away reports whether the runner has crashed.
func (r *TaskRunner) Away() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.down || r.dark
}

// SetDraining makes the runner say that it leaves soon.
func (r *TaskRunner) SetDraining(draining bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.info.Draining = draining
}

// SetFailing makes all runs that end from now on fail.
func (r *TaskRunner) SetFailing(failing bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failing = failing
}

// SetHanging makes all runs that begin from now on stand still.
func (r *TaskRunner) SetHanging(hanging bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hanging = hanging
}

// SetSlow makes all runs that begin from now on take so many times as long.
func (r *TaskRunner) SetSlow(times int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slow = times
}

// LeaveUnanswered lets the next starts go without an answer; they are carried
// out later.
func (r *TaskRunner) LeaveUnanswered(starts int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unanswered = starts
}

// Report returns what the runner says about itself, with the next sequence
// number.
func (r *TaskRunner) Report() substrate.RunnerInfo {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.info.Sequence++
	return r.info
}

// Info returns what is known of the current incarnation.
func (r *TaskRunner) Info() substrate.RunnerInfo {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.info
}

// Client returns a client of one incarnation.
func (r *TaskRunner) Client(incarnation string) *TaskRunnerClient {
	return &TaskRunnerClient{r: r, incarnation: incarnation}
}

func (r *TaskRunner) clock() substrate.RuntimeClock {
	return substrate.RuntimeClock(time.Since(r.began))
}

// end ends a run; the caller holds the lock.
func (r *TaskRunner) end(id structs.TaskRun, how substrate.RunEnd) {
	run, found := r.runs[id]
	if !found {
		return
	}
	run.timer.Stop()
	delete(r.runs, id)
	checkpoint := run.checkpoint
	if how == substrate.RunEndStopped {
		checkpoint = "stopped-" + id.String()
	}
	r.leaveGang(id)
	r.highest[id.Task] = max(r.highest[id.Task], id.Number)
	r.ends++
	r.ended = append(r.ended, substrate.EndedRun{Number: r.ends, Run: id, End: how, Checkpoint: checkpoint})
	if r.o.Observer != nil {
		r.o.Observer.Ended(r.info.ID, id, how)
	}
	close(r.notified)
	r.notified = make(chan struct{})
}

// finish ends a run that is still there.
func (r *TaskRunner) finish(id structs.TaskRun, how substrate.RunEnd) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.end(id, how)
}

func (r *TaskRunner) isFailing() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failing
}

// inGang reports whether the task works only together with others.
func (r *TaskRunner) inGang(id structs.TaskRun) bool {
	return r.o.Gangs != nil && r.o.Gangs.Size(id.Task) > 0
}

// leaveGang tells the other members that this one is over.
func (r *TaskRunner) leaveGang(id structs.TaskRun) {
	if r.inGang(id) {
		go r.o.Gangs.left(id)
	}
}

// expire ends everything once the lease has run out.
func (r *TaskRunner) expire(incarnation string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.info.Incarnation != incarnation || time.Now().Before(r.lease) {
		return
	}
	for id := range r.runs {
		r.end(id, substrate.RunEndLapsed)
	}
	r.lapsedTo = r.ends
}

// extend moves the lease forward; the caller holds the lock.
func (r *TaskRunner) extend(until substrate.RuntimeClock) {
	at := r.began.Add(time.Duration(until))
	if most := time.Now().Add(r.o.HoldMax); at.After(most) {
		at = most
	}
	if !at.After(r.lease) {
		return
	}
	r.lease = at
	incarnation := r.info.Incarnation
	time.AfterFunc(time.Duration(slowClock*float64(time.Until(at))), func() { r.expire(incarnation) })
}

// begin carries a start out; the caller holds the lock.
func (r *TaskRunner) begin(start substrate.TaskStart, lease substrate.RuntimeClock) error {
	id := start.Run
	if _, found := r.runs[id]; found {
		return nil
	}
	if id.Number <= r.highest[id.Task] {
		r.extend(lease)
		return &substrate.StartRefusedError{Refusal: substrate.RefusalOld}
	}
	if p := r.o.Permits; p != nil && !p.holds(start.Permit, id.Task.StepID(), r.info.ID) {
		r.extend(lease)
		return &substrate.StartRefusedError{Refusal: substrate.RefusalPermit}
	}
	if r.clock() >= lease {
		return &substrate.StartRefusedError{Refusal: substrate.RefusalLate}
	}
	r.extend(lease)
	took := r.o.RunTime(id) * time.Duration(max(1, r.slow))
	if r.hanging {
		took = hung
	}
	incarnation := r.info.Incarnation
	run := &taskRun{began: time.Now(), took: took, checkpoint: start.Checkpoint, percent: 100}
	alone := took
	if r.inGang(id) {
		alone = hung // the gang ends it
		go r.o.Gangs.join(r, id, took)
	}
	run.timer = time.AfterFunc(alone, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.info.Incarnation != incarnation || r.runs[id] != run {
			return
		}
		if r.failing {
			r.end(id, substrate.RunEndFailed)
		} else {
			r.end(id, substrate.RunEndDone)
		}
	})
	r.runs[id] = run
	if r.o.Observer != nil {
		r.o.Observer.Started(r.info.ID, id)
	}
	return nil
}

// state returns the lists; the caller holds the lock.
func (r *TaskRunner) state() substrate.RunnerState {
	state := substrate.RunnerState{Clock: r.clock(), Ended: append([]substrate.EndedRun(nil), r.ended...)}
	for id, run := range r.runs {
		percent := 100
		if run.took > 0 {
			percent = min(99, int(100*time.Since(run.began)/run.took))
		}
		state.Active = append(state.Active, substrate.ActiveRun{Run: id, Percent: percent, Checkpoint: run.checkpoint})
	}
	return state
}
