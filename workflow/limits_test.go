package workflow

import (
	"encoding/json"
	"errors"
	"math"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/structs"
)

// Each of these jobs would harm the leader that handles it, and the next one.
func TestJobsThatOverflowAreRefused(t *testing.T) {
	hugeSteps := make([]structs.Step, 5)
	for i := range hugeSteps {
		hugeSteps[i].Tasks = math.MaxInt32
	}
	hugeSteps[4].Tasks = 4 // 1<<33 tasks in all
	one := func(r structs.Resources) []structs.Step { return []structs.Step{{Tasks: 1, Resources: r}} }
	cases := []struct {
		name string
		job  structs.StepJob
	}{
		{"tasks of all rounds overflow", structs.StepJob{Steps: hugeSteps, Schedule: structs.Schedule{Rounds: 1 << 30}}},
		{"processors", structs.StepJob{Steps: one(structs.Resources{MilliCPU: math.MaxInt64})}},
		{"memory", structs.StepJob{Steps: one(structs.Resources{MemoryMB: math.MaxInt64})}},
		{"accelerators", structs.StepJob{Steps: one(structs.Resources{Accelerators: math.MaxInt64})}},
		{"start that cannot be encoded", structs.StepJob{Steps: one(structs.Resources{}), Schedule: structs.Schedule{Start: time.UnixMilli(math.MaxInt64), Rounds: 1}}},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			is.True(Validate(&c.job) != nil)
			if data, err := json.Marshal(jobRecord{Job: c.job}); err == nil {
				_, err = Decode("a", data, []byte(`{}`))
				is.True(err != nil)
			}
		})
	}
}

func TestOnlyTheFirstFaultsAreReported(t *testing.T) {
	is := is.New(t)
	after := make([]int32, 100_000)
	for i := range after {
		after[i] = int32(i + 1)
	}
	err := Validate(&structs.StepJob{Steps: []structs.Step{{Tasks: 1, After: after}}})
	var invalid *structs.InvalidError
	is.True(errors.As(err, &invalid))
	is.Equal(len(invalid.Faults), maxFaults)
}
