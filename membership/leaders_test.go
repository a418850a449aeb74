package membership

import (
	"testing"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/api/daisywallpb"
)

func TestEntryNamesTheLeaderWithTheHighestEpoch(t *testing.T) {
	is := is.New(t)
	recorded := cellLeaders{}
	registerFollower := func(cell string, epoch int64, address string) string {
		return recorded.recordAndFindNewer(&daisywallpb.RegisterRequest{Cell: cell, LeaderEpoch: epoch, LeaderAddress: address})
	}
	is.Equal(registerFollower("a", 0, ""), "")      // no leader has been recorded
	is.Equal(registerFollower("a", 3, "ten:3"), "") // the agent follows the newest leader
	is.Equal(registerFollower("a", 0, ""), "ten:3") // a restarted agent gets the newest leader
	is.Equal(registerFollower("a", 2, "old:2"), "ten:3")
	is.Equal(registerFollower("a", 4, "new:4"), "")
	is.Equal(registerFollower("a", 3, "ten:3"), "new:4")
	is.Equal(registerFollower("b", 0, ""), "") // another cell has no recorded leader
}
