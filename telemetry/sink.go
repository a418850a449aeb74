package telemetry

import (
	"context"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"go.opentelemetry.io/otel/metric"
	"golang.org/x/time/rate"
)

// Bounds of a daemon's log.
const (
	sinkLines     = 4096 // lines that wait for the output
	linesASecond  = 2000 // about ten times a leader's lines at the heaviest day played
	linesAtOnce   = 4000
	droppedReport = time.Second // between two lines on lines that were dropped
)

// sink writes log lines without ever blocking who logs: lines beyond the rate,
// or that find the queue full, are dropped and counted.
type sink struct {
	out     io.Writer
	lines   chan []byte
	limit   *rate.Limiter
	dropped atomic.Int64
	total   metric.Int64Counter

	once sync.Once
	stop chan struct{}
	done chan struct{}
}

func newSink(out io.Writer, total metric.Int64Counter) *sink {
	s := &sink{
		out: out, lines: make(chan []byte, sinkLines), limit: rate.NewLimiter(linesASecond, linesAtOnce), total: total,
		stop: make(chan struct{}), done: make(chan struct{}),
	}
	go s.run()
	return s
}

// Write implements zapcore.WriteSyncer. The buffer is zap's, so it is copied.
func (s *sink) Write(p []byte) (int, error) {
	if s.limit.Allow() {
		select {
		case s.lines <- append([]byte(nil), p...):
			return len(p), nil
		default: // the output does not keep up
		}
	}
	s.dropped.Add(1)
	s.total.Add(context.Background(), 1)
	return len(p), nil
}

// Sync implements zapcore.WriteSyncer. Lines are written as they come.
func (s *sink) Sync() error { return nil }

// Close writes what waits and ends the sink.
func (s *sink) Close() {
	s.once.Do(func() { close(s.stop) })
	<-s.done
}

func (s *sink) run() {
	defer close(s.done)
	tick := time.NewTicker(droppedReport)
	defer tick.Stop()
	for {
		select {
		case line := <-s.lines:
			s.write(line)
		case <-tick.C:
			s.report()
		case <-s.stop:
			for {
				select {
				case line := <-s.lines:
					s.write(line)
				default:
					s.report()
					return
				}
			}
		}
	}
}

// write passes a line on. A log that cannot be written has nowhere to say so;
// the line counts as dropped.
func (s *sink) write(line []byte) {
	if _, err := s.out.Write(line); err != nil {
		s.total.Add(context.Background(), 1)
	}
}

func (s *sink) report() {
	if n := s.dropped.Swap(0); n > 0 {
		s.write(fmt.Appendf(nil, `{"level":"warn","msg":"log lines dropped","lines":%d}`+"\n", n))
	}
}
