package standin

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/daisywall/daisywall/structs"
)

// EveryCall keeps a fault switch on until it is cleared.
const EveryCall = -1

// FaultError is the cause of the errors that fault switches inject.
type FaultError struct {
	Switch string // name of the fault switch: "refuse", "silence", "lose_answer", "delay" or "pause"
	Err    error  // error of the caller's context, nil if there is none
}

func (e *FaultError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("injected fault %s: %v", e.Switch, e.Err)
	}
	return "injected fault " + e.Switch
}

// Unwrap returns the error of the caller's context.
func (e *FaultError) Unwrap() error { return e.Err }

// Faults holds the fault switches of one store. In the zero value all are off.
// A switch applies to the given number of calls, to every call with EveryCall,
// and to none with 0.
type Faults struct {
	mu         sync.Mutex
	refuse     int
	silence    int
	loseReply  int
	delay      time.Duration
	delayCalls int
	paused     chan struct{} // closed on resume, nil when not paused
}

// Refuse fails calls with *structs.UnavailableError and without an effect.
func (f *Faults) Refuse(calls int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.refuse = calls
}

// Silence blocks calls until their context ends. They have no effect.
func (f *Faults) Silence(calls int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.silence = calls
}

// LoseAnswer applies writes and fails them with *structs.UnknownOutcomeError.
// Reads succeed.
func (f *Faults) LoseAnswer(writes int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.loseReply = writes
}

// Delay delays calls by d. A write is applied after d even if its caller's
// context has ended.
func (f *Faults) Delay(d time.Duration, calls int) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.delay = d
	f.delayCalls = calls
}

// Pause blocks every call until Resume. A write is applied after Resume even if
// its caller's context has ended.
func (f *Faults) Pause() {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.paused == nil {
		f.paused = make(chan struct{})
	}
}

// Resume releases the paused calls.
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
	f.refuse, f.silence, f.loseReply, f.delayCalls, f.delay = 0, 0, 0, 0, 0
}

// consume uses up one call of a switch and reports whether the switch applied
// to it.
func consume(calls *int) bool {
	if *calls == 0 {
		return false
	}
	if *calls > 0 {
		*calls--
	}
	return true
}

// faultPlan holds the faults of one call.
type faultPlan struct {
	refuse    bool
	silence   bool
	loseReply bool
	delay     time.Duration
	paused    chan struct{}
}

func (f *Faults) planCall(write bool) faultPlan {
	f.mu.Lock()
	defer f.mu.Unlock()
	var p faultPlan
	if p.refuse = consume(&f.refuse); p.refuse {
		return p
	}
	if p.silence = consume(&f.silence); p.silence {
		return p
	}
	p.loseReply = write && consume(&f.loseReply)
	if consume(&f.delayCalls) {
		p.delay = f.delay
	}
	p.paused = f.paused
	return p
}

// callInfo describes one call to a store or a runtime.
type callInfo struct {
	dependency string
	operation  string
	write      bool
}

// lostReplyError returns the error of a call whose reply is lost.
func (c callInfo) lostReplyError(cause *FaultError) error {
	if c.write {
		return &structs.UnknownOutcomeError{Operation: c.operation, Err: cause}
	}
	return &structs.UnavailableError{Dependency: c.dependency, Err: cause}
}

// withFaults runs apply under the faults that the switches select for the call.
func withFaults[T any](ctx context.Context, f *Faults, c callInfo, apply func() (T, error)) (T, error) {
	var zero T
	if err := ctx.Err(); err != nil {
		return zero, &structs.UnavailableError{Dependency: c.dependency, Err: err}
	}
	p := f.planCall(c.write)
	if p.refuse {
		return zero, &structs.UnavailableError{Dependency: c.dependency, Err: &FaultError{Switch: "refuse"}}
	}
	if p.silence {
		<-ctx.Done()
		return zero, c.lostReplyError(&FaultError{Switch: "silence", Err: ctx.Err()})
	}
	if p.delay > 0 || p.paused != nil {
		return applyDelayed(ctx, p, c, apply)
	}
	value, err := apply()
	if p.loseReply {
		return zero, c.lostReplyError(&FaultError{Switch: "lose_answer"})
	}
	return value, err
}

// applyDelayed runs apply after the pause and the delay of the plan. A write is
// applied even if ctx ends first.
func applyDelayed[T any](ctx context.Context, p faultPlan, c callInfo, apply func() (T, error)) (T, error) {
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
		if p.loseReply {
			return zero, c.lostReplyError(&FaultError{Switch: "lose_answer"})
		}
		return a.value, a.err
	case <-ctx.Done():
		return zero, c.lostReplyError(&FaultError{Switch: "delay", Err: ctx.Err()})
	}
}

// wait waits for the end of the pause and for the delay. It reports false if
// giveUp is closed first.
func (p faultPlan) wait(giveUp <-chan struct{}) bool {
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
