package fleet

import (
	"cmp"
	"fmt"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/api/fleetpb"
	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/standin"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/workflow"
)

// announceTime is longer than the time until a host has announced a change of
// its runner.
const announceTime = 600 * time.Millisecond

// streamJobs submits more jobs than the hosts have room for, until the returned
// function is called.
func (f *simulatedFleet) streamJobs(step structs.Step) (end func()) {
	e, stop, done := f.newEntry(), make(chan struct{}), make(chan struct{})
	go func() {
		defer close(done)
		for n := 0; ; n++ {
			job := testJob(fmt.Sprintf("job-%d", n), 4)
			step.Tasks = 4
			job.Steps[0] = step
			_ = f.submit(e, job) // entries refuse jobs while the store is silent
			select {
			case <-stop:
				return
			case <-time.After(100 * time.Millisecond):
			}
		}
	}()
	return func() { close(stop); <-done; e.Close() }
}

func TestNoStartBringsARunnerOverACapacityThatHasShrunk(t *testing.T) {
	full := structs.Resources{MilliCPU: 4000, MemoryMB: 800, Accelerators: 8}
	half := structs.Resources{MilliCPU: 2000, MemoryMB: 400, Accelerators: 4}
	// A fault begins with the change and ends with the returned function.
	type fault func(f *simulatedFleet, h *simulatedHost) (end func())
	setStores := func(f *simulatedFleet, mode standin.StoreMode) {
		for _, h := range f.hosts {
			h.store.SetMode(mode)
		}
	}
	replaceLeader := func(f *simulatedFleet, _ *simulatedHost) func() {
		old := f.leaderHost()
		old.killAgent()
		return old.startAgent
	}
	cases := []struct {
		name    string
		shrunk  structs.Resources
		all     bool // all hosts shrink
		leaders bool // the leader's host shrinks
		fault   fault
		lasts   time.Duration // 3 s if it is 0
	}{
		{name: "to half", shrunk: half},
		{name: "to nothing", shrunk: structs.Resources{}},
		{name: "memory only", shrunk: structs.Resources{MilliCPU: 4000, MemoryMB: 300, Accelerators: 8}},
		{name: "accelerators only", shrunk: structs.Resources{MilliCPU: 4000, MemoryMB: 800, Accelerators: 2}},
		{name: "all hosts at once", shrunk: half, all: true},
		{name: "the leader's host", shrunk: half, leaders: true},
		{name: "with a new session", shrunk: half, fault: func(_ *simulatedFleet, h *simulatedHost) func() {
			h.dropSession()
			return func() {}
		}},
		{name: "just before a takeover", shrunk: half, fault: replaceLeader},
		{name: "all hosts, just before a takeover", shrunk: half, all: true, fault: replaceLeader},
		{name: "while the store is silent", shrunk: half, fault: func(f *simulatedFleet, _ *simulatedHost) func() {
			setStores(f, standin.StoreUnresponsive)
			return func() { setStores(f, standin.StoreServes) }
		}},
		{name: "behind a cut", shrunk: half, fault: func(_ *simulatedFleet, h *simulatedHost) func() {
			h.setPartitioned(true)
			return func() { h.setPartitioned(false) }
		}},
		{name: "while starts are refused", shrunk: half, fault: func(_ *simulatedFleet, h *simulatedHost) func() {
			h.setCallFaults(refuseAsUnhealthy, nil)
			return func() { h.setCallFaults(nil, nil) }
		}},
		{name: "while starts are refused briefly", shrunk: structs.Resources{}, lasts: time.Second, fault: func(_ *simulatedFleet, h *simulatedHost) func() {
			h.setCallFaults(refuseAsUnhealthy, nil)
			return func() { h.setCallFaults(nil, nil) }
		}},
		{name: "while calls get no answer", shrunk: half, fault: func(_ *simulatedFleet, h *simulatedHost) func() {
			h.setCallFaults(loseCall, loseCall)
			return func() { h.setCallFaults(nil, nil) }
		}},
	}
	for _, c := range cases {
		for _, checkpoints := range []bool{false, true} {
			t.Run(fmt.Sprintf("%s/checkpoints %v", c.name, checkpoints), func(t *testing.T) {
				runInFleet(t, 4, func(f *simulatedFleet) {
					is := is.New(f.t)
					step := structs.Step{Resources: structs.Resources{MilliCPU: taskCPU, MemoryMB: 100, Accelerators: 1}, Checkpoints: checkpoints}
					f.checker.TaskResources = func(structs.StepTaskID) structs.Resources { return step.Resources }
					f.checker.CapacityGrace = announceTime
					for _, h := range f.hosts {
						h.runner.SetCapacity(full)
						h.runner.Restart()
					}
					time.Sleep(2 * time.Second)
					f.waitReady()
					end := f.streamJobs(step)
					defer end()
					time.Sleep(2 * time.Second)
					host := f.followerHost()
					if c.leaders {
						host = f.leaderHost()
					}
					is.Equal(host.runs(), 8)
					shrinking := []*simulatedHost{host}
					if c.all {
						shrinking = f.hosts
					}
					for _, h := range shrinking {
						h.runner.SetCapacity(c.shrunk)
					}
					if c.fault != nil {
						heal := c.fault(f, host)
						time.Sleep(cmp.Or(c.lasts, 3*time.Second))
						heal()
					}
					time.Sleep(5 * time.Second)
					if starts := len(f.checker.Violations()); starts > 0 {
						f.t.Fatalf("%d starts over the capacity", starts)
					}
					room := min(c.shrunk.MilliCPU/taskCPU, c.shrunk.MemoryMB/100, c.shrunk.Accelerators)
					for _, h := range shrinking {
						f.waitUntil("the host is as full as it can be", 2*time.Second, func() bool { return h.runs() == int(room) })
						h.runner.SetCapacity(full)
					}
					for _, h := range shrinking {
						f.waitUntil("room that has grown is used", 3*time.Second, func() bool { return h.runs() == 8 })
					}
				})
			})
		}
	}
}

// shrinkRunners lets runners shrink and grow again, one to three at a time.
func shrinkRunners(m *mixedFleet) {
	for until := time.Now().Add(faultTime); time.Now().Before(until); time.Sleep(m.durationBetween(100*time.Millisecond, time.Second)) {
		hosts := m.randomHosts(int(m.between(1, 3)))
		for _, h := range hosts {
			h.runner.SetCapacity(structs.Resources{MilliCPU: m.between(0, 8) * taskCPU, MemoryMB: m.between(0, 20) * 100})
		}
		time.Sleep(m.durationBetween(200*time.Millisecond, 3*time.Second))
		for _, h := range hosts {
			h.runner.SetCapacity(testCapacity)
		}
	}
}

func TestCapacitiesThatChangeAtRandomAreKept(t *testing.T) {
	cases := []struct {
		name       string
		others     []func(*mixedFleet)
		startsFail bool // tasks run out of attempts
	}{
		{name: "alone"},
		{name: "runners restart", others: []func(*mixedFleet){restartRunners}},
		{name: "hosts are partitioned", others: []func(*mixedFleet){partitionHosts}},
		{name: "starts fail", others: []func(*mixedFleet){failStarts}, startsFail: true},
		{name: "all faults", others: []func(*mixedFleet){restartRunners, partitionHosts, failStarts}, startsFail: true},
	}
	for _, c := range cases {
		for seed := range uint64(restartSeeds) {
			t.Run(fmt.Sprintf("%s/%d", c.name, seed), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					m := newMixedFleet(t, restartHosts, seed)
					defer m.close()
					m.checker.CapacityGrace = announceTime
					m.checker.TaskResources = func(id structs.StepTaskID) structs.Resources {
						step := m.workOf(id).step
						if step.Fills {
							step.Resources.MilliCPU = 0
						}
						return step.Resources
					}
					m.submitServices(restartScenario{})
					time.Sleep(time.Second)
					m.streamFillingTasks()
					m.streamShortTasks(denseBacklog)
					time.Sleep(settleTime)
					var faults sync.WaitGroup
					for _, fault := range slices.Concat(c.others, []func(*mixedFleet){shrinkRunners}) {
						faults.Go(func() { fault(m) })
					}
					faults.Wait()
					m.endStreams()
					if !c.startsFail {
						m.waitUntil("all short tasks are done", 30*time.Second, m.shortTasksDone)
					}
					m.checkGuarantees()
				})
			})
		}
	}
}

// The capacity shrinks between the assignment of two tasks and the commit that
// stores it.
func TestStartThatNoLongerFitsIsReleasedBeforeItIsOrdered(t *testing.T) {
	is := is.New(t)
	now := bootclock.Time(time.Hour)
	l, _ := leaderWithWorkers(t, &now, 1)
	w := l.workers["w0"]
	w.session.worker = w
	j := &job{Job: workflow.New(*testJob("a", 3), testQueue)}
	l.addJob(j)
	l.schedule(t.Context())
	is.Equal(len(w.runs), 3)
	for _, r := range w.sortedRuns()[:1] {
		r.stored, r.stopReason = true, "job is over"
		l.orderStart(w, r) // is released: it was stopped
	}
	is.Equal(len(w.runs), 2)
	l.handleReport(w.session, &fleetpb.WorkerReport{Hello: &fleetpb.Hello{Incarnation: "i", Pool: "pool", MilliCpu: taskCPU, MemoryMb: 8000}})
	for _, r := range w.sortedRuns() {
		l.orderStart(w, r)
	}
	is.Equal(len(w.runs), 1)
	is.Equal(len(w.outbox.starts), 1)
}

func TestChangedLabelsOfARunnerReachTheLeader(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		f := newSimulatedFleet(t, 2)
		defer f.close()
		l := f.waitReady()
		info := f.followerHost().runner.Report()
		info.Sequence, info.Labels, info.Rack = info.Sequence+1000, []string{"kind", "rack-2"}, "rack-2"
		f.followerHost().node.Announce(info)
		time.Sleep(100 * time.Millisecond)
		l.runInLoop(t.Context(), func() {
			if w := l.workers[f.followerHost().name]; w.rack != "rack-2" || len(w.labels) != 2 {
				t.Errorf("rack %q, labels %v", w.rack, w.labels)
			}
		})
	})
}

// A run that nobody assigned, such as one that started after it was given up,
// takes room until the runner has stopped it.
func TestRunThatIsNotAssignedCountsUntilItHasEnded(t *testing.T) {
	is := is.New(t)
	now := bootclock.Time(time.Hour)
	l, _ := leaderWithWorkers(t, &now, 1)
	w := l.workers["w0"]
	w.session.worker, w.capacity = w, structs.Resources{MilliCPU: taskCPU, MemoryMB: 8000}
	j := &job{Job: workflow.New(*testJob("a", 2), testQueue)}
	l.addJob(j)
	stray := structs.RunID{Task: structs.StepTaskID{Job: "a", Index: 1}, Number: 1}
	l.handleReport(w.session, &fleetpb.WorkerReport{Listed: true, Active: []*fleetpb.Active{{Run: runToProto(stray)}}})
	l.schedule(t.Context())
	is.Equal(len(w.runs), 0)
	l.handleReport(w.session, &fleetpb.WorkerReport{Listed: true})
	l.schedule(t.Context())
	is.Equal(len(w.runs), 1)
}
