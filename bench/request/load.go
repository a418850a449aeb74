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

const highestUS = 60_000_000

// recorder collects latencies from many goroutines.
type recorder struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

func newRecorder() *recorder { return &recorder{h: hdrhistogram.New(1, highestUS, 3)} }

func (r *recorder) add(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_ = r.h.RecordValue(min(max(1, d.Microseconds()), highestUS))
}

// ms returns a quantile in milliseconds.
func (r *recorder) ms(quantile float64) float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return float64(r.h.ValueAtQuantile(quantile)) / 1000
}

// outcome counts what callers saw.
type outcome struct {
	answered *recorder // within the deadline, by latency
	urgent   *recorder // urgent ones among them
	refused  *recorder // time to the refusal
	late     atomic.Int64
	urgentNo atomic.Int64 // urgent requests refused
	unjust   atomic.Int64 // refused while deferred requests ran
	deferred atomic.Int64 // deferred requests answered
	unknown  atomic.Int64
	duration time.Duration

	mu      sync.Mutex
	reasons map[string]int // refusals by kind and reason
}

func newOutcome() *outcome {
	return &outcome{answered: newRecorder(), urgent: newRecorder(), refused: newRecorder(), reasons: map[string]int{}}
}

func (o *outcome) goodput() float64 {
	return float64(o.answered.h.TotalCount()) / o.duration.Seconds()
}

// send carries one request of a kind; it returns the router's errors.
type send func(ctx context.Context, n int, kind string) error

// viaRouters spreads requests over the entries.
func viaRouters(d *deployment) send {
	return func(ctx context.Context, n int, kind string) error {
		_, err := d.routers[n%len(d.routers)].Do(ctx, request.Call{Team: team, Kind: kind, Path: "/" + kind, Body: []byte("request")})
		return err
	}
}

// roundRobin sends to the targets in turn, without limits.
func roundRobin(d *deployment, client *http.Client) send {
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

// offer sends requests at a rate, in a Poisson process, whatever happens to
// them. Half of them are urgent when mixed is set, else all.
func offer(o options, d *deployment, perSecond float64, deadline time.Duration, mixed bool, do send) *outcome {
	random := rand.New(rand.NewSource(o.Seed))
	out := newOutcome()
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
		callers.Go(func() { out.one(d, n, kind, deadline, do) })
	}
	out.duration = time.Since(began)
	callers.Wait()
	return out
}

func (o *outcome) one(d *deployment, n int, kind string, deadline time.Duration, do send) {
	ctx, cancel := context.WithTimeout(context.Background(), deadline)
	defer cancel()
	began := time.Now()
	err := do(ctx, n, kind)
	took := time.Since(began)
	var notRun *structs.NotRunError
	switch {
	case err == nil && took <= deadline:
		o.answered.add(took)
		if kind == "match" {
			o.deferred.Add(1)
		} else {
			o.urgent.add(took)
		}
	case errors.As(err, &notRun):
		o.refused.add(took)
		o.mu.Lock()
		o.reasons[kind+" "+string(notRun.Reason)]++
		o.mu.Unlock()
		if kind != "match" {
			o.urgentNo.Add(1)
			if d.runsDeferred() {
				o.unjust.Add(1)
			}
		}
	case err == nil, errors.Is(err, context.DeadlineExceeded):
		o.late.Add(1)
	default:
		o.unknown.Add(1)
	}
}

func (d *deployment) runsDeferred() bool {
	for _, t := range d.targets {
		if t.deferred.Load() > 0 {
			return true
		}
	}
	return false
}
