package standin

import (
	"sync"
	"time"
)

// TargetFaults holds the fault switches of a target. A switch applies to the
// given number of requests, to every request with EveryCall, and to none with
// 0.
type TargetFaults struct {
	mu         sync.Mutex
	fail       int
	silence    int
	cut        int
	delay      time.Duration
	delayCalls int
}

// Fail answers requests with status 500 and does not execute them.
func (f *TargetFaults) Fail(requests int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fail = requests
}

// Silence executes requests and never answers them.
func (f *TargetFaults) Silence(requests int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silence = requests
}

// Cut executes requests and closes the connection in the middle of the
// response.
func (f *TargetFaults) Cut(requests int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = requests
}

// Delay delays requests by d.
func (f *TargetFaults) Delay(d time.Duration, requests int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = d
	f.delayCalls = requests
}

// targetFaultPlan holds the faults of one request.
type targetFaultPlan struct {
	fail    bool
	silence bool
	cut     bool
	delay   time.Duration
}

func (f *TargetFaults) planRequest() targetFaultPlan {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := targetFaultPlan{fail: consume(&f.fail)}
	if p.fail {
		return p
	}
	p.silence = consume(&f.silence)
	p.cut = !p.silence && consume(&f.cut)
	if consume(&f.delayCalls) {
		p.delay = f.delay
	}
	return p
}
