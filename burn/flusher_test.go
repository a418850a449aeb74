package burn

import (
	"context"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"
	"pgregory.net/rapid"

	"github.com/daisywall/daisywall/standin"
	"github.com/daisywall/daisywall/substrate"
)

// sumRows returns the sum of all rows of the table.
func sumRows(ctx context.Context, table substrate.Table) (*counts, error) {
	rows, _, err := table.Changes(ctx, rowPrefix, 0)
	if err != nil {
		return nil, err
	}
	buckets, err := decodeRows(rows)
	total := newCounts()
	for _, b := range buckets {
		total.add(b.counts)
	}
	return total, err
}

// countRows returns the number of rows in the table.
func countRows(ctx context.Context, table substrate.Table) (rowCount int, err error) {
	rows, _, err := table.Changes(ctx, rowPrefix, 0)
	for _, row := range rows {
		if row.Value != nil {
			rowCount++
		}
	}
	return rowCount, err
}

// checkCounts compares the number of recorded requests with the counts in the
// table.
func checkCounts(recorded int64, total *counts) []string {
	var have, samples int64
	if r := total.Requests["jabuka/slot-check"]; r != nil {
		have, samples = r.Good+r.Bad, r.Latencies.histogram.TotalCount()
	}
	if have != recorded || samples != recorded {
		return []string{fmt.Sprintf("recorded %d, kept %d with %d latencies", recorded, have, samples)}
	}
	return nil
}

func TestCheckCountsDetectsLostAndDuplicateCounts(t *testing.T) {
	is := is.New(t)
	c := newCounts()
	r := NewRecorder()
	r.RecordRequest(goodRequest(time.Millisecond))
	for _, w := range r.drain() {
		c.add(w)
	}
	is.Equal(checkCounts(1, c), nil)
	is.Equal(len(checkCounts(2, c)), 1)
	c.add(mergeCounts(c))
	is.Equal(len(checkCounts(1, c)), 1)
}

// testFleet is a set of daemons that record requests, with one Folder.
type testFleet struct {
	table     *standin.Table
	recorders []*Recorder
	flushers  []*Flusher
	folder    *Folder
	recorded  int64
}

func newTestFleet(daemons int) *testFleet {
	s := &testFleet{table: standin.NewTable()}
	s.folder = NewFolder(s.table, zap.NewNop())
	for i := range daemons {
		s.recorders = append(s.recorders, nil)
		s.flushers = append(s.flushers, nil)
		s.restart(i)
	}
	return s
}

// restart starts a new incarnation of a daemon under the same name.
func (s *testFleet) restart(i int) {
	s.recorders[i] = NewRecorder()
	s.flushers[i] = NewFlusher(s.recorders[i], s.table, fmt.Sprintf("entry-%d", i))
}

func (s *testFleet) record(i, n int) {
	for range n {
		s.recorders[i].RecordRequest(goodRequest(time.Duration(n) * time.Millisecond))
		s.recorded++
	}
}

func (s *testFleet) flushAll(ctx context.Context) {
	for _, f := range s.flushers {
		f.Flush(ctx)
	}
}

func TestCountsAreStoredExactlyOnceUnderFaults(t *testing.T) {
	const daemons = 3
	steps := map[string]func(ctx context.Context, s *testFleet, n int){
		"record":       func(_ context.Context, s *testFleet, n int) { s.record(n%daemons, 1+n) },
		"flush":        func(ctx context.Context, s *testFleet, n int) { s.flushers[n%daemons].Flush(ctx) },
		"fold":         func(ctx context.Context, s *testFleet, _ int) { _ = s.folder.Fold(ctx) },
		"refuse":       func(_ context.Context, s *testFleet, n int) { s.table.Faults.Refuse(1 + n%3) },
		"lose answer":  func(_ context.Context, s *testFleet, n int) { s.table.Faults.LoseAnswer(1 + n%3) },
		"silence":      func(_ context.Context, s *testFleet, n int) { s.table.Faults.Silence(1 + n%3) },
		"late":         func(_ context.Context, s *testFleet, n int) { s.table.Faults.Delay(2*writeTimeout, 1+n%3) },
		"minutes pass": func(_ context.Context, _ *testFleet, n int) { time.Sleep(time.Duration(n) * time.Minute) },
		"same window":  func(ctx context.Context, s *testFleet, n int) { s.record(0, 1+n); s.flushers[0].Flush(ctx) },
		"hour passes": func(ctx context.Context, s *testFleet, _ int) {
			s.flushAll(ctx)
			s.flushAll(ctx)
			time.Sleep(time.Hour)
		},
		"host replaced": func(ctx context.Context, s *testFleet, n int) { s.stopAndReplace(ctx, n%daemons) },
	}
	var names []string
	for name := range steps {
		names = append(names, name)
	}
	rapid.Check(t, func(rt *rapid.T) {
		stepNames := rapid.SliceOfN(rapid.SampledFrom(sortNames(names)), 5, 60).Draw(rt, "steps")
		numbers := rapid.SliceOfN(rapid.IntRange(0, 8), len(stepNames), len(stepNames)).Draw(rt, "numbers")
		var violations []string
		synctest.Test(t, func(t *testing.T) {
			s := newTestFleet(daemons)
			for i, name := range stepNames {
				steps[name](t.Context(), s, numbers[i])
			}
			s.table.Faults.Clear()
			time.Sleep(time.Minute)
			s.flushAll(t.Context())
			total, err := sumRows(t.Context(), s.table)
			if err != nil {
				violations = append(violations, err.Error())
				return
			}
			violations = checkCounts(s.recorded, total)
		})
		if len(violations) > 0 {
			rt.Fatalf("%v", violations)
		}
	})
}

// stopAndReplace flushes all counts, as a graceful stop does while the table is
// available, and starts a new incarnation.
func (s *testFleet) stopAndReplace(ctx context.Context, i int) {
	s.table.Faults.Clear()
	s.flushers[i].Flush(ctx)
	s.restart(i)
}

func TestFoldBeforeUnknownWriteIsResolvedCountsOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestFleet(1)
		s.record(0, 5)
		s.table.Faults.LoseAnswer(1)
		s.flushers[0].Flush(t.Context())      // the row is written, but the daemon does not receive the response
		time.Sleep(liveRetention + time.Hour) // the daemon is suspended until its row is folded
		is.NoErr(s.folder.Fold(t.Context()))
		s.flushers[0].Flush(t.Context())
		s.flushers[0].Flush(t.Context())
		total, err := sumRows(t.Context(), s.table)
		is.NoErr(err)
		is.Equal(checkCounts(5, total), nil)
		is.NoErr(s.folder.Fold(t.Context())) // folds the live row that the retry recreated
		total, err = sumRows(t.Context(), s.table)
		is.NoErr(err)
		is.Equal(checkCounts(5, total), nil)
	})
}

func TestKilledDaemonLosesAtMostOneFlushInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestFleet(1)
		ctx, kill := context.WithCancel(t.Context())
		go func() { _ = s.flushers[0].Run(ctx) }()
		s.record(0, 5)
		time.Sleep(FlushInterval + time.Second)
		s.record(0, 3)
		s.table.Faults.Refuse(1) // the final flush of a graceful stop fails
		kill()
		synctest.Wait()
		total, err := sumRows(t.Context(), s.table)
		is.NoErr(err)
		is.Equal(checkCounts(5, total), nil)
	})
}

func TestGracefulStopFlushes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestFleet(1)
		ctx, stop := context.WithCancel(t.Context())
		go func() { _ = s.flushers[0].Run(ctx) }()
		s.record(0, 5)
		stop()
		synctest.Wait()
		total, err := sumRows(t.Context(), s.table)
		is.NoErr(err)
		is.Equal(checkCounts(5, total), nil)
	})
}

func TestRowCountStaysBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newTestFleet(3)
		maxRows := 0
		runDaemons := func(step time.Duration) {
			s.record(0, 1)
			s.record(1, 2)
			s.flushAll(t.Context())
			time.Sleep(step)
			is.NoErr(s.folder.Fold(t.Context()))
			rows, err := countRows(t.Context(), s.table)
			is.NoErr(err)
			maxRows = max(maxRows, rows)
		}
		for range 100 {
			runDaemons(day)
		}
		for range 6 * 24 {
			runDaemons(time.Hour)
		}
		// 91 day rows, 4 days of hour rows and 75 minutes of live rows, plus
		// partial periods at the edges.
		is.True(maxRows <= 93+5*24+3*13)
	})
}
