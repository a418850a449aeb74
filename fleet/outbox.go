package fleet

import (
	"github.com/daisywall/daisywall/api/fleetpb"
	"github.com/daisywall/daisywall/structs"
)

// outbox collects the orders for one worker during one iteration of the
// leader's loop.
type outbox struct {
	replyDue          bool // orders are due as an answer to a report, or because the suspects have changed
	takeoverRequested bool
	ackDue            bool // acknowledgedEnd has advanced
	starts            []*fleetpb.Start
	stops             []structs.RunID
	knownRuns         []*fleetpb.Known
}

func (o *outbox) empty() bool {
	return !o.replyDue && !o.takeoverRequested && !o.ackDue && len(o.starts) == 0 && len(o.stops) == 0 && len(o.knownRuns) == 0
}

// sendOrders sends the collected orders to the worker.
func (l *leader) sendOrders(w *worker) {
	s := w.session
	if s == nil || w.outbox.empty() {
		return
	}
	now := l.o.Clock()
	if w.awaitsLease(now) {
		return
	}
	out := &w.outbox
	s.lastOrderNumber++
	orders := &fleetpb.WorkerOrders{
		Epoch: l.epoch, Fence: s.fencingToken, Number: s.lastOrderNumber, Echo: w.listSentAt,
		Acknowledged: w.acknowledgedEnd, Starts: out.starts, Known: out.knownRuns, TakeOver: out.takeoverRequested,
	}
	for _, r := range w.suspects {
		orders.Suspects = append(orders.Suspects, runToProto(r))
	}
	for _, r := range w.unproven {
		orders.Unproven = append(orders.Unproven, runToProto(r))
	}
	for _, r := range out.stops {
		orders.Stops = append(orders.Stops, runToProto(r))
	}
	if w.listed && now.Sub(w.listedAt) < l.o.Timing.SessionTimeout {
		lease := l.leaseDuration(w, now)
		orders.LeaseMs = lease.Milliseconds()
		w.leaseEndsAt = max(w.leaseEndsAt, now.Add(lease))
	}
	for _, start := range out.starts {
		if r := w.runs[runFromProto(start.GetRun())]; r != nil {
			r.startOrderNumber, r.startOrderedAt = s.lastOrderNumber, now
			start.StartWithinMs = r.startWithin(now.Sub(w.listedAt)).Milliseconds()
		}
	}
	w.outbox = outbox{}
	if !s.send(orders) {
		l.detachSession(s, &structs.UnavailableError{Dependency: "agent"})
	}
}
