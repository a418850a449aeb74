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

// Limits of the log of one daemon.
const (
	maxQueuedLines        = 4096 // lines that wait for the output
	maxLinesPerSecond     = 2000 // about ten times the lines of a cell leader under its heaviest load
	maxBurstLines         = 4000
	droppedReportInterval = time.Second // interval between log lines that report dropped lines
)

// logSink writes log lines without blocking the caller. It drops and counts
// lines that exceed the rate limit and lines that find the queue full.
type logSink struct {
	out             io.Writer
	lines           chan []byte
	limiter         *rate.Limiter
	unreportedDrops atomic.Int64
	droppedTotal    metric.Int64Counter

	stopOnce sync.Once
	stop     chan struct{}
	done     chan struct{}
}

func newLogSink(out io.Writer, droppedTotal metric.Int64Counter) *logSink {
	s := &logSink{
		out: out, lines: make(chan []byte, maxQueuedLines), limiter: rate.NewLimiter(maxLinesPerSecond, maxBurstLines), droppedTotal: droppedTotal,
		stop: make(chan struct{}), done: make(chan struct{}),
	}
	go s.run()
	return s
}

// Write implements zapcore.WriteSyncer. It copies the buffer because zap reuses
// it.
func (s *logSink) Write(p []byte) (int, error) {
	if s.limiter.Allow() {
		select {
		case s.lines <- append([]byte(nil), p...):
			return len(p), nil
		default: // the queue is full
		}
	}
	s.unreportedDrops.Add(1)
	s.droppedTotal.Add(context.Background(), 1)
	return len(p), nil
}

// Sync implements zapcore.WriteSyncer. It does nothing, because the sink does
// not buffer beyond its queue.
func (s *logSink) Sync() error { return nil }

// Close writes the queued lines and ends the goroutine of the sink.
func (s *logSink) Close() {
	s.stopOnce.Do(func() { close(s.stop) })
	<-s.done
}

func (s *logSink) run() {
	defer close(s.done)
	tick := time.NewTicker(droppedReportInterval)
	defer tick.Stop()
	for {
		select {
		case line := <-s.lines:
			s.write(line)
		case <-tick.C:
			s.reportDropped()
		case <-s.stop:
			for {
				select {
				case line := <-s.lines:
					s.write(line)
				default:
					s.reportDropped()
					return
				}
			}
		}
	}
}

// write writes one line to the output. A failure cannot be logged, so the line
// only counts as dropped.
func (s *logSink) write(line []byte) {
	if _, err := s.out.Write(line); err != nil {
		s.droppedTotal.Add(context.Background(), 1)
	}
}

func (s *logSink) reportDropped() {
	if n := s.unreportedDrops.Swap(0); n > 0 {
		s.write(fmt.Appendf(nil, `{"level":"warn","msg":"log lines dropped","lines":%d}`+"\n", n))
	}
}
