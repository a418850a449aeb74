package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"net/http"
	"os"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/daisywall/daisywall/structs"
)

var (
	replacementSeeds = flag.Int("soak.replacements", 1, "number of seeds of TestSeedsWithReplacedHosts; CI runs the default")
	keepAllLogs      = flag.Bool("soak.keep", false, "keep the logs of all seeds of TestSeedsWithReplacedHosts in the folder of soak.logs")
)

// Sizes and durations of a seed with replaced hosts.
const (
	replacementPeriod = 12 * time.Second
	longRunningTasks  = 4
	// replacementCallers is small enough for two or three lost runners: with callerCount, the
	// jobs left at the end of the faults took another 26 s.
	replacementCallers = 3
	// longGap is the time without a run of a long-running task from which on the events and
	// the logs of the seed are kept. It is no limit: overlapping losses may take longer.
	longGap = 9 * time.Second
)

// TestSeedsWithReplacedHosts checks the invariants of TestSeeds while hosts are replaced as
// planned around changes of the leader, with long-running tasks beside the short ones. An agent
// that gets SIGTERM ends within terminationGrace. It guards against agents that stop too late
// because they wait for another leader, and against a leader that starts tasks
// anew before the runs of a lost host have ended. Runners crash and begin again up to
// maxRunnerAge before such a stop, so that an incarnation is young at it, and calls for the
// one before may reach it. Nothing is paused here, so that no stop is
// exempt from the limit.
//
//	go test ./soak -run ReplacedHosts -soak.first 100 -soak.replacements 10 -timeout 30m
func TestSeedsWithReplacedHosts(t *testing.T) {
	for i := range uint64(*replacementSeeds) {
		seed := *firstSeed + i
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runReplacements(t, seed)
		})
	}
}

func runReplacements(t *testing.T, seed uint64) {
	dir, err := os.MkdirTemp("", fmt.Sprintf("daisywall-soak-replaced-%d-", seed))
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(seed, 4))
	holdLimits := []time.Duration{4 * time.Second, 6 * time.Second, 10 * time.Second}
	s, err := newSystem(dir, holdLimits[rng.IntN(len(holdLimits))])
	gaps := &gapObserver{longest: map[structs.StepTaskID]gap{}}
	defer func() {
		s.close()
		if (t.Failed() || *keepAllLogs || gaps.max().length > longGap) && *logDir != "" {
			_ = os.CopyFS(filepath.Join(*logDir, fmt.Sprintf("replaced-%d", seed)), os.DirFS(dir))
		}
		os.RemoveAll(dir)
	}()
	if err != nil {
		t.Fatal(err)
	}
	c := newCallers(s)
	if !c.waitForFirstAccepted(firstJobLimit) {
		t.Fatal("no job was accepted at the start")
	}
	service := &submittedJob{id: "00000000000000bb", tasksPerStep: []int{longRunningTasks}, longRunning: true}
	s.checker.addJob(service)
	c.jobs = append(c.jobs, service)
	if status, answer := c.call(t.Context(), 0, http.MethodPost, service.id, service.body()); status != http.StatusOK {
		t.Fatalf("the long-running job was answered with %d: %s", status, answer)
	}
	service.accepted = true
	c.waitUntilAllRun(t, service)

	injector := &faultInjector{
		system: s, rng: rng, startedAt: time.Now(), replacing: map[*host]bool{}, begun: map[*host]runnerBegin{}, youngStops: map[youngStop]int{},
	}
	ctx, cancel := context.WithCancel(context.Background())
	observerCtx, stopObserver := context.WithCancel(context.Background())
	var callersDone, observerDone sync.WaitGroup
	for i := range replacementCallers {
		callerRNG := rand.New(rand.NewPCG(seed, uint64(100+i)))
		callersDone.Go(func() { c.run(ctx, callerRNG, -1) })
	}
	observerDone.Go(func() { gaps.run(observerCtx, s.checker, service) })
	for time.Since(injector.startedAt) < replacementPeriod {
		injector.replaceHostsAroundLeader()
		time.Sleep(time.Duration(500+rng.IntN(3000)) * time.Millisecond)
	}
	cancel()
	callersDone.Wait()
	injector.heal()
	c.waitUntilAllRun(t, service)
	stopObserver()
	observerDone.Wait()
	c.cancelUntilFinal(t, service)
	c.waitForCompletion(t)
	reportViolations(t, s, c, injector)
	longest := gaps.max()
	t.Logf("%d planned stops of agents, the longest took %s; lease limit %s; longest time without a run of a long-running task: %s, %s from %s",
		injector.stops, injector.longestStop.Round(time.Millisecond), s.maxLease, longest.length.Round(time.Millisecond), longest.task, longest.begunAt.Format("05.000"))
	for _, line := range injector.describeYoungStops() {
		t.Log(line)
	}
	if !t.Failed() { // reportViolations has logged the faults of a failed seed
		for _, line := range injector.trace {
			t.Log(line)
		}
	}
	if t.Failed() || longest.length > longGap {
		for _, line := range s.checker.EventsMatching(string(service.id)) {
			t.Log(line)
		}
	}
}

// waitUntilAllRun waits until every task of a long-running job runs.
func (c *callers) waitUntilAllRun(t *testing.T, j *submittedJob) {
	t.Helper()
	for deadline := time.Now().Add(completionLimit); len(c.system.checker.RunningTasks(j.id)) < j.tasksPerStep[0]; time.Sleep(20 * time.Millisecond) {
		if time.Now().After(deadline) {
			t.Errorf("of the long-running tasks only %v run", c.system.checker.RunningTasks(j.id))
			return
		}
	}
}

// cancelUntilFinal cancels a job until its state is final.
func (c *callers) cancelUntilFinal(t *testing.T, j *submittedJob) {
	t.Helper()
	j.mu.Lock()
	j.cancelled = true
	j.mu.Unlock()
	for deadline, entry := time.Now().Add(completionLimit), 0; time.Now().Before(deadline); entry++ {
		c.call(context.Background(), entry, http.MethodDelete, j.id, "")
		if c.checkState(context.Background(), entry, j).Final() {
			return
		}
		time.Sleep(100 * time.Millisecond)
	}
	t.Errorf("%s was cancelled, but is not final", j.id)
}

// gap is a time in which a task had no run.
type gap struct {
	task    structs.StepTaskID
	begunAt time.Time
	length  time.Duration
}

// gapObserver measures how long the tasks of a long-running job have no run.
type gapObserver struct {
	longest map[structs.StepTaskID]gap
}

// run observes the tasks of the job until ctx ends.
func (o *gapObserver) run(ctx context.Context, checker *jobChecker, j *submittedJob) {
	lastSeen := map[structs.StepTaskID]time.Time{}
	begunAt := time.Now()
	for ; ctx.Err() == nil; time.Sleep(20 * time.Millisecond) {
		now := time.Now()
		isRunning := map[structs.StepTaskID]bool{}
		for _, id := range checker.RunningTasks(j.id) {
			isRunning[id] = true
		}
		for i := range j.tasksPerStep[0] {
			id := structs.StepTaskID{Job: j.id, Index: int32(i)}
			if lastSeen[id].IsZero() {
				lastSeen[id] = begunAt
			}
			if d := now.Sub(lastSeen[id]); d > o.longest[id].length {
				o.longest[id] = gap{task: id, begunAt: lastSeen[id], length: d}
			}
			if isRunning[id] {
				lastSeen[id] = now
			}
		}
	}
}

func (o *gapObserver) max() gap {
	var longest gap
	for _, g := range o.longest {
		if g.length > longest.length {
			longest = g
		}
	}
	return longest
}
