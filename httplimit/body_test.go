package httplimit

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"strings"
	"sync"
	"testing"
	"testing/iotest"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/structs"
)

const testBodyLimit = 64 << 10

// readAll is a handler that reads a body within a time and waits before it
// answers.
func readAll(within, wait time.Duration) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		ctx, cancel := context.WithTimeout(r.Context(), within)
		defer cancel()
		data, err := ReadBody(ctx, w, r, testBodyLimit)
		var large *http.MaxBytesError
		var notRun *structs.NotRunError
		switch {
		case errors.As(err, &large):
			w.WriteHeader(http.StatusRequestEntityTooLarge)
		case errors.As(err, &notRun):
			w.WriteHeader(http.StatusServiceUnavailable)
		case err != nil:
			w.WriteHeader(http.StatusBadRequest)
		default:
			time.Sleep(wait)
			_, _ = fmt.Fprint(w, len(data))
		}
	}
}

func post(declared int, body string) string {
	return fmt.Sprintf("POST / HTTP/1.1\r\nHost: h\r\nContent-Length: %d\r\n\r\n%s", declared, body)
}

func TestBodiesAreReadUpToTheLimit(t *testing.T) {
	for _, size := range []int{1, bodyAllowance - 1, bodyAllowance, bodyAllowance + 1, testBodyLimit - 1, testBodyLimit, testBodyLimit + 1} {
		for _, declared := range []int64{int64(size), -1} {
			r := httptest.NewRequest(http.MethodPost, "/", strings.NewReader(strings.Repeat("x", size)))
			r.ContentLength = declared
			data, err := ReadBody(t.Context(), httptest.NewRecorder(), r, testBodyLimit)
			var large *http.MaxBytesError
			if size > testBodyLimit != errors.As(err, &large) || err == nil && len(data) != size {
				t.Errorf("%d bytes, %d declared: %d bytes, %v", size, declared, len(data), err)
			}
		}
	}
}

func TestBodyOfAConnectionWithoutLimitsMayTimeOut(t *testing.T) {
	r := httptest.NewRequest(http.MethodPost, "/", iotest.ErrReader(os.ErrDeadlineExceeded))
	if _, err := ReadBody(t.Context(), httptest.NewRecorder(), r, testBodyLimit); !errors.Is(err, os.ErrDeadlineExceeded) {
		t.Errorf("%v; want the error of the read", err)
	}
}

func TestBodyThatHoldsMemoryMakesRoomAndIsRefused(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		body := strings.Repeat("x", testBodyLimit)
		s := startServer(t, Limits{Connections: 10, RequestBytes: testBodyLimit}, readAll(30*time.Second, 0))
		unfinished := s.connect(post(testBodyLimit, body[1:]))
		is.Equal(status(s.connect(post(len(body), body))), http.StatusOK)
		is.Equal(status(unfinished), http.StatusServiceUnavailable)
	})
}

// TestInterimAnswerLeavesABodyWaiting sends a request whose client expects "100 Continue",
// which net/http writes while the body is read.
func TestInterimAnswerLeavesABodyWaiting(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := startServer(t, Limits{Connections: 1}, readAll(time.Hour, 0))
		unfinished := s.connect("POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 10\r\n\r\n")
		is.Equal(status(unfinished), http.StatusContinue)
		started := time.Now()
		is.Equal(status(s.connect(get)), http.StatusOK)
		is.True(time.Since(started) < 2*time.Second)
	})
}

func TestBodyIsRefusedAtItsDeadline(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := startServer(t, Limits{Connections: 10}, readAll(3*time.Second, 0))
		conn := s.connect(post(10, ""))
		var sender sync.WaitGroup
		sender.Go(func() { // a byte a second
			for range 5 {
				time.Sleep(time.Second)
				_, _ = io.WriteString(conn, "x")
			}
		})
		defer sender.Wait()
		started := time.Now()
		is.Equal(status(conn), http.StatusServiceUnavailable)
		is.Equal(time.Since(started), 3*time.Second)
	})
}

func TestBodiesThatAreHandledKeepTheirMemory(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		body := strings.Repeat("x", testBodyLimit)
		s := startServer(t, Limits{Connections: 10, RequestBytes: testBodyLimit}, readAll(30*time.Second, 20*time.Second))
		first := s.connect(post(len(body), body))
		is.Equal(status(s.connect(post(len(body), body))), http.StatusServiceUnavailable)
		is.Equal(status(s.connect(post(10, body[:10]))), http.StatusOK) // within the allowance
		is.Equal(status(first), http.StatusOK)
	})
}

func TestBodiesAreDecodedInTurn(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		const size = 2 * bodyAllowance
		var mu sync.Mutex
		running, most := 0, 0
		s := startServer(t, Limits{Connections: 10, DecodeBytes: 2 * decodeFactor * size}, func(w http.ResponseWriter, r *http.Request) {
			ctx, cancel := context.WithTimeout(r.Context(), 3*time.Second)
			defer cancel()
			err := Decode(ctx, r, size, func() error {
				mu.Lock()
				running++
				most = max(most, running)
				mu.Unlock()
				time.Sleep(2 * time.Second)
				mu.Lock()
				defer mu.Unlock()
				running--
				return nil
			})
			if err != nil {
				w.WriteHeader(http.StatusServiceUnavailable)
			}
		})
		var conns []net.Conn
		for range 5 {
			conns = append(conns, s.connect(get))
		}
		answers := map[int]int{}
		for _, c := range conns {
			answers[status(c)]++
		}
		is.Equal(most, 2)
		is.Equal(answers[http.StatusOK], 4)
		is.Equal(answers[http.StatusServiceUnavailable], 1) // it would have begun after its deadline
	})
}
