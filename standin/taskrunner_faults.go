package standin

import (
	"time"

	"github.com/daisywall/daisywall/structs"
)

// SetDraining sets whether the runner reports that it is about to leave.
func (r *TaskRunner) SetDraining(draining bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.info.Draining = draining
}

// SetCapacity changes the capacity of the runner, which keeps its runs and
// accepts starts beyond its capacity.
func (r *TaskRunner) SetCapacity(capacity structs.Resources) {
	r.mu.Lock()
	defer r.mu.Unlock()
	before := r.info.Capacity
	r.info.Capacity = capacity
	if r.options.Observer != nil {
		r.options.Observer.CapacityChanged(r.options.Info.ID, before, capacity)
	}
}

// SetMaxListedEnds sets the number of ends in one list.
func (r *TaskRunner) SetMaxListedEnds(n int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.options.MaxListedEnds = n
}

// SetFailing sets whether runs that complete from now on end as failed.
func (r *TaskRunner) SetFailing(failing bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failRuns = failing
}

// SetFailingStarts sets whether runs that start from now on end as failed after
// FailingStartDelay. Runs that are active continue.
func (r *TaskRunner) SetFailingStarts(failing bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.failStarts = failing
}

// SetHanging sets whether runs that start from now on make no progress.
func (r *TaskRunner) SetHanging(hanging bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.hangRuns = hanging
}

// SetSlowdown multiplies the run time of runs that start from now on by the
// factor times.
func (r *TaskRunner) SetSlowdown(times int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.slowdown = times
}

// WithholdStartReplies withholds the reply to the given number of starts. They
// are carried out after LateStartDelay.
func (r *TaskRunner) WithholdStartReplies(starts int) { r.DelayStarts(starts, LateStartDelay) }

// DelayStarts withholds the reply to the given number of starts. They are carried out after the
// delay. If the runner has restarted by then and accepts stale calls, its next incarnation carries
// them out.
func (r *TaskRunner) DelayStarts(starts int, delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unansweredStarts, r.lateStartDelay = starts, delay
}

// WithholdPaceReplies withholds the reply to the given number of changes of
// pace. They are carried out after LateStartDelay.
func (r *TaskRunner) WithholdPaceReplies(calls int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unansweredPaces = calls
}

// SetPaceCallDelay sets how long the runner takes to carry out a change of
// pace.
func (r *TaskRunner) SetPaceCallDelay(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.paceCallDelay = d
}
