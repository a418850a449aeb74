package request

import (
	"context"
	"errors"
	"fmt"
	"testing"
	"time"

	"github.com/daisywall/daisywall/structs"
)

// callerResult is the result that a caller received for one request.
type callerResult struct {
	name        string
	idempotent  bool
	answer      Answer
	err         error
	keyRepeated bool // the caller also sent the key a second time, and either send may have run
}

// violation reports a violated guarantee.
type violation struct{ description string }

func (v *violation) Error() string { return v.description }

// checkGuarantees compares the results of callers with the executions at
// targets. runs is the number of executions by request name.
func checkGuarantees(results []callerResult, runs map[string]int) error {
	for _, result := range results {
		ran := runs[result.name]
		var notRun *structs.NotRunError
		switch {
		case !result.idempotent && ran > 1:
			return &violation{fmt.Sprintf("non-idempotent %s ran %d times", result.name, ran)}
		case result.err == nil && ran == 0:
			return &violation{fmt.Sprintf("%s was answered and never ran", result.name)}
		case result.err == nil && !isCompleteAnswer(result.answer, result.name):
			return &violation{fmt.Sprintf("%s got the answer %q", result.name, result.answer.Body)}
		case errors.As(result.err, &notRun) && ran > 0 && !result.keyRepeated:
			return &violation{fmt.Sprintf("%s was refused as not run (%v) and ran", result.name, result.err)}
		case errors.As(result.err, &notRun) && notRun.RetryAfter <= 0:
			return &violation{fmt.Sprintf("%s was refused without a time to retry after", result.name)}
		}
	}
	return nil
}

func TestCheckerDetectsPlantedViolations(t *testing.T) {
	complete := Answer{Status: 200, Body: []byte("answer to r")}
	notRun := &structs.NotRunError{Reason: structs.ReasonQueueFull, RetryAfter: time.Second}
	planted := map[string]struct {
		result callerResult
		runs   int
	}{
		"ran twice":            {callerResult{"r", false, complete, nil, false}, 2},
		"answered, never ran":  {callerResult{"r", true, complete, nil, false}, 0},
		"truncated answer":     {callerResult{"r", true, Answer{Status: 200, Body: []byte("answer t")}, nil, false}, 1},
		"answer of another":    {callerResult{"r", true, Answer{Status: 200, Body: []byte("answer to q")}, nil, false}, 1},
		"not run, but ran":     {callerResult{"r", true, Answer{}, notRun, false}, 1},
		"refused without time": {callerResult{"r", true, Answer{}, &structs.NotRunError{}, false}, 0},
	}
	for name, p := range planted {
		t.Run(name, func(t *testing.T) {
			if checkGuarantees([]callerResult{p.result}, map[string]int{"r": p.runs}) == nil {
				t.Fatal("the checker did not detect the violation")
			}
		})
	}
	if err := checkGuarantees([]callerResult{{"r", false, complete, nil, false}}, map[string]int{"r": 1}); err != nil {
		t.Fatal(err)
	}
}

// requestSteps are the points in the path of a request at which faults are
// injected, as time after the call. A message takes 0.5 ms and a target 10 ms.
var requestSteps = []struct {
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

// faults are the injected faults. Each is applied to one agent or to the table
// that all entries share.
var faults = []struct {
	name  string
	apply func(cluster *simulatedCluster, a *fakeAgent)
}{
	{"none", func(*simulatedCluster, *fakeAgent) {}},
	{"agent killed", func(_ *simulatedCluster, a *fakeAgent) { a.kill() }},
	{"agent restarted", func(_ *simulatedCluster, a *fakeAgent) { a.restart() }},
	{"agent frozen 2 s", func(_ *simulatedCluster, a *fakeAgent) {
		a.freeze()
		go func() { time.Sleep(2 * time.Second); a.thaw() }()
	}},
	{"agent frozen 20 s", func(_ *simulatedCluster, a *fakeAgent) {
		a.freeze()
		go func() { time.Sleep(20 * time.Second); a.thaw() }()
	}},
	{"target killed", func(_ *simulatedCluster, a *fakeAgent) { a.target.kill() }},
	{"target frozen", func(_ *simulatedCluster, a *fakeAgent) {
		a.target.set(func(f *fakeTarget) { f.serviceTime = 30 * time.Second })
	}},
	{"answer half sent", func(_ *simulatedCluster, a *fakeAgent) { a.target.set(func(f *fakeTarget) { f.truncateAnswer = true }) }},
	{"connection cut", func(_ *simulatedCluster, a *fakeAgent) { a.setConnFault(1, faultCut) }},
	{"connection silent", func(_ *simulatedCluster, a *fakeAgent) { a.setConnFault(1, faultSilent) }},
	{"all connections silent", func(_ *simulatedCluster, a *fakeAgent) { a.setConnFault(0, faultSilent) }},
	{"answers lost", func(_ *simulatedCluster, a *fakeAgent) { a.setConnFault(1, faultDropAnswer) }},
	{"answer late", func(_ *simulatedCluster, a *fakeAgent) { a.setConnFault(0, faultLateAnswer) }},
	{"request late", func(_ *simulatedCluster, a *fakeAgent) { a.setConnFault(0, faultLateRequest) }},
	{"request duplicated", func(_ *simulatedCluster, a *fakeAgent) { a.setConnFault(0, faultDuplicate) }},
	{"target leaving", func(_ *simulatedCluster, a *fakeAgent) { a.localTargets.Leave(structs.TargetID(a.target.name)) }},
	{"table down", func(cluster *simulatedCluster, _ *fakeAgent) { cluster.table.set(func(t *fakeTable) { t.down = true }) }},
	{"table slow", func(cluster *simulatedCluster, _ *fakeAgent) {
		cluster.table.set(func(t *fakeTable) { t.latency = 10 * time.Second })
	}},
	{"table answer lost", func(cluster *simulatedCluster, _ *fakeAgent) {
		cluster.table.set(func(t *fakeTable) { t.answersToLose = 1 })
	}},
}

// TestEveryFaultAtEveryStep injects each fault at each step. It does so at the
// first two of the three agents at once, so that the request is likely to meet
// the fault.
func TestEveryFaultAtEveryStep(t *testing.T) {
	for _, kind := range []string{"alert", "keyed alert", "first keyed alert", "lookup"} {
		for _, step := range requestSteps {
			for _, f := range faults {
				t.Run(kind+"/"+step.name+"/"+f.name, func(t *testing.T) {
					inSimulatedCluster(t, 3, 8, 10*time.Millisecond, func(t *testing.T, cluster *simulatedCluster) {
						runWithFault(t, cluster, kind, step.at, f.apply)
					})
				})
			}
		}
	}
}

// lateMessageWait is the time after which no late message can arrive. It
// exceeds the sum of the longest fault, the deadline and settleGrace.
const lateMessageWait = 45 * time.Second

// runWithFault sends two requests, the first of which is exposed to the fault.
func runWithFault(t *testing.T, cluster *simulatedCluster, kind string, at time.Duration, apply func(*simulatedCluster, *fakeAgent)) {
	r := cluster.newRouter()
	c := newCall(kind, "r1")
	if kind == "keyed alert" || kind == "first keyed alert" {
		c = newCall("alert", "r1")
		c.Key = "key"
	}
	if kind == "first keyed alert" {
		c.CallerAttempt = 1
	}
	go func() {
		time.Sleep(at)
		for _, a := range cluster.agents[:2] {
			apply(cluster, a)
		}
	}()
	if at == 0 {
		time.Sleep(time.Microsecond)
	}
	began := time.Now()
	answer, err := r.Do(context.Background(), c)
	if took := time.Since(began); took > 5*time.Second+settleWindow+time.Second {
		t.Fatalf("took %v", took)
	}
	results := []callerResult{{"r1", kind == "lookup", answer, err, false}}
	time.Sleep(time.Second)
	answer, err = r.Do(context.Background(), newCall("alert", "r2"))
	results = append(results, callerResult{"r2", false, answer, err, false})
	time.Sleep(lateMessageWait)
	if err := checkGuarantees(results, cluster.history.executionCounts()); err != nil {
		t.Fatal(err)
	}
}
