package planner

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/cell"
	"github.com/daisywall/daisywall/placement"
	"github.com/daisywall/daisywall/structs"
)

var startTime = time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)

func config() *structs.Config {
	return &structs.Config{Teams: []structs.TeamConfig{{ID: "jabuka", Quota: structs.Resources{MilliCPU: 100_000, MemoryMB: 100_000}}}}
}

func newBatchJob(class string, size structs.Resources) *structs.Job {
	return &structs.Job{ID: structs.JobID(class), Team: "jabuka", Class: class, Kind: structs.WorkBatch, Tasks: 1, Resources: size, RunTime: time.Minute, MaxAttempts: 3}
}

func newWorkerView(id structs.WorkerID, residents ...cell.Resident) cell.WorkerView {
	capacity := structs.Resources{MilliCPU: 16_000, MemoryMB: 60_000}
	return cell.WorkerView{
		Worker:    structs.Worker{ID: id, FailureDomain: "kordun", Rack: "r1", Cell: "kordun", Capacity: capacity},
		Free:      capacity,
		Placeable: true,
		Residents: residents,
	}
}

func newPendingTask(j *structs.Job, failedOn ...structs.WorkerID) cell.PendingTask {
	return cell.PendingTask{Task: structs.TaskID{Job: j.ID}, Job: j, FailedOn: failedOn}
}

func TestPlan(t *testing.T) {
	small := structs.Resources{MilliCPU: 1000, MemoryMB: 1024}
	cases := []struct {
		name    string
		pending cell.PendingTask
		workers []cell.WorkerView
		placed  structs.WorkerID
		never   bool
	}{
		{"a task goes to a worker with room", newPendingTask(newBatchJob("pricing", small)), []cell.WorkerView{newWorkerView("w1")}, "w1", false},
		{"nothing goes to a worker that may not take work", newPendingTask(newBatchJob("pricing", small)), []cell.WorkerView{{Worker: newWorkerView("w1").Worker, Free: small}}, "", false},
		{"a task that is too large here waits for another cell", newPendingTask(newBatchJob("pricing", structs.Resources{MilliCPU: 99_000, MemoryMB: 1})), []cell.WorkerView{newWorkerView("w1")}, "", false},
		{"a task that fails on every worker is never schedulable", newPendingTask(newBatchJob("pricing", small), "w1", "w2", "w1"), []cell.WorkerView{newWorkerView("w1"), newWorkerView("w2")}, "", true},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			plan := New(config, placement.Options{}).Plan(&cell.Snapshot{
				Cell: "kordun", Now: startTime, MaxStarts: 10, Pending: []cell.PendingTask{c.pending}, Workers: c.workers,
			})
			is.Equal(len(plan.Placements) == 1, c.placed != "")
			if c.placed != "" {
				is.Equal(plan.Placements[0].Worker, c.placed)
			}
			never := false
			for _, u := range plan.Unschedulable {
				never = never || u.Permanent
			}
			is.Equal(never, c.never)
		})
	}
}

func TestRunTimeIsLearnedOncePerRun(t *testing.T) {
	is := is.New(t)
	p := New(config, placement.Options{})
	j := newBatchJob("pricing", structs.Resources{MilliCPU: 1000, MemoryMB: 1024})
	resident := cell.Resident{Attempt: structs.AttemptID{Task: structs.TaskID{Job: j.ID}, Number: 1}, Job: j, Running: true}
	for second := range 10 {
		resident.Progress = float64(second) / 10
		p.Plan(&cell.Snapshot{Cell: "kordun", Now: startTime.Add(time.Duration(second) * time.Second), Workers: []cell.WorkerView{newWorkerView("w1", resident)}})
	}
	is.Equal(p.model.RunTime("pricing", time.Minute), time.Minute) // a run in progress is not learned yet
	p.Plan(&cell.Snapshot{Cell: "kordun", Now: startTime.Add(11 * time.Second), Workers: []cell.WorkerView{newWorkerView("w1")}})
	is.True(p.model.RunTime("pricing", time.Minute) != time.Minute)
	is.Equal(len(p.residents), 0)
}

func TestPlannerResetsForAnotherCell(t *testing.T) {
	is := is.New(t)
	p := New(config, placement.Options{})
	p.Plan(&cell.Snapshot{Cell: "kordun", Now: startTime, Workers: []cell.WorkerView{newWorkerView("w1", cell.Resident{Job: newBatchJob("pricing", structs.Resources{MilliCPU: 1})})}})
	is.Equal(len(p.residents), 1)
	p.Plan(&cell.Snapshot{Cell: "zagorje", Now: startTime})
	is.Equal(len(p.residents), 0)
}
