package cell

import (
	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/structs"
)

func attemptOf(a *daisywallpb.AttemptID) structs.AttemptID {
	return structs.AttemptID{
		Task:   structs.TaskID{Job: structs.JobID(a.GetJob()), Index: a.GetIndex()},
		Number: a.GetNumber(),
	}
}

func attemptProto(a structs.AttemptID) *daisywallpb.AttemptID {
	return &daisywallpb.AttemptID{Job: string(a.Task.Job), Index: a.Task.Index, Number: a.Number}
}

func resourcesOf(r *daisywallpb.Resources) structs.Resources {
	return structs.Resources{
		MilliCPU: r.GetMilliCpu(), MemoryMB: r.GetMemoryMb(), Accelerators: r.GetAccelerators(),
	}
}

func resourcesProto(r structs.Resources) *daisywallpb.Resources {
	return &daisywallpb.Resources{MilliCpu: r.MilliCPU, MemoryMb: r.MemoryMB, Accelerators: r.Accelerators}
}
