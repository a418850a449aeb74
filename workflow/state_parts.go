package workflow

import (
	"encoding/json"
	"fmt"

	"github.com/daisywall/daisywall/structs"
)

// MaxCheckpointBytes limits the checkpoints that are kept. A task whose checkpoint is
// longer starts again from an earlier one, or from none. With it, the state of the largest
// job fits into one transaction of the store, unless many characters take several bytes
// in the record; see MaxStateBytes.
const MaxCheckpointBytes = 1000

// maxStateParts limits the parts that a record may name.
const maxStateParts = 64

// StateRows is the record of a job's state in rows of limited size.
type StateRows struct {
	Header []byte   // the whole record, or the fields that identify it if there are parts
	Parts  [][]byte // consecutive parts of the whole record, none if that fits into Header
}

// Bytes returns the size of all rows.
func (r StateRows) Bytes() int {
	size := len(r.Header)
	for _, part := range r.Parts {
		size += len(part)
	}
	return size
}

// EncodeStateRows returns the record of the job's state in rows of at most maxBytes.
func (j *Job) EncodeStateRows(maxBytes int) (StateRows, error) {
	data, err := j.encodeState(min(MaxStateBytes, maxStateParts*maxBytes))
	if err != nil || len(data) <= maxBytes {
		return StateRows{Header: data}, err
	}
	parts := splitBytes(data, maxBytes)
	j.maxParts = max(j.maxParts, len(parts))
	header, err := encodeJSON(stateRecord{
		Queue: j.Spec.Queue, Phase: j.Phase(), Cancelled: j.Cancelled, Failed: j.Failed, Reason: j.FailureReason,
		Parts: len(parts), MaxParts: j.maxParts,
	})
	if err != nil {
		return StateRows{}, fmt.Errorf("encode state of job %s: %w", j.Spec.ID, err)
	}
	return StateRows{Header: header, Parts: parts}, nil
}

// FailToStore marks the job as failed because the store refuses its state. The tasks are
// left out of the record from then on.
func (j *Job) FailToStore() {
	j.fail(FailedToStore)
	j.FailureReason = FailedToStore
}

// MaxParts returns the largest number of parts in which the state of the job was ever
// recorded.
func (j *Job) MaxParts() int { return j.maxParts }

func splitBytes(data []byte, maxBytes int) [][]byte {
	var parts [][]byte
	for len(data) > 0 {
		n := min(len(data), maxBytes)
		parts = append(parts, data[:n])
		data = data[n:]
	}
	return parts
}

// missingPartError reports a part of a state that is not stored.
type missingPartError struct{ part int }

func (e *missingPartError) Error() string {
	return fmt.Sprintf("part %d of the state is missing", e.part)
}

// decodeStateRows decodes a state. part returns a part of it, nil if there is none.
func decodeStateRows(id structs.JobID, header []byte, part func(i int) []byte) (stateRecord, error) {
	var state stateRecord
	if err := json.Unmarshal(header, &state); err != nil {
		return stateRecord{}, &DecodeError{Job: id, Err: err}
	}
	if max(state.Parts, state.MaxParts) > maxStateParts || min(state.Parts, state.MaxParts) < 0 {
		return stateRecord{}, &DecodeError{Job: id, Err: &stateMismatchError{}}
	}
	if state.Parts == 0 {
		return state, nil
	}
	maxParts := state.MaxParts
	var data []byte
	for i := range state.Parts {
		next := part(i)
		if next == nil {
			return stateRecord{}, &DecodeError{Job: id, Err: &missingPartError{part: i}}
		}
		data = append(data, next...)
	}
	state = stateRecord{}
	if err := json.Unmarshal(data, &state); err != nil {
		return stateRecord{}, &DecodeError{Job: id, Err: err}
	}
	state.MaxParts = maxParts
	return state, nil
}
