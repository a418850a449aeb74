package fleet

import (
	"context"
	"sync"
	"time"

	"go.uber.org/zap"

	"github.com/daisywall/daisywall/api/fleetpb"
	"github.com/daisywall/daisywall/substrate"
)

// host is the agent's side of its host: the runner that announced itself, and
// the session with the leader.
type host struct {
	o       Options
	metrics *metrics

	mu      sync.Mutex
	info    substrate.RunnerInfo // zero while no runner is known
	gone    bool                 // the incarnation was found to have ended
	ended   string               // the last incarnation that was found so
	leaving bool                 // the runner said that it ends
	changed chan struct{}        // signalled when info changes what the leader should know
	epoch   int64                // highest epoch of a leader that gave orders

	takeOver chan leaderRow // the leader that asks to be replaced
	replaced chan int64     // epoch of a leader that has been replaced
}

func newHost(o Options, m *metrics) *host {
	return &host{o: o, metrics: m, changed: make(chan struct{}, 1), takeOver: make(chan leaderRow, 1), replaced: make(chan int64, 1)}
}

// announce takes in a report of a runner about itself. An older incarnation, or
// an older report of the current one, changes nothing.
func (h *host) announce(info substrate.RunnerInfo) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	same := info.Incarnation == h.info.Incarnation
	switch {
	case same && info.Sequence <= h.info.Sequence:
		return true // late, but of the current incarnation
	case !same && h.info.Incarnation != "" && !info.Born.After(h.info.Born):
		h.o.Log.Warn("announcement of an earlier incarnation ignored", zap.String("runner", info.ID),
			zap.Time("born", info.Born), zap.Time("current", h.info.Born))
		return false
	}
	notable := !same || info.Draining != h.info.Draining || h.gone
	if h.ended == info.Incarnation {
		h.ended = "" // it was not
	}
	h.info = info
	h.gone = false
	if !same {
		h.leaving = false
	}
	if notable {
		h.o.Log.Info("runner", zap.String("runner", info.ID), zap.String("incarnation", info.Incarnation), zap.String("pool", string(info.Pool)),
			zap.Bool("draining", info.Draining), zap.Duration("remaining", info.Remaining), zap.Int64("sequence", info.Sequence))
		h.signal()
	}
	return true
}

func (h *host) leave(id string) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.info.ID != id {
		return
	}
	h.leaving = true
	h.o.Log.Info("runner leaves", zap.String("runner", id))
	h.signal()
}

func (h *host) signal() {
	select {
	case h.changed <- struct{}{}:
	default: // a signal is waiting already
	}
}

// current returns the runner, with Draining set once it has said that it ends,
// or the zero value when none is known.
func (h *host) current() substrate.RunnerInfo {
	h.mu.Lock()
	defer h.mu.Unlock()
	if h.gone {
		return substrate.RunnerInfo{}
	}
	info := h.info
	info.Draining = info.Draining || h.leaving
	return info
}

func (h *host) draining() bool { return h.current().Draining }

// lose takes note that the incarnation has ended. If another one answered in
// its place, that one may have taken a start that was meant for it, and only
// its list tells: the leader is not told that the runs are over.
func (h *host) lose(incarnation string, replaced bool) {
	h.mu.Lock()
	defer h.mu.Unlock()
	if !replaced {
		h.ended = incarnation
	}
	if h.info.Incarnation == incarnation {
		h.gone = true
	}
	h.signal()
}

// admits reports whether orders of the epoch may be followed.
func (h *host) admits(epoch int64) bool {
	h.mu.Lock()
	defer h.mu.Unlock()
	if epoch < h.epoch {
		return false
	}
	h.epoch = epoch
	return true
}

// askTakeOver passes a leader's wish to be replaced on.
func (h *host) askTakeOver(row leaderRow) {
	select {
	case h.takeOver <- row:
	default: // an earlier wish is being dealt with
	}
}

// leaderReplaced ends the session with a leader that has been replaced.
func (h *host) leaderReplaced(epoch int64) {
	select {
	case h.replaced <- epoch:
	default: // the session is told already
	}
}

// sessionEnd says why a session ended.
type sessionEnd int

const (
	endLost     sessionEnd = iota // it had worked, and broke
	endSilent                     // nobody answered
	endRefused                    // nothing listens there
	endReplaced                   // another node leads
)

// String returns the word for logs.
func (e sessionEnd) String() string {
	return [...]string{"connection lost", "no answer", "connection refused", "another leads"}[e]
}

// answerTimeout bounds the wait for the first orders of a session.
const answerTimeout = 700 * time.Millisecond

// attend keeps a session with the leader until it ends.
func (h *host) attend(ctx context.Context, row leaderRow) sessionEnd {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	dialed := &dialer{dial: h.o.Dial}
	conn, err := dialed.connect(row.Address)
	if err != nil {
		h.o.Log.Error("leader's address cannot be used", zap.String("leader", row.Address), zap.Error(err))
		return endSilent
	}
	defer conn.Close()
	timer := time.AfterFunc(answerTimeout, cancel)
	stream, err := fleetpb.NewFleetClient(conn).Attend(ctx)
	if err != nil {
		return h.unanswered(row, dialed, err)
	}
	info := h.current()
	a := newAttendance(h, row, info, stream)
	if err := stream.Send(&fleetpb.WorkerReport{Hello: h.hello(info), SentAt: int64(h.o.Clock())}); err != nil {
		return h.unanswered(row, dialed, err)
	}
	first, err := stream.Recv()
	if err != nil || !timer.Stop() {
		return h.unanswered(row, dialed, err)
	}
	end, err := a.run(ctx, cancel, first)
	h.o.Log.Info("session ended", zap.Int64("epoch", row.Epoch), zap.String("leader", row.Address), zap.Stringer("because", end), zap.Error(err))
	return end
}

// unanswered tells a leader that is gone from one that is silent.
func (h *host) unanswered(row leaderRow, d *dialer, err error) sessionEnd {
	end := endSilent
	if d.refused() {
		end = endRefused
	}
	h.o.Log.Info("leader did not answer", zap.Int64("epoch", row.Epoch), zap.String("leader", row.Address), zap.Stringer("because", end), zap.Error(err))
	return end
}

func (h *host) hello(info substrate.RunnerInfo) *fleetpb.Hello {
	h.mu.Lock()
	defer h.mu.Unlock()
	return &fleetpb.Hello{
		Worker: string(h.o.Worker), FailureDomain: string(h.o.FailureDomain), Address: h.o.Address, Gone: h.ended,
		Incarnation: info.Incarnation, Runner: info.ID, Pool: string(info.Pool), Rack: info.Rack, Labels: info.Labels,
		MilliCpu: info.Capacity.MilliCPU, MemoryMb: info.Capacity.MemoryMB, Accelerators: info.Capacity.Accelerators,
	}
}
