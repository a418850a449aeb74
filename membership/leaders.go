package membership

import (
	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/structs"
)

// maxLeaders bounds the cells whose leaders an entry remembers.
const maxLeaders = 1024

// leader is a leader of a cell that some agent follows.
type leader struct {
	epoch   int64
	address string
}

// leaders holds the leader with the highest epoch by cell. It only helps agents
// to find a leader while the table is out: they judge its epoch themselves.
type leaders map[structs.CellID]leader

// exchange takes the leader that the agent follows and returns the address of
// a better one, empty if there is none.
func (l leaders) exchange(request *daisywallpb.RegisterRequest) string {
	cell := structs.CellID(request.Cell)
	known, found := l[cell]
	if request.LeaderEpoch > known.epoch && request.LeaderAddress != "" {
		if found || len(l) < maxLeaders {
			l[cell] = leader{epoch: request.LeaderEpoch, address: request.LeaderAddress}
		}
		return ""
	}
	if request.LeaderEpoch == known.epoch {
		return ""
	}
	return known.address
}
