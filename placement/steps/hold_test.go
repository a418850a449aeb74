package steps

import (
	"slices"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/structs"
)

func longRunning(milliCPU int64) structs.Step {
	return structs.Step{LongRunning: true, Resources: structs.Resources{MilliCPU: milliCPU, MemoryMB: 1000}}
}

func short(milliCPU int64) structs.Step {
	return structs.Step{Resources: structs.Resources{MilliCPU: milliCPU, MemoryMB: 100}}
}

func TestShortTasksDontTakeTheRoomThatALongRunningTaskWaitsFor(t *testing.T) {
	is := is.New(t)
	list := workers(2)
	list[0].Reserved.MilliCPU = 14000
	list[1].Reserved.MilliCPU = 15900
	demands := []Demand{demand("short", 9, short(500)), demand("service", 1, longRunning(3000))}
	demands[1].Slack = -10 * time.Second
	for _, p := range Plan(list, demands, NewInterference()) {
		is.Equal(p.Task.Job, structs.JobID("short"))
		is.Equal(p.Worker, structs.WorkerID("w1")) // w0 lacks the least
	}
	is.Equal(len(list[0].Holds), 1)
	is.Equal(list[0].Holds[0].Missing, structs.Resources{MilliCPU: 1000})
}

func TestFillingTasksDontTakeTheMemoryThatALongRunningTaskWaitsFor(t *testing.T) {
	is := is.New(t)
	list := workers(1)
	list[0].Reserved.MemoryMB = 50000
	step := longRunning(100)
	step.Resources.MemoryMB = 20000
	fill := structs.Step{Fills: true, Resources: structs.Resources{MilliCPU: 100, MemoryMB: 1000}}
	is.Equal(len(Plan(list, []Demand{demand("service", 1, step), demand("fill", 1, fill)}, NewInterference())), 0)
	is.Equal(list[0].Holds[0].Missing, structs.Resources{MemoryMB: 6000})
}

func TestNoRoomIsHeldWhereLongRunningTasksLeaveNone(t *testing.T) {
	is := is.New(t)
	list := workers(1)
	list[0].Reserved.MilliCPU, list[0].LongRunning.MilliCPU = 15000, 15000
	plan := Plan(list, []Demand{demand("service", 1, longRunning(3000)), demand("short", 1, short(500))}, NewInterference())
	is.Equal(len(list[0].Holds), 0)
	is.Equal(plan[0].Task.Job, structs.JobID("short"))
}

func TestEachLongRunningTaskHoldsRoomOfItsOwn(t *testing.T) {
	is := is.New(t)
	list := workers(2)
	for _, w := range list {
		w.Reserved.MilliCPU = 14000
	}
	step := longRunning(3000)
	step.MaxPerWorker = 1
	Plan(list, []Demand{demand("service", 3, step)}, NewInterference())
	is.Equal(len(list[0].Holds), 1)
	is.Equal(len(list[1].Holds), 1)
}

func TestTaskThatAlwaysFailsDoesNotKeepItsRoomFromOthers(t *testing.T) {
	is := is.New(t)
	list := workers(1)
	list[0].Reserved.MilliCPU = 13000
	failing := demand("failing", 1, longRunning(3000))
	failing.MarkRestarted(0, Restart{IsDelayed: true, IsAtFault: true})
	is.Equal(Plan(list, []Demand{failing, demand("short", 1, short(500))}, NewInterference())[0].Task.Job, structs.JobID("short"))
	is.Equal(len(list[0].Holds), 0)
}

func TestRoomIsNotHeldWhereStoppedTasksDontEnd(t *testing.T) {
	is := is.New(t)
	list := workers(2)
	list[0].Reserved.MilliCPU, list[0].Stalled.MilliCPU = 14000, 14000
	list[1].Reserved.MilliCPU = 16000
	Plan(list, []Demand{demand("service", 1, longRunning(3000))}, NewInterference())
	is.Equal(len(list[0].Holds), 0)
	is.Equal(len(list[1].Holds), 1)
}

func TestOnlyOverdueTasksOfAStepMayStopOthers(t *testing.T) {
	is := is.New(t)
	list := workers(1)
	list[0].Reserved.MilliCPU = 16000
	d := demand("service", 2, longRunning(3000))
	d.MarkOverdue(1)
	Plan(list, []Demand{d}, NewInterference())
	is.Equal(list[0].Holds[0].Task.Index, int32(1)) // the overdue task comes first
	is.True(list[0].Holds[0].IsOverdue)
	is.True(!list[0].Holds[1].IsOverdue)
}

func TestRoomOfAStarvedGangIsReleasedAgain(t *testing.T) {
	is := is.New(t)
	for _, lateness := range []time.Duration{starvationLateness + time.Second, starvationLateness + gangHoldTime + time.Second} {
		list := workers(2)
		list[1].Reserved.MilliCPU = 16000 // for a very long time
		gang := demand("gang", 2, structs.Step{Gang: true, Resources: structs.Resources{MilliCPU: 12000}})
		gang.Slack = -lateness
		plan := Plan(list, []Demand{gang, demand("short", 1, short(12000))}, NewInterference())
		is.Equal(len(plan), int((lateness-starvationLateness)/gangHoldTime))
	}
}

func TestLongRunningFillingTaskFitsWhereRoomIsHeldForIt(t *testing.T) {
	is := is.New(t)
	list := workers(1)
	list[0].Reserved.MemoryMB = 63000 // beyond the share that is left to tasks that fill
	step := longRunning(100)
	step.Fills = true
	is.Equal(len(Plan(list, []Demand{demand("fill", 1, step)}, NewInterference())), 1)
}

func TestWorkersWithRoomForALongRunningTaskBesideShortTasksAreCandidates(t *testing.T) {
	is := is.New(t)
	list := workers(3)
	list[0].Reserved.MilliCPU = 16000
	list[1].Reserved.MilliCPU, list[1].LongRunning.MilliCPU = 16000, 16000
	is.Equal(Candidates(list, demand("service", 1, longRunning(3000)), NewInterference(), 3), []structs.WorkerID{"w2", "w0"})
	is.Equal(Candidates(list, demand("short", 1, short(3000)), NewInterference(), 3), []structs.WorkerID{"w2"})
}

func TestOverdueLongRunningTaskComesBeforeUrgentWork(t *testing.T) {
	is := is.New(t)
	urgent, service := demand("urgent", 1, short(3000)), demand("service", 1, longRunning(3000))
	service.Priority = 2
	place := func() structs.JobID {
		list := workers(1)
		list[0].Reserved.MilliCPU = 13000
		return Plan(list, []Demand{urgent, service}, NewInterference())[0].Task.Job
	}
	is.Equal(place(), structs.JobID("urgent"))
	service.MarkOverdue(0)
	is.Equal(place(), structs.JobID("service"))
}

func TestLongRunningTaskIsTriedOnAQuarantinedWorkerOnlyIfNoOtherHasRoom(t *testing.T) {
	is := is.New(t)
	list := workers(2)
	list[0].HealthPenalty, list[0].AllowsTrial = 1, true
	list[1].Reserved.MilliCPU = 12000
	d := demand("service", 3, longRunning(3000))
	d.FailedOn = map[int32][]structs.WorkerID{0: {"w1"}}
	var used []structs.WorkerID
	for _, p := range Plan(list, []Demand{d}, NewInterference()) {
		used = append(used, p.Worker)
	}
	is.Equal(used, []structs.WorkerID{"w1", "w0"}) // one trial at a time
}

func TestFillingTaskIsTriedOnAQuarantinedWorkerBeforeOneWhereItInterferes(t *testing.T) {
	is := is.New(t)
	i := NewInterference()
	for range 3 {
		i.Learn("web", 8, []Neighbour{{Image: "match", MinPace: 1, MaxPace: 1}})
	}
	list := workers(2)
	list[0].HealthPenalty, list[0].AllowsTrial = 1, true
	list[1].TasksByServiceImage["web"] = 1
	d := demand("a", 1, structs.Step{Image: "match", Fills: true, Resources: structs.Resources{MilliCPU: 1800}})
	d.Waited = time.Minute
	is.Equal(Plan(list, []Demand{d}, i)[0].Worker, structs.WorkerID("w0"))
}

func TestTrialsDontUseUpTheAttemptsOfATask(t *testing.T) {
	gang := short(100)
	gang.Gang = true
	cases := []struct {
		name     string
		step     structs.Step
		failedOn []structs.WorkerID
		want     int
	}{
		{"task without a failure", short(100), nil, 1},
		{"task that has failed", short(100), []structs.WorkerID{"w9"}, 0},
		{"long-running task that has failed", longRunning(100), []structs.WorkerID{"w9"}, 1},
		{"gang", gang, nil, 0},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			list := workers(1)
			list[0].HealthPenalty, list[0].AllowsTrial = 1, true
			d := demand("a", 1, c.step)
			d.FailedOn = map[int32][]structs.WorkerID{0: c.failedOn}
			is.New(t).Equal(len(Plan(list, []Demand{d}, NewInterference())), c.want)
		})
	}
}

func TestServiceDoesNotReturnToTheWorkerThatFailedItForTheSakeOfItsImage(t *testing.T) {
	is := is.New(t)
	list := workers(2)
	list[0].TasksByServiceImage["web"], list[0].Reserved.MilliCPU = 1, 14000
	list[1].Reserved.MilliCPU = 10000
	step := longRunning(1000)
	step.Image, step.LatencyTarget = "web", time.Millisecond
	d := demand("service", 1, step)
	d.FailedOn = map[int32][]structs.WorkerID{0: {"w0"}}
	is.Equal(Plan(list, []Demand{d}, NewInterference())[0].Worker, structs.WorkerID("w1"))
}

func TestLongRunningTasksAreOrderedByTheirWait(t *testing.T) {
	is := is.New(t)
	demands := []Demand{demand("short", 1, short(1)), demand("new", 1, longRunning(1)), demand("lost", 1, longRunning(1))}
	demands[1].Slack, demands[2].Slack = time.Second, -20*time.Second
	demands[1].Waited, demands[2].Waited = time.Second, 2*time.Second
	Sort(demands)
	order := slices.Collect(func(yield func(structs.JobID) bool) {
		for i := range demands {
			if !yield(demands[i].Job) {
				return
			}
		}
	})
	is.Equal(order, []structs.JobID{"lost", "new", "short"})
}
