package steps

import (
	"testing"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/structs"
)

func TestExclusionsNameTheReasonOfEachWorker(t *testing.T) {
	step := structs.Step{Label: "a", MaxPerWorker: 1, Resources: structs.Resources{MilliCPU: 3000, MemoryMB: 100}}
	cases := []struct {
		name   string
		change func(w *Worker, d *Demand)
		want   Exclusion
	}{
		{"has room", func(*Worker, *Demand) {}, ""},
		{"other pool", func(w *Worker, _ *Demand) { w.Pool = "other" }, ExcludedPool},
		{"not permitted", func(_ *Worker, d *Demand) { d.Permitted = map[structs.WorkerID]bool{} }, ExcludedPermit},
		{"other label", func(w *Worker, _ *Demand) { w.Labels = nil }, ExcludedLabel},
		{"full", func(w *Worker, _ *Demand) { w.Reserved.MilliCPU, w.LongRunning.MilliCPU = 14000, 13500 }, ExcludedRoom},
		{"full of tasks that end", func(w *Worker, _ *Demand) { w.Reserved.MilliCPU, w.LongRunning.MilliCPU = 14000, 13000 }, ExcludedEndingTasks},
		{"has a copy", func(w *Worker, d *Demand) { d.Placed = map[structs.WorkerID]int32{w.ID: 1} }, ExcludedCopies},
		{"quarantined", func(w *Worker, _ *Demand) { w.HealthPenalty = 1 }, ExcludedQuarantine},
		{"quarantined and full", func(w *Worker, _ *Demand) {
			w.HealthPenalty, w.Reserved.MilliCPU, w.LongRunning.MilliCPU = 1, 14000, 14000
		}, ExcludedRoom},
		{"busy, for a filling task", func(w *Worker, d *Demand) { d.Spec.Fills, w.FillMilliCPU = true, 15000 }, ExcludedFillingIdleShare},
		{"over target, for a filling task", func(w *Worker, d *Demand) { d.Spec.Fills, w.LatencyRatio = true, 2 }, ExcludedInterference},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			list := workers(1)
			d := demand("a", 1, step)
			c.change(list[0], &d)
			counts, bestFree := d.Exclusions(list, NewInterference())
			is.Equal(counts[c.want] == 1, c.want != "")
			is.Equal(len(Plan(list, []Demand{d}, NewInterference())) == 1, c.want == "")
			if c.want == ExcludedRoom || c.want == ExcludedEndingTasks {
				is.Equal(bestFree, int64(2000))
			}
		})
	}
}

func TestNothingStartsOnAWorkerThatHasShrunkBelowItsReservations(t *testing.T) {
	services := structs.Resources{MilliCPU: 1100, MemoryMB: 100}
	w := &Worker{ID: "w", Pool: "p", Capacity: structs.Resources{MilliCPU: 1000, MemoryMB: 1000}, Reserved: services, LongRunning: services}
	for _, fills := range []bool{false, true} {
		d := Demand{Pool: "p", Tasks: []int32{0}, Spec: &structs.Step{Tasks: 1, Fills: fills, Resources: structs.Resources{MilliCPU: 100, MemoryMB: 10}}}
		if placed := Plan([]*Worker{w}, []Demand{d}, NewInterference()); len(placed) != 0 {
			t.Errorf("filling %v: %v", fills, placed)
		}
	}
}
