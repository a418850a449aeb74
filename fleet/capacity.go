package fleet

import (
	"slices"

	"go.uber.org/zap"

	"github.com/daisywall/daisywall/api/fleetpb"
	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// isDescribedAlike reports whether two reports of an incarnation agree in what
// the leader places tasks by.
func isDescribedAlike(a, b substrate.RunnerInfo) bool {
	return a.Capacity == b.Capacity && a.Pool == b.Pool && a.Rack == b.Rack && slices.Equal(a.Labels, b.Labels)
}

// shrankAfter reports whether the capacity may have shrunk after the given time:
// a smaller one or a new incarnation was announced.
func (h *host) shrankAfter(at bootclock.Time) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	return h.shrankAt > at
}

// addDescription adds the runner's description to the report if it has changed
// since the last one that was sent in this session.
func (a *agentSession) addDescription(r *fleetpb.WorkerReport, info substrate.RunnerInfo) {
	if info.Incarnation != a.info.Incarnation || isDescribedAlike(info, a.info) {
		return
	}
	a.info = info
	r.Hello = a.host.hello(info)
}

// describe records what the runner reports about itself, and returns the
// capacity that it had before.
func (w *worker) describe(hello *fleetpb.Hello) (before structs.Resources) {
	before = w.capacity
	w.rack, w.pool, w.labels = hello.GetRack(), structs.PoolID(hello.GetPool()), hello.GetLabels()
	w.capacity = structs.Resources{MilliCPU: hello.GetMilliCpu(), MemoryMB: hello.GetMemoryMb(), Accelerators: hello.GetAccelerators()}
	return before
}

// updateDescription records a change of the runner's description during a
// session.
func (l *leader) updateDescription(w *worker, hello *fleetpb.Hello) {
	if hello == nil || hello.GetIncarnation() != w.incarnation {
		return
	}
	before := w.describe(hello)
	l.log.Info("runner changed", zap.String("worker", string(w.id)), zap.Any("capacity", w.capacity), zap.Any("before", before),
		zap.String("pool", string(w.pool)), zap.String("rack", w.rack), zap.Strings("labels", w.labels), zap.Any("reserved", w.reservedBeside(nil)))
}

// reservedBeside returns the resources of the worker's runs that may have
// started and have not ended, without those of the given run.
func (w *worker) reservedBeside(except *run) structs.Resources {
	sum := w.unassigned
	for _, r := range w.runs {
		isAwaitingCommit := r.assignedAt > 0 && r.startOrderNumber == 0 && r.startedAt == 0
		if r != except && !isAwaitingCommit {
			sum = sum.Add(reservedBy(r))
		}
	}
	return sum
}

// stillFits reports whether an assigned run fits beside the runs that may have
// started. The capacity may have shrunk since the assignment.
func (w *worker) stillFits(r *run) bool {
	return w.reservedBeside(r).Add(reservedBy(r)).Fits(w.capacity)
}
