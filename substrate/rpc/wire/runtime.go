package wire

import (
	"time"

	"github.com/daisywall/daisywall/api/platformpb"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// FromRun returns the message of a run.
func FromRun(r substrate.Run) *platformpb.Run {
	return &platformpb.Run{
		Attempt:      FromAttempt(r.Attempt),
		State:        string(r.State),
		Failed:       r.Failed,
		Detail:       r.Detail,
		Checkpoint:   r.Checkpoint,
		Result:       r.Result,
		Resources:    FromResources(r.Resources),
		Class:        r.Class,
		Kind:         string(r.Kind),
		LeaseUntilNs: int64(r.LeaseUntil),
		Progress:     r.Progress,
	}
}

// ToRun returns the run of a message.
func ToRun(m *platformpb.Run) substrate.Run {
	return substrate.Run{
		Attempt:    ToAttempt(m.GetAttempt()),
		State:      substrate.RunState(m.GetState()),
		Failed:     m.GetFailed(),
		Detail:     m.GetDetail(),
		Checkpoint: m.GetCheckpoint(),
		Result:     m.GetResult(),
		Resources:  ToResources(m.GetResources()),
		Class:      m.GetClass(),
		Kind:       structs.WorkKind(m.GetKind()),
		LeaseUntil: substrate.RuntimeClock(m.GetLeaseUntilNs()),
		Progress:   m.GetProgress(),
	}
}

// FromSnapshot returns the message of a snapshot.
func FromSnapshot(s substrate.Snapshot) *platformpb.SnapshotResponse {
	return &platformpb.SnapshotResponse{Incarnation: s.Incarnation, NowNs: int64(s.Now), Runs: convertAll(s.Runs, FromRun)}
}

// ToSnapshot returns the snapshot of a message.
func ToSnapshot(m *platformpb.SnapshotResponse) substrate.Snapshot {
	return substrate.Snapshot{
		Incarnation: m.GetIncarnation(),
		Now:         substrate.RuntimeClock(m.GetNowNs()),
		Runs:        convertAll(m.GetRuns(), ToRun),
	}
}

// FromStart returns the message of a start on a worker.
func FromStart(worker structs.WorkerID, s substrate.StartSpec) *platformpb.StartRequest {
	return &platformpb.StartRequest{
		Worker:       string(worker),
		Incarnation:  s.Incarnation,
		Attempt:      FromAttempt(s.Attempt),
		Class:        s.Class,
		Kind:         string(s.Kind),
		Program:      s.Program,
		Input:        s.Input,
		Checkpoint:   s.Checkpoint,
		Resources:    FromResources(s.Resources),
		NotAfterNs:   int64(s.NotAfter),
		LeaseUntilNs: int64(s.LeaseUntil),
	}
}

// ToStart returns the start of a message.
func ToStart(m *platformpb.StartRequest) substrate.StartSpec {
	return substrate.StartSpec{
		Incarnation: m.GetIncarnation(),
		Attempt:     ToAttempt(m.GetAttempt()),
		Class:       m.GetClass(),
		Kind:        structs.WorkKind(m.GetKind()),
		Program:     m.GetProgram(),
		Input:       m.GetInput(),
		Checkpoint:  m.GetCheckpoint(),
		Resources:   ToResources(m.GetResources()),
		NotAfter:    substrate.RuntimeClock(m.GetNotAfterNs()),
		LeaseUntil:  substrate.RuntimeClock(m.GetLeaseUntilNs()),
	}
}

// FromLeases returns the messages of leases.
func FromLeases(leases map[structs.AttemptID]substrate.RuntimeClock) []*platformpb.Lease {
	list := make([]*platformpb.Lease, 0, len(leases))
	for attempt, until := range leases {
		list = append(list, &platformpb.Lease{Attempt: FromAttempt(attempt), UntilNs: int64(until)})
	}
	return list
}

// ToLeases returns the leases of messages.
func ToLeases(list []*platformpb.Lease) map[structs.AttemptID]substrate.RuntimeClock {
	leases := make(map[structs.AttemptID]substrate.RuntimeClock, len(list))
	for _, l := range list {
		leases[ToAttempt(l.GetAttempt())] = substrate.RuntimeClock(l.GetUntilNs())
	}
	return leases
}

// FromUsage returns the messages of measurements.
func FromUsage(list []substrate.Usage) []*platformpb.Usage {
	return convertAll(list, func(u substrate.Usage) *platformpb.Usage {
		return &platformpb.Usage{
			Attempt:   FromAttempt(u.Attempt),
			Class:     u.Class,
			Resources: FromResources(u.Resources),
			AgeNs:     int64(u.Age),
			LatencyMs: u.LatencyMS,
		}
	})
}

// ToUsage returns the measurements of messages.
func ToUsage(list []*platformpb.Usage) []substrate.Usage {
	return convertAll(list, func(m *platformpb.Usage) substrate.Usage {
		return substrate.Usage{
			Attempt:   ToAttempt(m.GetAttempt()),
			Class:     m.GetClass(),
			Resources: ToResources(m.GetResources()),
			Age:       time.Duration(m.GetAgeNs()),
			LatencyMS: m.GetLatencyMs(),
		}
	})
}

// FromRefusal returns the message of a refusal, or nil.
func FromRefusal(e *structs.RefusedError) *platformpb.Refusal {
	if e == nil {
		return nil
	}
	return &platformpb.Refusal{Reason: string(e.Reason), Detail: e.Detail}
}

// ToRefusal returns the refusal of a message as an error, or nil.
func ToRefusal(m *platformpb.Refusal) error {
	if m == nil {
		return nil
	}
	return &structs.RefusedError{Subject: "runtime", Reason: structs.Reason(m.GetReason()), Detail: m.GetDetail()}
}
