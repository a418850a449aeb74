package fleet

import (
	"github.com/daisywall/daisywall/api/fleetpb"
	"github.com/daisywall/daisywall/structs"
)

// outbox collects the orders of one turn of the loop.
type outbox struct {
	reply    bool // a report waits for its answer
	takeOver bool
	acked    bool
	starts   []*fleetpb.Start
	stops    []structs.TaskRun
	known    []*fleetpb.Known
}

func (o *outbox) empty() bool {
	return !o.reply && !o.takeOver && !o.acked && len(o.starts) == 0 && len(o.stops) == 0 && len(o.known) == 0
}

// sendOrders sends what has gathered for the worker.
func (l *leader) sendOrders(w *worker) {
	s := w.session
	if s == nil || w.outbox.empty() {
		return
	}
	now := l.o.Clock()
	out := &w.outbox
	s.number++
	orders := &fleetpb.WorkerOrders{
		Epoch: l.epoch, Fence: s.fence, Number: s.number, Echo: w.echo,
		Acknowledged: w.acked, Starts: out.starts, Known: out.known, TakeOver: out.takeOver,
	}
	for _, r := range w.suspects {
		orders.Suspects = append(orders.Suspects, runToProto(r))
	}
	for _, r := range out.stops {
		orders.Stops = append(orders.Stops, runToProto(r))
	}
	if w.ready && now.Sub(w.listedAt) < l.o.Timing.Silence {
		lease := l.leaseFor(now)
		orders.LeaseMs = lease.Milliseconds()
		w.leased = max(w.leased, now.Add(lease))
	}
	for _, start := range out.starts {
		if r := w.runs[runFromProto(start.GetRun())]; r != nil {
			r.ordered = s.number
		}
	}
	w.outbox = outbox{}
	if !s.send(orders) {
		l.detached(s, &structs.UnavailableError{Dependency: "agent"})
	}
}
