package cell

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"github.com/daisywall/daisywall/api"
	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/standin"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// purposeTable counts calls and rows by purpose.
type purposeTable struct {
	*standin.Table
	read, write time.Duration // time of a call

	mu     sync.Mutex
	counts map[string]int
}

// purpose names what a row is for.
func purpose(key string) string {
	parts := strings.Split(key, "/")
	if parts[0] == "cell" && len(parts) > 2 {
		return parts[2]
	}
	if parts[0] == "job" && len(parts) > 2 {
		return "status"
	}
	return parts[0]
}

func (t *purposeTable) add(what string, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts[what] += n
}

// take returns the counts so far and starts from nothing.
func (t *purposeTable) take() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := t.counts
	t.counts = map[string]int{}
	return counts
}

func (t *purposeTable) Get(ctx context.Context, key string) (substrate.Row, error) {
	t.add("read-"+purpose(key), 1)
	time.Sleep(t.read)
	return t.Table.Get(ctx, key)
}

func (t *purposeTable) List(ctx context.Context, prefix, after string, limit int) ([]substrate.Row, error) {
	t.add("read-"+purpose(prefix), 1)
	time.Sleep(t.read)
	return t.Table.List(ctx, prefix, after, limit)
}

func (t *purposeTable) Changes(ctx context.Context, prefix string, since int64) ([]substrate.Row, int64, error) {
	t.add("read-"+purpose(prefix), 1)
	time.Sleep(t.read)
	return t.Table.Changes(ctx, prefix, since)
}

func (t *purposeTable) Commit(ctx context.Context, txn substrate.Txn) (int64, error) {
	time.Sleep(t.write)
	revision, err := t.Table.Commit(ctx, txn)
	if err != nil {
		if c := asConflict(err); c != nil {
			t.add("conflict-"+purpose(c.Key), 1)
		}
		return revision, err
	}
	for _, p := range txn.Puts {
		t.add("write-"+purpose(p.Key), 1)
	}
	for _, key := range txn.Deletes {
		t.add("delete-"+purpose(key), 1)
	}
	return revision, nil
}

// fleetBench is a number of cells on one table.
type fleetBench struct {
	table *purposeTable
	cells [][]*Node // candidates by cell
	mu    sync.Mutex
	runs  map[string][]*daisywallpb.Assignment // by worker
	total int                                  // starts
	seen  chan structs.JobID                   // started jobs, may be nil
}

// newFleetBench has cells in seven failure domains with the given number of
// candidates. Quotas may be nil.
func newFleetBench(b *testing.B, cells, candidates int, quotas Quotas) *fleetBench {
	f := &fleetBench{table: &purposeTable{Table: standin.NewTable(), write: writeLatency, counts: map[string]int{}}, runs: map[string][]*daisywallpb.Assignment{}}
	objects := standin.NewObjects()
	for c := range cells {
		var nodes []*Node
		for i := range candidates {
			node, err := New(Options{
				Cell: structs.CellID(fmt.Sprintf("c%02d", c)), Domain: structs.FailureDomainID(fmt.Sprintf("d%d", c%7)),
				Worker: structs.WorkerID(fmt.Sprintf("w%02d-%02d", c, i)), Table: f.table, Objects: objects, Assign: f.assign, Quotas: quotas,
			})
			if err != nil {
				b.Fatal(err)
			}
			nodes = append(nodes, node)
		}
		f.cells = append(f.cells, nodes)
	}
	return f
}

func (f *fleetBench) assign(_ context.Context, address string, req *daisywallpb.AssignRequest) (*daisywallpb.AssignResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.runs[address] = append(f.runs[address], req.GetAssignments()...)
	f.total += len(req.GetAssignments())
	for _, a := range req.GetAssignments() {
		if f.seen != nil {
			f.seen <- api.ToAttempt(a.GetAttempt()).Task.Job
		}
	}
	return &daisywallpb.AssignResponse{}, nil
}

// endsPerBeat is the number of runs of a worker that end with each heartbeat.
const endsPerBeat = 9

// beat sends the heartbeats of one worker, whose oldest runs end with each of
// them.
func (f *fleetBench) beat(ctx context.Context, nodes []*Node, id string, slots int64) {
	req := &daisywallpb.HeartbeatRequest{
		Cell: string(nodes[0].o.Cell), Worker: id, FailureDomain: string(nodes[0].o.Domain), Address: id, Incarnation: "i1",
		Capacity: api.FromResources(structs.Resources{MilliCPU: 1000 * slots, MemoryMB: 1000 * slots}),
	}
	for ctx.Err() == nil {
		req.Sequence++
		req.Runs = nil
		f.mu.Lock()
		for i, a := range f.runs[id] {
			state := substrate.RunRunning
			if i < endsPerBeat {
				state = substrate.RunExited
			}
			req.Runs = append(req.Runs, &daisywallpb.RunReport{Attempt: a.GetAttempt(), State: string(state), Resources: a.GetResources()})
		}
		f.runs[id] = f.runs[id][min(endsPerBeat, len(f.runs[id])):]
		f.mu.Unlock()
		wait := time.Second
		for _, node := range nodes {
			if resp, _ := node.Heartbeat(ctx, req); resp != nil && !resp.GetNotLeader() {
				req.Reply, req.ReplyEpoch, req.Full = resp.GetReply(), resp.GetEpoch(), resp.GetWantFull()
				wait = time.Duration(resp.GetIntervalMs()) * time.Millisecond
				break
			}
		}
		_ = sleep(ctx, wait)
	}
}

// run starts everything, prepares, and reports the counts of the measured time
// a second and cell.
func (f *fleetBench) run(b *testing.B, workers int, slots int64, prepare func(), warm, measured time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	for c, nodes := range f.cells {
		for _, node := range nodes {
			group.Go(func() { _ = node.Run(ctx) })
		}
		for i := range workers {
			group.Go(func() { f.beat(ctx, nodes, fmt.Sprintf("w%02d-%02d", c, i), slots) })
		}
	}
	time.Sleep(4 * time.Second)
	prepare()
	time.Sleep(warm)
	f.table.take()
	f.mu.Lock()
	began := f.total
	f.mu.Unlock()
	time.Sleep(measured)
	counts := f.table.take()
	f.mu.Lock()
	starts := f.total - began
	f.mu.Unlock()
	share := measured.Seconds() * float64(len(f.cells))
	for what, n := range counts {
		b.ReportMetric(float64(n)/share, what+"/s")
	}
	b.ReportMetric(float64(starts)/share, "starts/s")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkTableUse counts what a quiet cell of the target size reads and
// writes, a second: 64 candidates, of which one leads, in each of eight cells.
// Run it with -benchtime 1x.
func BenchmarkTableUse(b *testing.B) {
	f := newFleetBench(b, 8, benchWorkers, nil)
	f.run(b, benchWorkers, 1, func() {}, 60*time.Second, 60*time.Second)
}

// BenchmarkQuotaMoves counts the rows and conflicts of 63 teams that compete
// for their quotas over a growing number of cells, a second and cell. Part is
// the number of tasks that an equal part of a quota holds in each cell; the
// quotas add up to four fifths of the workers. For comparison it runs without
// quotas as well. Run it with -benchtime 1x.
func BenchmarkQuotaMoves(b *testing.B) {
	for _, part := range []float64{16, 0.5} {
		for _, cells := range []int{8, 24, 73} {
			for _, limited := range []bool{false, true} {
				b.Run(fmt.Sprintf("part=%g/cells=%d/quotas=%t", part, cells, limited), func(b *testing.B) {
					quotaMoves(b, part, cells, limited)
				})
			}
		}
	}
}

func quotaMoves(b *testing.B, part float64, cells int, limited bool) {
	const teams, workers, tasks = 63, 4, 60
	size := int64(part * float64(cells) * 1000)
	limits := map[structs.TeamID]structs.Resources{}
	for i := range teams {
		limits[structs.TeamID(fmt.Sprintf("team-%02d", i))] = structs.Resources{MilliCPU: size, MemoryMB: size}
	}
	var quotas Quotas
	if limited {
		quotas = func() map[structs.TeamID]structs.Resources { return limits }
	}
	f := newFleetBench(b, cells, 1, quotas)
	slots := int64(part*teams/workers*5/4) + 1
	f.run(b, workers, slots, func() {
		jobs := NewJobs(f.table.Table, time.Second, nil)
		for team := range limits {
			job := pricing
			job.Team, job.Tasks, job.Resources = team, int32(cells*tasks), structs.Resources{MilliCPU: 1000, MemoryMB: 1000}
			if _, err := jobs.Submit(b.Context(), job, "bench"); err != nil {
				b.Fatal(err)
			}
		}
	}, 15*time.Second, 15*time.Second)
}

// BenchmarkUrgentStart is the time from the submission of a job of one task to
// the delivery of its assignment, in a cell that starts 36 tasks a second, by
// the time of a call to the table. Run it with -benchtime 40x.
func BenchmarkUrgentStart(b *testing.B) {
	for _, call := range []time.Duration{time.Millisecond, 10 * time.Millisecond, 50 * time.Millisecond} {
		b.Run(fmt.Sprintf("call=%s", call), func(b *testing.B) { urgentStarts(b, call) })
	}
}

func urgentStarts(b *testing.B, call time.Duration) {
	f := newFleetBench(b, 1, 1, nil)
	f.table.read, f.table.write = call, call
	f.seen = make(chan structs.JobID, 1<<16)
	node := f.cells[0][0]
	jobs := NewJobs(f.table, time.Second, func(c structs.CellID) {
		go func() { _, _ = node.Notify(context.Background(), &daisywallpb.NotifyRequest{Cell: string(c)}) }()
	})
	submit := func(key string, tasks int32) structs.JobID {
		job := pricing
		job.Tasks = tasks
		job, err := jobs.Submit(b.Context(), job, key)
		if err != nil {
			b.Error(err)
		}
		return job.ID
	}
	latency := hdrhistogram.New(1, 60_000_000, 3)
	f.run(b, 36, 4, func() {
		var group sync.WaitGroup
		defer group.Wait()
		ctx, cancel := context.WithCancel(b.Context())
		defer cancel()
		group.Go(func() {
			for i := 0; ctx.Err() == nil; i++ {
				submit(fmt.Sprintf("load-%d", i), 36)
				_ = sleep(ctx, time.Second)
			}
		})
		_ = sleep(ctx, 3*time.Second)
		for i := range b.N {
			began := time.Now()
			id := submit(fmt.Sprintf("urgent-%d", i), 1)
			for id != <-f.seen {
			}
			_ = latency.RecordValue(time.Since(began).Microseconds())
			_ = sleep(ctx, time.Duration(100+i*37%300)*time.Millisecond)
		}
	}, 0, time.Millisecond)
	b.ReportMetric(float64(latency.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(latency.ValueAtQuantile(90))/1000, "p90-ms")
	b.ReportMetric(float64(latency.Max())/1000, "max-ms")
}

// BenchmarkLeaderMemory reports the heap that the state of a cell takes, by its
// running tasks.
func BenchmarkLeaderMemory(b *testing.B) {
	for _, tasks := range []int{200, 1400, 10_000} {
		b.Run(fmt.Sprint(tasks), func(b *testing.B) {
			heap := func() float64 {
				runtime.GC()
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				return float64(m.HeapAlloc)
			}
			for b.Loop() {
				before := heap()
				s := benchState(tasks)
				b.ReportMetric((heap()-before)/float64(tasks), "heap-B/task")
				runtime.KeepAlive(s)
			}
		})
	}
}
