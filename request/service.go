package request

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/daisywall/daisywall/structs"
)

const (
	// admissionShrink is the factor of the entry's concurrency after an agent
	// refused for lack of room.
	admissionShrink = 0.95
	// admissionPause is the least time between two shrinks, so that refusals
	// of one moment count once.
	admissionPause = 50 * time.Millisecond
	// admissionGrow is added to the factor in each second of answers. It does
	// not depend on their rate, so that entries come to equal shares.
	admissionGrow = 0.2
	// admissionMin and admissionMax bound the factor.
	admissionMin = 0.1
	admissionMax = 1.25
	// hedgeQuantile is the latency after which a request is hedged.
	hedgeQuantile = 95
	// hedgeSamples is the least number of latencies for hedging.
	hedgeSamples = 100
	// latencyWindow is the number of latencies after which the record starts
	// anew.
	latencyWindow = 10_000
	// latencyMaxUS is the highest latency that is recorded, in microseconds.
	latencyMaxUS = 600_000_000
)

// service is the router's state of one kind of request of a team.
type service struct {
	chooser *chooser
	gate    *gate
	budget  *retryBudget

	mu        sync.Mutex
	factor    float64 // share of the targets' slots that this entry uses
	shrunk    time.Time
	grown     time.Time
	latencies *hdrhistogram.Histogram
	hedge     time.Duration // 0 while unknown
}

func newService(domain structs.FailureDomainID) *service {
	s := &service{
		chooser:   newChooser(domain),
		budget:    newRetryBudget(),
		factor:    1,
		latencies: hdrhistogram.New(1, latencyMaxUS, 2),
	}
	s.gate = newGate(s.limit, func(limit int) int { return max(minQueue, limit) })
	return s
}

// limit is the number of requests that this entry has at the targets at once.
func (s *service) limit() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return max(1, int(float64(s.chooser.slots())*s.factor))
}

// admit takes a place for a request or refuses it.
func (s *service) admit(ctx context.Context, urgent bool, deadline time.Time) *refusal {
	if s.chooser.slots() == 0 {
		return &refusal{structs.ReasonNoTarget, time.Second}
	}
	return s.gate.acquire(ctx, nil, urgent, deadline)
}

// answered teaches the admission and the hedging delay.
func (s *service) answered(took time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.grow(time.Now())
	_ = s.latencies.RecordValue(min(max(1, took.Microseconds()), latencyMaxUS))
	if n := s.latencies.TotalCount(); n >= hedgeSamples && n%hedgeSamples == 0 {
		s.hedge = time.Duration(s.latencies.ValueAtQuantile(hedgeQuantile)) * time.Microsecond
		if n >= latencyWindow {
			s.latencies.Reset()
		}
	}
}

// overloaded teaches the admission that an agent had no room.
func (s *service) overloaded(urgent bool) {
	s.gate.refusedBehind(urgent)
	if !urgent {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if now := time.Now(); now.Sub(s.shrunk) >= admissionPause {
		s.shrunk = now
		s.factor = max(admissionMin, s.factor*admissionShrink)
	}
}

// grow raises the factor by the time since it last did. The caller holds the
// lock.
func (s *service) grow(now time.Time) {
	elapsed := min(now.Sub(s.grown), admissionPause)
	s.grown = now
	s.factor = min(admissionMax, s.factor+admissionGrow*elapsed.Seconds())
}

// hedgeDelay returns the time after which to hedge, 0 for never.
func (s *service) hedgeDelay() time.Duration {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.hedge
}
