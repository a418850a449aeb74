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
	listedAt    bootclock.Time         // last list, 0 before the first
	failingFrom bootclock.Time         // first failed poll since the last list, 0 if there is none
}

// register returns the register of the incarnation, an unused one if that is not
// the current incarnation any more. The caller holds mu.
func (h *host) register(incarnation string) *runRegister {
	if incarnation != h.info.Incarnation {
		return &runRegister{begunAt: map[structs.RunID]bootclock.Time{}, started: map[structs.RunID]bool{}}
	}
	if h.runs.begunAt == nil || h.runs.incarnation != incarnation {
		h.runs = runRegister{incarnation: incarnation, begunAt: map[structs.RunID]bootclock.Time{}, started: map[structs.RunID]bool{}}
	}
	return &h.runs
}

// recordStart records that the agent is about to send a start to the
// incarnation.
func (h *host) recordStart(incarnation string, run structs.RunID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.register(incarnation).begunAt[run] = h.o.Clock()
}

// recordStarted records that the incarnation has answered the start of a run.
func (h *host) recordStarted(incarnation string, run structs.RunID) {
	h.mu.Lock()
	defer h.mu.Unlock()
	h.register(incarnation).started[run] = true
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
	}
	if incarnation == h.info.Incarnation {
		h.acceptReplacement()
	}
}

// recordCrash records the runs of the current incarnation, which has ended, for
// the next session with a leader. The end of a runner that was draining or
// leaving is no crash. The caller holds mu.
func (h *host) recordCrash() {
	if h.info.Draining || h.leaving {
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
