package steps

import "github.com/daisywall/daisywall/structs"

// nearlyDoneShare is the share of a job's work below which the rest of it is not
// delayed by the share of its queue. Such a job frees its room soon.
const nearlyDoneShare = 0.1

// QueueShare is the standing of a filling demand's queue among the queues of its
// pool and priority. Callers that share pools by queue set Queue and TotalWork,
// and call MarkOverShare. The zero value applies no share.
type QueueShare struct {
	Queue     structs.QueueID
	TotalWork float64 // declared work of all tasks of the job, in processor seconds
	// IsOver is set if the queue uses more than its share. The demand is placed
	// after those of the same rank of slack whose queues don't.
	IsOver bool
}

// shareGroup are the queues that share a pool.
type shareGroup struct {
	pool     structs.PoolID
	priority int
}

// MarkOverShare sets IsOver of the filling demands whose queue has more of the
// processors in use than the mean of the queues with pending filling demands in
// its pool and priority. It answers the load of bursts of one queue that would
// otherwise take the whole pool. inUse holds the thousandths of a processor that
// the filling runs of each queue have declared.
//
// The mark changes only the order, so what the other queues leave is used.
func MarkOverShare(demands []Demand, inUse map[structs.QueueID]int64) {
	contenders := map[shareGroup]map[structs.QueueID]int64{}
	for i := range demands {
		d := &demands[i]
		d.Share.IsOver = false
		if !d.sharesPool() {
			continue
		}
		if contenders[d.shareGroup()] == nil {
			contenders[d.shareGroup()] = map[structs.QueueID]int64{}
		}
		contenders[d.shareGroup()][d.Share.Queue] = inUse[d.Share.Queue]
	}
	for i := range demands {
		d := &demands[i]
		if !d.sharesPool() || d.RemainingWork < nearlyDoneShare*d.Share.TotalWork {
			continue
		}
		queues := contenders[d.shareGroup()]
		total := int64(0)
		for _, used := range queues {
			total += used
		}
		d.Share.IsOver = inUse[d.Share.Queue]*int64(len(queues)) > total
	}
}

// sharesPool reports whether the demand takes part in the shares by queue.
func (d *Demand) sharesPool() bool {
	return d.Spec.Fills && !d.Spec.LongRunning && d.Share.Queue != ""
}

func (d *Demand) shareGroup() shareGroup { return shareGroup{d.Pool, d.Priority} }
