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

// countingTable counts calls and rows by purpose.
type countingTable struct {
	*standin.Table
	readLatency, writeLatency time.Duration // duration of a call

	mu     sync.Mutex
	counts map[string]int
}

// rowPurpose returns the category under which calls for the key are counted,
// for example "log" or "status".
func rowPurpose(key string) string {
	parts := strings.Split(key, "/")
	if parts[0] == "cell" && len(parts) > 2 {
		return parts[2]
	}
	if parts[0] == "job" && len(parts) > 2 {
		return "status"
	}
	return parts[0]
}

func (t *countingTable) add(counter string, n int) {
	t.mu.Lock()
	defer t.mu.Unlock()
	t.counts[counter] += n
}

// resetCounts returns the counts and resets them.
func (t *countingTable) resetCounts() map[string]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := t.counts
	t.counts = map[string]int{}
	return counts
}

func (t *countingTable) Get(ctx context.Context, key string) (substrate.Row, error) {
	t.add("read-"+rowPurpose(key), 1)
	time.Sleep(t.readLatency)
	return t.Table.Get(ctx, key)
}

func (t *countingTable) List(ctx context.Context, prefix, after string, limit int) ([]substrate.Row, error) {
	t.add("read-"+rowPurpose(prefix), 1)
	time.Sleep(t.readLatency)
	return t.Table.List(ctx, prefix, after, limit)
}

func (t *countingTable) Changes(ctx context.Context, prefix string, since int64) ([]substrate.Row, int64, error) {
	t.add("read-"+rowPurpose(prefix), 1)
	time.Sleep(t.readLatency)
	return t.Table.Changes(ctx, prefix, since)
}

func (t *countingTable) Commit(ctx context.Context, txn substrate.Txn) (int64, error) {
	time.Sleep(t.writeLatency)
	revision, err := t.Table.Commit(ctx, txn)
	if err != nil {
		if c := asConflict(err); c != nil {
			t.add("conflict-"+rowPurpose(c.Key), 1)
		}
		return revision, err
	}
	for _, p := range txn.Puts {
		t.add("write-"+rowPurpose(p.Key), 1)
	}
	for _, key := range txn.Deletes {
		t.add("delete-"+rowPurpose(key), 1)
	}
	return revision, nil
}

// multiCellBench is a set of cells on one table.
type multiCellBench struct {
	table       *countingTable
	cells       [][]*Node // nodes of each cell
	mu          sync.Mutex
	assignments map[string][]*daisywallpb.Assignment // assignments of each worker
	startCount  int                                  // number of starts
	startedJobs chan structs.JobID                   // jobs of started tasks, may be nil
}

// newMultiCellBench returns cells in seven failure domains with the given
// number of candidates each. Quotas may be nil.
func newMultiCellBench(b *testing.B, cells, candidates int, quotas Quotas) *multiCellBench {
	f := &multiCellBench{table: &countingTable{Table: standin.NewTable(), writeLatency: writeLatency, counts: map[string]int{}}, assignments: map[string][]*daisywallpb.Assignment{}}
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

func (f *multiCellBench) assign(_ context.Context, address string, req *daisywallpb.AssignRequest) (*daisywallpb.AssignResponse, error) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.assignments[address] = append(f.assignments[address], req.GetAssignments()...)
	f.startCount += len(req.GetAssignments())
	for _, a := range req.GetAssignments() {
		if f.startedJobs != nil {
			f.startedJobs <- api.ToAttempt(a.GetAttempt()).Task.Job
		}
	}
	return &daisywallpb.AssignResponse{}, nil
}

// endsPerHeartbeat is the number of runs of a worker that end with each
// heartbeat.
const endsPerHeartbeat = 9

// sendHeartbeats sends the heartbeats of one worker. With each heartbeat, its
// oldest runs end.
func (f *multiCellBench) sendHeartbeats(ctx context.Context, nodes []*Node, id string, slots int64) {
	req := &daisywallpb.HeartbeatRequest{
		Cell: string(nodes[0].options.Cell), Worker: id, FailureDomain: string(nodes[0].options.Domain), Address: id, Incarnation: "i1",
		Capacity: api.FromResources(structs.Resources{MilliCPU: 1000 * slots, MemoryMB: 1000 * slots}),
	}
	for ctx.Err() == nil {
		req.Sequence++
		req.Runs = nil
		f.mu.Lock()
		for i, a := range f.assignments[id] {
			state := substrate.RunRunning
			if i < endsPerHeartbeat {
				state = substrate.RunExited
			}
			req.Runs = append(req.Runs, &daisywallpb.RunReport{Attempt: a.GetAttempt(), State: string(state), Resources: a.GetResources()})
		}
		f.assignments[id] = f.assignments[id][min(endsPerHeartbeat, len(f.assignments[id])):]
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

// measure starts the cells and workers, calls prepare, and reports the counts
// during the measured time per second and cell.
func (f *multiCellBench) measure(b *testing.B, workers int, slots int64, prepare func(), warm, measured time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	defer group.Wait()
	defer cancel()
	for c, nodes := range f.cells {
		for _, node := range nodes {
			group.Go(func() { _ = node.Run(ctx) })
		}
		for i := range workers {
			group.Go(func() { f.sendHeartbeats(ctx, nodes, fmt.Sprintf("w%02d-%02d", c, i), slots) })
		}
	}
	time.Sleep(4 * time.Second)
	prepare()
	time.Sleep(warm)
	f.table.resetCounts()
	f.mu.Lock()
	startsBefore := f.startCount
	f.mu.Unlock()
	time.Sleep(measured)
	counts := f.table.resetCounts()
	f.mu.Lock()
	starts := f.startCount - startsBefore
	f.mu.Unlock()
	cellSeconds := measured.Seconds() * float64(len(f.cells))
	for what, n := range counts {
		b.ReportMetric(float64(n)/cellSeconds, what+"/s")
	}
	b.ReportMetric(float64(starts)/cellSeconds, "starts/s")
	b.ReportMetric(0, "ns/op")
}

// BenchmarkTableUse counts the table reads and writes per second of an idle
// cell of full size. Each of eight cells has 64 candidates, one of which leads.
// Run it with -benchtime 1x.
func BenchmarkTableUse(b *testing.B) {
	f := newMultiCellBench(b, 8, benchWorkers, nil)
	f.measure(b, benchWorkers, 1, func() {}, 60*time.Second, 60*time.Second)
}

// BenchmarkQuotaMoves counts the rows and conflicts per second and cell of 63
// teams that compete for their quotas over a growing number of cells. part is
// the number of tasks that fit into one cell's equal part of a quota. The
// quotas add up to four fifths of the capacity of the workers. For comparison,
// the benchmark also runs without quotas. Run it with -benchtime 1x.
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
	f := newMultiCellBench(b, cells, 1, quotas)
	slots := int64(part*teams/workers*5/4) + 1
	f.measure(b, workers, slots, func() {
		jobs := NewJobs(f.table.Table, time.Second, nil)
		for team := range limits {
			job := pricingJob
			job.Team, job.Tasks, job.Resources = team, int32(cells*tasks), structs.Resources{MilliCPU: 1000, MemoryMB: 1000}
			if _, err := jobs.Submit(b.Context(), job, "bench"); err != nil {
				b.Fatal(err)
			}
		}
	}, 15*time.Second, 15*time.Second)
}

// BenchmarkUrgentStart measures the time from the submission of a job with one
// task to the delivery of its assignment, for several durations of a table
// call. The cell starts 36 other tasks per second. Run it with -benchtime 40x.
func BenchmarkUrgentStart(b *testing.B) {
	for _, callDuration := range []time.Duration{time.Millisecond, 10 * time.Millisecond, 50 * time.Millisecond} {
		b.Run(fmt.Sprintf("call=%s", callDuration), func(b *testing.B) { urgentStarts(b, callDuration) })
	}
}

func urgentStarts(b *testing.B, callDuration time.Duration) {
	f := newMultiCellBench(b, 1, 1, nil)
	f.table.readLatency, f.table.writeLatency = callDuration, callDuration
	f.startedJobs = make(chan structs.JobID, 1<<16)
	node := f.cells[0][0]
	jobs := NewJobs(f.table, time.Second, func(c structs.CellID) {
		go func() { _, _ = node.Notify(context.Background(), &daisywallpb.NotifyRequest{Cell: string(c)}) }()
	})
	submit := func(key string, tasks int32) structs.JobID {
		job := pricingJob
		job.Tasks = tasks
		job, err := jobs.Submit(b.Context(), job, key)
		if err != nil {
			b.Error(err)
		}
		return job.ID
	}
	latency := hdrhistogram.New(1, 60_000_000, 3)
	f.measure(b, 36, 4, func() {
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
			for id != <-f.startedJobs {
			}
			_ = latency.RecordValue(time.Since(began).Microseconds())
			_ = sleep(ctx, time.Duration(100+i*37%300)*time.Millisecond)
		}
	}, 0, time.Millisecond)
	b.ReportMetric(float64(latency.ValueAtQuantile(50))/1000, "p50-ms")
	b.ReportMetric(float64(latency.ValueAtQuantile(90))/1000, "p90-ms")
	b.ReportMetric(float64(latency.Max())/1000, "max-ms")
}

// BenchmarkLeaderMemory reports the heap size of the state of a cell for
// several numbers of running tasks.
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
