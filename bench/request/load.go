package main

import (
	"context"
	"errors"
	"io"
	"math/rand"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/daisywall/daisywall/request"
	"github.com/daisywall/daisywall/structs"
)

const maxLatencyUS = 60_000_000

// latencyRecorder collects latencies from many goroutines.
type latencyRecorder struct {
	mu        sync.Mutex
	histogram *hdrhistogram.Histogram
}

func newLatencyRecorder() *latencyRecorder {
	return &latencyRecorder{histogram: hdrhistogram.New(1, maxLatencyUS, 3)}
}

func (r *latencyRecorder) add(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.histogram.RecordValue(min(max(1, d.Microseconds()), maxLatencyUS))
}

// quantileMS returns a quantile in milliseconds.
func (r *latencyRecorder) quantileMS(quantile float64) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return float64(r.histogram.ValueAtQuantile(quantile)) / 1000
}

// loadResult holds latencies and numbers of requests by what their callers
// received.
type loadResult struct {
	answered                *latencyRecorder // latency of all requests answered within the deadline
	urgentAnswered          *latencyRecorder // latency of urgent requests answered within the deadline
	refused                 *latencyRecorder // time until a request was refused
	late                    atomic.Int64     // number of requests that got their response or gave up after the deadline
	urgentRefused           atomic.Int64     // urgent requests refused
	refusedWhileDeferredRan atomic.Int64     // number of urgent requests refused while deferred requests ran
	deferredAnswered        atomic.Int64     // number of deferred requests answered within the deadline
	unknown                 atomic.Int64
	duration                time.Duration

	mu      sync.Mutex
	reasons map[string]int // refusals by kind and reason
}

func newLoadResult() *loadResult {
	return &loadResult{answered: newLatencyRecorder(), urgentAnswered: newLatencyRecorder(), refused: newLatencyRecorder(), reasons: map[string]int{}}
}

func (r *loadResult) goodput() float64 {
	return float64(r.answered.histogram.TotalCount()) / r.duration.Seconds()
}

// sendFunc sends the n-th request, which has the given kind, and returns the
// error of the router or the client.
type sendFunc func(ctx context.Context, n int, kind string) error

// viaRouters returns a function that sends through the routers of the entries
// in turn.
func viaRouters(d *deployment) sendFunc {
	return func(ctx context.Context, n int, kind string) error {
		_, err := d.routers[n%len(d.routers)].Do(ctx, request.Call{Team: team, Kind: kind, Path: "/" + kind, Body: []byte("request")})
		return err
	}
}

// roundRobin returns a function that sends straight to the targets in turn,
// without limits.
func roundRobin(d *deployment, client *http.Client) sendFunc {
	return func(ctx context.Context, n int, kind string) error {
		url := d.targets[n%len(d.targets)].url + "/" + kind
		q, err := http.NewRequestWithContext(ctx, http.MethodPost, url, strings.NewReader("request"))
		if err != nil {
			return err
		}
		response, err := client.Do(q)
		if err != nil {
			return err
		}
		defer func() { _ = response.Body.Close() }()
		_, err = io.Copy(io.Discard, response.Body)
		return err
	}
}

// offerLoad sends requests as a Poisson process with a fixed rate, which does
// not depend on the responses. Half of the requests are deferred if mixed is
// set, and all are urgent otherwise.
func offerLoad(o options, d *deployment, perSecond float64, deadline time.Duration, mixed bool, send sendFunc) *loadResult {
	random := rand.New(rand.NewSource(o.Seed))
	result := newLoadResult()
	var callers sync.WaitGroup
	began := time.Now()
	next := time.Duration(0)
	for n := 0; next < o.Duration; n++ {
		next += time.Duration(random.ExpFloat64() / perSecond * float64(time.Second))
		if wait := next - time.Since(began); wait > 0 {
			time.Sleep(wait)
		}
		kind := "lookup"
		if mixed && random.Intn(2) == 0 {
			kind = "match"
		}
		callers.Go(func() { result.sendOne(d, n, kind, deadline, send) })
	}
	result.duration = time.Since(began)
	callers.Wait()
	return result
}

func (r *loadResult) sendOne(d *deployment, n int, kind string, deadline time.Duration, send sendFunc) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	began := time.Now()
	err := send(ctx, n, kind)
	took := time.Since(began)
	var notRun *structs.NotRunError
	switch {
	case err == nil && took <= deadline:
		r.answered.add(took)
		if kind == "match" {
			r.deferredAnswered.Add(1)
		} else {
			r.urgentAnswered.add(took)
		}
	case errors.As(err, &notRun):
		r.refused.add(took)
		r.mu.Lock()
		r.reasons[kind+" "+string(notRun.Reason)]++
		r.mu.Unlock()
		if kind != "match" {
			r.urgentRefused.Add(1)
			if d.isRunningDeferred() {
				r.refusedWhileDeferredRan.Add(1)
			}
		}
	case err == nil, errors.Is(err, context.DeadlineExceeded):
		r.late.Add(1)
	default:
		r.unknown.Add(1)
	}
}

func (d *deployment) isRunningDeferred() bool {
	for _, t := range d.targets {
		if t.runningDeferred.Load() > 0 {
			return true
		}
	}
	return false
}
