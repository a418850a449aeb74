package cell

import (
	"errors"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// TestReplayRestoresTheWholeLog guards against log rows that are lost or
// overwritten too early. It writes a log with snapshots in between and replays
// it from its rows after each step.
func TestReplayRestoresTheWholeLog(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state, saved := NewState(), encode(NewState())
		var log logRows
		rows := map[int]substrate.Row{}
		revision := int64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.IntRange(0, 9).Draw(t, "snapshot") == 0 {
				saved = encode(state)
				log.releaseCovered(state.Seq)
			}
			b := drawBatch(t)
			b.Seq = state.Seq + 1
			next := log.nextRow()
			if rows[next.slot].Revision != next.revision {
				t.Fatalf("row %d has revision %d, logRows has %d", next.slot, rows[next.slot].Revision, next.revision)
			}
			revision++
			rows[next.slot] = substrate.Row{Key: logKey("a", next.slot), Value: encode(b), Revision: revision}
			log.recordWrite(revision, b.Seq)
			state.Apply(b.Seq, b)
			restored, err := decodeState("snapshot", saved)
			if err != nil {
				t.Fatal(err)
			}
			list := make([]substrate.Row, len(rows))
			for slot, row := range rows {
				list[slot] = row
			}
			replayed, err := replayLog("a", restored, list)
			if err != nil {
				t.Fatal(err)
			}
			if encodeState(restored) != encodeState(state) || len(replayed.tail) != len(log.tail) || len(replayed.free) != len(log.free) {
				t.Fatalf("replayed state %s, want %s", encodeState(restored), encodeState(state))
			}
		}
	})
}

func TestMissingLogRowIsReported(t *testing.T) {
	is := is.New(t)
	rows := []substrate.Row{
		{Key: logKey("a", 0), Value: encode(&Batch{Seq: 1}), Revision: 1},
		{Key: logKey("a", 1), Value: encode(&Batch{Seq: 3, Closes: []structs.JobID{"j"}}), Revision: 2},
	}
	_, err := replayLog("a", NewState(), rows)
	var gap *GapError
	is.True(errors.As(err, &gap))
	is.Equal(gap.ExpectedSeq, int64(2))
}
