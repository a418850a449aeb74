package placement

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

// Result holds the measurements of one run of a trace.
type Result struct {
	Work          float64 // completed batch work in processor-seconds
	WorkInAbsence float64 // part of Work completed while a failure domain was out
	Finished      int     // number of completed batch tasks
	Evictions     int
	Throttles     int
	Lost          int // number of runs lost in the failure domain that was out
	Deadlines     int // number of tasks with a deadline within the trace
	Missed        int // number of tasks that ended after their deadline, or passed it unfinished
	Failures      int // number of failed attempts
	Refused       int // number of tasks refused as unschedulable
	Rejected      int // number of placements rejected by agents
	Starts        int
	Wait          time.Duration // time from pending to the start, summed over all starts

	serviceTicks, runningTicks int
	actual, idle               *hdrhistogram.Histogram
}

// Range of the latency histograms in microseconds, their precision in
// significant decimal digits, and the percentile that is reported as tail
// latency.
const (
	minLatencyUS  = 1
	maxLatencyUS  = 60_000_000
	latencyDigits = 3
	tailQuantile  = 99
)

func (r *Result) init() {
	r.actual = hdrhistogram.New(minLatencyUS, maxLatencyUS, latencyDigits)
	r.idle = hdrhistogram.New(minLatencyUS, maxLatencyUS, latencyDigits)
}

func (r *Result) recordLatency(idleMS, actualMS float64) {
	_ = r.idle.RecordValue(int64(idleMS * 1000))
	_ = r.actual.RecordValue(int64(actualMS * 1000))
}

// TailRatio returns the p99 latency of the services divided by their p99
// latency on idle hosts.
func (r *Result) TailRatio() float64 {
	return float64(r.actual.ValueAtQuantile(tailQuantile)) / float64(r.idle.ValueAtQuantile(tailQuantile))
}

// Up returns the share of time that service instances were running.
func (r *Result) Up() float64 { return float64(r.runningTicks) / float64(r.serviceTicks) }

// MeanWait returns the mean time from becoming pending to the start.
func (r *Result) MeanWait() time.Duration { return r.Wait / time.Duration(max(1, r.Starts)) }
