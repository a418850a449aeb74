package membership

import (
	"testing"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/api/daisywallpb"
)

func TestEntryNamesTheLeaderWithTheHighestEpoch(t *testing.T) {
	is := is.New(t)
	recorded := cellLeaders{}
	follows := func(cell string, epoch int64, address string) string {
		return recorded.recordAndFindNewer(&daisywallpb.RegisterRequest{Cell: cell, LeaderEpoch: epoch, LeaderAddress: address})
	}
	is.Equal(follows("a", 0, ""), "")      // no leader has been recorded
	is.Equal(follows("a", 3, "ten:3"), "") // the agent follows the newest leader
	is.Equal(follows("a", 0, ""), "ten:3") // a restarted agent
	is.Equal(follows("a", 2, "old:2"), "ten:3")
	is.Equal(follows("a", 4, "new:4"), "")
	is.Equal(follows("a", 3, "ten:3"), "new:4")
	is.Equal(follows("b", 0, ""), "") // another cell
}
