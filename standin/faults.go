package standin

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/daisywall/daisywall/structs"
)

// Every lasts until the switch is cleared.
const Every = -1

// FaultError is the cause inside the errors that a fault switch brings about.
type FaultError struct {
	Switch string // "refuse", "silence", "lose_answer", "delay" or "pause"
	Err    error  // end of the caller's context, may be nil
}

func (e *FaultError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("switched fault %s: %v", e.Switch, e.Err)
	}
	return "switched fault " + e.Switch
}

// Unwrap returns the end of the caller's context.
func (e *FaultError) Unwrap() error { return e.Err }

// Faults holds the fault switches of one store. The zero value has none on.
// Each switch holds for the next calls, or for every call with Every, and is
// turned off with 0.
type Faults struct {
	mu         sync.Mutex
	refuse     int
	silence    int
	lose       int
	delay      time.Duration
	delayCalls int
	paused     chan struct{} // closed on resume, nil when not paused
}

// Refuse fails calls with *structs.UnavailableError and no effect.
func (f *Faults) Refuse(calls int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refuse = calls
}

// Silence leaves calls without effect and without an answer until their
// context ends.
func (f *Faults) Silence(calls int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silence = calls
}

// LoseAnswer lets writes take effect and fails them with
// *structs.UnknownOutcomeError. Reads pass.
func (f *Faults) LoseAnswer(writes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.lose = writes
}

// Delay holds calls back by d. A write takes effect after d even when its
// caller has given up.
func (f *Faults) Delay(d time.Duration, calls int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = d
	f.delayCalls = calls
}

// Pause holds every call back until Resume. A write then takes effect even
// when its caller has given up.
func (f *Faults) Pause() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.paused == nil {
		f.paused = make(chan struct{})
	}
}

// Resume lets the paused calls go on.
func (f *Faults) Resume() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.paused != nil {
		close(f.paused)
		f.paused = nil
	}
}

// Clear turns every switch off and resumes paused calls.
func (f *Faults) Clear() {
	f.Resume()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refuse, f.silence, f.lose, f.delayCalls, f.delay = 0, 0, 0, 0, 0
}

// take uses up one call of a switch and reports whether it was on.
func take(calls *int) bool {
	if *calls == 0 {
		return false
	}
	if *calls > 0 {
		*calls--
	}
	return true
}

// plan is what the switches hold for one call.
type plan struct {
	refuse  bool
	silence bool
	lose    bool
	delay   time.Duration
	paused  chan struct{}
}

func (f *Faults) plan(write bool) plan {
	f.mu.Lock()
	defer f.mu.Unlock()
	var p plan
	if p.refuse = take(&f.refuse); p.refuse {
		return p
	}
	if p.silence = take(&f.silence); p.silence {
		return p
	}
	p.lose = write && take(&f.lose)
	if take(&f.delayCalls) {
		p.delay = f.delay
	}
	p.paused = f.paused
	return p
}

// call names one call to a store.
type call struct {
	dependency string
	operation  string
	write      bool
}

// lost is the error of a call whose answer did not arrive.
func (c call) lost(cause *FaultError) error {
	if c.write {
		return &structs.UnknownOutcomeError{Operation: c.operation, Err: cause}
	}
	return &structs.UnavailableError{Dependency: c.dependency, Err: cause}
}

// withFaults runs apply under the switches.
func withFaults[T any](ctx context.Context, f *Faults, c call, apply func() (T, error)) (T, error) {
	var zero T
	if err := ctx.Err(); err != nil {
		return zero, &structs.UnavailableError{Dependency: c.dependency, Err: err}
	}
	p := f.plan(c.write)
	if p.refuse {
		return zero, &structs.UnavailableError{Dependency: c.dependency, Err: &FaultError{Switch: "refuse"}}
	}
	if p.silence {
		<-ctx.Done()
		return zero, c.lost(&FaultError{Switch: "silence", Err: ctx.Err()})
	}
	if p.delay > 0 || p.paused != nil {
		return late(ctx, p, c, apply)
	}
	value, err := apply()
	if p.lose {
		return zero, c.lost(&FaultError{Switch: "lose_answer"})
	}
	return value, err
}

// late runs apply after the delay of the plan.
func late[T any](ctx context.Context, p plan, c call, apply func() (T, error)) (T, error) {
	type answer struct {
		value T
		err   error
	}
	var zero T
	answers := make(chan answer, 1)
	giveUp := ctx.Done()
	if c.write {
		giveUp = nil
	}
	go func() {
		if !p.wait(giveUp) {
			return
		}
		value, err := apply()
		answers <- answer{value, err}
	}()
	select {
	case a := <-answers:
		if p.lose {
			return zero, c.lost(&FaultError{Switch: "lose_answer"})
		}
		return a.value, a.err
	case <-ctx.Done():
		return zero, c.lost(&FaultError{Switch: "delay", Err: ctx.Err()})
	}
}

// wait waits out the pause and the delay, and reports false when giveUp came
// first.
func (p plan) wait(giveUp <-chan struct{}) bool {
	if p.paused != nil {
		select {
		case <-p.paused:
		case <-giveUp:
			return false
		}
	}
	if p.delay <= 0 {
		return true
	}
	timer := time.NewTimer(p.delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return true
	case <-giveUp:
		return false
	}
}
