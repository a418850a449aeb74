package cell

import (
	"fmt"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/api/daisywallpb"
)

// TestHeartbeatsProveTheirAge has the workers of a cell report in turn, so that
// the responses to one of them have numbers with gaps.
func TestHeartbeatsProveTheirAge(t *testing.T) {
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
					resp, ok := l.heartbeat(req)
					is.True(ok)
					replies[i] = resp.GetReply()
					proved := resp.GetIntervalMs() != firstInterval.Milliseconds()
					is.Equal(proved, round > 0)
				}
			}
		})
	}
}

func TestHeartbeatsOfUnknownAgeProveNothing(t *testing.T) {
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
			v := newView("w")
			v.answered(1, time.Unix(1, 0))
			v.answered(2, time.Unix(2, 0))
			if name != "younger" {
				is.True(v.proveAge(&daisywallpb.HeartbeatRequest{Reply: 2, ReplyEpoch: 1, Sequence: 7}, 1))
			}
			req := &daisywallpb.HeartbeatRequest{Reply: c.reply, ReplyEpoch: c.epoch, Sequence: c.sequence}
			is.Equal(v.proveAge(req, 1), c.want)
		})
	}
}
