package fleet

import (
	"time"

	"github.com/daisywall/daisywall/api/fleetpb"
	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// establishedAge is the age given to a run that the agent has not started.
const establishedAge = time.Second

// runRegister holds the runs of one incarnation of the host's runner with the
// times at which they began, so that the agent can report what ran when the
// incarnation crashed.
type runRegister struct {
	incarnation string
	begunAt     map[structs.RunID]bootclock.Time
	started     map[structs.RunID]bool // runs whose start was answered, or that were listed
	calls       map[structs.RunID]*startCalls
	listedAt    bootclock.Time // last list, 0 before the first
	failingFrom bootclock.Time // first failed poll since the last list, 0 if there is none
}

// startCalls are the calls of this process to start a run.
type startCalls struct {
	open         int            // starts in progress
	areAnswered  bool           // the runner has answered all calls of at least one start
	unansweredAt bootclock.Time // when the last start ended of which a call had no answer, 0 without one
}

func newRunRegister(incarnation string) runRegister {
	return runRegister{
		incarnation: incarnation, begunAt: map[structs.RunID]bootclock.Time{}, started: map[structs.RunID]bool{}, calls: map[structs.RunID]*startCalls{},
	}
}

// register returns the register of the incarnation, an unused one if that is not
// the current incarnation any more. The caller holds mu.
func (h *host) register(incarnation string) *runRegister {
	if incarnation != h.info.Incarnation {
		unused := newRunRegister("")
		return &unused
	}
	if h.runs.begunAt == nil || h.runs.incarnation != incarnation {
		h.runs = newRunRegister(incarnation)
	}
	return &h.runs
}

// recordStart records that the agent is about to send a start to the incarnation, by an
// order of the leader of the epoch. The result is for recordStartEnd. It is nil if the order must
// not be executed any more.
func (h *host) recordStart(epoch int64, incarnation string, run structs.RunID) *startCalls {
	h.mu.Lock()
	defer h.mu.Unlock()
	if epoch < h.highestEpoch {
		return nil
	}
	r := h.register(incarnation)
	r.begunAt[run] = h.o.Clock()
	if r.calls[run] == nil {
		r.calls[run] = &startCalls{}
	}
	r.calls[run].open++
	h.attended.openStarts++
	return r.calls[run]
}

// recordStartEnd records that the agent makes no further calls for a start of a run, and
// whether the runner has answered all of them.
func (h *host) recordStartEnd(calls *startCalls, areAnswered bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	calls.open--
	h.attended.openStarts--
	if areAnswered {
		calls.areAnswered = true
		return
	}
	calls.unansweredAt = h.o.Clock()
	h.attended.unansweredAt = calls.unansweredAt
}

// isSettled reports whether no call to start the run can be under way: this process has
// started it in the incarnation, which has answered all calls, and those of an earlier
// process of the agent have lapsed.
func (h *host) isSettled(incarnation string, run structs.RunID) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	calls := h.register(incarnation).calls[run]
	return calls != nil && calls.open == 0 && calls.areAnswered && calls.unansweredAt == 0 && h.sinceOtherCalls(h.info.ID, incarnation) >= h.o.Timing.Lease
}

// recordStarted records that the incarnation has answered the start of a run.
func (h *host) recordStarted(incarnation string, run structs.RunID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.register(incarnation).started[run] = true
}

// unsettledStarts returns the runs to which a call to start them may be under way in the
// current incarnation.
func (h *host) unsettledStarts() []string {
	h.mu.Lock()
	defer h.mu.Unlock()
	var unsettled []string
	for run, calls := range h.register(h.info.Incarnation).calls {
		isRecent := calls.unansweredAt > 0 && h.o.Clock().Sub(calls.unansweredAt) < h.o.Timing.Lease
		if calls.open > 0 || isRecent {
			unsettled = append(unsettled, run.String())
		}
	}
	return unsettled
}

// recordList records the runs that the incarnation has listed. It keeps runs
// whose start is in progress. A listed run that this process has not started may
// be of any age and gets establishedAge.
func (h *host) recordList(incarnation string, active []substrate.ActiveRun, starting map[structs.RunID]*startOp) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.register(incarnation)
	r.listedAt, r.failingFrom = h.o.Clock(), 0
	listed := make(map[structs.RunID]bootclock.Time, len(active)+len(starting))
	started := make(map[structs.RunID]bool, len(active)+len(starting))
	for _, a := range active {
		begunAt, found := r.begunAt[a.Run]
		if !found {
			begunAt = h.o.Clock().Add(-establishedAge)
		}
		listed[a.Run], started[a.Run] = begunAt, true
	}
	for id := range starting {
		if begunAt, found := r.begunAt[id]; found {
			listed[id], started[id] = begunAt, started[id] || r.started[id]
		}
	}
	r.begunAt, r.started = listed, started
	for id, calls := range r.calls {
		isOld := h.o.Clock().Sub(calls.unansweredAt) >= h.o.Timing.settledIncarnationAge()
		if _, found := listed[id]; !found && calls.open == 0 && (calls.unansweredAt == 0 || isOld) {
			delete(r.calls, id)
		}
	}
}

// ageOf returns the time since the agent sent the start of the run or first listed it, 0
// if the incarnation has no such run.
func (h *host) ageOf(incarnation string, run structs.RunID) time.Duration {
	h.mu.Lock()
	defer h.mu.Unlock()
	begunAt, found := h.register(incarnation).begunAt[run]
	if !found {
		return 0
	}
	return h.o.Clock().Sub(begunAt)
}

// recordFailedPoll records that the incarnation did not answer a poll.
func (h *host) recordFailedPoll(incarnation string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	r := h.register(incarnation)
	if r.failingFrom == 0 {
		r.failingFrom = h.o.Clock()
		h.signalWatch()
	}
	if incarnation == h.info.Incarnation {
		h.acceptReplacement()
	}
}

// recordCrash records the runs of the current incarnation, which has ended, for
// the next session with a leader. The end of a runner that was draining or
// leaving, or whose agent is about to stop too, is no crash. The caller holds mu.
func (h *host) recordCrash() {
	if h.info.Draining || h.leaving || h.stopping {
		return
	}
	r := h.register(h.info.Incarnation)
	crashedAt := r.failingFrom
	if crashedAt == 0 {
		crashedAt = h.o.Clock()
	}
	h.crash, h.crashedAt = &fleetpb.Crash{Incarnation: r.incarnation}, crashedAt
	for id, begunAt := range r.begunAt {
		age := crashedAt.Sub(begunAt)
		if age < 0 && !r.started[id] {
			continue // the start did not reach the incarnation
		}
		h.crash.Runs = append(h.crash.Runs, &fleetpb.CrashedRun{
			Run: runToProto(id), AgeMs: int64(max(0, age) / time.Millisecond), Started: r.started[id],
		})
	}
}

// crashReport returns the last crash of a runner of the host, nil if this process
// has seen none. The caller holds mu.
func (h *host) crashReport() *fleetpb.Crash {
	if h.crash == nil {
		return nil
	}
	ago := h.o.Clock().Sub(h.crashedAt)
	return &fleetpb.Crash{Incarnation: h.crash.Incarnation, Runs: h.crash.Runs, AgoMs: int64(ago / time.Millisecond)}
}
