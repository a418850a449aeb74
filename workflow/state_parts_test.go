package workflow

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/daisywall/daisywall/structs"
)

// Guards against states that change, or rows over the limit, when a state is recorded in
// several rows.
func TestStateInSeveralRowsIsRestored(tt *testing.T) {
	rapid.Check(tt, func(t *rapid.T) {
		spec := structs.StepJob{ID: "a", Queue: "q", Steps: []structs.Step{{Tasks: int32(rapid.IntRange(1, 60).Draw(t, "tasks"))}}}
		j := New(spec, structs.Queue{MaxAttempts: 3})
		j.Tasks(func(id structs.StepTaskID, _ *Task) {
			if rapid.Bool().Draw(t, "assigned") {
				run, _ := j.Assign(id, "w", "i")
				checkpoint := rapid.StringN(0, 40, -1).Draw(t, "checkpoint")
				if rapid.Bool().Draw(t, "released") {
					j.Release(run, checkpoint)
				}
			}
		})
		maxBytes := rapid.IntRange(300, 3000).Draw(t, "bytes")
		rows, err := j.EncodeStateRows(maxBytes)
		if err != nil || len(rows.Header) > maxBytes {
			t.Fatalf("%d bytes, %v", len(rows.Header), err)
		}
		for _, part := range rows.Parts {
			if len(part) == 0 || len(part) > maxBytes {
				t.Fatalf("part of %d bytes", len(part))
			}
		}
		accepted, err := j.EncodeSpec()
		if err != nil {
			t.Fatal(err)
		}
		part := func(i int) []byte {
			if i >= len(rows.Parts) {
				return nil
			}
			return rows.Parts[i]
		}
		restored, err := DecodeRows("a", accepted, rows.Header, part)
		if err != nil || restored.MaxParts() != len(rows.Parts) {
			t.Fatalf("%d of %d parts, %v", restored.MaxParts(), len(rows.Parts), err)
		}
		j.Tasks(func(id structs.StepTaskID, want *Task) {
			if got := restored.Task(id); *got != *want {
				t.Fatalf("%v: %+v, want %+v", id, got, want)
			}
		})
		if phase, _, err := DecodeState("a", rows.Header); err != nil || phase != j.Phase() {
			t.Fatalf("phase %q, %v", phase, err)
		}
		if len(rows.Parts) > 0 {
			if _, err := DecodeRows("a", accepted, rows.Header, func(i int) []byte { return part(i + 1) }); err == nil {
				t.Fatal("a state was restored without its first part")
			}
		}
	})
}

func TestStateWithImpossibleNumbersOfPartsIsNotRestored(t *testing.T) {
	accepted, err := New(twoSteps("a"), structs.Queue{}).EncodeSpec()
	is.New(t).NoErr(err)
	for _, n := range []int{-1, maxStateParts + 1, 1 << 40} {
		for _, field := range []string{"n", "m"} {
			_, err := DecodeRows("a", accepted, fmt.Appendf(nil, `{"p":"running",%q:%d}`, field, n), func(int) []byte { return []byte("{}") })
			var decode *DecodeError
			is.New(t).True(errors.As(err, &decode))
		}
	}
}

func TestJobThatCannotBeStoredIsRecordedWithoutItsTasks(t *testing.T) {
	is := is.New(t)
	j := New(structs.StepJob{ID: "a", Steps: []structs.Step{{Tasks: MaxTasks}}}, structs.Queue{})
	j.Tasks(func(id structs.StepTaskID, _ *Task) {
		run, _ := j.Assign(id, "w", "i")
		j.Release(run, strings.Repeat("c", MaxCheckpointBytes))
	})
	j.FailToStore()
	is.Equal(j.Phase(), structs.JobFailed)
	state, err := j.EncodeState()
	is.NoErr(err)
	is.True(len(state) < 200)
	accepted, err := j.EncodeSpec()
	is.NoErr(err)
	restored, err := Decode("a", accepted, state)
	is.NoErr(err)
	is.Equal(restored.Phase(), structs.JobFailed)
}

func TestLongCheckpointsAreNotKept(t *testing.T) {
	is := is.New(t)
	j := New(twoSteps("a"), structs.Queue{})
	run, _ := j.Assign(structs.StepTaskID{Job: "a"}, "w", "i")
	is.Equal(j.NewerCheckpoint(run, strings.Repeat("c", MaxCheckpointBytes), 0), strings.Repeat("c", MaxCheckpointBytes))
	is.Equal(j.NewerCheckpoint(run, strings.Repeat("c", MaxCheckpointBytes+1), 0), "")
}
