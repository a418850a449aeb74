package steps

import (
	"testing"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/structs"
)

// restarted returns the demand of an overdue long-running task that has failed on
// the workers.
func restarted(r Restart) Demand {
	d := demand("service", 1, longRunning(3000))
	d.FailedOn = map[int32][]structs.WorkerID{0: r.FailedOn}
	d.MarkRestarted(0, r)
	d.MarkOverdue(0)
	return d
}

func TestRestartIsDelayedOnlyWhereTheTaskHasFailed(t *testing.T) {
	is := is.New(t)
	failed := []structs.WorkerID{workers(1)[0].ID}
	plan := func(list []*Worker, r Restart) []Placement {
		return Plan(list, []Demand{restarted(r)}, NewInterference())
	}
	is.Equal(len(plan(workers(1), Restart{FailedOn: failed, IsDelayed: true})), 0)
	list := workers(2)
	is.Equal(plan(list, Restart{FailedOn: failed, IsDelayed: true})[0].Worker, list[1].ID)
	is.Equal(len(plan(workers(2), Restart{FailedOn: failed, IsDelayed: true, IsAtFault: true})), 0)
	list = workers(2)
	list[1].HealthPenalty, list[1].AllowsTrial = 1, true
	is.Equal(len(plan(list, Restart{FailedOn: failed, IsDelayed: true})), 0)
}

func TestRoomIsMadeForADelayedTaskWhereItHasNotFailed(t *testing.T) {
	is := is.New(t)
	list := workers(2)
	list[1].Reserved.MilliCPU = list[1].Capacity.MilliCPU
	d := restarted(Restart{FailedOn: []structs.WorkerID{list[0].ID}, IsDelayed: true, IsCrashLooping: true})
	is.Equal(len(Plan(list, []Demand{d}, NewInterference())), 0)
	is.Equal(len(list[0].Holds), 0)
	is.True(list[1].Holds[0].IsOverdue)
}

func TestOverdueTaskDoesNotReturnToADoubtfulWorkerWhileRoomCanBeMade(t *testing.T) {
	for name, r := range map[string]Restart{"failed there": {FailedOn: []structs.WorkerID{workers(1)[0].ID}}, "quarantined": {}} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			list := workers(2)
			if len(r.FailedOn) == 0 {
				list[0].HealthPenalty, list[0].AllowsTrial = 1, true
			}
			list[1].Reserved.MilliCPU = list[1].Capacity.MilliCPU
			is.Equal(len(Plan(list, []Demand{restarted(r)}, NewInterference())), 0)
			is.Equal(len(list[1].Holds), 1)
			list[1].Holds, list[1].Held = nil, structs.Resources{}
			list[1].LongRunning.MilliCPU = list[1].Capacity.MilliCPU
			is.Equal(Plan(list, []Demand{restarted(r)}, NewInterference())[0].Worker, list[0].ID)
		})
	}
}

func TestTaskThatCrashLoopsOnAWorkerStopsNoOthersThere(t *testing.T) {
	is := is.New(t)
	list := workers(1)
	list[0].Reserved.MilliCPU = list[0].Capacity.MilliCPU
	Plan(list, []Demand{restarted(Restart{FailedOn: []structs.WorkerID{list[0].ID}, IsCrashLooping: true})}, NewInterference())
	is.True(!list[0].Holds[0].IsOverdue)
}
