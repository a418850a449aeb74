package fleet

import (
	"context"
	"strconv"
	"time"

	"go.uber.org/zap"
	"google.golang.org/grpc"
	"google.golang.org/grpc/metadata"
)

// epochKey is the metadata of a call with the epoch of the leader that it is meant
// for, and the trailer of the answer of a node that does not lead in that epoch, with
// the epoch of the leader that it names. No node runs a call in another epoch than its
// own: an attempt that arrives late would otherwise have an effect after a later leader
// has decided the call.
const epochKey = "daisywall-epoch"

// takeoverWait is how long a call waits for the node to become the leader. It is
// shorter than an attempt of an entry, which then gets the answer that the call has
// not run.
const takeoverWait = 400 * time.Millisecond

func withEpoch(ctx context.Context, epoch int64) context.Context {
	return metadata.AppendToOutgoingContext(ctx, epochKey, strconv.FormatInt(epoch, 10))
}

// epochOf returns the epoch in the metadata, 0 if there is none.
func epochOf(md metadata.MD) int64 {
	for _, value := range md.Get(epochKey) {
		if epoch, err := strconv.ParseInt(value, 10, 64); err == nil {
			return epoch
		}
	}
	return 0
}

// leaderOf returns the leader that the call is meant for. It returns nil and the
// address of the last known leader if this node is not that leader.
func (n *Node) leaderOf(ctx context.Context) (*leader, string) {
	md, _ := metadata.FromIncomingContext(ctx)
	epoch := epochOf(md)
	limited, cancel := context.WithTimeout(ctx, takeoverWait)
	defer cancel()
	l := n.awaitLeader(limited)
	if l != nil && (epoch == 0 || epoch == l.epoch) {
		return l, ""
	}
	return nil, n.describeLeader(ctx)
}

// describeLeader adds the epoch of the last known leader to the answer of the call, and
// returns that leader's address.
func (n *Node) describeLeader(ctx context.Context) string {
	row := n.lastKnownLeader()
	if grpc.ServerTransportStreamFromContext(ctx) == nil {
		return row.Address // not called over gRPC
	}
	if err := grpc.SetTrailer(ctx, metadata.Pairs(epochKey, strconv.FormatInt(row.Epoch, 10))); err != nil {
		n.o.Log.Debug("leader not described", zap.Error(err))
	}
	return row.Address
}
