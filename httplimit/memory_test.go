package httplimit

import (
	"fmt"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// shortLines returns header fields that take more memory than the allowance of
// a connection.
func shortLines(n int) string {
	var b strings.Builder
	for i := range n {
		fmt.Fprintf(&b, "%x:\r\n", i)
	}
	return b.String()
}

// headLimits have room for one head of 200 short lines beyond its allowance.
var headLimits = Limits{Connections: 10, RequestBytes: 200 * headerLineBytes}

func largeHead() string { return "GET / HTTP/1.1\r\nHost: h\r\n" + shortLines(200) }

func TestConnectionThatHoldsMemoryForTheLongestTimeMakesRoom(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := startServer(t, headLimits, accept)
		unfinished := s.connect(largeHead())
		is.Equal(status(s.connect(get)), http.StatusOK) // an ordinary request needs no reserved memory
		is.Equal(status(s.connect(largeHead()+"\r\n")), http.StatusOK)
		is.Equal(status(unfinished), 0)
	})
}

func TestRequestWithoutMemoryIsRefusedWhileOthersAreHandled(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		handled := 0
		s := startServer(t, headLimits, func(http.ResponseWriter, *http.Request) {
			handled++
			time.Sleep(20 * time.Second)
		})
		first := s.connect(largeHead() + "\r\n")
		started := time.Now()
		is.Equal(status(s.connect(largeHead()+"\r\n")), http.StatusServiceUnavailable)
		is.True(time.Since(started) <= reserveTimeout)
		is.Equal(handled, 1)
		is.Equal(status(first), http.StatusOK)
		is.Equal(status(s.connect(largeHead()+"\r\n")), http.StatusOK) // the memory is free again
	})
}

func TestHeadsOverTheLimitAreRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := startServer(t, Limits{Connections: 2, RequestBytes: 64 << 20}, accept)
		is.Equal(status(s.connect("GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a: b\r\n", 20000))), http.StatusRequestHeaderFieldsTooLarge)
		is.Equal(status(s.connect("GET / HTTP/1.1\r\nHost: h\r\n"+strings.Repeat("a: b\r\n", 10000)+"\r\n")), http.StatusOK)
	})
}

func TestLimitsOfRequestsMayChange(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		var limits atomic.Pointer[RequestLimits]
		limits.Store(&RequestLimits{})
		limiter, err := New(Options{Limits: Limits{Connections: 10, RequestBytes: 1 << 20}, Requests: func() RequestLimits { return *limits.Load() }})
		is.NoErr(err)
		s := serve(t, limiter, accept)
		head := "GET / HTTP/1.1\r\nHost: h\r\na: " + strings.Repeat("b", 10_000) + "\r\n\r\n"
		is.Equal(status(s.connect(head)), http.StatusOK)
		limits.Store(&RequestLimits{HeaderBytes: 1000, HeaderTimeout: time.Second})
		is.Equal(status(s.connect(head)), http.StatusRequestHeaderFieldsTooLarge)
		started := time.Now()
		is.Equal(status(s.connect("GET / HTTP/1.1\r\nHost: h\r\n")), 0)
		is.Equal(time.Since(started), time.Second)
	})
}
