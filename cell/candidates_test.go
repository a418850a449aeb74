package cell

import (
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
)

// leaderRowReads returns the number of reads of leadership rows by all
// members.
func (w *simulatedCluster) leaderRowReads() int {
	n := 0
	for _, m := range w.members {
		m.table.mu.Lock()
		n += m.table.leaderRowReads
		m.table.mu.Unlock()
	}
	return n
}

// TestManyCandidatesReadLittleAndReplaceALeaderInTime guards against leadership
// reads that grow with the number of candidates, and against a late takeover
// because of rare reads. The cell has the intended number of workers, and every
// agent is a candidate.
func TestManyCandidatesReadLittleAndReplaceALeaderInTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		timing := testTiming
		timing.MinHeartbeatInterval = 10 * time.Second // makes heartbeats rare
		w := newSimulatedCluster(t, timing)
		defer w.close()
		const hosts = 64
		w.addHosts("a", "north", hosts)
		time.Sleep(2 * time.Minute)
		before := w.leaderRowReads()
		const watched = 2 * time.Minute
		time.Sleep(watched)
		perSecond := float64(w.leaderRowReads()-before) / watched.Seconds()
		t.Logf("%.1f reads of the leadership row a second", perSecond)
		is.True(perSecond < 8)
		leader := w.leaders("a")[0]
		w.killCandidate(leader)
		is.True(eventually(testTiming.TakeoverAfter+3*time.Second, func() bool { return len(w.leaders("a")) == 1 }))
		is.Equal(w.leadershipRow(t, "a").Epoch, int64(2))
	})
}

// TestManyCandidatesReplaceALeaderAtTheDefaultTakeoverTime measures the reads
// of the leadership row and the takeover with the default timing.
func TestManyCandidatesReplaceALeaderAtTheDefaultTakeoverTime(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		w := newSimulatedCluster(t, Timing{})
		defer w.close()
		const hosts = 64
		w.addHosts("a", "north", hosts)
		time.Sleep(2 * time.Minute)
		before := w.leaderRowReads()
		time.Sleep(2 * time.Minute)
		t.Logf("%.1f reads of the leadership row a second", float64(w.leaderRowReads()-before)/120)
		w.killCandidate(w.leaders("a")[0])
		began := time.Now()
		is.True(eventually(DefaultTakeoverAfter+3*time.Second, func() bool { return len(w.leaders("a")) == 1 }))
		t.Logf("led again after %s", time.Since(began))
	})
}
