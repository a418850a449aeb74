package telemetry

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"go.opentelemetry.io/otel/metric/noop"
)

// stuckWriter blocks until it is released.
type stuckWriter struct {
	release chan struct{}
	mu      sync.Mutex
	got     bytes.Buffer
}

func (w *stuckWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.got.Write(p)
}

func TestLoggingNeverBlocksAndCountsWhatIsDropped(t *testing.T) {
	is := is.New(t)
	w := &stuckWriter{release: make(chan struct{})}
	s := newSink(w, noop.Int64Counter{})
	const lines = linesAtOnce * 3
	for range lines {
		n, err := s.Write([]byte("line\n"))
		is.NoErr(err)
		is.Equal(n, 5)
	}
	is.True(s.dropped.Load() > 0)
	close(w.release)
	s.Close()
	is.True(strings.Contains(w.got.String(), "log lines dropped"))
	is.True(strings.Count(w.got.String(), "line\n") <= sinkLines+1) // the queue, and one being written
}

func TestCloseWritesWhatWaits(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	s := newSink(&out, noop.Int64Counter{})
	_, err := s.Write([]byte("one\n"))
	is.NoErr(err)
	s.Close()
	is.Equal(out.String(), "one\n")
}
