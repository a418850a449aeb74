package standin

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// RunObserver receives the events of task runners. A runner makes one call at a
// time.
type RunObserver interface {
	Started(runner string, run structs.RunID)
	Ended(runner string, run structs.RunID, end substrate.RunEnd)
	// Acknowledged is called when a caller has acknowledged the end of a run.
	// It is not called for runs that ended up to the latest expiry of the
	// runner's lease, since these ends do not count as known to any caller.
	Acknowledged(runner string, run structs.RunID, end substrate.RunEnd)
	// Crashed is called before Reset when a run has crashed its runner.
	Crashed(runner string, run structs.RunID)
	// Reset is called when a runner has dropped all of its runs.
	Reset(runner string)
	// CapacityChanged is called when the capacity of a runner has changed.
	CapacityChanged(runner string, before, after structs.Resources)
}

// TaskRunnerOptions configure a TaskRunner.
type TaskRunnerOptions struct {
	Info     substrate.RunnerInfo // the runner sets StartedAt, Incarnation and Sequence
	MaxLease time.Duration        // longest time for which a lease can be extended
	RunTime  func(structs.RunID) time.Duration
	Observer RunObserver   // gets the ID in Info for all incarnations
	Gangs    *Gangs        // shared by all runners, nil without gangs
	Permits  *PermitIssuer // checks the permit of every start, nil where no permit is needed
	// AcceptsStaleCalls is set for a runner that carries out calls that are addressed to an earlier
	// incarnation with the same ID, unless it has received a higher fencing token. The reply still
	// reports the incarnation mismatch.
	AcceptsStaleCalls bool
	LongRunning       func(structs.RunID) bool  // runs that are at work until they are stopped, none if nil
	PaceDelay         time.Duration             // time from a change of pace to its effect
	Reading           func(structs.RunID) int64 // reading of an active run, 0 for every run if nil
	// Checkpoint returns the latest checkpoint of an active run. If it is nil, a run has the
	// checkpoint from which it has resumed.
	Checkpoint func(structs.RunID) string
	// FailsAfter returns the time after which a run ends as failed, 0 for a run
	// that does not. No run does if it is nil.
	FailsAfter func(structs.RunID) time.Duration
	// Crashes returns the time after which a run crashes the runner, 0 for a run
	// that does not. No run does if it is nil.
	Crashes func(structs.RunID) time.Duration
	// MaxListedEnds is the number of ends in one list, DefaultMaxListedEnds if it is 0.
	MaxListedEnds int
	// CrashDowntime is the time after which a runner that a run has crashed
	// restarts by itself. If it is 0, the runner stays down.
	CrashDowntime time.Duration
}

// DefaultMaxListedEnds is the number of ends in one list of the platform's runners.
const DefaultMaxListedEnds = 500

// LateStartDelay is how long after its call a start or a change of pace takes
// effect if its reply is withheld.
const LateStartDelay = 3 * time.Second

// FailingStartDelay is how long after its start a run ends as failed on a
// runner whose starts fail.
const FailingStartDelay = 40 * time.Millisecond

// silentRestartWait is longer than any wait that a poll requests.
const silentRestartWait = 3 * time.Second

// hungRunTime is the run time of a task that makes no progress.
const hungRunTime = 1000 * time.Hour

// leaseClockSlowdown is the factor by which a lease of a TaskRunner lasts
// longer in real time than its nominal length. It simulates a slow clock, which
// lets leases expire late.
const leaseClockSlowdown = 1.02

// TaskRunner is an in-memory task runner whose runs share one lease. Its tasks
// do no work and end after their run time.
type TaskRunner struct {
	options TaskRunnerOptions

	mu               sync.Mutex
	info             substrate.RunnerInfo
	incarnationStart time.Time
	highestFence     int64 // highest fence of all calls to this incarnation
	leaseEnd         time.Time
	runs             map[structs.RunID]*taskRun
	highestEnded     map[structs.StepTaskID]int32 // highest run number that ended or was stopped, by task
	unacknowledged   []substrate.EndedRun         // ended runs that no caller has acknowledged, oldest first
	endCount         int64                        // number of runs that ended in this incarnation
	lastLapsedEnd    int64                        // value of endCount at the latest lease expiry, 0 without an expiry
	selfRestart      *time.Timer                  // restart after a crash by a run, nil if none is due
	refusing         bool                         // connections are refused
	unresponsive     bool                         // calls get no reply
	failRuns         bool                         // runs end as failed
	failStarts       bool                         // new runs end as failed after FailingStartDelay
	hangRuns         bool                         // new runs make no progress
	slowdown         int                          // factor by which the run time of new runs is multiplied, 0 means 1
	unansweredStarts int                          // number of further starts that get no reply
	lateStartDelay   time.Duration                // time from such a start to its execution
	unansweredPaces  int                          // number of further changes of pace that get no reply
	paceCallDelay    time.Duration                // time from a change of pace to its execution
	runEnded         chan struct{}                // closed when a run ends
}

type taskRun struct {
	timer       *time.Timer
	startedAt   time.Time
	runTime     time.Duration
	checkpoint  string
	pacePercent int // speed in percent that is in effect
}

// NewTaskRunner returns a runner in its first incarnation.
func NewTaskRunner(o TaskRunnerOptions) *TaskRunner {
	r := &TaskRunner{options: o, info: o.Info}
	r.Restart()
	return r
}

// Restart begins a new incarnation that keeps no state of the previous one.
func (r *TaskRunner) Restart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.restartLocked()
}

// RestartAs begins a new incarnation under another ID.
func (r *TaskRunner) RestartAs(id string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.info.ID = id
	r.restartLocked()
}

// admitStaleCall reports whether a call to an incarnation that has ended is carried out by the
// current one, and records its fencing token then. The caller holds the lock.
func (r *TaskRunner) admitStaleCall(incarnation string, fence int64) bool {
	if !r.options.AcceptsStaleCalls || r.refusing || r.unresponsive || !strings.HasPrefix(incarnation, r.info.ID+"@") || fence < r.highestFence {
		return false
	}
	r.highestFence = fence
	return true
}

// restartLocked begins a new incarnation. The caller holds the lock.
func (r *TaskRunner) restartLocked() {
	r.dropRunsLocked()
	r.incarnationStart = time.Now()
	r.info.StartedAt = r.incarnationStart
	r.info.Incarnation = fmt.Sprintf("%s@%d", r.info.ID, r.incarnationStart.UnixMilli())
	r.info.Sequence = 0
	r.highestFence, r.endCount, r.lastLapsedEnd, r.unacknowledged, r.leaseEnd = 0, 0, 0, nil, time.Time{}
	r.highestEnded = map[structs.StepTaskID]int32{}
	r.refusing, r.unresponsive = false, false
	r.wakePollsLocked()
}

// RestartSilently begins a new incarnation like Restart. Polls in flight get no answer until their wait is over.
func (r *TaskRunner) RestartSilently() {
	r.mu.Lock()
	defer r.mu.Unlock()
	inFlight := r.runEnded
	r.runEnded = make(chan struct{})
	r.restartLocked()
	time.AfterFunc(silentRestartWait, func() { close(inFlight) })
}

// wakePollsLocked ends the wait of all polls. The caller holds the lock.
func (r *TaskRunner) wakePollsLocked() {
	if r.runEnded != nil {
		close(r.runEnded)
	}
	r.runEnded = make(chan struct{})
}

// dropRunsLocked drops every run and the restart that is due. The caller holds
// the lock.
func (r *TaskRunner) dropRunsLocked() {
	if r.selfRestart != nil {
		r.selfRestart.Stop()
		r.selfRestart = nil
	}
	for id, run := range r.runs {
		run.timer.Stop()
		r.leaveGang(id)
	}
	r.runs = map[structs.RunID]*taskRun{}
	if r.options.Observer != nil {
		r.options.Observer.Reset(r.options.Info.ID)
	}
}

// Crash ends the incarnation. The crashed runner gives no reply to calls if
// unresponsive is set, and refuses connections otherwise.
func (r *TaskRunner) Crash(unresponsive bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.dropRunsLocked()
	r.refusing, r.unresponsive = !unresponsive, unresponsive
	if !unresponsive {
		r.wakePollsLocked() // their connections break
	}
}

// crashBy ends the incarnation because of a run, unless the run has ended
// before. The runner refuses connections until it restarts after CrashDowntime.
func (r *TaskRunner) crashBy(id structs.RunID, run *taskRun) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.runs[id] != run {
		return
	}
	if r.options.Observer != nil {
		r.options.Observer.Crashed(r.options.Info.ID, id)
	}
	r.dropRunsLocked()
	r.refusing = true
	r.wakePollsLocked()
	if r.options.CrashDowntime > 0 {
		var restart *time.Timer
		restart = time.AfterFunc(r.options.CrashDowntime, func() {
			r.mu.Lock()
			defer r.mu.Unlock()
			if r.selfRestart == restart {
				r.restartLocked()
			}
		})
		r.selfRestart = restart
	}
}

// IsCrashed reports whether the runner has crashed.
func (r *TaskRunner) IsCrashed() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.refusing || r.unresponsive
}

// Paces returns the speed in percent that is in effect for each active run.
func (r *TaskRunner) Paces() map[structs.RunID]int {
	r.mu.Lock()
	defer r.mu.Unlock()
	paces := make(map[structs.RunID]int, len(r.runs))
	for id, run := range r.runs {
		paces[id] = run.pacePercent
	}
	return paces
}

// setPaceLocked changes the speed of a run after PaceDelay. The caller holds
// the lock.
func (r *TaskRunner) setPaceLocked(id structs.RunID, percent int) {
	run, found := r.runs[id]
	if !found {
		return
	}
	time.AfterFunc(r.options.PaceDelay, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		run.pacePercent = percent
	})
}

// Report returns the state that the runner publishes, with the next sequence
// number.
func (r *TaskRunner) Report() substrate.RunnerInfo {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.info.Sequence++
	return r.info
}

// Info returns the description of the current incarnation.
func (r *TaskRunner) Info() substrate.RunnerInfo {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.info
}

// Client returns a client of one incarnation.
func (r *TaskRunner) Client(incarnation string) *TaskRunnerClient {
	return &TaskRunnerClient{runner: r, incarnation: incarnation}
}

func (r *TaskRunner) clockLocked() substrate.RuntimeClock {
	return substrate.RuntimeClock(time.Since(r.incarnationStart))
}

func (r *TaskRunner) checkpointOf(id structs.RunID, run *taskRun) string {
	if r.options.Checkpoint != nil {
		return r.options.Checkpoint(id)
	}
	return run.checkpoint
}

// endRunLocked ends a run. The caller holds the lock.
func (r *TaskRunner) endRunLocked(id structs.RunID, end substrate.RunEnd) {
	run, found := r.runs[id]
	if !found {
		return
	}
	run.timer.Stop()
	delete(r.runs, id)
	checkpoint := r.checkpointOf(id, run)
	if end == substrate.RunEndStopped {
		checkpoint = "stopped-" + id.String()
	}
	r.leaveGang(id)
	r.highestEnded[id.Task] = max(r.highestEnded[id.Task], id.Number)
	r.endCount++
	r.unacknowledged = append(r.unacknowledged, substrate.EndedRun{Number: r.endCount, Run: id, End: end, Checkpoint: checkpoint})
	if r.options.Observer != nil {
		r.options.Observer.Ended(r.options.Info.ID, id, end)
	}
	close(r.runEnded)
	r.runEnded = make(chan struct{})
}

// endRun ends a run unless it has ended before.
func (r *TaskRunner) endRun(id structs.RunID, end substrate.RunEnd) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.endRunLocked(id, end)
}

func (r *TaskRunner) isFailing() bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.failRuns
}

// inGang reports whether the task belongs to a gang.
func (r *TaskRunner) inGang(id structs.RunID) bool {
	return r.options.Gangs != nil && r.options.Gangs.Size(id.Task) > 0
}

func (r *TaskRunner) isLongRunning(id structs.RunID) bool {
	return r.options.LongRunning != nil && r.options.LongRunning(id)
}

// leaveGang notifies the gang of a run that has ended. It uses a goroutine,
// since the caller holds the lock of the runner.
func (r *TaskRunner) leaveGang(id structs.RunID) {
	if r.inGang(id) {
		go r.options.Gangs.memberEnded(id)
	}
}

// expireLease ends every run when the lease has expired and was not extended.
func (r *TaskRunner) expireLease(incarnation string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.info.Incarnation != incarnation || time.Now().Before(r.leaseEnd) {
		return
	}
	for id := range r.runs {
		r.endRunLocked(id, substrate.RunEndLapsed)
	}
	r.lastLapsedEnd = r.endCount
}

// extendLeaseLocked moves the end of the lease forward, by MaxLease from now at
// most. The caller holds the lock.
func (r *TaskRunner) extendLeaseLocked(until substrate.RuntimeClock) {
	leaseEnd := r.incarnationStart.Add(time.Duration(until))
	if latest := time.Now().Add(r.options.MaxLease); leaseEnd.After(latest) {
		leaseEnd = latest
	}
	if !leaseEnd.After(r.leaseEnd) {
		return
	}
	r.leaseEnd = leaseEnd
	incarnation := r.info.Incarnation
	time.AfterFunc(time.Duration(leaseClockSlowdown*float64(time.Until(leaseEnd))), func() { r.expireLease(incarnation) })
}

// startRunLocked carries out a start. The caller holds the lock.
func (r *TaskRunner) startRunLocked(start substrate.TaskStart, lease substrate.RuntimeClock) error {
	id := start.Run
	if _, found := r.runs[id]; found {
		return nil
	}
	if id.Number <= r.highestEnded[id.Task] {
		r.extendLeaseLocked(lease)
		return &substrate.StartRefusedError{Refusal: substrate.RefusalStaleRun}
	}
	if p := r.options.Permits; p != nil && !p.isValid(start.Permit, id.Task.StepID(), r.info.ID) {
		r.extendLeaseLocked(lease)
		return &substrate.StartRefusedError{Refusal: substrate.RefusalPermit}
	}
	if r.clockLocked() >= lease {
		return &substrate.StartRefusedError{Refusal: substrate.RefusalLeaseLapsed}
	}
	r.extendLeaseLocked(lease)
	runTime := r.options.RunTime(id) * time.Duration(max(1, r.slowdown))
	if r.hangRuns {
		runTime = hungRunTime
	}
	incarnation := r.info.Incarnation
	run := &taskRun{startedAt: time.Now(), runTime: runTime, checkpoint: start.Checkpoint, pacePercent: 100}
	timerDelay := runTime
	failsAfter := r.failsAfterLocked(id)
	switch {
	case failsAfter > 0:
		timerDelay = failsAfter
	case r.isLongRunning(id):
		timerDelay = hungRunTime
	case r.inGang(id):
		timerDelay = hungRunTime // the gang ends the run
		go r.options.Gangs.join(r, id, runTime)
	}
	run.timer = time.AfterFunc(timerDelay, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.info.Incarnation != incarnation || r.runs[id] != run {
			return
		}
		if r.failRuns || failsAfter > 0 {
			r.endRunLocked(id, substrate.RunEndFailed)
		} else {
			r.endRunLocked(id, substrate.RunEndDone)
		}
	})
	r.runs[id] = run
	if r.options.Crashes != nil {
		if after := r.options.Crashes(id); after > 0 {
			time.AfterFunc(after, func() { r.crashBy(id, run) })
		}
	}
	if r.options.Observer != nil {
		r.options.Observer.Started(r.options.Info.ID, id)
	}
	return nil
}

// failsAfterLocked returns the time after which a run that starts now ends as
// failed, 0 if it does not. The caller holds the lock.
func (r *TaskRunner) failsAfterLocked(id structs.RunID) time.Duration {
	switch {
	case r.failStarts:
		return FailingStartDelay
	case r.options.FailsAfter != nil:
		return r.options.FailsAfter(id)
	default:
		return 0
	}
}

// stateLocked returns the active runs and the oldest ends that are not acknowledged.
// The caller holds the lock.
func (r *TaskRunner) stateLocked() substrate.RunnerState {
	maxEnds := cmp.Or(r.options.MaxListedEnds, DefaultMaxListedEnds)
	ended := r.unacknowledged[:min(maxEnds, len(r.unacknowledged))]
	state := substrate.RunnerState{Clock: r.clockLocked(), Ended: slices.Clone(ended), MoreEnds: len(ended) == maxEnds}
	for id, run := range r.runs {
		percent := 100
		if run.runTime > 0 && !r.isLongRunning(id) {
			percent = min(99, int(100*time.Since(run.startedAt)/run.runTime))
		}
		active := substrate.ActiveRun{Run: id, Percent: percent, Checkpoint: r.checkpointOf(id, run)}
		if r.options.Reading != nil {
			active.Reading = r.options.Reading(id)
		}
		state.Active = append(state.Active, active)
	}
	return state
}
