package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/placement/steps"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/workflow"
)

func TestRoomForAnOverdueLongRunningTaskIsMadeByTheCheapestStops(t *testing.T) {
	is := is.New(t)
	now := bootclock.Time(time.Hour)
	l, _ := leaderWithWorkers(t, &now, 1)
	w := l.workers["w0"]
	service := addService(l, "service", 1, 1500)
	add := func(name string, index int32, j *job) *run {
		return w.assign(structs.RunID{Task: structs.StepTaskID{Job: structs.JobID(name), Index: index}, Number: 1}, "i", j)
	}
	add("service", 0, service)
	spec := testJob("short", 5) // of 500 thousandths of a processor each
	short := &job{Job: workflow.New(*spec, testQueue)}
	l.addJob(short)
	fill := testJob("fill", 1)
	fill.Steps[0].Fills = true
	filling := &job{Job: workflow.New(*fill, testQueue)}
	l.addJob(filling)
	add("fill", 0, filling)
	var runs []*run
	for index, percent := range []int32{80, 20, 50, 10, 90} {
		r := add("short", int32(index), short)
		r.percent = percent
		runs = append(runs, r)
	}
	runs[4].stopReason = causeStuck
	v := l.placementView(w)
	v.Holds = []steps.Hold{{Missing: structs.Resources{MilliCPU: 1400}, IsOverdue: false}}
	l.makeRoom(v)
	stopped := func() (indexes []int32) {
		for _, r := range w.sortedRuns() {
			if r.stopReason != "" {
				indexes = append(indexes, r.id.Task.Index)
			}
		}
		return indexes
	}
	is.Equal(stopped(), []int32{4}) // nothing is stopped for a task that is not overdue
	v.Holds[0].IsOverdue = true
	l.makeRoom(v)
	is.Equal(stopped(), []int32{1, 3, 4}) // the run that stops already, and those with the least progress
	l.makeRoom(v)
	is.Equal(stopped(), []int32{1, 3, 4})
}
