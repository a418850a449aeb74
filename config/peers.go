package config

import (
	"context"
	"sync"

	"google.golang.org/grpc"

	"github.com/daisywall/daisywall/api/configpb"
)

// Server serves the configuration in force in this daemon to other daemons.
type Server struct {
	configpb.UnimplementedConfigServer
	holder *Holder
}

// NewServer returns the server of a holder. Register it with
// configpb.RegisterConfigServer.
func NewServer(holder *Holder) *Server { return &Server{holder: holder} }

// Fetch implements configpb.ConfigServer.
func (s *Server) Fetch(_ context.Context, request *configpb.FetchRequest) (*configpb.FetchResponse, error) {
	revision, update := s.holder.UpdateSince(request.GetRevision())
	return &configpb.FetchResponse{Revision: revision, Update: update}, nil
}

// maxPeerFetches is the maximum number of peers that one call of FetchUpdates
// contacts.
const maxPeerFetches = 8

// RemotePeers fetches updates from other daemons over their connections.
type RemotePeers struct {
	connections func() []grpc.ClientConnInterface
}

// NewRemotePeers returns the peers behind the connections. Each call of
// FetchUpdates calls connections again and uses the first maxPeerFetches of the
// returned connections.
func NewRemotePeers(connections func() []grpc.ClientConnInterface) *RemotePeers {
	return &RemotePeers{connections: connections}
}

// FetchUpdates implements Peers. It returns when every contacted peer has
// responded or ctx ends.
func (p *RemotePeers) FetchUpdates(ctx context.Context, since int64) [][]byte {
	connections := p.connections()
	connections = connections[:min(len(connections), maxPeerFetches)]
	var (
		group   sync.WaitGroup
		mu      sync.Mutex
		updates [][]byte
	)
	for _, connection := range connections {
		group.Go(func() {
			response, err := configpb.NewConfigClient(connection).Fetch(ctx, &configpb.FetchRequest{Revision: since})
			if err != nil || len(response.GetUpdate()) == 0 {
				return // unreachable, or without a newer revision
			}
			mu.Lock()
			defer mu.Unlock()
			updates = append(updates, response.GetUpdate())
		})
	}
	group.Wait()
	return updates
}
