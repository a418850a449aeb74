package telemetry

import (
	"bytes"
	"strings"
	"sync"
	"testing"

	"github.com/matryer/is"
	"go.opentelemetry.io/otel/metric/noop"
)

// blockedWriter blocks every write until release is closed.
type blockedWriter struct {
	release chan struct{}
	mu      sync.Mutex
	written bytes.Buffer
}

func (w *blockedWriter) Write(p []byte) (int, error) {
	<-w.release
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.written.Write(p)
}

func TestLoggingNeverBlocksAndCountsDroppedLines(t *testing.T) {
	is := is.New(t)
	w := &blockedWriter{release: make(chan struct{})}
	s := newLogSink(w, noop.Int64Counter{})
	const lines = maxBurstLines * 3
	for range lines {
		n, err := s.Write([]byte("line\n"))
		is.NoErr(err)
		is.Equal(n, 5)
	}
	is.True(s.unreportedDrops.Load() > 0)
	close(w.release)
	s.Close()
	is.True(strings.Contains(w.written.String(), "log lines dropped"))
	is.True(strings.Count(w.written.String(), "line\n") <= maxQueuedLines+1) // queued lines and the one being written
}

func TestCloseWritesQueuedLines(t *testing.T) {
	is := is.New(t)
	var out bytes.Buffer
	s := newLogSink(&out, noop.Int64Counter{})
	_, err := s.Write([]byte("one\n"))
	is.NoErr(err)
	s.Close()
	is.Equal(out.String(), "one\n")
}
