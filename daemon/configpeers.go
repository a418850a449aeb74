package daemon

import (
	"context"
	"sync"

	"google.golang.org/grpc"

	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/config"
	"github.com/daisywall/daisywall/membership"
)

// maxConfigPeers bounds the daemons that are asked at once.
const maxConfigPeers = 5

// configService answers other daemons that cannot reach the table.
type configService struct {
	daisywallpb.UnimplementedConfigurationServer
	holder *config.Holder
}

// Update implements daisywallpb.ConfigurationServer.
func (c configService) Update(_ context.Context, in *daisywallpb.UpdateRequest) (*daisywallpb.UpdateResponse, error) {
	revision, update := c.holder.UpdateSince(in.GetHave())
	return &daisywallpb.UpdateResponse{Revision: revision, Update: update}, nil
}

// configPeers implements config.Peers over the daemons that addresses names.
type configPeers struct {
	addresses func(since int64) []string
	peers     *peers
}

// Updates implements config.Peers.
func (c configPeers) Updates(ctx context.Context, since int64) [][]byte {
	addresses := c.addresses(since)
	if len(addresses) > maxConfigPeers {
		addresses = addresses[:maxConfigPeers]
	}
	var mu sync.Mutex
	var updates [][]byte
	var group sync.WaitGroup
	for _, address := range addresses {
		group.Go(func() {
			response, err := c.peers.configUpdate(ctx, address, since)
			if err != nil || len(response.GetUpdate()) == 0 {
				return
			}
			mu.Lock()
			defer mu.Unlock()
			updates = append(updates, response.GetUpdate())
		})
	}
	group.Wait()
	return updates
}

// newerAgents names the agents that have registered with a newer revision.
func newerAgents(registry *membership.Registry) func(since int64) []string {
	return func(since int64) []string {
		var addresses []string
		for _, a := range registry.List() {
			if a.ConfigRevision > since {
				addresses = append(addresses, a.Address)
			}
		}
		return addresses
	}
}

// configUpdate asks another daemon for its update since the revision.
func (p *peers) configUpdate(ctx context.Context, address string, since int64) (*daisywallpb.UpdateResponse, error) {
	return call(p, address, func(conn *grpc.ClientConn) (*daisywallpb.UpdateResponse, error) {
		return daisywallpb.NewConfigurationClient(conn).Update(ctx, &daisywallpb.UpdateRequest{Have: since})
	})
}
