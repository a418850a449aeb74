package workflow

import (
	"fmt"
	"strconv"

	"github.com/daisywall/daisywall/structs"
)

// Limits of a job. The state of a job must fit into one row of the store.
const (
	MaxSteps        = 64
	MaxTasks        = 500  // tasks in all steps and rounds together; each task takes about 100 bytes in the row
	MaxPayloadBytes = 4000 // limit in the platform's documentation of jobs

	maxFaults   = 16             // faults of a job that are reported
	maxResource = int64(1) << 40 // sums of larger amounts may overflow
	maxYear     = 9999           // a later time cannot be encoded
)

// Validate returns a *structs.InvalidError with the first faults of an invalid
// job.
func Validate(job *structs.StepJob) error {
	v := validator{}
	v.check(len(job.Payload) <= MaxPayloadBytes, "/spec", len(job.Payload), "must have at most 4000 bytes")
	v.check(len(job.Steps) > 0 && len(job.Steps) <= MaxSteps, "/steps", len(job.Steps), "must have 1 to 64 steps")
	year := job.Schedule.Start.UTC().Year()
	v.check(year >= 0 && year <= maxYear, "/start_at_ms", year, "must be in the years 0 to 9999")
	v.check(job.Schedule.Rounds >= 0 && job.Schedule.Interval >= 0, "/schedule", job.Schedule.Rounds, "must not be negative")
	total := int64(0)
	for i := range job.Steps[:min(len(job.Steps), MaxSteps)] {
		v.step(job, i)
		total += int64(job.Steps[i].Tasks)
	}
	if total <= MaxTasks && job.Schedule.Rounds > 0 { // a larger total may overflow
		total *= int64(job.Schedule.Rounds)
	}
	v.check(total <= MaxTasks, "/steps", total, "must have at most 500 tasks in all")
	if len(v.faults) > 0 {
		return &structs.InvalidError{Subject: "job", Faults: v.faults}
	}
	return nil
}

// validator collects the faults of a job.
type validator struct{ faults []structs.Fault }

// check adds a fault if ok is false. It drops the faults that are too many.
func (v *validator) check(ok bool, path string, value any, rule string) {
	if !ok && len(v.faults) < maxFaults {
		v.faults = append(v.faults, structs.Fault{Path: path, Value: fmt.Sprint(value), Rule: rule})
	}
}

// step checks one step of the job.
func (v *validator) step(job *structs.StepJob, i int) {
	s := &job.Steps[i]
	path := "/steps/" + strconv.Itoa(i)
	v.check(s.Tasks > 0, path+"/count", s.Tasks, "must be above 0")
	for _, amount := range []int64{s.Resources.MilliCPU, s.Resources.MemoryMB, s.Resources.Accelerators} {
		v.check(amount >= 0 && amount <= maxResource, path, amount, "must ask for 0 to 2^40 of each resource")
	}
	v.check(s.Estimate >= 0 && s.LatencyTarget >= 0 && s.MaxPerWorker >= 0 && s.MaxUnavailable >= 0,
		path, i, "must not have negative figures")
	for _, dependency := range s.After {
		v.check(dependency >= 0 && int(dependency) < i, path+"/after", dependency, "must name an earlier step")
	}
}
