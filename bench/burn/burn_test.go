package burn

import (
	"context"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/daisywall/daisywall/burn"
	"github.com/daisywall/daisywall/standin"
	"github.com/daisywall/daisywall/structs"
)

const (
	teamCount       = 63
	kindsPerTeam    = 2
	requestsPerKind = 500 // number of requests of each kind in one window of an entry at full load
	writers         = 83  // number of daemons that write rows: 73 leaders and 10 entries
)

func fullConfig() *structs.Config {
	c := &structs.Config{Revision: 1}
	for i := range teamCount {
		team := structs.TeamConfig{ID: structs.TeamID(fmt.Sprintf("team-%02d", i))}
		objective := structs.Objective{Ratio: 0.999, LatencyMS: 250, WindowH: 720}
		for k := range kindsPerTeam {
			team.Requests = append(team.Requests, structs.RequestKind{Name: fmt.Sprintf("kind-%d", k), DeadlineMS: 1000, Objective: objective})
		}
		team.Batch = []structs.BatchConfig{{Class: "pricing", Objective: objective}}
		c.Teams = append(c.Teams, team)
	}
	return c
}

// recordWindow records the requests that an entry at full load receives in one
// window.
func recordWindow(r *burn.Recorder, c *structs.Config, random *rand.Rand) {
	for _, team := range c.Teams {
		for _, kind := range team.Requests {
			for range requestsPerKind {
				latency := time.Duration(random.ExpFloat64() * float64(80*time.Millisecond))
				r.RecordRequest(burn.Request{Team: team.ID, Kind: kind.Name, Good: latency < 250*time.Millisecond, Latency: latency, Outcome: "answered"})
			}
		}
		r.RecordTask(burn.Task{Team: team.ID, Class: "pricing"})
	}
}

// BenchmarkRecordRequest measures the cost of counting one request.
func BenchmarkRecordRequest(b *testing.B) {
	r := burn.NewRecorder()
	q := burn.Request{Team: "jabuka", Kind: "slot-check", Good: true, Latency: 40 * time.Millisecond, Outcome: "answered"}
	for range b.N {
		r.RecordRequest(q)
	}
}

// BenchmarkFlush measures one flush of an entry that has answered requests of
// every kind of every team, and the size of the row.
func BenchmarkFlush(b *testing.B) {
	random := rand.New(rand.NewPCG(20261203, 1))
	table, c := standin.NewTable(), fullConfig()
	r := burn.NewRecorder()
	f := burn.NewFlusher(r, table, "entry-0")
	for range b.N {
		b.StopTimer()
		recordWindow(r, c, random)
		b.StartTimer()
		f.Flush(context.Background())
	}
	load := table.Load()
	rowBytes := float64(load.BytesWrite) / float64(load.RowsWritten)
	b.ReportMetric(rowBytes, "B/row")
	b.ReportMetric(rowBytes/burn.FlushInterval.Seconds(), "B/s-entry")
	b.ReportMetric(writers/burn.FlushInterval.Seconds(), "rows/s-all-writers")
}

// BenchmarkLoad measures the time of a report over the rows that ten entries
// write in two hours.
func BenchmarkLoad(b *testing.B) {
	random := rand.New(rand.NewPCG(20261203, 1))
	table, c := standin.NewTable(), fullConfig()
	const rows = 10 * 24
	for i := range rows {
		r := burn.NewRecorder()
		recordWindow(r, c, random)
		burn.NewFlusher(r, table, fmt.Sprintf("entry-%d", i)).Flush(context.Background())
	}
	b.ResetTimer()
	for range b.N {
		if _, err := burn.Load(context.Background(), table, c); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(rows, "rows")
}
