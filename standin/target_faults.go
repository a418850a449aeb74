package standin

import (
	"sync"
	"time"
)

// TargetFaults holds the fault switches of a target. Each holds for the next
// requests, or for every request with Every, and is turned off with 0.
type TargetFaults struct {
	mu         sync.Mutex
	fail       int
	silence    int
	cut        int
	delay      time.Duration
	delayCalls int
}

// Fail answers with status 500 and does not execute the request.
func (f *TargetFaults) Fail(requests int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.fail = requests
}

// Silence executes the request and never answers.
func (f *TargetFaults) Silence(requests int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silence = requests
}

// Cut executes the request and cuts the connection in the middle of the answer.
func (f *TargetFaults) Cut(requests int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.cut = requests
}

// Delay makes requests take longer by d.
func (f *TargetFaults) Delay(d time.Duration, requests int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = d
	f.delayCalls = requests
}

// targetPlan is what the switches hold for one request.
type targetPlan struct {
	fail    bool
	silence bool
	cut     bool
	delay   time.Duration
}

func (f *TargetFaults) plan() targetPlan {
	f.mu.Lock()
	defer f.mu.Unlock()
	p := targetPlan{fail: take(&f.fail)}
	if p.fail {
		return p
	}
	p.silence = take(&f.silence)
	p.cut = !p.silence && take(&f.cut)
	if take(&f.delayCalls) {
		p.delay = f.delay
	}
	return p
}
