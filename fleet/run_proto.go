package fleet

import (
	"github.com/daisywall/daisywall/api/fleetpb"
	"github.com/daisywall/daisywall/structs"
)

// runToProto and runFromProto convert between a run and its protocol message.
func runToProto(r structs.RunID) *fleetpb.Run {
	return &fleetpb.Run{Job: string(r.Task.Job), Round: r.Task.Round, Step: r.Task.Step, Index: r.Task.Index, Number: r.Number}
}

func runFromProto(r *fleetpb.Run) structs.RunID {
	id := structs.StepTaskID{Job: structs.JobID(r.GetJob()), Round: r.GetRound(), Step: r.GetStep(), Index: r.GetIndex()}
	return structs.RunID{Task: id, Number: r.GetNumber()}
}

func runsToProto(runs []structs.RunID) []*fleetpb.Run {
	list := make([]*fleetpb.Run, 0, len(runs))
	for _, r := range runs {
		list = append(list, runToProto(r))
	}
	return list
}

func runsFromProto(list []*fleetpb.Run) []structs.RunID {
	runs := make([]structs.RunID, 0, len(list))
	for _, r := range list {
		runs = append(runs, runFromProto(r))
	}
	return runs
}
