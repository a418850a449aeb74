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

// A caller's connection goes silent in the middle of a request. The stop does
// not wait for the rest.
func TestStopDoesNotWaitForTheRestOfARequest(t *testing.T) {
	is := is.New(t)
	address := freeAddress(t)
	server := &httpServer{address: address, handler: http.NotFoundHandler(), patience: localPatience}
	took := stopWith(t, server, address, "PUT /v1/instances/a HTTP/1.1\r\nHost: a\r\nContent-Le")
	is.True(took < grace/2)
}

// A peer's connection goes silent before its first bytes.
func TestStopDoesNotWaitForTheHandshakeOfAPeer(t *testing.T) {
	is := is.New(t)
	address := freeAddress(t)
	server := abrupt{&grpcServer{address: address, register: func(*grpc.Server) {}}}
	is.True(stopWith(t, server, address, "") < grace/2)
}

// stopWith returns how long the service takes to stop while a connection to it
// has sent some bytes and is silent.
func stopWith(t *testing.T, service kernel.Service, address, sent string) time.Duration {
	t.Helper()
	is := is.New(t)
	k := kernel.New(grace)
	is.NoErr(k.Register("server", service))
	ctx, cancel := context.WithCancel(t.Context())
	done := make(chan error, 1)
	go func() { done <- k.Run(ctx) }()
	conn := dialUntilServed(t, address)
	defer conn.Close()
	_, err := conn.Write([]byte(sent))
	is.NoErr(err)
	time.Sleep(50 * time.Millisecond) // until it is read
	begun := time.Now()
	cancel()
	is.NoErr(<-done)
	return time.Since(begun)
}

// grace is what the platform leaves a process between SIGTERM and SIGKILL.
const grace = 6 * time.Second

func dialUntilServed(t *testing.T, address string) net.Conn {
	t.Helper()
	for begun := time.Now(); time.Since(begun) < grace; time.Sleep(5 * time.Millisecond) {
		if conn, err := net.Dial("tcp", address); err == nil {
			return conn
		}
	}
	t.Fatal("server did not start")
	return nil
}
