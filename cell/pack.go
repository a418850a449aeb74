package cell

import (
	"encoding/json"

	"github.com/daisywall/daisywall/structs"
)

// packedBatch is the encoded form of a batch. Ends and starts are grouped by
// job, because most records of one row belong to few jobs and a job ID is
// longer than the rest of a record.
type packedBatch struct {
	batchFields
	Ends   []packedEnds   `json:"e,omitempty"`
	Starts []packedStarts `json:"s,omitempty"`
}

// batchFields has the fields of Batch without its methods, so that it is
// encoded without MarshalJSON.
type batchFields Batch

type packedEnds struct {
	Job  structs.JobID `json:"j"`
	Ends []packedEnd   `json:"t"`
}

type packedEnd struct {
	Index      int32            `json:"i,omitempty"`
	Number     int32            `json:"n"`
	Cause      structs.EndCause `json:"c,omitempty"` // empty for EndFinished
	Checkpoint string           `json:"p,omitempty"`
	Result     string           `json:"r,omitempty"`
	Detail     string           `json:"d,omitempty"`
}

type packedStarts struct {
	Job    structs.JobID `json:"j"`
	Starts []packedStart `json:"t"`
}

type packedStart struct {
	Index  int32            `json:"i,omitempty"`
	Number int32            `json:"n"`
	Worker structs.WorkerID `json:"w"`
}

// MarshalJSON implements json.Marshaler.
func (b *Batch) MarshalJSON() ([]byte, error) {
	packed := packedBatch{batchFields: batchFields(*b)}
	ends := map[structs.JobID]int{}
	for _, e := range b.Ends {
		i, found := ends[e.Job]
		if !found {
			i = len(packed.Ends)
			ends[e.Job] = i
			packed.Ends = append(packed.Ends, packedEnds{Job: e.Job})
		}
		p := packedEnd{e.Index, e.Number, e.Cause, e.Checkpoint, e.Result, e.Detail}
		if p.Cause == structs.EndFinished {
			p.Cause = ""
		}
		packed.Ends[i].Ends = append(packed.Ends[i].Ends, p)
	}
	starts := map[structs.JobID]int{}
	for _, s := range b.Starts {
		i, found := starts[s.Job]
		if !found {
			i = len(packed.Starts)
			starts[s.Job] = i
			packed.Starts = append(packed.Starts, packedStarts{Job: s.Job})
		}
		packed.Starts[i].Starts = append(packed.Starts[i].Starts, packedStart{s.Index, s.Number, s.Worker})
	}
	return json.Marshal(&packed)
}

// UnmarshalJSON implements json.Unmarshaler.
func (b *Batch) UnmarshalJSON(data []byte) error {
	var packed packedBatch
	if err := json.Unmarshal(data, &packed); err != nil {
		return err
	}
	*b = Batch(packed.batchFields)
	for _, job := range packed.Ends {
		for _, p := range job.Ends {
			if p.Cause == "" {
				p.Cause = structs.EndFinished
			}
			b.Ends = append(b.Ends, End{job.Job, p.Index, p.Number, p.Cause, p.Checkpoint, p.Result, p.Detail})
		}
	}
	for _, job := range packed.Starts {
		for _, p := range job.Starts {
			b.Starts = append(b.Starts, Start{job.Job, p.Index, p.Number, p.Worker})
		}
	}
	return nil
}
