package cell

import (
	"slices"
	"time"

	"github.com/daisywall/daisywall/api"
	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/structs"
)

// maxRecentResponses is the number of responses to a worker whose send times
// are kept.
const maxRecentResponses = 16

// workerSession is a leader's record of the heartbeats of one worker. It is
// held in memory only and lost with the leadership.
//
// A heartbeat is fresh if it acknowledges a response of this epoch and is
// newer than every heartbeat accepted before. The send time of the
// acknowledged response bounds its age.
type workerSession struct {
	worker              structs.Worker
	incarnation         string                                       // incarnation in the last fresh heartbeat, empty before the first one
	sequence            int64                                        // sequence number of the last fresh heartbeat, 0 before the first one
	ackedResponse       int64                                        // number of the newest response that a heartbeat has acknowledged
	ackedResponseSentAt time.Time                                    // when the acknowledged response was sent
	lastHeartbeatAt     time.Time                                    // when the last fresh heartbeat arrived
	leaseGrantedAt      time.Time                                    // when the worker was last granted a lease
	leaving             bool                                         // the worker has announced that it is about to stop
	lastRejectionAt     time.Time                                    // when the agent last rejected an assignment
	runs                map[structs.AttemptID]*daisywallpb.RunReport // runs that the worker has reported
	usage               map[structs.AttemptID]*daisywallpb.UsageReport
	deletableRuns       map[structs.AttemptID]struct{} // runs whose end is committed, which the worker may delete
	actionQueuedAt      map[structs.AttemptID]time.Time
	recentResponses     [maxRecentResponses]sentResponse // ring of the last responses
	responseCount       int                              // number of responses sent to the worker
	outbox              outbox
	failedCount         float64 // decayed number of attempts that failed on the worker
	finishedCount       float64 // decayed number of attempts that finished on the worker
}

// sentResponse is a response with the time at which it was sent.
type sentResponse struct {
	number int64
	sentAt time.Time
}

func newWorkerSession(w structs.WorkerID) *workerSession {
	return &workerSession{
		worker:         structs.Worker{ID: w},
		runs:           map[structs.AttemptID]*daisywallpb.RunReport{},
		usage:          map[structs.AttemptID]*daisywallpb.UsageReport{},
		deletableRuns:  map[structs.AttemptID]struct{}{},
		actionQueuedAt: map[structs.AttemptID]time.Time{},
	}
}

// recordResponse records when a response was sent.
func (s *workerSession) recordResponse(number int64, now time.Time) {
	s.recentResponses[s.responseCount%maxRecentResponses] = sentResponse{number: number, sentAt: now}
	s.responseCount++
}

// acceptIfFresh reports whether the heartbeat is fresh. If it is, the sequence
// number and the acknowledged response advance.
func (s *workerSession) acceptIfFresh(req *daisywallpb.HeartbeatRequest, epoch int64) bool {
	if req.GetReplyEpoch() != epoch || req.GetReply() == 0 {
		return false
	}
	newer := req.GetReply() > s.ackedResponse || (req.GetReply() == s.ackedResponse && req.GetSequence() > s.sequence)
	if !newer {
		return false
	}
	if req.GetReply() > s.ackedResponse {
		i := slices.IndexFunc(s.recentResponses[:], func(r sentResponse) bool { return r.number == req.GetReply() })
		if i < 0 {
			return false
		}
		s.ackedResponse, s.ackedResponseSentAt = req.GetReply(), s.recentResponses[i].sentAt
	}
	s.sequence = req.GetSequence()
	return true
}

// updateFrom copies the worker's own data from a fresh heartbeat.
func (s *workerSession) updateFrom(req *daisywallpb.HeartbeatRequest, now time.Time) {
	s.worker = structs.Worker{
		ID: structs.WorkerID(req.GetWorker()), FailureDomain: structs.FailureDomainID(req.GetFailureDomain()),
		Rack: req.GetRack(), Cell: structs.CellID(req.GetCell()), Address: req.GetAddress(),
		Capacity: api.ToResources(req.GetCapacity()),
	}
	s.leaving = req.GetLeaving()
	s.lastHeartbeatAt = now
	if s.incarnation != req.GetIncarnation() {
		s.incarnation = req.GetIncarnation()
		clear(s.runs)
		clear(s.usage)
		clear(s.deletableRuns)
	}
	if req.GetFull() {
		clear(s.runs)
	}
	for _, u := range req.GetUsage() {
		s.usage[api.ToAttempt(u.GetAttempt())] = u
	}
}
