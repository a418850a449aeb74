package cell

import (
	"errors"
	"testing"

	"github.com/matryer/is"
	"pgregory.net/rapid"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// TestLogIsReadBackWhole writes a log with snapshots in between and reads it
// back from its rows after each step.
func TestLogIsReadBackWhole(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		state, saved := NewState(), encode(NewState())
		var j journal
		rows := map[int]substrate.Row{}
		revision := int64(0)
		for range rapid.IntRange(1, 60).Draw(t, "steps") {
			if rapid.IntRange(0, 9).Draw(t, "snapshot") == 0 {
				saved = encode(state)
				j.cover(state.Seq)
			}
			b := drawBatch(t)
			b.Seq = state.Seq + 1
			next := j.next()
			if rows[next.slot].Revision != next.revision {
				t.Fatalf("row %d has revision %d, the journal has %d", next.slot, rows[next.slot].Revision, next.revision)
			}
			revision++
			rows[next.slot] = substrate.Row{Key: logKey("a", next.slot), Value: encode(b), Revision: revision}
			j.wrote(revision, b.Seq)
			state.Apply(b.Seq, b)
			restored, err := decodeState("snapshot", saved)
			if err != nil {
				t.Fatal(err)
			}
			list := make([]substrate.Row, len(rows))
			for slot, row := range rows {
				list[slot] = row
			}
			again, err := replay("a", restored, list)
			if err != nil {
				t.Fatal(err)
			}
			if encoded(restored) != encoded(state) || len(again.tail) != len(j.tail) || len(again.free) != len(j.free) {
				t.Fatalf("read back %s, want %s", encoded(restored), encoded(state))
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
	_, err := replay("a", NewState(), rows)
	var gap *GapError
	is.True(errors.As(err, &gap))
	is.Equal(gap.Want, int64(2))
}
