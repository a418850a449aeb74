package cell

import (
	"context"
	"slices"
	"time"

	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// serviceMovePeriod is the time between the evictions of two services, so that
// one has started elsewhere before the next one stops.
const serviceMovePeriod = 10 * time.Second

// peer is a cell that can take work over.
type peer = Summary

// readPeers reads the cells that can take work over.
func (l *leader) readPeers(ctx context.Context) ([]peer, error) {
	cells, err := openCells(ctx, l.settler)
	if err != nil {
		return nil, err
	}
	return slices.DeleteFunc(cells, func(c Summary) bool { return c.Cell == l.cell }), nil
}

// evacuating reports whether the cell's work is to leave it.
func (l *leader) evacuating() bool { return l.domain.out || l.foreign }

// composeMoves evicts what runs here at a bounded pace and hands pending tasks
// over to other cells. A task is pending only once the end of its last attempt
// is committed.
func (l *leader) composeMoves(w *work, now time.Time) {
	if !l.ready || !l.domain.polled {
		return
	}
	l.evictAll(now)
	if len(l.domain.peers) == 0 {
		return
	}
	moved := map[structs.JobID][]*Task{}
	var order []structs.JobID
	total := 0
	for _, t := range l.state.Pending() {
		if total == maxMoves {
			break
		}
		if t.job.CancelRequested {
			continue
		}
		id := t.job.Job.ID
		if moved[id] == nil {
			order = append(order, id)
		}
		moved[id] = append(moved[id], t)
		total++
	}
	for i, id := range order {
		to, found := l.chooseCell(moved[id][0].Job(), i)
		if found {
			l.move(w, to, moved[id])
		}
	}
}

// chooseCell spreads jobs over the peers that have a large enough worker.
func (l *leader) chooseCell(job *structs.Job, turn int) (structs.CellID, bool) {
	peers := l.domain.peers
	for i := range peers {
		p := &peers[(int(l.state.Seq)+turn+i)%len(peers)]
		if p.fits(job.Resources) {
			return p.Cell, true
		}
	}
	return "", false
}

// move hands the tasks of one job over.
func (l *leader) move(w *work, to structs.CellID, tasks []*Task) {
	id := tasks[0].job.Job.ID
	item := Inbox{Job: id}
	for _, t := range tasks {
		w.batch.Moves = append(w.batch.Moves, refOf(t.ID()))
		item.Tasks = append(item.Tasks, Handoff{
			First: t.Index, Count: 1, Number: t.Number, Checkpoint: t.Checkpoint, FailedOn: t.FailedOn,
		})
	}
	w.puts = append(w.puts, substrate.Put{Key: handoffKey(to, id, l.cell, l.state.Seq), Value: encode(item)})
}

// evictAll asks for evictions, batch work first, with a bounded number under
// way.
func (l *leader) evictAll(now time.Time) {
	var batch, services []*Task
	for _, t := range l.state.Assigned() {
		if t.job.Job.Kind == structs.WorkService {
			services = append(services, t)
		} else {
			batch = append(batch, t)
		}
	}
	l.evictSome(batch, l.o.Timing.MovePace, now)
	if len(batch) > 0 || now.Sub(l.moved) < serviceMovePeriod {
		return
	}
	if l.evictSome(services, 1, now) {
		l.moved = now
	}
}

// evictSome keeps up to limit evictions under way. It reports whether it asked
// for a new one.
func (l *leader) evictSome(tasks []*Task, limit int, now time.Time) bool {
	fresh := false
	underWay := 0
	for _, t := range tasks {
		v := l.views[t.Worker]
		if underWay == limit {
			return fresh
		}
		if v == nil {
			continue
		}
		if _, reported := v.runs[t.Attempt()]; !reported {
			continue
		}
		underWay++
		_, asked := v.asked[t.Attempt()]
		fresh = fresh || !asked
		l.ask(v, t.Attempt(), daisywallpb.Action_VERB_EVICT, now)
		l.deliver(v)
	}
	return fresh
}

// evictLeaving moves the work off workers that are about to stop.
func (l *leader) evictLeaving(now time.Time) {
	if !l.ready {
		return
	}
	for id, v := range l.views {
		if v.leaving {
			l.evictSome(l.state.AssignedTo(id), l.o.Timing.MovePace, now)
		}
	}
}
