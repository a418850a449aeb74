package httplimit

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// pipeListener is a listener for connections in memory, which virtual time
// needs.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func (p *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-p.conns:
		return c, nil
	case <-p.closed:
		return nil, net.ErrClosed
	}
}

func (p *pipeListener) Close() error {
	close(p.closed)
	return nil
}

func (p *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// testServer is a limited server with connections in memory.
type testServer struct {
	t        *testing.T
	listener *pipeListener
}

// startServer starts a server. The test must run in a bubble of synctest.
func startServer(t *testing.T, limits Limits, handler http.HandlerFunc) *testServer {
	t.Helper()
	if limits.RequestBytes == 0 {
		limits.RequestBytes = 1 << 20
	}
	limiter, err := New(Options{Server: "test", Limits: limits})
	if err != nil {
		t.Fatal(err)
	}
	return serve(t, limiter, handler)
}

// serve starts a server with the limiter.
func serve(t *testing.T, limiter *Limiter, handler http.HandlerFunc) *testServer {
	s := &testServer{t: t, listener: &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}}
	server := limiter.NewServer(handler)
	go func() { _ = server.Serve(limiter.Listen(s.listener)) }()
	t.Cleanup(func() {
		server.Close()
		time.Sleep(2 * reclaimInterval) // the reclaiming ends
	})
	return s
}

// connect opens a connection and sends the text. The server may accept it
// later.
func (s *testServer) connect(text string) net.Conn {
	client, server := net.Pipe()
	go func() {
		select {
		case s.listener.conns <- server:
			_, _ = io.WriteString(client, text)
		case <-s.listener.closed:
		}
	}()
	s.t.Cleanup(func() {
		client.Close()
		server.Close()
	})
	synctest.Wait()
	return client
}

// status waits for an answer and returns its status, or 0 if the connection was
// closed without one.
func status(c net.Conn) int {
	response, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	_, _ = io.Copy(io.Discard, response.Body)
	return response.StatusCode
}

const get = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"

func accept(http.ResponseWriter, *http.Request) {}

func TestConnectionThatWaitsForTheLongestTimeMakesRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := startServer(t, Limits{Connections: 2}, accept)
		first := s.connect("")
		time.Sleep(time.Millisecond)
		second := s.connect("GET / HT")
		started := time.Now()
		is.Equal(status(s.connect(get)), http.StatusOK)
		is.True(time.Since(started) <= minWait+recheckInterval)
		is.Equal(status(first), 0)
		_, err := io.WriteString(second, "TP/1.1\r\nHost: h\r\n\r\n")
		is.NoErr(err)
		is.Equal(status(second), http.StatusOK) // it still had its place
	})
}

func TestConnectionsWithoutARequestMakeRoomBeforeOthers(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := startServer(t, Limits{Connections: 2}, accept)
		served := s.connect(get)
		is.Equal(status(served), http.StatusOK)
		time.Sleep(time.Second)
		silent := s.connect("")
		time.Sleep(time.Second)
		is.Equal(status(s.connect(get)), http.StatusOK)
		is.Equal(status(silent), 0)
		go func() { _, _ = io.WriteString(served, get) }()
		is.Equal(status(served), http.StatusOK)
	})
}

func TestConnectionIsNotClosedWhileItsRequestIsHandled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := startServer(t, Limits{Connections: 1}, func(http.ResponseWriter, *http.Request) { time.Sleep(20 * time.Second) })
		first := s.connect(get)
		second := s.connect(get)
		is.Equal(status(first), http.StatusOK)
		is.Equal(status(second), http.StatusOK)
	})
}

func TestConnectionsThatStopEndInTime(t *testing.T) {
	for _, c := range []struct {
		name, sent string
		within     time.Duration
	}{
		{"silent", "", readHeaderTimeout},
		{"in the head", "GET / HTTP/1.1\r\nHost", readHeaderTimeout},
		{"in a body that nobody reads", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 10\r\n\r\nx", 2 * discardTimeout},
		{"between two requests", get, idleTimeout},
	} {
		t.Run(c.name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				is := is.New(t)
				s := startServer(t, Limits{Connections: 2}, accept)
				started := time.Now()
				_, _ = io.Copy(io.Discard, s.connect(c.sent))
				is.True(time.Since(started) <= c.within+time.Second) // net/http closes a second later than it might
			})
		})
	}
}

func TestHandlerWhoseAnswerNobodyReadsMakesRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := startServer(t, Limits{Connections: 1}, func(w http.ResponseWriter, _ *http.Request) { _, _ = w.Write(make([]byte, 8<<10)) })
		s.connect(get)
		is.Equal(status(s.connect(get)), http.StatusOK)
	})
}
