package workflow

import (
	"encoding/base64"
	"errors"
	"fmt"
	"strconv"
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

// checkpointedJob returns a job of 500 tasks, half of them a gang, that are assigned to workers with long
// names and have been released with the checkpoint before.
func checkpointedJob(t testing.TB, checkpoint func(task int32) string) *Job {
	t.Helper()
	const tasks = MaxTasks / 2
	j := New(structs.StepJob{ID: "a", Queue: "q", Steps: []structs.Step{{Tasks: tasks}, {Tasks: tasks, Gang: true}}}, structs.Queue{MaxAttempts: 3})
	for step := range int32(2) {
		for index := range int32(tasks) {
			id := structs.StepTaskID{Job: "a", Step: step, Index: index}
			run, _ := j.Assign(id, "w", "i")
			j.Release(run, checkpoint(index*(1-step)))
		}
	}
	j.Tasks(func(id structs.StepTaskID, _ *Task) { j.Assign(id, "side-zagorje-1", "i-7f3a91c2@1700000000000") })
	return j
}

// checkTransaction checks that the rows keep the limits of the store and restore the job.
func checkTransaction(t testing.TB, j *Job, rowBytes int) *Job {
	t.Helper()
	const maxCallBytes = 1_000_000
	rows, err := j.EncodeStateRows(rowBytes)
	if err != nil {
		t.Fatal(err)
	}
	call := 0
	for _, row := range append([][]byte{rows.Header}, rows.Parts...) {
		call += base64.StdEncoding.EncodedLen(len(row)) + 100
		if len(row) > rowBytes {
			t.Fatalf("row of %d bytes", len(row))
		}
	}
	if call > maxCallBytes {
		t.Fatalf("call of %d bytes", call)
	}
	accepted, err := j.EncodeSpec()
	if err != nil {
		t.Fatal(err)
	}
	restored, err := DecodeRows("a", accepted, rows.Header, func(i int) []byte { return rows.Parts[i] })
	if err != nil {
		t.Fatal(err)
	}
	return restored
}

// Guards against an accepted job that the store refuses, because the characters of its checkpoints
// take several bytes in the record.
func TestStateWithAnyCheckpointsFitsIntoOneTransaction(t *testing.T) {
	for name, c := range map[string]struct {
		text string
		kept bool // all checkpoints have room
	}{
		"plain": {"0123456789", true}, "markup": {"<p>&</p>", true}, "quotes": {`"\\`, false}, "control characters": {"\x01", false},
		"line separators": {"\u2028", false}, "letters of other scripts": {"čžš", true},
	} {
		t.Run(name, func(t *testing.T) {
			is := is.New(t)
			checkpoint := func(task int32) string {
				return strings.ToValidUTF8((strconv.Itoa(int(task)) + strings.Repeat(c.text, MaxCheckpointBytes))[:MaxCheckpointBytes], "")
			}
			j := checkpointedJob(t, checkpoint)
			restored := checkTransaction(t, j, 64<<10)
			is.Equal(j.UnrecordedCheckpoints() == 0, c.kept)
			kept, gang := 0, map[string]bool{}
			restored.Tasks(func(id structs.StepTaskID, task *Task) {
				is.Equal(j.Task(id).Checkpoint != "", true) // the leader still has it
				is.True(task.Checkpoint == "" || task.Checkpoint == j.Task(id).Checkpoint)
				if id.Step == 1 {
					gang[task.Checkpoint] = true
				}
				if task.Checkpoint != "" {
					kept++
				}
			})
			is.Equal(kept, MaxTasks-j.UnrecordedCheckpoints())
			is.Equal(len(gang), 1) // all members resume from the same one
		})
	}
}

func FuzzStateFitsIntoOneTransaction(f *testing.F) {
	f.Add("<p>1</p>", uint16(1000), uint16(0), uint16(0))
	f.Add("\x01\xff", uint16(900), uint16(3), uint16(100))
	f.Fuzz(func(t *testing.T, text string, length, step, every uint16) {
		if text == "" {
			return
		}
		j := checkpointedJob(t, func(task int32) string {
			if every > 0 && int(task)%int(every) == 0 {
				return ""
			}
			n := (int(length) + int(task)*int(step)) % (MaxCheckpointBytes + 1)
			return strings.ToValidUTF8(strings.Repeat(text, n/len(text)+1)[:n], "")
		})
		checkTransaction(t, j, 64<<10)
	})
}

// The metric is the size of the record.
func BenchmarkStateOf500Tasks(b *testing.B) {
	for name, text := range map[string]string{"plain": "0123456789", "markup": "<p>1</p>", "quotes": `"\\`, "control": "\x01"} {
		b.Run(name, func(b *testing.B) {
			j := checkpointedJob(b, func(int32) string { return strings.Repeat(text, MaxCheckpointBytes)[:MaxCheckpointBytes] })
			accepted, err := j.EncodeSpec()
			if err != nil {
				b.Fatal(err)
			}
			size := 0
			for b.Loop() {
				rows, err := j.EncodeStateRows(64 << 10)
				if err != nil {
					b.Fatal(err)
				}
				size = rows.Bytes()
				if _, err := DecodeRows("a", accepted, rows.Header, func(i int) []byte { return rows.Parts[i] }); err != nil {
					b.Fatal(err)
				}
			}
			b.ReportMetric(float64(size), "bytes")
		})
	}
}

func TestLongCheckpointsAreNotKept(t *testing.T) {
	is := is.New(t)
	j := New(twoSteps("a"), structs.Queue{})
	run, _ := j.Assign(structs.StepTaskID{Job: "a"}, "w", "i")
	is.Equal(j.NewerCheckpoint(run, strings.Repeat("c", MaxCheckpointBytes), 0), strings.Repeat("c", MaxCheckpointBytes))
	is.Equal(j.NewerCheckpoint(run, strings.Repeat("c", MaxCheckpointBytes+1), 0), "")
}
