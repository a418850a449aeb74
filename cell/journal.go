package cell

import (
	"cmp"
	"fmt"
	"slices"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// logRow is a table row of the log. Its content may already be part of the
// snapshot.
type logRow struct {
	slot     int
	revision int64 // 0 if the row does not exist yet
	seq      int64 // sequence number of the batch in the row, 0 if the row does not exist yet
}

// logRows records which table rows hold the log after the snapshot and which
// rows may be overwritten. A write compares the revision of its row, so it
// cannot apply twice.
type logRows struct {
	tail []logRow // rows that the snapshot does not contain, oldest first
	free []logRow // rows that the snapshot contains
}

// nextRow returns the row for the next write.
func (j *logRows) nextRow() logRow {
	if len(j.free) > 0 {
		return j.free[0]
	}
	return logRow{slot: len(j.tail)}
}

// recordWrite records that the row from nextRow was written.
func (j *logRows) recordWrite(revision, seq int64) {
	row := j.nextRow()
	if len(j.free) > 0 {
		j.free = j.free[1:]
	}
	row.revision, row.seq = revision, seq
	j.tail = append(j.tail, row)
}

// releaseCovered allows the rows that a snapshot contains to be overwritten.
func (j *logRows) releaseCovered(seq int64) {
	n := 0
	for n < len(j.tail) && j.tail[n].seq <= seq {
		n++
	}
	j.free = append(j.free, j.tail[:n]...)
	j.tail = slices.Clone(j.tail[n:])
}

// GapError reports that a row of the log is missing.
type GapError struct {
	ExpectedSeq int64
	FoundSeq    int64
}

func (e *GapError) Error() string {
	return fmt.Sprintf("log row %d is missing, the next one is %d", e.ExpectedSeq, e.FoundSeq)
}

// replayLog applies the log rows that are not yet in the state and returns the
// rows of the log.
func replayLog(cell structs.CellID, state *State, rows []substrate.Row) (logRows, error) {
	var j logRows
	batches := make(map[int64]*Batch, len(rows))
	covered := state.Seq
	for i, r := range rows {
		b := &Batch{}
		if err := decode(r.Key, r.Value, b); err != nil {
			return j, err
		}
		row := logRow{slot: i, revision: r.Revision, seq: b.Seq}
		if b.Seq <= covered {
			j.free = append(j.free, row)
			continue
		}
		batches[b.Seq] = b
		j.tail = append(j.tail, row)
	}
	slices.SortFunc(j.tail, func(a, b logRow) int { return cmp.Compare(a.seq, b.seq) })
	for _, row := range j.tail {
		if row.seq != state.Seq+1 {
			return j, &CorruptError{Key: logKey(cell, row.slot), Err: &GapError{ExpectedSeq: state.Seq + 1, FoundSeq: row.seq}}
		}
		state.Apply(row.seq, batches[row.seq])
	}
	return j, nil
}
