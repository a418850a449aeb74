package planner

import (
	"context"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/daisywall/daisywall/cell"
	"github.com/daisywall/daisywall/placement"
	"github.com/daisywall/daisywall/standin"
	"github.com/daisywall/daisywall/structs"
)

// newTrainedPlanner returns a planner whose model contains one pricing run of
// 10 s.
func newTrainedPlanner() *Planner {
	p := New(config, placement.Options{})
	j := newBatchJob("pricing", structs.Resources{MilliCPU: 1000, MemoryMB: 1024})
	used := structs.Resources{MilliCPU: 500, MemoryMB: 512}
	resident := cell.Resident{Attempt: structs.AttemptID{Task: structs.TaskID{Job: j.ID}, Number: 1}, Job: j, Running: true, Progress: 1, Usage: &used}
	for _, after := range []time.Duration{0, 10 * time.Second} {
		p.Plan(&cell.Snapshot{Cell: "kordun", Now: startTime.Add(after), Workers: []cell.WorkerView{newWorkerView("w1", resident)}})
	}
	p.Plan(&cell.Snapshot{Cell: "kordun", Now: startTime.Add(11 * time.Second), Workers: []cell.WorkerView{newWorkerView("w1")}})
	return p
}

func TestNextLeaderRestoresThePlannerModel(t *testing.T) {
	is := is.New(t)
	ctx, objects := context.Background(), standin.NewObjects()
	old := newTrainedPlanner()
	epoch, leads := int64(1), true
	leading := func() (int64, bool) { return epoch, leads }
	store := NewModelStore(old, objects, "kordun", leading, zap.NewNop())
	is.NoErr(store.restoreOrSave(ctx, startTime.Add(12*time.Second))) // nothing to restore
	is.NoErr(store.restoreOrSave(ctx, startTime.Add(12*time.Second+modelSavePeriod)))

	epoch = 2
	next := New(config, placement.Options{})
	is.NoErr(NewModelStore(next, objects, "kordun", leading, zap.NewNop()).restoreOrSave(ctx, startTime.Add(time.Hour)))
	is.Equal(next.model.RunTime("pricing", time.Minute), old.model.RunTime("pricing", time.Minute))
	is.True(next.model.RunTime("pricing", time.Minute) != time.Minute)
}

func TestModelIsNotSavedBeforeTheStoredCopyWasRead(t *testing.T) {
	is := is.New(t)
	ctx, objects := context.Background(), standin.NewObjects()
	is.NoErr(objects.Put(ctx, "learned/kordun", []byte(`{"classes":[]}`)))
	objects.Faults.Refuse(standin.EveryCall)
	store := NewModelStore(newTrainedPlanner(), objects, "kordun", func() (int64, bool) { return 1, true }, zap.NewNop())
	is.True(store.restoreOrSave(ctx, startTime) != nil)
	is.True(store.restoreOrSave(ctx, startTime.Add(modelSavePeriod)) != nil)
	objects.Faults.Refuse(0)
	kept, err := objects.Get(ctx, "learned/kordun")
	is.NoErr(err)
	is.Equal(string(kept), `{"classes":[]}`)
}

func TestFollowerSavesNothing(t *testing.T) {
	is := is.New(t)
	ctx, objects := context.Background(), standin.NewObjects()
	store := NewModelStore(newTrainedPlanner(), objects, "kordun", func() (int64, bool) { return 0, false }, zap.NewNop())
	is.NoErr(store.restoreOrSave(ctx, startTime.Add(modelSavePeriod)))
	keys, err := objects.List(ctx, "")
	is.NoErr(err)
	is.Equal(len(keys), 0)
}
