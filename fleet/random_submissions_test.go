package fleet

import (
	"context"
	"encoding/json"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/daisywall/daisywall/api/fleetpb"
	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/workflow"
)

// draw returns one of the values, rarely one of the rare ones. Few submissions
// would be valid if all values were as frequent.
func draw[T any](t *rapid.T, label string, values, rare []T) T {
	if rapid.IntRange(0, 49).Draw(t, label+" is rare") == 49 {
		values = rare
	}
	return rapid.SampledFrom(values).Draw(t, label)
}

// drawSubmission returns a job with usual and extreme values in all fields.
func drawSubmission(t *rapid.T, id structs.JobID) structs.StepJob {
	amount := func(label string) int64 {
		return draw(t, label, []int64{0, 1, 500, 4000, 1 << 40}, []int64{-1, math.MaxInt64})
	}
	number := func(label string) int32 { return draw(t, label, []int32{0, 1, 2, 4}, []int32{-1, math.MaxInt32}) }
	span := func(label string) time.Duration {
		return draw(t, label, []time.Duration{0, 1, time.Millisecond, time.Second, math.MaxInt64}, []time.Duration{-1})
	}
	text := rapid.SampledFrom([]string{"", "a", "web", "\xff"})
	flag := rapid.Bool()
	job := structs.StepJob{ID: id, Queue: "q", Payload: text.Draw(t, "payload")}
	if flag.Draw(t, "scheduled") {
		job.Schedule = structs.Schedule{
			Start:    draw(t, "start", []time.Time{{}, time.Now(), time.UnixMilli(0)}, []time.Time{time.UnixMilli(math.MaxInt64), time.UnixMilli(math.MinInt64)}),
			Interval: span("interval"), Rounds: number("rounds"),
		}
	}
	for i := range draw(t, "steps", []int{1, 2, 4}, []int{0, workflow.MaxSteps + 1}) {
		s := structs.Step{
			Tasks:     draw(t, "tasks", []int32{1, 2, 4}, []int32{0, math.MaxInt32}),
			Resources: structs.Resources{MilliCPU: amount("cpu"), MemoryMB: amount("memory"), Accelerators: amount("accelerators")},
			Estimate:  span("estimate"), LatencyTarget: span("target"), Image: text.Draw(t, "image"),
			Checkpoints: flag.Draw(t, "checkpoints"), Speculative: flag.Draw(t, "speculative"), LongRunning: flag.Draw(t, "long"),
			Fills: flag.Draw(t, "fills"), Gang: flag.Draw(t, "gang"), SameRack: flag.Draw(t, "same rack"),
			MaxPerWorker: number("per worker"), MaxUnavailable: number("unavailable"),
		}
		if i > 0 && flag.Draw(t, "after") {
			s.After = []int32{draw(t, "dependency", []int32{0, int32(max(0, i-1))}, []int32{-1, int32(i)})}
		}
		job.Steps = append(job.Steps, s)
	}
	return job
}

func TestRandomSubmissionsAreRefusedOrScheduledWithoutAPanic(tb *testing.T) {
	accepted := 0
	rapid.Check(tb, func(t *rapid.T) {
		is := is.New(tb)
		now := bootclock.Time(time.Hour)
		l, lines := leaderWithWorkers(tb, &now, 3)
		queue := testQueue
		queue.MaxAttempts = rapid.SampledFrom([]int32{-1, 0, 3, math.MaxInt32}).Draw(t, "attempts")
		queue.Stretch = rapid.SampledFrom([]float64{-1, 0, 2, math.MaxFloat64}).Draw(t, "stretch")
		queue.Priority = rapid.SampledFrom([]int{-1, 0, 2, math.MaxInt64}).Draw(t, "priority")
		l.config = &fakeConfig{queue: queue}
		for _, id := range []structs.JobID{"a", "b", "c"} {
			spec := drawSubmission(t, id)
			if workflow.Validate(&spec) != nil {
				continue
			}
			accepted++
			data, err := json.Marshal(spec)
			is.NoErr(err) // the entry sends it to the leader
			var sent structs.StepJob
			is.NoErr(json.Unmarshal(data, &sent))
			l.submit(sent, queue, func(fleetpb.Outcome) {})
		}
		for range 5 {
			now = now.Add(rapid.SampledFrom([]time.Duration{time.Millisecond, time.Second, 20 * time.Second}).Draw(t, "pause"))
			l.stopAging()
			l.schedule(context.Background())
			for _, w := range l.workers {
				report := &fleetpb.WorkerReport{Listed: true}
				reserved := structs.Resources{}
				for _, r := range w.sortedRuns() {
					r.stored = true
					is.True(reservedBy(r).Fits(w.capacity)) // the sum may overflow
					reserved = reserved.Add(reservedBy(r))
					report.Active = append(report.Active, &fleetpb.Active{Run: runToProto(r.id), Percent: 50, Pace: 100, Figure: 7})
				}
				is.True(reserved.Fits(w.capacity))
				if w.session == nil {
					w.session, w.ready = newSession(), true // the orders were not read
				}
				w.session.worker = w
				l.handleReport(w.session, report)
			}
			l.runPeriodicChecks()
			for _, j := range l.jobs {
				rows, err := jobRows(j, DefaultRowBytes)
				is.NoErr(err)
				_, err = workflow.Decode(j.Spec.ID, rows[0].Value, rows[1].Value)
				is.NoErr(err)
			}
		}
		is.Equal(lines.FilterMessage("panic").Len(), 0)
	})
	is.New(tb).True(accepted > 0)
	tb.Logf("%d jobs accepted", accepted)
}
