package faults

import (
	"context"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/standin"
	"github.com/daisywall/daisywall/structs"
)

// fault is injected into cell a, whose failure domain is north.
type fault struct {
	inject           func(c *simCluster)
	duration         time.Duration // time from the injection to the end of the fault
	exactCheckpoints bool          // evicted tasks are expected to resume from their last checkpoint
}

func setRuntimeFaults(c *simCluster, set func(f *standin.Faults)) {
	for _, r := range c.platform.Runtimes {
		set(&r.Faults)
	}
}

var taskFaults = map[string]fault{
	"nothing":               {func(*simCluster) {}, 0, true},
	"table refuses":         {func(c *simCluster) { c.platform.Table.Faults.Refuse(standin.EveryCall) }, 30 * time.Second, false},
	"table silent":          {func(c *simCluster) { c.platform.Table.Faults.Silence(standin.EveryCall) }, 30 * time.Second, false},
	"table slow":            {func(c *simCluster) { c.platform.Table.Faults.Delay(callTimeout*3/4, standin.EveryCall) }, 30 * time.Second, false},
	"table too slow":        {func(c *simCluster) { c.platform.Table.Faults.Delay(callTimeout*3/2, standin.EveryCall) }, 10 * time.Second, false},
	"table paused":          {func(c *simCluster) { c.platform.Table.Faults.Pause() }, 10 * time.Second, false},
	"table loses answers":   {func(c *simCluster) { c.platform.Table.Faults.LoseAnswer(4) }, 10 * time.Second, false},
	"objects refuse":        {func(c *simCluster) { c.platform.Objects.Faults.Refuse(standin.EveryCall) }, 10 * time.Second, false},
	"objects silent":        {func(c *simCluster) { c.platform.Objects.Faults.Silence(standin.EveryCall) }, 10 * time.Second, false},
	"leader killed":         {func(c *simCluster) { c.restart(c.leader("a")) }, 0, false},
	"leader frozen":         {func(c *simCluster) { c.leader("a").gate.freeze() }, 40 * time.Second, false},
	"leader off the table":  {func(c *simCluster) { c.leader("a").update(func(p *process) { p.platformCut = true }) }, 40 * time.Second, false},
	"leader isolated":       {func(c *simCluster) { c.leader("a").update(func(p *process) { p.isolated = true }) }, 40 * time.Second, false},
	"agent killed":          {func(c *simCluster) { c.restart(c.follower("a")) }, 0, false},
	"agent frozen":          {func(c *simCluster) { c.follower("a").gate.freeze() }, 40 * time.Second, false},
	"agent isolated":        {func(c *simCluster) { c.follower("a").update(func(p *process) { p.isolated = true }) }, 40 * time.Second, false},
	"every agent killed":    {restartAll, 0, false},
	"runtime restarts":      {func(c *simCluster) { c.platform.Runtimes[c.follower("a").worker.ID].Restart() }, 0, false},
	"runtimes refuse":       {func(c *simCluster) { setRuntimeFaults(c, func(f *standin.Faults) { f.Refuse(standin.EveryCall) }) }, 8 * time.Second, false},
	"runtimes silent":       {func(c *simCluster) { setRuntimeFaults(c, func(f *standin.Faults) { f.Silence(5) }) }, 8 * time.Second, false},
	"runtimes slow":         {func(c *simCluster) { setRuntimeFaults(c, func(f *standin.Faults) { f.Delay(2*time.Second, 5) }) }, 8 * time.Second, false},
	"runtimes lose answers": {func(c *simCluster) { setRuntimeFaults(c, func(f *standin.Faults) { f.LoseAnswer(4) }) }, 8 * time.Second, false},
	"messages late":         {func(c *simCluster) { c.addDelays(&c.messageDelays, 5*time.Second, 12) }, 10 * time.Second, false},
	"assignments late":      {func(c *simCluster) { c.addDelays(&c.requestDelays, 5*time.Second, 8) }, 10 * time.Second, false},
	"domain out":            {func(c *simCluster) { c.setDomain("north", true) }, 20 * time.Second, true},
	"agent frozen and table paused": {func(c *simCluster) {
		c.follower("a").gate.freeze()
		c.platform.Table.Faults.Pause()
	}, 10 * time.Second, false},
	"leader killed and table silent": {func(c *simCluster) {
		c.platform.Table.Faults.Silence(standin.EveryCall)
		c.restart(c.leader("a"))
	}, 20 * time.Second, false},
}

func restartAll(c *simCluster) {
	c.mu.Lock()
	all := append([]*process{}, c.processes...)
	c.mu.Unlock()
	for _, p := range all {
		c.restart(p)
	}
}

// taskSteps holds for each step of a task a function that reports whether a job
// has reached the step on cell a.
var taskSteps = map[string]func(c *simCluster, events []standin.Event) bool{
	"submitted": func(*simCluster, []standin.Event) bool { return true },
	"assigning": func(c *simCluster, _ []standin.Event) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.sentAssignments > 0
	},
	"running": func(_ *simCluster, events []standin.Event) bool {
		return countEvents(events, standin.EventStarted) >= 6
	},
	"evicting": func(c *simCluster, _ []standin.Event) bool {
		c.mu.Lock()
		defer c.mu.Unlock()
		return c.sentActions[daisywallpb.Action_VERB_EVICT] > 0
	},
	"evicted": func(_ *simCluster, events []standin.Event) bool { return countEvents(events, standin.EventStopped) > 0 },
	"ending":  func(_ *simCluster, events []standin.Event) bool { return countEvents(events, standin.EventExited) > 0 },
}

func countEvents(events []standin.Event, kind standin.EventKind) int {
	n := 0
	for _, e := range events {
		if e.Kind == kind {
			n++
		}
	}
	return n
}

const (
	taskCount       = 10
	instanceCount   = 2
	completionLimit = 5 * time.Minute
	// maxParallelClusters bounds the number of clusters that run at once, and
	// so the processors that the tests use.
	maxParallelClusters = 4
)

func TestEveryFaultAtEveryStepOfATask(t *testing.T) {
	slots := make(chan struct{}, maxParallelClusters)
	for name, f := range taskFaults {
		for step, reached := range taskSteps {
			t.Run(name+"/"+step, func(t *testing.T) {
				t.Parallel()
				slots <- struct{}{}
				defer func() { <-slots }()
				synctest.Test(t, func(t *testing.T) { faultAtStep(t, f, step, reached) })
			})
		}
	}
}

func faultAtStep(t *testing.T, f fault, step string, reached func(*simCluster, []standin.Event) bool) {
	is := is.New(t)
	c := newSimCluster(t, injectedBugs{})
	defer c.close()
	c.exactCheckpoints = f.exactCheckpoints
	is.NoErr(c.platform.Objects.Put(context.Background(), "input", []byte("8s")))
	is.NoErr(standin.PutSamples(context.Background(), c.platform.Objects))
	time.Sleep(10 * time.Second) // until leaders are elected and have recovered their state
	service := c.submit("service", structs.WorkService, "watcher", standin.SampleKey("watcher"), instanceCount)
	is.True(eventually(time.Minute, func() bool { return countRunning(c.platform.History.Events(), service) == instanceCount }))
	c.mu.Lock()
	c.sentAssignments = 0
	c.mu.Unlock()
	before := len(c.platform.History.Events())
	job := c.submit("job", structs.WorkBatch, "sleep", "input", taskCount)
	if step == "evicting" || step == "evicted" {
		is.True(eventually(time.Minute, func() bool { return countRunning(c.platform.History.Events(), job) > 0 }))
		c.setDomain("north", true)
	}
	is.True(eventually(time.Minute, func() bool { return reached(c, c.platform.History.Events()[before:]) }))
	f.inject(c)
	time.Sleep(f.duration)
	c.heal()
	c.setDomain("north", false)
	status, done := c.waitForJob(job, completionLimit)
	is.Equal(c.violations(), nil)
	is.True(done)
	is.Equal(status.Finished, int32(taskCount))
	is.True(eventually(completionLimit, func() bool { return countRunning(c.platform.History.Events(), service) == instanceCount }))
	time.Sleep(20 * time.Second)
	is.Equal(c.violations(), nil)
	is.Equal(countRunning(c.platform.History.Events(), service), instanceCount)
}
