package cell

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// looks sums up the reads of leadership rows.
func (w *world) looks() int {
	n := 0
	for _, m := range w.members {
		m.port.mu.Lock()
		n += m.port.looks
		m.port.mu.Unlock()
	}
	return n
}

// TestManyCandidatesReadLittleAndReplaceALeaderInTime has a cell of the target
// size, in which every agent is a candidate.
func TestManyCandidatesReadLittleAndReplaceALeaderInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		timing := testTiming
		timing.Heartbeat = 10 * time.Second // not what is measured
		w := newWorld(t, timing)
		defer w.close()
		const hosts = 64
		w.add("a", "north", hosts)
		time.Sleep(2 * time.Minute)
		before := w.looks()
		const watched = 2 * time.Minute
		time.Sleep(watched)
		perSecond := float64(w.looks()-before) / watched.Seconds()
		t.Logf("%.1f reads of the leadership row a second", perSecond)
		is.True(perSecond < 8)
		leader := w.leading("a")[0]
		w.kill(leader)
		is.True(eventually(testTiming.Term+3*time.Second, func() bool { return len(w.leading("a")) == 1 }))
		is.Equal(w.row(t, "a").Epoch, int64(2))
	})
}

// TestManyCandidatesReplaceALeaderAtTheDefaultTerm measures the same with the
// durations that agents use.
func TestManyCandidatesReplaceALeaderAtTheDefaultTerm(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newWorld(t, Timing{})
		defer w.close()
		const hosts = 64
		w.add("a", "north", hosts)
		time.Sleep(2 * time.Minute)
		before := w.looks()
		time.Sleep(2 * time.Minute)
		t.Logf("%.1f reads of the leadership row a second", float64(w.looks()-before)/120)
		w.kill(w.leading("a")[0])
		began := time.Now()
		is.True(eventually(DefaultTerm+3*time.Second, func() bool { return len(w.leading("a")) == 1 }))
		t.Logf("led again after %s", time.Since(began))
	})
}
