package placement

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result is what one run of a trace measured.
type Result struct {
	Work          float64 // processor-seconds of batch work done
	WorkInAbsence float64 // part of it done while a failure domain was out
	Finished      int     // batch tasks
	Evictions     int
	Throttles     int
	Lost          int // runs lost in the failure domain that was out
	Deadlines     int // tasks with a deadline within the trace
	Missed        int // of them, late or unfinished
	Failures      int // failed attempts
	Refused       int // tasks called unschedulable
	Rejected      int // placements that agents rejected
	Starts        int
	Wait          time.Duration // of all starts

	instanceTicks, upTicks int
	actual, idle           *hdrhistogram.Histogram
}

// Range and precision of the latency histograms, in microseconds.
const (
	lowestLatency    = 1
	highestLatency   = 60_000_000
	latencyPrecision = 3
	tailQuantile     = 99
)

func (r *Result) init() {
	r.actual = hdrhistogram.New(lowestLatency, highestLatency, latencyPrecision)
	r.idle = hdrhistogram.New(lowestLatency, highestLatency, latencyPrecision)
}

func (r *Result) latency(idleMS, actualMS float64) {
	_ = r.idle.RecordValue(int64(idleMS * 1000))
	_ = r.actual.RecordValue(int64(actualMS * 1000))
}

// TailRatio returns the services' p99 latency against that on idle hosts.
func (r *Result) TailRatio() float64 {
	return float64(r.actual.ValueAtQuantile(tailQuantile)) / float64(r.idle.ValueAtQuantile(tailQuantile))
}

// Up returns the share of time that service instances were up.
func (r *Result) Up() float64 { return float64(r.upTicks) / float64(r.instanceTicks) }

// MeanWait returns the mean time from becoming pending to the start.
func (r *Result) MeanWait() time.Duration { return r.Wait / time.Duration(max(1, r.Starts)) }
