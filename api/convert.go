package api

import (
	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/structs"
)

// FromAttempt returns the message of an attempt ID.
func FromAttempt(a structs.AttemptID) *daisywallpb.AttemptID {
	return &daisywallpb.AttemptID{Job: string(a.Task.Job), Index: a.Task.Index, Number: a.Number}
}

// ToAttempt returns the attempt ID of a message.
func ToAttempt(m *daisywallpb.AttemptID) structs.AttemptID {
	task := structs.TaskID{Job: structs.JobID(m.GetJob()), Index: m.GetIndex()}
	return structs.AttemptID{Task: task, Number: m.GetNumber()}
}

// FromResources returns the message of an amount of resources.
func FromResources(r structs.Resources) *daisywallpb.Resources {
	return &daisywallpb.Resources{MilliCpu: r.MilliCPU, MemoryMb: r.MemoryMB, Accelerators: r.Accelerators}
}

// ToResources returns the amount of resources of a message.
func ToResources(m *daisywallpb.Resources) structs.Resources {
	return structs.Resources{MilliCPU: m.GetMilliCpu(), MemoryMB: m.GetMemoryMb(), Accelerators: m.GetAccelerators()}
}
