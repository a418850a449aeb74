package fleet

import (
	"cmp"
	"context"
	"encoding/json"
	"fmt"
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/daisywall/daisywall/placement/steps"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
	"github.com/daisywall/daisywall/workflow"
)

// Limits of a batch. The platform allows 100 entries and 1 MB in a transaction, in which
// a value takes a third more.
const (
	maxRowsPerCommit  = 90
	maxBytesPerCommit = 700_000
)

// commit starts to write the changed jobs, as many as fit into one transaction.
func (l *leader) commit(ctx context.Context) {
	l.committingModels = l.modelRows()
	puts := append(slices.Clone(l.committingModels), l.takeDirtyJobs(rowBytes(l.committingModels))...)
	removes := l.removesWith(puts)
	now := l.o.Clock()
	l.commitInFlight, l.isStatementOutdated = true, false
	if l.withdrawn.count == 0 {
		l.commitBeganAt = now
	}
	// A batch does not have the number of a withdrawn one, since its rows differ.
	next := l.nextRow(leadership{Address: l.o.Address, Epoch: l.epoch, Commit: l.row.Commit + 1 + l.withdrawn.count}, now)
	seen := l.row
	go func() { l.commitResults <- l.committer.run(ctx, seen, next, puts, removes) }()
}

// takeDirtyJobs moves changed jobs to the commit that begins and returns their rows. It
// takes as many jobs as fit beside rows of the given size.
func (l *leader) takeDirtyJobs(size int) []substrate.PartRow {
	var puts []substrate.PartRow
	for len(l.dirtyJobs) > 0 && (l.batchLimit == 0 || len(l.committingJobs) < l.batchLimit) {
		j := l.dirtyJobs[0]
		unrecorded := j.UnrecordedCheckpoints()
		rows, err := l.encodeJob(j)
		if err != nil {
			l.dirtyJobs = l.dirtyJobs[1:]
			j.isDirty = false
			l.handleUnencodable(j, err)
			continue
		}
		size += rowBytes(rows)
		if isFull := len(puts)+len(rows)+len(l.withdrawn.removes)+len(l.committingModels) > maxRowsPerCommit || size > maxBytesPerCommit; isFull && len(puts)+len(l.committingModels) > 0 {
			break
		}
		l.dirtyJobs = l.dirtyJobs[1:]
		j.isDirty = false
		l.reportUnrecordedCheckpoints(j, unrecorded)
		puts = append(puts, rows...)
		j.committingPhase, j.acceptanceSent = j.Phase(), true
		j.committingOnStored, j.onStored = j.onStored, nil
		j.committingOnLost, j.onLost = j.onLost, nil
		l.committingJobs = append(l.committingJobs, j)
	}
	return puts
}

// encodeJob returns the rows of a job, or a panic as an error.
func (l *leader) encodeJob(j *job) (rows []substrate.PartRow, err error) {
	if panicked := l.contain("encode job", func() { rows, err = jobRows(j, l.o.rowBytes()) }); panicked != nil {
		return nil, panicked
	}
	return rows, err
}

// reportUnrecordedCheckpoints counts the checkpoints for which the record of the job had no room, and
// logs the first ones. before is their number in the record before.
func (l *leader) reportUnrecordedCheckpoints(j *job, before int) {
	now := j.UnrecordedCheckpoints()
	if now > before {
		l.metrics.longCheckpoints.Add(context.Background(), int64(now-before))
	}
	if before == 0 && now > 0 {
		l.log.Warn("checkpoints not stored: the state of the job has no room for them", zap.String("job", string(j.Spec.ID)),
			zap.String("queue", string(j.Spec.Queue)), zap.Int("checkpoints", now), zap.Int("max_bytes", workflow.MaxStateBytes))
	}
}

// handleUnencodable refuses a new job that cannot be encoded, and sets aside another one.
func (l *leader) handleUnencodable(j *job, err error) {
	l.log.Error("job not stored: it cannot be encoded", zap.String("job", string(j.Spec.ID)), zap.Error(err))
	if j.refuse != nil && !j.acceptanceSent {
		l.refuseUnstored(j)
		l.removeRefusedJobs()
	} else {
		l.setAside(j, err)
	}
}

func rowBytes(rows []substrate.PartRow) int {
	size := 0
	for _, row := range rows {
		size += len(row.Value)
	}
	return size
}

// modelRows returns the rows of the models whose writes are due. Batches that are
// narrowed after a refusal have none.
func (l *leader) modelRows() []substrate.PartRow {
	if l.batchLimit > 0 {
		return nil
	}
	return append(l.interferenceRow(), l.runTimesRow()...)
}

// interferenceWriteInterval is the shortest time between two writes of the
// interference model.
const interferenceWriteInterval = 3 * time.Second

// interferenceRow returns the row with the interference model if a write is due
// and the model has changed.
func (l *leader) interferenceRow() []substrate.PartRow {
	now := l.o.Clock()
	if now.Sub(l.interferenceCheckedAt) < l.workInterval(interferenceWriteInterval, reducedSnapshots) {
		return nil
	}
	l.interferenceCheckedAt = now
	value, err := encodePairs(l.interference.Pairs(), l.o.rowBytes())
	if err != nil {
		l.log.Error("interference model not stored: it cannot be encoded", zap.Error(err))
		return nil
	}
	if string(value) == l.writtenInterference {
		return nil
	}
	l.writtenInterference = string(value)
	return []substrate.PartRow{{Table: tableModel, Part: fleetPart, Key: modelKey, Value: value}}
}

// encodePairs encodes the pairs that the model is most certain of, as many as fit into
// maxBytes.
func encodePairs(pairs []steps.PairOdds, maxBytes int) ([]byte, error) {
	for {
		value, err := json.Marshal(pairs)
		if err != nil || len(value) <= maxBytes || len(pairs) == 0 {
			return value, err
		}
		pairs = slices.Clone(pairs)
		slices.SortStableFunc(pairs, func(a, b steps.PairOdds) int { return cmp.Compare(math.Abs(b.LogOdds), math.Abs(a.LogOdds)) })
		pairs = pairs[:len(pairs)*maxBytes/len(value)]
	}
}

// jobRows returns the rows to write for a changed job, each with at most maxBytes but for
// the specification, whose size was checked when the job was submitted.
func jobRows(j *job, maxBytes int) ([]substrate.PartRow, error) {
	var rows []substrate.PartRow
	if !j.stored {
		value, err := j.EncodeSpec()
		if err != nil {
			return nil, err
		}
		rows = append(rows, substrate.PartRow{Table: tableJobs, Part: fleetPart, Key: string(j.Spec.ID), Value: value})
	}
	state, err := j.EncodeStateRows(maxBytes)
	if err != nil {
		return nil, err
	}
	rows = append(rows, substrate.PartRow{Table: tableState, Part: fleetPart, Key: string(j.Spec.ID), Value: state.Header})
	for i, part := range state.Parts {
		rows = append(rows, substrate.PartRow{Table: tableStateParts, Part: fleetPart, Key: statePartKey(j.Spec.ID, i), Value: part})
	}
	return rows, nil
}

// statePartKey returns the key of a part of a job's state.
func statePartKey(id structs.JobID, part int) string { return fmt.Sprintf("%s.%02d", id, part) }

// rowsOf returns the rows of a stored job, without their values.
func rowsOf(j *job) []substrate.PartRow {
	rows := []substrate.PartRow{{Table: tableState, Part: fleetPart, Key: string(j.Spec.ID)}, {Table: tableJobs, Part: fleetPart, Key: string(j.Spec.ID)}}
	for i := range j.MaxParts() {
		rows = append(rows, substrate.PartRow{Table: tableStateParts, Part: fleetPart, Key: statePartKey(j.Spec.ID, i)})
	}
	return rows
}

// removeExpiredJobs removes jobs whose retention has ended and returns their
// rows, at most limit of them.
func (l *leader) removeExpiredJobs(limit int) []substrate.PartRow {
	var rows []substrate.PartRow
	now := l.o.Clock()
	for len(l.finishedJobs) > 0 {
		j := l.finishedJobs[0]
		own := rowsOf(j)
		if now.Sub(j.finishedAt) < l.o.Timing.Retention || j.isDirty || len(rows)+len(own) > limit {
			break
		}
		l.finishedJobs = l.finishedJobs[1:]
		l.forgetJob(j)
		rows = append(rows, own...)
	}
	return rows
}

// handleCommitted records a stored commit and runs the callbacks that waited
// for it.
func (l *leader) handleCommitted(result commitResult) {
	l.commitInFlight = false
	l.row = result.row
	l.lastCommitSentAt = result.sent
	l.horizon, l.ownHorizon = l.nextHorizon, l.nextOwnHorizon
	l.updateWitnessLimit()
	l.applyStoredBounds()
	l.handover.isStored = l.handover.isStated() && l.row.HandoverMs > 0
	took := result.took
	if l.withdrawn.count > 0 {
		took = l.o.Clock().Sub(l.commitBeganAt)
	}
	l.metrics.recordCommit(took, len(l.committingJobs))
	l.endWithdrawal()
	l.widenBatch()
	stored := l.committingJobs
	l.committingJobs = nil
	for _, j := range stored {
		j.stored = true
		l.publishPhase(j)
		callbacks := j.committingOnStored
		j.committingOnStored, j.committingOnLost = nil, nil
		for _, callback := range callbacks {
			callback()
		}
	}
}

// publishPhase makes the phase in the commit that was stored visible to
// clients.
func (l *leader) publishPhase(j *job) {
	if j.storedPhase != j.committingPhase {
		l.log.Info("phase", zap.String("job", string(j.Spec.ID)), zap.String("queue", string(j.Spec.Queue)),
			zap.String("from", string(j.storedPhase)), zap.String("to", string(j.committingPhase)))
	}
	j.storedPhase = j.committingPhase
}
