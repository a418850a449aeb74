package daemon

import (
	"context"
	"testing"

	"github.com/matryer/is"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/status"

	"github.com/daisywall/daisywall/api/fleetpb"
	"github.com/daisywall/daisywall/kernel"
)

// panickingFleet panics at each submission and each session.
type panickingFleet struct {
	fleetpb.UnimplementedFleetServer
}

func (panickingFleet) Submit(context.Context, *fleetpb.SubmitRequest) (*fleetpb.SubmitResponse, error) {
	panic("submission")
}

func (panickingFleet) Attend(fleetpb.Fleet_AttendServer) error { panic("session") }

func TestPanicInAHandlerFailsOneCallAndNotTheProcess(t *testing.T) {
	is := is.New(t)
	address := freeAddress(t)
	k := kernel.New(grace)
	server := immediateStopServer{&grpcServer{address: address, register: func(s *grpc.Server) { fleetpb.RegisterFleetServer(s, panickingFleet{}) }}}
	is.NoErr(k.Register("server", server))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- k.Run(ctx) }()
	is.NoErr(dialWithRetry(t, address).Close())
	conn, err := grpc.NewClient(address, grpc.WithTransportCredentials(insecure.NewCredentials()))
	is.NoErr(err)
	defer conn.Close()
	client := fleetpb.NewFleetClient(conn)
	for range 2 {
		_, err = client.Submit(ctx, &fleetpb.SubmitRequest{})
		is.Equal(status.Code(err), codes.Internal)
		stream, err := client.Attend(ctx)
		is.NoErr(err)
		_, err = stream.Recv()
		is.Equal(status.Code(err), codes.Internal)
	}
	cancel()
	is.NoErr(<-done)
}
