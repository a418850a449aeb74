package steps

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/structs"
)

// Short tasks that end one after the other leave room for one task of the gang
// at a time.
func TestGangGetsItsRoomWhileShortTasksTakeEachFreedPiece(t *testing.T) {
	const (
		members   = 4
		roundTime = 100 * time.Millisecond
		shortTime = members * roundTime
	)
	is := is.New(t)
	need := structs.Resources{MilliCPU: 12000, MemoryMB: 1000}
	endsAt := make([]time.Duration, members) // end of the short task on each worker
	for i := range endsAt {
		endsAt[i] = time.Duration(i+1) * roundTime
	}
	placedAt := time.Duration(-1)
	for now := time.Duration(0); placedAt < 0 && now < 2*starvationLateness; now += roundTime {
		list := workers(members)
		byID := map[structs.WorkerID]int{}
		for i, w := range list {
			byID[w.ID] = i
			if now < endsAt[i] {
				w.Reserved = need
			}
		}
		gang := demand("gang", members, structs.Step{Resources: need, Gang: true})
		gang.Slack, gang.Waited = -now, now
		short := demand("short", members, structs.Step{Resources: need})
		short.Slack = time.Second
		for _, p := range Plan(list, []Demand{gang, short}, NewInterference()) {
			if p.Task.Job == "gang" {
				placedAt = now
				continue
			}
			endsAt[byID[p.Worker]] = now + shortTime
		}
	}
	is.True(placedAt >= 0) // the gang is placed
}
