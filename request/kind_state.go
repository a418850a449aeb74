package request

import (
	"context"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/daisywall/daisywall/structs"
)

const (
	// concurrencyShrinkFactor is multiplied with the entry's concurrency factor
	// after an agent refused an urgent request for lack of room or time.
	concurrencyShrinkFactor = 0.95
	// concurrencyUpdateInterval is the least time between two reductions of the
	// concurrency factor, so that simultaneous refusals count once. It also
	// bounds the time for which a single answer raises the factor.
	concurrencyUpdateInterval = 50 * time.Millisecond
	// concurrencyGrowthPerSecond is added to the concurrency factor for each
	// second with answers. It does not depend on their rate, so that the shares
	// of the entries converge.
	concurrencyGrowthPerSecond = 0.2
	// minConcurrencyFactor and maxConcurrencyFactor bound the concurrency
	// factor.
	minConcurrencyFactor = 0.1
	maxConcurrencyFactor = 1.25
	// hedgePercentile is the percentile of the answer latencies that is used as
	// the hedging delay.
	hedgePercentile = 95
	// minHedgeSamples is the least number of recorded latencies for which
	// requests are hedged, and the number of latencies between updates of the
	// hedging delay.
	minHedgeSamples = 100
	// latencyWindowSamples is the number of latencies after which the histogram
	// is reset.
	latencyWindowSamples = 10_000
	// maxLatencyUS is the highest recorded latency in microseconds. Higher
	// latencies are recorded as maxLatencyUS.
	maxLatencyUS = 600_000_000
)

// kindState is the router's state of one request kind of a team: its target
// picker, admission queue, retry budget and hedging delay.
type kindState struct {
	picker *targetPicker
	queue  *admissionQueue
	budget *retryBudget

	mu                sync.Mutex
	concurrencyFactor float64   // ratio of this entry's concurrency limit to the total slots of the targets
	lastShrunk        time.Time // last reduction of concurrencyFactor
	lastGrown         time.Time // last increase of concurrencyFactor
	latencies         *hdrhistogram.Histogram
	hedgeAfter        time.Duration // hedging delay, 0 until there are enough latencies
}

func newKindState(domain structs.FailureDomainID) *kindState {
	k := &kindState{
		picker:            newTargetPicker(domain),
		budget:            newRetryBudget(),
		concurrencyFactor: 1,
		latencies:         hdrhistogram.New(1, maxLatencyUS, 2),
	}
	k.queue = newAdmissionQueue(k.concurrencyLimit, func(limit int) int { return max(minQueueLength, limit) })
	return k
}

// concurrencyLimit is the number of requests that this entry may have in
// progress at the targets.
func (k *kindState) concurrencyLimit() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return max(1, int(float64(k.picker.totalSlots())*k.concurrencyFactor))
}

// admit occupies a slot in the entry's admission queue or returns a refusal.
func (k *kindState) admit(ctx context.Context, urgent bool, deadline time.Time) *refusal {
	if k.picker.totalSlots() == 0 {
		return &refusal{structs.ReasonNoTarget, time.Second}
	}
	return k.queue.acquire(ctx, nil, urgent, deadline)
}

// recordAnswer raises the concurrency factor and updates the hedging delay.
func (k *kindState) recordAnswer(took time.Duration) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.growConcurrency(time.Now())
	_ = k.latencies.RecordValue(min(max(1, took.Microseconds()), maxLatencyUS))
	if n := k.latencies.TotalCount(); n >= minHedgeSamples && n%minHedgeSamples == 0 {
		k.hedgeAfter = time.Duration(k.latencies.ValueAtQuantile(hedgePercentile)) * time.Microsecond
		if n >= latencyWindowSamples {
			k.latencies.Reset()
		}
	}
}

// recordOverload reduces admission after an agent refused a request for lack of
// room or time.
func (k *kindState) recordOverload(urgent bool) {
	k.queue.recordDownstreamRefusal(urgent)
	if !urgent {
		return
	}
	k.mu.Lock()
	defer k.mu.Unlock()
	if now := time.Now(); now.Sub(k.lastShrunk) >= concurrencyUpdateInterval {
		k.lastShrunk = now
		k.concurrencyFactor = max(minConcurrencyFactor, k.concurrencyFactor*concurrencyShrinkFactor)
	}
}

// growConcurrency raises the concurrency factor in proportion to the time since
// its last increase, up to concurrencyUpdateInterval. The caller holds the
// lock.
func (k *kindState) growConcurrency(now time.Time) {
	elapsed := min(now.Sub(k.lastGrown), concurrencyUpdateInterval)
	k.lastGrown = now
	k.concurrencyFactor = min(maxConcurrencyFactor, k.concurrencyFactor+concurrencyGrowthPerSecond*elapsed.Seconds())
}

// hedgeDelay returns the time after which to hedge, 0 for never.
func (k *kindState) hedgeDelay() time.Duration {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.hedgeAfter
}
