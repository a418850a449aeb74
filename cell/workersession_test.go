package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/api/daisywallpb"
)

// TestFreshHeartbeatsAreAccepted guards against fresh heartbeats that count as
// stale. The workers of a cell report in turn, so the responses to one worker
// have numbers with gaps.
func TestFreshHeartbeatsAreAccepted(t *testing.T) {
	for _, workers := range []int{1, 15, 16, 64} {
		t.Run(fmt.Sprint(workers), func(t *testing.T) {
			is := is.New(t)
			l := testLeader(t, NewState())
			replies := make([]int64, workers)
			for round := range 3 {
				for i := range workers {
					req := &daisywallpb.HeartbeatRequest{
						Cell: "a", Worker: string(benchWorker(i)), Sequence: int64(round), Reply: replies[i], ReplyEpoch: 1,
					}
					resp, ok := l.handleHeartbeat(req)
					is.True(ok)
					replies[i] = resp.GetReply()
					fresh := resp.GetIntervalMs() != staleHeartbeatInterval.Milliseconds()
					is.Equal(fresh, round > 0)
				}
			}
		})
	}
}

func TestStaleHeartbeatsAreNotAccepted(t *testing.T) {
	for name, c := range map[string]struct {
		reply, epoch, sequence int64
		want                   bool
	}{
		"younger":                       {2, 1, 1, true},
		"of an earlier leader":          {2, 0, 1, false},
		"of a response never sent":      {9, 1, 1, false},
		"of no response":                {0, 0, 1, false},
		"older":                         {1, 1, 9, false},
		"same response, sent later":     {2, 1, 8, true},
		"same response and same number": {2, 1, 7, false},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			session := newWorkerSession("w")
			session.recordResponse(1, time.Unix(1, 0))
			session.recordResponse(2, time.Unix(2, 0))
			if name != "younger" {
				is.True(session.acceptIfFresh(&daisywallpb.HeartbeatRequest{Reply: 2, ReplyEpoch: 1, Sequence: 7}, 1))
			}
			req := &daisywallpb.HeartbeatRequest{Reply: c.reply, ReplyEpoch: c.epoch, Sequence: c.sequence}
			is.Equal(session.acceptIfFresh(req, 1), c.want)
		})
	}
}
