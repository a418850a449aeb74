package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"sync"
	"time"
)

// policy is the advice of a queue in the configuration.
type policy struct {
	DecideMS int `json:"decide_ms"`
	EachMS   int `json:"each_ms"`
	ValidMS  int `json:"valid_ms"`
}

// advice is the service that advises which runners may run a step: all of them. It handles one call
// at a time, in turn; all of them are the leader's.
type advice struct {
	policy policy
	log    *recorder
	turn   chan struct{}

	mu      sync.Mutex
	waiting int
}

// maxWaitingCalls is the number of calls that wait before further ones are refused.
const maxWaitingCalls = 32

func newAdvice(p policy, log *recorder) *advice {
	return &advice{policy: p, log: log, turn: make(chan struct{}, 1)}
}

// ServeHTTP implements http.Handler.
func (a *advice) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	var call struct {
		Step    string   `json:"step"`
		Workers []string `json:"workers"`
	}
	if err := json.NewDecoder(r.Body).Decode(&call); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	begun := time.Now()
	if a.addWaiting(1) > maxWaitingCalls {
		a.addWaiting(-1)
		w.WriteHeader(http.StatusTooManyRequests)
		return
	}
	a.turn <- struct{}{}
	a.addWaiting(-1)
	waited := time.Since(begun)
	time.Sleep(time.Duration(a.policy.DecideMS+a.policy.EachMS*len(call.Workers)) * time.Millisecond)
	<-a.turn
	a.log.printf("advice on step %s for %d runners: all may run it; waited %v, took %v in all", call.Step, len(call.Workers), waited, time.Since(begun))
	var good [][2]string
	for _, id := range call.Workers {
		good = append(good, [2]string{id, call.Step + "-" + id})
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{"good": good, "valid_ms": a.policy.ValidMS})
}

func (a *advice) addWaiting(n int) int {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.waiting += n
	return a.waiting
}

const (
	adviceJobs = 3
	// finish is the platform's finish_s, after which jobs are asked for, and idleFor how long a job
	// may have nothing running then.
	finish  = 14 * time.Second
	idleFor = 3 * time.Second
	// apart is the time between two jobs without the disruption.
	apart = 6 * time.Second
)

// playAdvice hands in jobs of one step of two tasks on a queue with advice: one after the other, or, with
// the disruption, all at once.
func (s *system) playAdvice(ctx context.Context, trouble bool) (broken bool, err error) {
	time.Sleep(4 * time.Second)
	body := `{"spec":"price","steps":[{"count":2,"cpu":1800,"mem_mb":3200,"estimate_ms":1000}]}`
	id := func(i int) string { return fmt.Sprintf("00000000000000b%d", i) }
	for i := range adviceJobs {
		if err := s.submit(ctx, id(i), body); err != nil {
			return false, err
		}
		if !trouble {
			time.Sleep(apart)
		}
	}
	time.Sleep(finish + idleFor)
	for i := range adviceJobs {
		s.call(ctx, i, http.MethodGet, id(i), "")
		if n := s.watcher.startsOf(id(i)); n == 0 {
			broken = true
			s.log.printf("LOST: job %s was accepted and has had nothing running for %v, with all runners empty", id(i), finish+idleFor)
		}
	}
	return broken, nil
}
