package config

import (
	"context"
	"sync"

	"google.golang.org/grpc"

	"github.com/daisywall/daisywall/api/configpb"
)

// Server answers other daemons with the configuration in force here.
type Server struct {
	configpb.UnimplementedConfigServer
	holder *Holder
}

// NewServer returns the server of a holder, to be registered with
// configpb.RegisterConfigServer.
func NewServer(holder *Holder) *Server { return &Server{holder: holder} }

// Fetch implements configpb.ConfigServer.
func (s *Server) Fetch(_ context.Context, request *configpb.FetchRequest) (*configpb.FetchResponse, error) {
	revision, update := s.holder.UpdateSince(request.GetRevision())
	return &configpb.FetchResponse{Revision: revision, Update: update}, nil
}

// maxPeersAsked bounds the daemons that one question goes to.
const maxPeersAsked = 8

// RemotePeers asks other daemons over their connections.
type RemotePeers struct {
	connections func() []grpc.ClientConnInterface
}

// NewRemotePeers returns the peers behind the connections, which are asked for
// anew each time. At most 8 of them are used, the first ones.
func NewRemotePeers(connections func() []grpc.ClientConnInterface) *RemotePeers {
	return &RemotePeers{connections: connections}
}

// Updates implements Peers. It returns when all have answered or ctx ends.
func (p *RemotePeers) Updates(ctx context.Context, since int64) [][]byte {
	connections := p.connections()
	connections = connections[:min(len(connections), maxPeersAsked)]
	var (
		group   sync.WaitGroup
		mu      sync.Mutex
		updates [][]byte
	)
	for _, connection := range connections {
		group.Go(func() {
			response, err := configpb.NewConfigClient(connection).Fetch(ctx, &configpb.FetchRequest{Revision: since})
			if err != nil || len(response.GetUpdate()) == 0 {
				return // unreachable, or no newer revision
			}
			mu.Lock()
			defer mu.Unlock()
			updates = append(updates, response.GetUpdate())
		})
	}
	group.Wait()
	return updates
}
