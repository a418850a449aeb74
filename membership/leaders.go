package membership

import (
	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/structs"
)

// maxLeaders bounds the number of cells whose leaders an entry records.
const maxLeaders = 1024

// cellLeader is the leader of a cell as reported by an agent.
type cellLeader struct {
	epoch   int64
	address string
}

// cellLeaders holds the leader with the highest reported epoch of each cell. It
// helps agents to find a leader during an outage of the table. It is only a hint,
// as the agents check the epoch themselves.
type cellLeaders map[structs.CellID]cellLeader

// recordAndFindNewer records the leader that an agent follows and returns the
// address of a leader with a newer epoch, empty if there is none.
func (l cellLeaders) recordAndFindNewer(request *daisywallpb.RegisterRequest) string {
	cell := structs.CellID(request.Cell)
	current, found := l[cell]
	if request.LeaderEpoch > current.epoch && request.LeaderAddress != "" {
		if found || len(l) < maxLeaders {
			l[cell] = cellLeader{epoch: request.LeaderEpoch, address: request.LeaderAddress}
		}
		return ""
	}
	if request.LeaderEpoch == current.epoch {
		return ""
	}
	return current.address
}
