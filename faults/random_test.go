package faults

import (
	"fmt"
	"slices"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/daisywall/daisywall/cell"
	"github.com/daisywall/daisywall/standin"
	"github.com/daisywall/daisywall/structs"
)

// randomStep injects a fault, or makes an operator's change, after a delay.
type randomStep struct {
	fault string
	after time.Duration
}

// Steps in addition to the faults in taskFaults. stepHeal ends every fault, and
// the others are changes by operators.
const (
	stepHeal     = "heal"
	stepNorthIn  = "north in"
	stepSouthOut = "south out"
	stepSouthIn  = "south in"
	stepCancel   = "cancel"
)

// Number of tasks of the jobs in addition to the main job.
const (
	failingTasks   = 3
	cancelledTasks = 4
)

func stepNames() []string {
	names := []string{stepHeal, stepHeal, stepNorthIn, stepSouthOut, stepSouthIn, stepCancel, stepCancel}
	for name := range taskFaults {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// scenario is a random sequence of faults and operators' changes while jobs
// run.
type scenario struct {
	runTime string // run time of every task of the main job and of the job to be cancelled
	tasks   int32
	steps   []randomStep
}

func drawScenario(t *rapid.T) scenario {
	names := stepNames()
	steps := rapid.SliceOfN(rapid.Custom(func(t *rapid.T) randomStep {
		return randomStep{
			fault: rapid.SampledFrom(names).Draw(t, "fault"),
			after: time.Duration(rapid.IntRange(0, 12000).Draw(t, "after")) * time.Millisecond,
		}
	}), 3, 12).Draw(t, "steps")
	return scenario{runTime: rapid.SampledFrom([]string{"3s", "8s", "30s"}).Draw(t, "run time"), tasks: rapid.SampledFrom([]int32{8, 60}).Draw(t, "tasks"), steps: steps}
}

// scenarioRun is one run of a scenario.
type scenarioRun struct {
	cluster   *simCluster
	operators sync.WaitGroup // operators' changes in progress while further faults are injected
	service   structs.JobID
	job       structs.JobID
	failing   structs.JobID // job whose tasks all fail
	cancelled structs.JobID
}

func startScenario(c *simCluster, sc scenario) (*scenarioRun, error) {
	r := &scenarioRun{cluster: c}
	if err := c.platform.Objects.Put(c.ctx, "input", []byte(sc.runTime)); err != nil {
		return nil, err
	}
	if err := standin.PutSamples(c.ctx, c.platform.Objects); err != nil {
		return nil, err
	}
	time.Sleep(10 * time.Second)
	r.service = c.submit("service", structs.WorkService, "watcher", standin.SampleKey("watcher"), instanceCount)
	r.cancelled = c.submit("cancelled", structs.WorkBatch, "sleep", "input", cancelledTasks)
	r.job = c.submit("job", structs.WorkBatch, "sleep", "input", sc.tasks)
	r.failing = c.submit("failing", structs.WorkBatch, "fail-always", "", failingTasks)
	return r, nil
}

// setDomain changes the state of a failure domain in the background.
func (r *scenarioRun) setDomain(domain structs.FailureDomainID, out bool) {
	r.operators.Go(func() { r.cluster.setDomain(domain, out) })
}

// cancel cancels the job to be cancelled in the background.
func (r *scenarioRun) cancel() {
	r.operators.Go(func() {
		for r.cluster.jobs.Cancel(r.cluster.ctx, r.cancelled) != nil {
			time.Sleep(100 * time.Millisecond)
		}
	})
}

func (r *scenarioRun) apply(step randomStep) {
	time.Sleep(step.after)
	switch step.fault {
	case stepHeal:
		r.cluster.heal()
	case stepNorthIn:
		r.setDomain("north", false)
	case stepSouthOut:
		r.setDomain("south", true)
	case stepSouthIn:
		r.setDomain("south", false)
	case stepCancel:
		r.cancel()
	case "domain out":
		r.setDomain("north", true)
	default:
		taskFaults[step.fault].inject(r.cluster)
	}
}

// finish ends all faults. It returns the violations, and a message for each job
// that has not completed as expected.
func (r *scenarioRun) finish(sc scenario) (violations []string) {
	r.cluster.heal()
	r.operators.Wait()
	r.cluster.setDomain("north", false)
	r.cluster.setDomain("south", false)
	r.cancel()
	r.operators.Wait()
	expect := func(what string, id structs.JobID, ok func(cell.JobStatus) bool) {
		if status, done := r.cluster.waitForJob(id, completionLimit); !done || !ok(status) {
			violations = append(violations, fmt.Sprintf("%s: %+v", what, status))
		}
	}
	expect("job", r.job, func(j cell.JobStatus) bool { return j.Finished == sc.tasks })
	expect("failing job", r.failing, func(j cell.JobStatus) bool { return j.Failed == failingTasks })
	expect("cancelled job", r.cancelled, func(j cell.JobStatus) bool { return j.Failed == 0 })
	runs := func(id structs.JobID) int { return countRunning(r.cluster.platform.History.Events(), id) }
	if !eventually(completionLimit, func() bool { return runs(r.service) == instanceCount && runs(r.cancelled) == 0 }) {
		violations = append(violations, fmt.Sprintf("%d instances of the service, %d cancelled tasks run", runs(r.service), runs(r.cancelled)))
	}
	time.Sleep(20 * time.Second)
	return append(violations, r.cluster.violations()...)
}

// runScenario returns the violations of a scenario.
func runScenario(t *testing.T, sc scenario, bugs injectedBugs) (violations []string) {
	synctest.Test(t, func(t *testing.T) {
		c := newSimCluster(t, bugs)
		defer c.close()
		r, err := startScenario(c, sc)
		if err != nil {
			t.Fatal(err)
		}
		for _, step := range sc.steps {
			r.apply(step)
		}
		violations = r.finish(sc)
	})
	return violations
}

func TestRandomFaultsKeepInvariants(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		if violations := runScenario(t, drawScenario(rt), injectedBugs{}); len(violations) > 0 {
			rt.Fatalf("%v", violations)
		}
	})
}

// bugRuns is the largest number of runs of a scenario with an injected bug.
// Several runs may be needed because the order of goroutines decides whether
// the bug has an effect.
const bugRuns = 12

func TestScenariosReportInjectedBugs(t *testing.T) {
	lateAssignments := scenario{"3s", 20, []randomStep{{"assignments late", 0}, {"domain out", 1200 * time.Millisecond}, {"nothing", 10 * time.Second}}}
	isolatedAgent := scenario{"30s", 18, []randomStep{{"cancel", 0}, {"agent isolated", 3 * time.Second}, {"nothing", 30 * time.Second}}}
	cases := map[string]struct {
		scenario scenario
		bugs     injectedBugs
		want     string // empty if no violation is expected
	}{
		"messages late in an outage":  {lateAssignments, injectedBugs{}, ""},
		"a grant that lasts too long": {lateAssignments, injectedBugs{startGrant: 5 * timing.StartGrant, leaseFactor: 10}, "went out"},
		"an agent that is isolated":   {isolatedAgent, injectedBugs{}, ""},
		"a lease that lasts too long": {isolatedAgent, injectedBugs{leaseFactor: 10}, "one_run"},
	}
	for name, c := range cases {
		t.Run(name, func(t *testing.T) {
			if c.want == "" {
				if violations := runScenario(t, c.scenario, c.bugs); len(violations) > 0 {
					t.Fatalf("violations: %s", strings.Join(violations, "\n"))
				}
				return
			}
			var violations string
			for range bugRuns {
				violations = strings.Join(runScenario(t, c.scenario, c.bugs), "\n")
				if strings.Contains(violations, c.want) {
					return
				}
			}
			t.Fatalf("want %q, violations: %s", c.want, violations)
		})
	}
}
