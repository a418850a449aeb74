package cell

import (
	"context"
	"fmt"
	"runtime"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/daisywall/daisywall/api"
	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/platform"
	"github.com/daisywall/daisywall/platform/standin"
	"github.com/daisywall/daisywall/structs"
)

// purposeTable counts calls and rows by purpose. Writes take writeLatency.
type purposeTable struct {
	*standin.Table

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

func (t *purposeTable) Get(ctx context.Context, key string) (platform.Row, error) {
	t.add("read-"+purpose(key), 1)
	return t.Table.Get(ctx, key)
}

func (t *purposeTable) List(ctx context.Context, prefix, after string, limit int) ([]platform.Row, error) {
	t.add("read-"+purpose(prefix), 1)
	return t.Table.List(ctx, prefix, after, limit)
}

func (t *purposeTable) Changes(ctx context.Context, prefix string, since int64) ([]platform.Row, int64, error) {
	t.add("read-"+purpose(prefix), 1)
	return t.Table.Changes(ctx, prefix, since)
}

func (t *purposeTable) Commit(ctx context.Context, txn platform.Txn) (int64, error) {
	time.Sleep(writeLatency)
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
}

// newFleetBench has cells in seven failure domains with the given number of
// candidates. Quotas may be nil.
func newFleetBench(b *testing.B, cells, candidates int, quotas Quotas) *fleetBench {
	f := &fleetBench{table: &purposeTable{Table: standin.NewTable(), counts: map[string]int{}}, runs: map[string][]*daisywallpb.Assignment{}}
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
	return &daisywallpb.AssignResponse{}, nil
}

// beat sends the heartbeats of one worker, whose runs end with each of them.
func (f *fleetBench) beat(ctx context.Context, nodes []*Node, id string, slots int64) {
	req := &daisywallpb.HeartbeatRequest{
		Cell: string(nodes[0].o.Cell), Worker: id, FailureDomain: string(nodes[0].o.Domain), Address: id, Incarnation: "i1",
		Capacity: api.FromResources(structs.Resources{MilliCPU: 1000 * slots, MemoryMB: 1000 * slots}),
	}
	for ctx.Err() == nil {
		req.Sequence++
		req.Runs = nil
		f.mu.Lock()
		for _, a := range f.runs[id] {
			req.Runs = append(req.Runs, &daisywallpb.RunReport{Attempt: a.GetAttempt(), State: string(platform.RunExited), Resources: a.GetResources()})
		}
		f.runs[id] = nil
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
// for their quotas over a growing number of cells, a second and cell. Run it
// with -benchtime 1x.
func BenchmarkQuotaMoves(b *testing.B) {
	const teams, workers, slots = 63, 4, 9
	for _, cells := range []int{8, 24, 73} {
		b.Run(fmt.Sprintf("cells=%d", cells), func(b *testing.B) {
			size := int64(cells*workers*slots) * 1000 * 4 / 5 / teams
			limits := map[structs.TeamID]structs.Resources{}
			for i := range teams {
				limits[structs.TeamID(fmt.Sprintf("team-%02d", i))] = structs.Resources{MilliCPU: size, MemoryMB: size}
			}
			f := newFleetBench(b, cells, 1, func() map[structs.TeamID]structs.Resources { return limits })
			f.run(b, workers, slots, func() {
				jobs := NewJobs(f.table.Table, time.Second, nil)
				for team := range limits {
					job := pricing
					job.Team, job.Tasks, job.Resources = team, 20_000, structs.Resources{MilliCPU: 1000, MemoryMB: 1000}
					if _, err := jobs.Submit(b.Context(), job, "bench"); err != nil {
						b.Fatal(err)
					}
				}
			}, 15*time.Second, 15*time.Second)
		})
	}
}

// BenchmarkLeaderMemory reports the heap that the state of a cell takes, by its
// running tasks.
func BenchmarkLeaderMemory(b *testing.B) {
	for _, tasks := range []int{200, 1400, 10_000} {
		b.Run(fmt.Sprint(tasks), func(b *testing.B) {
			var s *State
			heap := func() float64 {
				runtime.GC()
				var m runtime.MemStats
				runtime.ReadMemStats(&m)
				return float64(m.HeapAlloc)
			}
			for b.Loop() {
				s = nil
				before := heap()
				s = benchState(tasks)
				b.ReportMetric((heap()-before)/float64(tasks), "heap-B/task")
			}
			runtime.KeepAlive(s)
		})
	}
}
