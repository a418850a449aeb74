// Package wire converts between the types of package substrate and the messages
// of api/platform.proto.
package wire

import (
	"github.com/daisywall/daisywall/api/platformpb"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// FromRow returns the message of a row.
func FromRow(r substrate.Row) *platformpb.Row {
	return &platformpb.Row{Key: r.Key, Value: r.Value, Revision: r.Revision, TxnId: r.TxnID, Deleted: r.Value == nil}
}

// ToRow returns the row of a message. Only a deleted row has a nil Value.
func ToRow(m *platformpb.Row) substrate.Row {
	r := substrate.Row{Key: m.GetKey(), Revision: m.GetRevision(), TxnID: m.GetTxnId()}
	if !m.GetDeleted() {
		r.Value = append([]byte{}, m.GetValue()...)
	}
	return r
}

// FromRows returns the messages of rows.
func FromRows(rows []substrate.Row) []*platformpb.Row { return convertAll(rows, FromRow) }

// ToRows returns the rows of messages.
func ToRows(rows []*platformpb.Row) []substrate.Row { return convertAll(rows, ToRow) }

// FromTxn returns the message of a transaction.
func FromTxn(t substrate.Txn) *platformpb.CommitRequest {
	return &platformpb.CommitRequest{
		Id: t.ID,
		Compares: convertAll(t.Compares, func(c substrate.Compare) *platformpb.Compare {
			return &platformpb.Compare{Key: c.Key, Revision: c.Revision}
		}),
		Puts: convertAll(t.Puts, func(p substrate.Put) *platformpb.Put {
			return &platformpb.Put{Key: p.Key, Value: p.Value}
		}),
		Deletes: t.Deletes,
	}
}

// ToTxn returns the transaction of a message.
func ToTxn(m *platformpb.CommitRequest) substrate.Txn {
	return substrate.Txn{
		ID: m.GetId(),
		Compares: convertAll(m.GetCompares(), func(c *platformpb.Compare) substrate.Compare {
			return substrate.Compare{Key: c.GetKey(), Revision: c.GetRevision()}
		}),
		Puts: convertAll(m.GetPuts(), func(p *platformpb.Put) substrate.Put {
			return substrate.Put{Key: p.GetKey(), Value: p.GetValue()}
		}),
		Deletes: m.GetDeletes(),
	}
}

// FromAttempt returns the message of an attempt ID.
func FromAttempt(a structs.AttemptID) *platformpb.Attempt {
	return &platformpb.Attempt{Job: string(a.Task.Job), Index: a.Task.Index, Number: a.Number}
}

// ToAttempt returns the attempt ID of a message.
func ToAttempt(m *platformpb.Attempt) structs.AttemptID {
	task := structs.TaskID{Job: structs.JobID(m.GetJob()), Index: m.GetIndex()}
	return structs.AttemptID{Task: task, Number: m.GetNumber()}
}

// FromAttempts returns the messages of attempt IDs.
func FromAttempts(list []structs.AttemptID) []*platformpb.Attempt {
	return convertAll(list, FromAttempt)
}

// ToAttempts returns the attempt IDs of messages.
func ToAttempts(list []*platformpb.Attempt) []structs.AttemptID { return convertAll(list, ToAttempt) }

// FromResources returns the message of an amount of resources.
func FromResources(r structs.Resources) *platformpb.Amount {
	return &platformpb.Amount{MilliCpu: r.MilliCPU, MemoryMb: r.MemoryMB, Accelerators: r.Accelerators}
}

// ToResources returns the amount of resources of a message.
func ToResources(m *platformpb.Amount) structs.Resources {
	return structs.Resources{MilliCPU: m.GetMilliCpu(), MemoryMB: m.GetMemoryMb(), Accelerators: m.GetAccelerators()}
}

func convertAll[A, B any](list []A, convertOne func(A) B) []B {
	if list == nil {
		return nil
	}
	out := make([]B, 0, len(list))
	for _, a := range list {
		out = append(out, convertOne(a))
	}
	return out
}
