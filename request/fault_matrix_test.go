package request

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/daisywall/daisywall/structs"
)

// verdict is what a caller was told about one request.
type verdict struct {
	name       string
	idempotent bool
	answer     Answer
	err        error
	repeated   bool // the caller sent the same key again, which may have run
}

// violation names a broken promise.
type violation struct{ what string }

func (v *violation) Error() string { return v.what }

// check compares what callers were told with what targets executed. runs is
// the outside record of executions by request.
func check(verdicts []verdict, runs map[string]int) error {
	for _, v := range verdicts {
		ran := runs[v.name]
		var notRun *structs.NotRunError
		switch {
		case !v.idempotent && ran > 1:
			return &violation{fmt.Sprintf("non-idempotent %s ran %d times", v.name, ran)}
		case v.err == nil && ran == 0:
			return &violation{fmt.Sprintf("%s was answered and never ran", v.name)}
		case v.err == nil && !isWhole(v.answer, v.name):
			return &violation{fmt.Sprintf("%s got the answer %q", v.name, v.answer.Body)}
		case errors.As(v.err, &notRun) && ran > 0 && !v.repeated:
			return &violation{fmt.Sprintf("%s was refused as not run (%v) and ran", v.name, v.err)}
		case errors.As(v.err, &notRun) && notRun.RetryAfter <= 0:
			return &violation{fmt.Sprintf("%s was refused without a time to retry after", v.name)}
		}
	}
	return nil
}

func TestCheckerCatchesPlantedViolations(t *testing.T) {
	whole := Answer{Status: 200, Body: []byte("answer to r")}
	notRun := &structs.NotRunError{Reason: structs.ReasonQueueFull, RetryAfter: time.Second}
	planted := map[string]struct {
		verdict verdict
		runs    int
	}{
		"ran twice":            {verdict{"r", false, whole, nil, false}, 2},
		"answered, never ran":  {verdict{"r", true, whole, nil, false}, 0},
		"truncated answer":     {verdict{"r", true, Answer{Status: 200, Body: []byte("answer t")}, nil, false}, 1},
		"answer of another":    {verdict{"r", true, Answer{Status: 200, Body: []byte("answer to q")}, nil, false}, 1},
		"not run, but ran":     {verdict{"r", true, Answer{}, notRun, false}, 1},
		"refused without time": {verdict{"r", true, Answer{}, &structs.NotRunError{}, false}, 0},
	}
	for name, p := range planted {
		t.Run(name, func(t *testing.T) {
			if check([]verdict{p.verdict}, map[string]int{"r": p.runs}) == nil {
				t.Fatal("the checker let it pass")
			}
		})
	}
	if err := check([]verdict{{"r", false, whole, nil, false}}, map[string]int{"r": 1}); err != nil {
		t.Fatal(err)
	}
}

// steps are the moments of a request's path, as time after the call: a message
// travels 0.5 ms and a target takes 10 ms.
var steps = []struct {
	name string
	at   time.Duration
}{
	{"accept", 0},
	{"send", 250 * time.Microsecond},
	{"begin", 600 * time.Microsecond},
	{"run", 5 * time.Millisecond},
	{"answer sent", 10750 * time.Microsecond},
	{"acknowledge", 50 * time.Millisecond},
}

// faults happen at an agent that the request was sent to.
var faults = []struct {
	name  string
	apply func(w *world, a *fakeAgent)
}{
	{"none", func(*world, *fakeAgent) {}},
	{"agent killed", func(_ *world, a *fakeAgent) { a.kill() }},
	{"agent restarted", func(_ *world, a *fakeAgent) { a.restart() }},
	{"agent frozen 2 s", func(_ *world, a *fakeAgent) { a.freeze(); go func() { time.Sleep(2 * time.Second); a.thaw() }() }},
	{"agent frozen 20 s", func(_ *world, a *fakeAgent) { a.freeze(); go func() { time.Sleep(20 * time.Second); a.thaw() }() }},
	{"target killed", func(_ *world, a *fakeAgent) { a.target.kill() }},
	{"target frozen", func(_ *world, a *fakeAgent) { a.target.set(func(f *fakeTarget) { f.takes = 30 * time.Second }) }},
	{"answer half sent", func(_ *world, a *fakeAgent) { a.target.set(func(f *fakeTarget) { f.truncate = true }) }},
	{"connection cut", func(_ *world, a *fakeAgent) { a.spoil(1, faultCut) }},
	{"connection silent", func(_ *world, a *fakeAgent) { a.spoil(1, faultSilent) }},
	{"all connections silent", func(_ *world, a *fakeAgent) { a.spoil(0, faultSilent) }},
	{"answers lost", func(_ *world, a *fakeAgent) { a.spoil(1, faultDropAnswer) }},
	{"answer late", func(_ *world, a *fakeAgent) { a.spoil(0, faultLateAnswer) }},
	{"request late", func(_ *world, a *fakeAgent) { a.spoil(0, faultLateRequest) }},
	{"request duplicated", func(_ *world, a *fakeAgent) { a.spoil(0, faultDuplicate) }},
	{"target leaving", func(_ *world, a *fakeAgent) { a.locals.Leave(structs.TargetID(a.target.name)) }},
	{"table down", func(w *world, _ *fakeAgent) { w.table.set(func(t *fakeTable) { t.down = true }) }},
	{"table slow", func(w *world, _ *fakeAgent) { w.table.set(func(t *fakeTable) { t.slow = 10 * time.Second }) }},
	{"table answer lost", func(w *world, _ *fakeAgent) { w.table.set(func(t *fakeTable) { t.loseNext = 1 }) }},
}

// TestEveryFaultAtEveryStep brings each fault about at each step, at every
// agent at once, so that the request surely meets it.
func TestEveryFaultAtEveryStep(t *testing.T) {
	for _, kind := range []string{"alert", "keyed alert", "first keyed alert", "lookup"} {
		for _, step := range steps {
			for _, f := range faults {
				t.Run(kind+"/"+step.name+"/"+f.name, func(t *testing.T) {
					inWorld(t, 3, 8, 10*time.Millisecond, func(t *testing.T, w *world) {
						runWithFault(t, w, kind, step.at, f.apply)
					})
				})
			}
		}
	}
}

// quietTime lets late messages arrive: it is above the longest fault, the
// deadline and settleGrace together.
const quietTime = 45 * time.Second

// runWithFault sends a few requests, the first of which meets the fault.
func runWithFault(t *testing.T, w *world, kind string, at time.Duration, apply func(*world, *fakeAgent)) {
	r := w.router()
	c := call(kind, "r1")
	if kind == "keyed alert" || kind == "first keyed alert" {
		c = call("alert", "r1")
		c.Key = "key"
	}
	if kind == "first keyed alert" {
		c.Try = 1
	}
	go func() {
		time.Sleep(at)
		for _, a := range w.agents[:2] {
			apply(w, a)
		}
	}()
	if at == 0 {
		time.Sleep(time.Microsecond)
	}
	began := time.Now()
	answer, err := r.Do(context.Background(), c)
	if took := time.Since(began); took > 5*time.Second+settleAfterDeadline+time.Second {
		t.Fatalf("took %v", took)
	}
	verdicts := []verdict{{"r1", kind == "lookup", answer, err, false}}
	time.Sleep(time.Second)
	answer, err = r.Do(context.Background(), call("alert", "r2"))
	verdicts = append(verdicts, verdict{"r2", false, answer, err, false})
	time.Sleep(quietTime)
	if err := check(verdicts, w.history.runs()); err != nil {
		t.Fatal(err)
	}
}
