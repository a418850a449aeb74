package cell

import (
	"context"
	"slices"
	"time"

	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// serviceEvictionPeriod is the time between the evictions of two service
// instances. It lets one instance start elsewhere before the next one stops.
const serviceEvictionPeriod = 10 * time.Second

// handoffCell is the summary of a cell that can accept tasks of this cell.
type handoffCell = Summary

// readHandoffCells reads the summaries of the cells that can accept tasks of
// this cell.
func (l *leader) readHandoffCells(ctx context.Context) ([]handoffCell, error) {
	cells, err := cellsInService(ctx, l.client)
	if err != nil {
		return nil, err
	}
	return slices.DeleteFunc(cells, func(c Summary) bool { return c.Cell == l.cell }), nil
}

// isEvacuating reports whether all tasks must leave the cell.
func (l *leader) isEvacuating() bool { return l.domain.outOfService || l.foreign }

// addEvacuation evicts the running tasks at a bounded pace and hands the
// pending tasks over to other cells. A running task becomes pending only after
// the end of its last attempt is committed.
func (l *leader) addEvacuation(txn *leaderTxn, now time.Time) {
	if !l.recovered || !l.domain.polled {
		return
	}
	l.evictAssigned(now)
	if len(l.domain.handoffCells) == 0 {
		return
	}
	byJob := map[structs.JobID][]*Task{}
	var order []structs.JobID
	total := 0
	for _, t := range l.state.Pending() {
		if total == maxHandoffs {
			break
		}
		if t.job.CancelRequested {
			continue
		}
		id := t.job.Job.ID
		if byJob[id] == nil {
			order = append(order, id)
		}
		byJob[id] = append(byJob[id], t)
		total++
	}
	for i, id := range order {
		to, found := l.chooseCell(byJob[id][0].Job(), i)
		if found {
			l.addHandoff(txn, to, byJob[id])
		}
	}
}

// chooseCell returns a cell with a large enough worker for a task of the job.
// turn shifts the first cell that is checked, so that jobs with different turns
// go to different cells.
func (l *leader) chooseCell(job *structs.Job, turn int) (structs.CellID, bool) {
	cells := l.domain.handoffCells
	for i := range cells {
		cell := &cells[(int(l.state.Seq)+turn+i)%len(cells)]
		if cell.fits(job.Resources) {
			return cell.Cell, true
		}
	}
	return "", false
}

// addHandoff hands the tasks of one job over to another cell.
func (l *leader) addHandoff(txn *leaderTxn, to structs.CellID, tasks []*Task) {
	id := tasks[0].job.Job.ID
	inbox := Inbox{Job: id}
	for _, t := range tasks {
		txn.batch.Moves = append(txn.batch.Moves, newTaskRef(t.ID()))
		inbox.Tasks = append(inbox.Tasks, Handoff{
			First: t.Index, Count: 1, Number: t.Number, Checkpoint: t.Checkpoint, FailedOn: t.FailedOn, Crashes: t.Crashes,
		})
	}
	txn.puts = append(txn.puts, substrate.Put{Key: handoffKey(to, id, l.cell, l.state.Seq), Value: encode(inbox)})
}

// evictAssigned evicts the assigned tasks, batch work first, with a bounded
// number of evictions in flight.
func (l *leader) evictAssigned(now time.Time) {
	var batch, services []*Task
	for _, t := range l.state.Assigned() {
		if t.job.Job.Kind == structs.WorkService {
			services = append(services, t)
		} else {
			batch = append(batch, t)
		}
	}
	l.evictUpTo(batch, l.options.Timing.MaxEvictionsInFlight, now)
	if len(batch) > 0 || now.Sub(l.serviceEvictedAt) < serviceEvictionPeriod {
		return
	}
	if l.evictUpTo(services, 1, now) {
		l.serviceEvictedAt = now
	}
}

// evictUpTo keeps at most limit evictions in flight. It reports whether it
// requested a new eviction.
func (l *leader) evictUpTo(tasks []*Task, limit int, now time.Time) bool {
	requested := false
	inFlight := 0
	for _, t := range tasks {
		session := l.sessions[t.Worker]
		if inFlight == limit {
			return requested
		}
		if session == nil {
			continue
		}
		if _, reported := session.runs[t.Attempt()]; !reported {
			continue
		}
		inFlight++
		_, alreadyQueued := session.actionQueuedAt[t.Attempt()]
		requested = requested || !alreadyQueued
		l.queueAction(session, t.Attempt(), daisywallpb.Action_VERB_EVICT, now)
		l.deliver(session)
	}
	return requested
}

// evictFromLeavingWorkers evicts the tasks of workers that are about to stop.
func (l *leader) evictFromLeavingWorkers(now time.Time) {
	if !l.recovered {
		return
	}
	for id, session := range l.sessions {
		if session.leaving {
			l.evictUpTo(l.state.AssignedTo(id), l.options.Timing.MaxEvictionsInFlight, now)
		}
	}
}
