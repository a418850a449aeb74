package request

import (
	"context"
	"errors"
	"net"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/structs"
)

// pingServer implements only Ping.
type pingServer struct {
	daisywallpb.UnimplementedAgentServer
}

func (pingServer) Ping(context.Context, *daisywallpb.PingRequest) (*daisywallpb.PingResponse, error) {
	return &daisywallpb.PingResponse{Incarnation: "1"}, nil
}

func TestReadyFailsOnceTheServerHasStopped(t *testing.T) {
	is := is.New(t)
	ctx, cancel := context.WithTimeout(context.Background(), time.Minute)
	defer cancel()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	is.NoErr(err)
	server := grpc.NewServer(AgentServerOptions()...)
	daisywallpb.RegisterAgentServer(server, pingServer{})
	served := make(chan error)
	go func() { served <- server.Serve(listener) }()
	dial := GRPCDialer(grpc.WithTransportCredentials(insecure.NewCredentials()))

	conn, err := dial(listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = conn.Close() }()
	is.NoErr(conn.Ready(ctx))
	response, err := conn.Ping(ctx, &daisywallpb.PingRequest{})
	is.NoErr(err)
	is.Equal(response.Incarnation, "1")

	server.Stop()
	is.NoErr(<-served)
	gone, err := dial(listener.Addr().String())
	is.NoErr(err)
	defer func() { _ = gone.Close() }()
	var unavailable *structs.UnavailableError
	is.True(errors.As(gone.Ready(ctx), &unavailable))
	// The client notices the loss of the connection only when its end arrives.
	for err = conn.Ready(ctx); err == nil; err = conn.Ready(ctx) {
		time.Sleep(time.Millisecond)
	}
	is.True(errors.As(err, &unavailable))
	is.NoErr(ctx.Err())
}
