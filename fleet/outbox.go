package fleet

import (
	"context"

	"google.golang.org/protobuf/proto"

	"github.com/daisywall/daisywall/api/fleetpb"
	"github.com/daisywall/daisywall/bootclock"
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

// Limits of the messages of a session.
const (
	// maxOrdersBytes limits the starts in one message. It is far below the 4 MiB that
	// agents of earlier versions receive.
	maxOrdersBytes = 1 << 20
	// maxMessageBytes limits what an agent receives. The checkpoint and the payload of one
	// start fit by far.
	maxMessageBytes = 32 << 20
	// maxQueuedOrders is the number of queued messages beyond which starts wait until the
	// agent has read some.
	maxQueuedOrders = orderQueueSize / 2
)

// sendOrders sends the collected orders to the worker, with as many starts in one
// message as its limit allows. Starts that the queue has no room for are kept.
func (l *leader) sendOrders(w *worker) {
	s := w.session
	if s == nil || w.outbox.empty() {
		return
	}
	now := l.o.Clock()
	if w.awaitsLease(now) {
		return
	}
	hasSent := false
	for !w.outbox.empty() {
		hasRoom := len(s.orders) < maxQueuedOrders
		if !hasRoom && (hasSent || w.outbox.hasOnlyStarts()) {
			return
		}
		orders := l.newOrders(w, now)
		if hasRoom {
			l.addStarts(w, orders, now)
		}
		if !s.send(orders) {
			l.detachSession(s, &structs.UnavailableError{Dependency: "agent"})
			return
		}
		hasSent = true
	}
}

// hasOnlyStarts reports whether nothing but starts is due.
func (o *outbox) hasOnlyStarts() bool {
	others := *o
	others.starts = nil
	return others.empty()
}

// newOrders takes all orders but the starts out of the outbox and returns a message
// with them.
func (l *leader) newOrders(w *worker, now bootclock.Time) *fleetpb.WorkerOrders {
	out := &w.outbox
	w.session.lastOrderNumber++
	orders := &fleetpb.WorkerOrders{
		Epoch: l.epoch, Fence: w.session.fencingToken, Number: w.session.lastOrderNumber, Echo: w.listSentAt,
		Acknowledged: w.acknowledgedEnd, GoneStored: w.storedGone(), Known: out.knownRuns, TakeOver: out.takeoverRequested,
		Suspects: runsToProto(w.suspects), Unproven: runsToProto(w.unproven), Stops: runsToProto(out.stops),
	}
	if w.listed && now.Sub(w.listedAt) < l.o.Timing.SessionTimeout {
		lease := l.leaseDuration(w, now)
		orders.LeaseMs = lease.Milliseconds()
		end := now.Add(lease)
		w.grantedEndsAt = max(w.grantedEndsAt, end)
		if lease > 0 && end > w.leaseEndsAt {
			w.leaseEndsAt, w.isLeaseLimitedByList = end, false
		}
	}
	w.session.recordOrders(now)
	w.outbox = outbox{starts: out.starts}
	return orders
}

// addStarts moves starts from the outbox to the message until its limit is reached. It
// releases runs that must not start any more.
func (l *leader) addStarts(w *worker, orders *fleetpb.WorkerOrders, now bootclock.Time) {
	waiting := w.outbox.starts
	size, taken := proto.Size(orders), 0
	for _, start := range waiting {
		r := w.runs[runFromProto(start.GetRun())]
		if r != nil && l.mustNotStart(w, r) {
			l.release(w, r, "not started", "")
			r = nil
		}
		if r != nil {
			start.StartWithinMs = r.startWithin(now.Sub(w.listedAt)).Milliseconds()
			size += proto.Size(start)
			if size > maxOrdersBytes && len(orders.Starts) > 0 {
				break
			}
			r.startOrderNumber, r.startOrderedAt, r.startFence = orders.Number, now, orders.Fence
			r.isStartAnswered = false
			orders.Starts = append(orders.Starts, start)
		}
		taken++
	}
	w.outbox.starts = waiting[taken:]
	if taken < len(waiting) {
		l.metrics.splitOrders.Add(context.Background(), 1)
	}
}

// mustNotStart reports whether the run must not start any more.
func (l *leader) mustNotStart(w *worker, r *run) bool {
	return r.job.StopReason(r.id) != "" || w.draining || w.agentStops || l.isOwnHostLeaving(w) || l.drained(w.domain) || r.stopReason != ""
}
