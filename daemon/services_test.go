package daemon

import (
	"context"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/matryer/is"
	"google.golang.org/grpc"

	"github.com/daisywall/daisywall/kernel"
)

// The connection of a caller breaks in the middle of a request. The stop must
// not wait for the rest of the request.
func TestHTTPServerStopCutsIncompleteRequest(t *testing.T) {
	is := is.New(t)
	address := freeAddress(t)
	server := &httpServer{address: address, handler: http.NotFoundHandler(), shutdownTimeout: localShutdownTimeout}
	elapsed := measureStopTime(t, server, address, "PUT /v1/instances/a HTTP/1.1\r\nHost: a\r\nContent-Le")
	is.True(elapsed < grace/2)
}

// The connection of a peer breaks before it has sent any bytes.
func TestGRPCServerStopCutsIncompleteHandshake(t *testing.T) {
	is := is.New(t)
	address := freeAddress(t)
	server := immediateStopServer{&grpcServer{address: address, register: func(*grpc.Server) {}}}
	is.True(measureStopTime(t, server, address, "") < grace/2)
}

// measureStopTime returns how long the service takes to stop while a connection
// to it has sent the bytes of sent and then nothing more.
func measureStopTime(t *testing.T, service kernel.Service, address, sent string) time.Duration {
	t.Helper()
	is := is.New(t)
	k := kernel.New(grace)
	is.NoErr(k.Register("server", service))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- k.Run(ctx) }()
	conn := dialWithRetry(t, address)
	defer conn.Close()
	_, err := conn.Write([]byte(sent))
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond) // time for the server to read the bytes
	start := time.Now()
	cancel()
	is.NoErr(<-done)
	return time.Since(start)
}

// grace is the time that the platform allows a process between SIGTERM and
// SIGKILL.
const grace = 6 * time.Second

func dialWithRetry(t *testing.T, address string) net.Conn {
	t.Helper()
	for start := time.Now(); time.Since(start) < grace; time.Sleep(5 * time.Millisecond) {
		if conn, err := net.Dial("tcp", address); err == nil {
			return conn
		}
	}
	t.Fatal("server did not start")
	return nil
}
