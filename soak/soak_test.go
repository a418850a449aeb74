package soak

import (
	"context"
	"flag"
	"fmt"
	"math/rand/v2"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/daisywall/daisywall/structs"
)

var (
	firstSeed = flag.Uint64("soak.first", 1, "first seed")
	seedCount = flag.Int("soak.seeds", 2, "number of seeds; CI runs the default")
	logDir    = flag.String("soak.logs", "", "folder that keeps the logs of failed seeds; empty to drop them")
)

// Deadly jobs of one seed.
const (
	deadlyCount   = 3
	crashesInCalm = 3 // runners that a deadly task may crash after the end of the faults
)

// Durations of one seed.
const (
	faultPeriod      = 9 * time.Second
	maxFaultDuration = 4500 * time.Millisecond
	completionLimit  = 45 * time.Second // limit from the end of the faults until all accepted jobs are completed
	calmTime         = 3 * time.Second  // time after the end of all accepted jobs in which no deadly task may run
	firstJobLimit    = 20 * time.Second // limit from the start of the programs until the first job is accepted
)

var binaries string // folder of the built programs

func TestMain(m *testing.M) {
	flag.Parse()
	os.Exit(runTests(m))
}

func runTests(m *testing.M) int {
	dir, err := os.MkdirTemp("", "daisywall-soak")
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer os.RemoveAll(dir)
	binaries = dir
	build := exec.Command("go", "build", "-o", dir+"/", "../cmd/daisywall-agent", "../cmd/daisywall-entry")
	build.Stderr = os.Stderr
	if err := build.Run(); err != nil {
		fmt.Fprintln(os.Stderr, "build:", err)
		return 1
	}
	return m.Run()
}

// TestSeeds injects random faults into whole systems and checks these
// invariants: a task has at most one run at a time, and none after it has
// completed. No runner exceeds its capacity. Steps run in order. No task of an
// unknown or rejected job runs. Every accepted job stays known, is reported
// with its true state and completes in the end. No program exits without being
// stopped.
func TestSeeds(t *testing.T) {
	for i := range uint64(*seedCount) {
		seed := *firstSeed + i
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runSeed(t, seed, seedOptions{})
		})
	}
}

// TestSeedsWithDeadlyJobs checks the same invariants while a few jobs have a
// task that crashes the runners that start it. These jobs are failed in the
// end, and no others are. No task crashes many runners.
func TestSeedsWithDeadlyJobs(t *testing.T) {
	for i := range uint64(*seedCount) {
		seed := *firstSeed + i
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runSeed(t, seed, seedOptions{deadlyJobs: deadlyCount})
		})
	}
}

// TestSeedsBesideForeignReports checks the same invariants while another writer sends
// odd reports in the name of the runners.
func TestSeedsBesideForeignReports(t *testing.T) {
	for i := range uint64(*seedCount) {
		seed := *firstSeed + i
		t.Run(fmt.Sprint(seed), func(t *testing.T) {
			t.Parallel()
			runSeed(t, seed, seedOptions{foreignReports: true})
		})
	}
}

// seedOptions is what happens in a seed beside the random faults.
type seedOptions struct {
	deadlyJobs     int // callers that submit a deadly job each
	foreignReports bool
}

// runSeed injects random faults into a system.
func runSeed(t *testing.T, seed uint64, o seedOptions) {
	dir, err := os.MkdirTemp("", fmt.Sprintf("daisywall-soak-%d-", seed))
	if err != nil {
		t.Fatal(err)
	}
	rng := rand.New(rand.NewPCG(seed, 2))
	holdLimits := []time.Duration{4 * time.Second, 6 * time.Second, 10 * time.Second}
	s, err := newSystem(dir, holdLimits[rng.IntN(len(holdLimits))])
	defer func() {
		s.close()
		if t.Failed() && *logDir != "" {
			_ = os.CopyFS(filepath.Join(*logDir, fmt.Sprint(seed)), os.DirFS(dir))
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
	injector := &faultInjector{system: s, rng: rng, startedAt: time.Now()}
	ctx, cancel := context.WithCancel(context.Background())
	var callersDone sync.WaitGroup
	for i := range callerCount {
		callerRNG := rand.New(rand.NewPCG(seed, uint64(100+i)))
		deadlyJob := -1
		if i < o.deadlyJobs {
			deadlyJob = 1 + 2*i
		}
		callersDone.Go(func() { c.run(ctx, callerRNG, deadlyJob) })
	}
	if o.foreignReports {
		writer := &foreignWriter{system: s, rng: rand.New(rand.NewPCG(seed, 3))}
		callersDone.Go(func() { writer.run(ctx) })
		defer func() { t.Logf("%d foreign reports", writer.sent) }()
	}
	injector.run(faultPeriod)
	cancel()
	callersDone.Wait()
	injector.heal()
	crashesAtHeal := c.crashesByJob()
	c.waitForCompletion(t)
	c.checkCrashes(t, crashesAtHeal)
	reportViolations(t, s, c, injector)
}

// crashesByJob returns the number of crashes of runners by each deadly job.
func (c *callers) crashesByJob() map[*submittedJob]int {
	crashes := map[*submittedJob]int{}
	for _, j := range c.jobs {
		if j.isDeadly {
			crashes[j] = c.system.checker.CrashesUnder(j.deadlyTask())
		}
	}
	return crashes
}

// checkCrashes checks that deadly jobs have crashed few runners since the
// faults ended, given their crashes until then, and no more after their end.
func (c *callers) checkCrashes(t *testing.T, before map[*submittedJob]int) {
	t.Helper()
	if len(before) == 0 {
		return
	}
	atEnd := c.crashesByJob()
	time.Sleep(calmTime)
	for j, crashes := range c.crashesByJob() {
		t.Logf("deadly %s: accepted %v, %d crashes, %d of them after the faults", j.id, j.accepted, crashes, crashes-before[j])
		if crashes-before[j] > crashesInCalm || j.accepted && crashes > atEnd[j] {
			t.Errorf("%s has crashed %d runners in calm, %d of them after its end; want at most %d, 0",
				j.id, crashes-before[j], crashes-atEnd[j], crashesInCalm)
		}
	}
}

// waitForFirstAccepted submits a job until it is accepted.
func (c *callers) waitForFirstAccepted(limit time.Duration) bool {
	j := &submittedJob{id: "00000000000000aa", tasksPerStep: []int{1}}
	c.system.checker.addJob(j)
	c.jobs = append(c.jobs, j)
	for started := time.Now(); time.Since(started) < limit; time.Sleep(100 * time.Millisecond) {
		if status, _ := c.call(context.Background(), 0, "POST", j.id, j.body()); status == 200 {
			j.accepted = true
			return true
		}
	}
	return false
}

// waitForCompletion waits until every accepted job is in a final state. It then
// checks that the rejected jobs have not run and that the cancelled jobs no
// longer run.
func (c *callers) waitForCompletion(t *testing.T) {
	t.Helper()
	deadline := time.Now().Add(completionLimit)
	for _, j := range c.jobs {
		if !j.accepted {
			continue
		}
		var phase structs.JobPhase
		for entry := 0; ; entry++ {
			if phase = c.checkState(context.Background(), entry, j); phase.Final() {
				break
			}
			if time.Now().After(deadline) {
				t.Errorf("%s was accepted, but its state is still %q", j.id, phase)
				break
			}
			time.Sleep(20 * time.Millisecond)
		}
	}
	for _, j := range c.jobs {
		if n := c.system.checker.StartsOfJob(j.id); j.rejected && n > 0 {
			t.Errorf("%s was rejected, but started %d tasks", j.id, n)
		}
		if stillRunning := c.system.checker.RunningTasks(j.id); j.cancelled && j.accepted && len(stillRunning) > 0 {
			time.Sleep(time.Second) // the last cancellation may have been answered just now
			if stillRunning = c.system.checker.RunningTasks(j.id); len(stillRunning) > 0 {
				t.Errorf("%s was cancelled, but still runs %v", j.id, stillRunning)
			}
		}
	}
}

func reportViolations(t *testing.T, s *testSystem, c *callers, injector *faultInjector) {
	t.Helper()
	for _, violation := range s.checker.violations() {
		t.Error(violation)
		for _, line := range s.checker.EventsMatching(violation[:min(16, len(violation))]) {
			t.Log(line)
		}
	}
	for _, h := range s.hosts {
		for _, violation := range h.process.exitViolations() {
			t.Error(violation)
		}
	}
	t.Logf("%d jobs, %d starts beside another run, number of answers by status %v", len(c.jobs), c.system.checker.ParallelStarts(), c.answersByStatus)
	if t.Failed() {
		for _, line := range injector.trace {
			t.Log(line)
		}
	}
}
