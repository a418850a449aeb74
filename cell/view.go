package cell

import (
	"slices"
	"time"

	"github.com/daisywall/daisywall/api"
	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/structs"
)

// repliesKept is the number of responses to a worker whose time is remembered.
const repliesKept = 16

// view is what a leader has heard of one worker. It is lost with the leader.
type view struct {
	worker      structs.Worker
	incarnation string // of the youngest heartbeat whose age is proved
	sequence    int64
	echo        int64     // youngest response that a heartbeat has repeated
	echoSent    time.Time // when that response was sent
	seen        time.Time // when the last heartbeat of proved age arrived
	granted     time.Time // when the last lease was granted
	leaving     bool
	rejected    time.Time                                    // when the agent last rejected an assignment
	runs        map[structs.AttemptID]*daisywallpb.RunReport // not over
	usage       map[structs.AttemptID]*daisywallpb.UsageReport
	forget      map[structs.AttemptID]struct{} // over, and their end is committed
	asked       map[structs.AttemptID]time.Time
	replies     [repliesKept]reply // the last ones, in a ring
	answers     int                // responses so far
	outbox      outbox
	failed      float64 // decayed number of attempts that failed here
	finished    float64 // the same of those that finished
}

// reply is the time at which a response was sent.
type reply struct {
	number int64
	sent   time.Time
}

func newView(w structs.WorkerID) *view {
	return &view{
		worker: structs.Worker{ID: w},
		runs:   map[structs.AttemptID]*daisywallpb.RunReport{},
		usage:  map[structs.AttemptID]*daisywallpb.UsageReport{},
		forget: map[structs.AttemptID]struct{}{},
		asked:  map[structs.AttemptID]time.Time{},
	}
}

// answered remembers when a response was sent.
func (v *view) answered(number int64, now time.Time) {
	v.replies[v.answers%repliesKept] = reply{number: number, sent: now}
	v.answers++
}

// proveAge reports whether the heartbeat is younger than every one before it,
// and moves the view's readings forward if so.
func (v *view) proveAge(req *daisywallpb.HeartbeatRequest, epoch int64) bool {
	if req.GetReplyEpoch() != epoch || req.GetReply() == 0 {
		return false
	}
	newer := req.GetReply() > v.echo || (req.GetReply() == v.echo && req.GetSequence() > v.sequence)
	if !newer {
		return false
	}
	if req.GetReply() > v.echo {
		i := slices.IndexFunc(v.replies[:], func(r reply) bool { return r.number == req.GetReply() })
		if i < 0 {
			return false
		}
		v.echo, v.echoSent = req.GetReply(), v.replies[i].sent
	}
	v.sequence = req.GetSequence()
	return true
}

// describe takes the worker's own data from a heartbeat.
func (v *view) describe(req *daisywallpb.HeartbeatRequest, now time.Time) {
	v.worker = structs.Worker{
		ID: structs.WorkerID(req.GetWorker()), FailureDomain: structs.FailureDomainID(req.GetFailureDomain()),
		Rack: req.GetRack(), Cell: structs.CellID(req.GetCell()), Address: req.GetAddress(),
		Capacity: api.ToResources(req.GetCapacity()),
	}
	v.leaving = req.GetLeaving()
	v.seen = now
	if v.incarnation != req.GetIncarnation() {
		v.incarnation = req.GetIncarnation()
		clear(v.runs)
		clear(v.usage)
		clear(v.forget)
	}
	if req.GetFull() {
		clear(v.runs)
	}
	for _, u := range req.GetUsage() {
		v.usage[api.ToAttempt(u.GetAttempt())] = u
	}
}
