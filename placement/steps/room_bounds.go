package steps

import "github.com/daisywall/daisywall/structs"

// roomBounds holds upper bounds of the room of the workers of each pool. They answer
// the load of many steps that find no room: without them, each step is compared with
// each worker in each cycle. Plan only reduces the room of workers, so that bounds
// from its start hold until its end.
type roomBounds map[structs.PoolID]roomBound

type roomBound struct {
	free structs.Resources // highest amounts that are not reserved on a worker
	idle float64           // highest Worker.idleMilliCPU
}

func newRoomBounds(workers []*Worker) roomBounds {
	bounds := roomBounds{}
	for _, w := range workers {
		if !w.Reserved.Fits(w.Capacity) {
			continue // has no room for any task, see hasRoom
		}
		b, found := bounds[w.Pool]
		if !found {
			b.idle = w.idleMilliCPU()
		}
		free := w.Capacity.Sub(w.Reserved)
		b.free.MilliCPU = max(b.free.MilliCPU, free.MilliCPU)
		b.free.MemoryMB = max(b.free.MemoryMB, free.MemoryMB)
		b.free.Accelerators = max(b.free.Accelerators, free.Accelerators)
		b.idle = max(b.idle, w.idleMilliCPU())
		bounds[w.Pool] = b
	}
	return bounds
}

// excludes reports whether no worker has room for a task of the demand. It may be
// false although none has.
func (r roomBounds) excludes(d *Demand) bool {
	if r == nil {
		return false
	}
	b, found := r[d.Pool]
	if !found {
		return true
	}
	need := d.reservedResources()
	if need.MilliCPU > b.free.MilliCPU || need.MemoryMB > b.free.MemoryMB || need.Accelerators > b.free.Accelerators {
		return true
	}
	return d.Spec.Fills && len(d.Overdue) == 0 && b.idle < minIdleShare*float64(d.Spec.Resources.MilliCPU)
}
