package workflow

import (
	"bytes"
	"cmp"
	"encoding/json"
	"slices"

	"github.com/daisywall/daisywall/structs"
)

// MaxStateBytes limits the record of a job's state. Encoded as base64 and beside the
// leadership row, it fits into one transaction of the store, which takes 1 MB.
const MaxStateBytes = 640_000

// encodeJSON returns the value as JSON that leaves markup as it is.
func encodeJSON(value any) ([]byte, error) {
	var b bytes.Buffer
	encoder := json.NewEncoder(&b)
	encoder.SetEscapeHTML(false)
	if err := encoder.Encode(value); err != nil {
		return nil, err
	}
	return bytes.TrimSuffix(b.Bytes(), []byte("\n")), nil
}

// encodedBytes returns the size of a text in a record. A character may take six bytes.
func encodedBytes(s string) int {
	data, err := encodeJSON(s)
	if err != nil {
		return 0 // a string always has an encoding
	}
	return len(data)
}

// recordedCheckpoint is a checkpoint in a record, with the tasks that resume from it: one, or
// all members of a gang, which must have the same one.
type recordedCheckpoint struct {
	tasks []*Task
	bytes int
}

// withoutLargestCheckpoints returns a copy of the state without its largest checkpoints, so
// that its record has at least excess bytes less if it can, and the number of tasks without theirs. A
// task without its checkpoint starts anew after a change of the leader, which loses nothing but work.
func (s stateRecord) withoutLargestCheckpoints(steps []structs.Step, excess int) (smaller stateRecord, dropped int) {
	smaller = s
	smaller.Steps = make([][]stepRecord, len(s.Steps))
	var checkpoints []recordedCheckpoint
	for round := range s.Steps {
		smaller.Steps[round] = slices.Clone(s.Steps[round])
		for i := range smaller.Steps[round] {
			tasks := slices.Clone(smaller.Steps[round][i].Tasks)
			smaller.Steps[round][i].Tasks = tasks
			checkpoints = append(checkpoints, checkpointsOf(tasks, steps[i].Gang)...)
		}
	}
	slices.SortStableFunc(checkpoints, func(a, b recordedCheckpoint) int { return cmp.Compare(b.bytes, a.bytes) })
	for _, c := range checkpoints {
		if excess <= 0 {
			break
		}
		for _, t := range c.tasks {
			t.Checkpoint, t.CheckpointRun, t.CheckpointPercent = "", 0, 0
		}
		excess -= c.bytes
		dropped += len(c.tasks)
	}
	return smaller, dropped
}

// checkpointsOf returns the checkpoints of the tasks of a step.
func checkpointsOf(tasks []Task, isGang bool) []recordedCheckpoint {
	var checkpoints []recordedCheckpoint
	for i := range tasks {
		t := &tasks[i]
		if t.Checkpoint == "" {
			continue
		}
		if !isGang || len(checkpoints) == 0 {
			checkpoints = append(checkpoints, recordedCheckpoint{})
		}
		c := &checkpoints[len(checkpoints)-1]
		c.tasks, c.bytes = append(c.tasks, t), c.bytes+encodedBytes(t.Checkpoint)
	}
	return checkpoints
}
