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

// stored sums every row of the table.
func stored(ctx context.Context, table substrate.Table) (*counts, error) {
	rows, _, err := table.Changes(ctx, prefix, 0)
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

// rowsHeld is the number of rows in the table.
func rowsHeld(ctx context.Context, table substrate.Table) (held int, err error) {
	rows, _, err := table.Changes(ctx, prefix, 0)
	for _, row := range rows {
		if row.Value != nil {
			held++
		}
	}
	return held, err
}

// checkKept compares what was recorded with what the table holds.
func checkKept(recorded int64, total *counts) []string {
	var have, samples int64
	if r := total.Requests["jabuka/slot-check"]; r != nil {
		have, samples = r.Good+r.Bad, r.Latencies.histogram.TotalCount()
	}
	if have != recorded || samples != recorded {
		return []string{fmt.Sprintf("recorded %d, kept %d with %d latencies", recorded, have, samples)}
	}
	return nil
}

func TestCheckerFindsLostAndDoubledCounts(t *testing.T) {
	is := is.New(t)
	c := newCounts()
	r := NewRecorder()
	r.RecordRequest(good(time.Millisecond))
	for _, w := range r.take() {
		c.add(w)
	}
	is.Equal(checkKept(1, c), nil)
	is.Equal(len(checkKept(2, c)), 1)
	c.add(sum(c))
	is.Equal(len(checkKept(1, c)), 1)
}

// site is a set of daemons that count, and a folder.
type site struct {
	table     *standin.Table
	recorders []*Recorder
	flushers  []*Flusher
	folder    *Folder
	recorded  int64
}

func newSite(daemons int) *site {
	s := &site{table: standin.NewTable()}
	s.folder = NewFolder(s.table, zap.NewNop())
	for i := range daemons {
		s.recorders = append(s.recorders, nil)
		s.flushers = append(s.flushers, nil)
		s.replace(i)
	}
	return s
}

// replace starts another life of a daemon under the same name.
func (s *site) replace(i int) {
	s.recorders[i] = NewRecorder()
	s.flushers[i] = NewFlusher(s.recorders[i], s.table, fmt.Sprintf("entry-%d", i))
}

func (s *site) record(i, n int) {
	for range n {
		s.recorders[i].RecordRequest(good(time.Duration(n) * time.Millisecond))
		s.recorded++
	}
}

func (s *site) flushAll(ctx context.Context) {
	for _, f := range s.flushers {
		f.Flush(ctx)
	}
}

func TestCountsAreKeptOnceUnderAnyMixOfFaults(t *testing.T) {
	const daemons = 3
	steps := map[string]func(ctx context.Context, s *site, n int){
		"record":        func(_ context.Context, s *site, n int) { s.record(n%daemons, 1+n) },
		"flush":         func(ctx context.Context, s *site, n int) { s.flushers[n%daemons].Flush(ctx) },
		"fold":          func(ctx context.Context, s *site, _ int) { _ = s.folder.Fold(ctx) },
		"refuse":        func(_ context.Context, s *site, n int) { s.table.Faults.Refuse(1 + n%3) },
		"lose answer":   func(_ context.Context, s *site, n int) { s.table.Faults.LoseAnswer(1 + n%3) },
		"silence":       func(_ context.Context, s *site, n int) { s.table.Faults.Silence(1 + n%3) },
		"late":          func(_ context.Context, s *site, n int) { s.table.Faults.Delay(2*writeTimeout, 1+n%3) },
		"minutes pass":  func(_ context.Context, _ *site, n int) { time.Sleep(time.Duration(n) * time.Minute) },
		"same window":   func(ctx context.Context, s *site, n int) { s.record(0, 1+n); s.flushers[0].Flush(ctx) },
		"hour passes":   func(ctx context.Context, s *site, _ int) { s.flushAll(ctx); s.flushAll(ctx); time.Sleep(time.Hour) },
		"host replaced": func(ctx context.Context, s *site, n int) { s.stopAndReplace(ctx, n%daemons) },
	}
	var names []string
	for name := range steps {
		names = append(names, name)
	}
	rapid.Check(t, func(rt *rapid.T) {
		drawn := rapid.SliceOfN(rapid.SampledFrom(sorted(names)), 5, 60).Draw(rt, "steps")
		numbers := rapid.SliceOfN(rapid.IntRange(0, 8), len(drawn), len(drawn)).Draw(rt, "numbers")
		var violations []string
		synctest.Test(t, func(t *testing.T) {
			s := newSite(daemons)
			for i, name := range drawn {
				steps[name](t.Context(), s, numbers[i])
			}
			s.table.Faults.Clear()
			time.Sleep(time.Minute)
			s.flushAll(t.Context())
			total, err := stored(t.Context(), s.table)
			if err != nil {
				violations = append(violations, err.Error())
				return
			}
			violations = checkKept(s.recorded, total)
		})
		if len(violations) > 0 {
			rt.Fatalf("%v", violations)
		}
	})
}

// stopAndReplace flushes until nothing is left, as a graceful stop on a table
// that answers does, and starts another life.
func (s *site) stopAndReplace(ctx context.Context, i int) {
	s.table.Faults.Clear()
	s.flushers[i].Flush(ctx)
	s.replace(i)
}

func TestFoldOvertakingAnUnsettledWriteNeverCountsTwice(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(1)
		s.record(0, 5)
		s.table.Faults.LoseAnswer(1)
		s.flushers[0].Flush(t.Context()) // written, but the daemon can't know
		time.Sleep(liveKept + time.Hour) // frozen
		is.NoErr(s.folder.Fold(t.Context()))
		s.flushers[0].Flush(t.Context())
		s.flushers[0].Flush(t.Context())
		total, err := stored(t.Context(), s.table)
		is.NoErr(err)
		is.Equal(checkKept(5, total), nil)
		is.NoErr(s.folder.Fold(t.Context())) // takes the row that came back
		total, err = stored(t.Context(), s.table)
		is.NoErr(err)
		is.Equal(checkKept(5, total), nil)
	})
}

func TestKilledDaemonLosesNoMoreThanOneFlushInterval(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(1)
		ctx, kill := context.WithCancel(t.Context())
		go func() { _ = s.flushers[0].Run(ctx) }()
		s.record(0, 5)
		time.Sleep(FlushInterval + time.Second)
		s.record(0, 3)
		s.table.Faults.Refuse(1) // the last flush of a graceful stop does not happen
		kill()
		synctest.Wait()
		total, err := stored(t.Context(), s.table)
		is.NoErr(err)
		is.Equal(checkKept(5, total), nil)
	})
}

func TestGracefulStopFlushes(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(1)
		ctx, stop := context.WithCancel(t.Context())
		go func() { _ = s.flushers[0].Run(ctx) }()
		s.record(0, 5)
		stop()
		synctest.Wait()
		total, err := stored(t.Context(), s.table)
		is.NoErr(err)
		is.Equal(checkKept(5, total), nil)
	})
}

func TestRowsStayBounded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		is := is.New(t)
		s := newSite(3)
		most := 0
		round := func(step time.Duration) {
			s.record(0, 1)
			s.record(1, 2)
			s.flushAll(t.Context())
			time.Sleep(step)
			is.NoErr(s.folder.Fold(t.Context()))
			rows, err := rowsHeld(t.Context(), s.table)
			is.NoErr(err)
			most = max(most, rows)
		}
		for range 100 {
			round(day)
		}
		for range 6 * 24 {
			round(time.Hour)
		}
		// 91 days, 4 days of hours, 75 minutes of live rows and their edges.
		is.True(most <= 93+5*24+3*13)
	})
}
