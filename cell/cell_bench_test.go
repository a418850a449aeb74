package cell

import (
	"context"
	"fmt"
	"sync"
	"testing"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
	"google.golang.org/protobuf/proto"

	"github.com/daisywall/daisywall/api"
	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/standin"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// writeLatency is the duration of a table write.
const writeLatency = 5 * time.Millisecond

// latencyTable delays each write and counts log rows.
type latencyTable struct {
	*standin.Table
	latency time.Duration

	mu       sync.Mutex
	logRows  int // number of log rows
	allRows  int // rows of every kind that were written or deleted
	logBytes int // bytes in log rows
	starts   int
}

func (t *latencyTable) Commit(ctx context.Context, txn substrate.Txn) (int64, error) {
	if t.latency > 0 {
		time.Sleep(t.latency)
	}
	revision, err := t.Table.Commit(ctx, txn)
	t.mu.Lock()
	defer t.mu.Unlock()
	if err == nil {
		t.allRows += len(txn.Puts) + len(txn.Deletes)
	}
	for _, p := range txn.Puts {
		var b Batch
		if decode(p.Key, p.Value, &b) == nil && b.Epoch > 0 && !b.Empty() {
			t.logRows++
			t.logBytes += len(p.Value)
			t.starts += len(b.Starts)
		}
	}
	return revision, err
}

// cellBench is a cell whose workers end all their runs with every heartbeat.
type cellBench struct {
	b       *testing.B
	table   *latencyTable
	node    *Node
	slots   int64
	workers int

	mu              sync.Mutex
	running         map[structs.WorkerID][]*daisywallpb.Assignment
	freedAt         map[structs.WorkerID]time.Time // last heartbeat of each worker
	latency         *hdrhistogram.Histogram        // from the heartbeat that freed a slot to the delivery, in microseconds
	starts          int
	assignmentBytes int // bytes of assignments
	heartbeatBytes  int // bytes of heartbeats and responses
	measuring       bool
}

func newCellBench(b *testing.B, workers int, slots int64, v commitVariant) *cellBench {
	x := &cellBench{
		b: b, slots: slots, workers: workers, table: &latencyTable{Table: standin.NewTable(), latency: writeLatency},
		running: map[structs.WorkerID][]*daisywallpb.Assignment{}, freedAt: map[structs.WorkerID]time.Time{},
		latency: hdrhistogram.New(1, 60_000_000, 3),
	}
	node, err := New(Options{
		Cell: "a", Domain: "north", Worker: "w0", Table: x.table, Objects: standin.NewObjects(),
		Assign: x.assign, maxRowRecords: v.records, Timing: Timing{CommitRate: v.rate},
	})
	if err != nil {
		b.Fatal(err)
	}
	x.node = node
	return x
}

func (x *cellBench) assign(_ context.Context, address string, req *daisywallpb.AssignRequest) (*daisywallpb.AssignResponse, error) {
	now := time.Now()
	x.mu.Lock()
	defer x.mu.Unlock()
	id := structs.WorkerID(address)
	x.running[id] = append(x.running[id], req.GetAssignments()...)
	if !x.measuring {
		return &daisywallpb.AssignResponse{}, nil
	}
	x.assignmentBytes += proto.Size(req)
	for range req.GetAssignments() {
		x.starts++
		if err := x.latency.RecordValue(now.Sub(x.freedAt[id]).Microseconds()); err != nil {
			return nil, err
		}
	}
	return &daisywallpb.AssignResponse{}, nil
}

// sendHeartbeats sends a worker's heartbeats until ctx ends.
func (x *cellBench) sendHeartbeats(ctx context.Context, i int) {
	id := structs.WorkerID(fmt.Sprintf("w%d", i))
	req := &daisywallpb.HeartbeatRequest{
		Cell: "a", Worker: string(id), FailureDomain: "north", Address: string(id), Incarnation: "8f14e45f-ceea-467f-9c8b-9e0b6f2a7d11",
		Capacity: api.FromResources(structs.Resources{MilliCPU: 1000 * x.slots, MemoryMB: 1000 * x.slots}),
	}
	_ = sleep(ctx, time.Duration(i)*time.Second/time.Duration(x.workers))
	for ctx.Err() == nil {
		req.Sequence++
		req.Runs = nil
		x.mu.Lock()
		for _, a := range x.running[id] {
			req.Runs = append(req.Runs, &daisywallpb.RunReport{Attempt: a.GetAttempt(), State: string(substrate.RunExited), Resources: a.GetResources()})
		}
		x.running[id] = nil
		x.freedAt[id] = time.Now()
		x.mu.Unlock()
		resp, _ := x.node.Heartbeat(ctx, req)
		x.mu.Lock()
		x.heartbeatBytes += proto.Size(req) + proto.Size(resp)
		x.mu.Unlock()
		req.Reply, req.ReplyEpoch, req.Full = resp.GetReply(), resp.GetEpoch(), resp.GetWantFull()
		_ = sleep(ctx, time.Second)
	}
}

// measure runs the cell and reports the measured rates, sizes and latencies.
func (x *cellBench) measure(warm, measured time.Duration) {
	ctx, cancel := context.WithCancel(context.Background())
	var group sync.WaitGroup
	group.Go(func() { _ = x.node.Run(ctx) })
	for i := range x.workers {
		group.Go(func() { x.sendHeartbeats(ctx, i) })
	}
	time.Sleep(2 * time.Second)
	jobs := NewJobs(x.table.Table, time.Second, nil)
	job := pricingJob
	job.Tasks = 20_000
	for {
		if _, err := jobs.Submit(ctx, job, "bench"); err == nil {
			break
		}
		time.Sleep(100 * time.Millisecond)
	}
	time.Sleep(warm)
	x.setMeasuring(true)
	time.Sleep(measured)
	x.setMeasuring(false)
	cancel()
	group.Wait()
	seconds := measured.Seconds()
	x.b.ReportMetric(float64(x.starts)/seconds, "starts/s")
	x.b.ReportMetric(float64(x.table.logRows)/seconds, "logrows/s")
	x.b.ReportMetric(float64(x.table.allRows)/seconds, "rows/s")
	x.b.ReportMetric(float64(x.latency.ValueAtQuantile(50))/1000, "p50-ms")
	x.b.ReportMetric(float64(x.latency.ValueAtQuantile(99))/1000, "p99-ms")
	x.b.ReportMetric(float64(x.table.logBytes)/float64(max(1, x.starts)), "logB/start")
	x.b.ReportMetric(float64(x.assignmentBytes)/float64(max(1, x.starts)), "assignB/start")
	x.b.ReportMetric(float64(x.heartbeatBytes)/float64(max(1, x.starts)), "beatB/start")
	x.b.ReportMetric(0, "ns/op")
}

// setMeasuring starts or ends the measurement.
func (x *cellBench) setMeasuring(begin bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.measuring = begin
	if begin {
		x.heartbeatBytes = 0
		x.table.mu.Lock()
		defer x.table.mu.Unlock()
		x.table.logRows, x.table.allRows, x.table.logBytes = 0, 0, 0
		return
	}
	x.b.StopTimer()
}

// commitVariant is a configuration of group commit.
type commitVariant struct {
	name    string
	records int     // bound of each kind of record in a row, 0 for the built-in bounds
	rate    float64 // log rows per second, negative for no limit
}

// BenchmarkGroupCommit compares group commit with one log row for each record.
// A write takes 5 ms. Run it with -benchtime 1x.
func BenchmarkGroupCommit(b *testing.B) {
	for _, load := range []struct {
		rate, workers int
		slots         int64
	}{{36, 36, 1}, {300, 60, 5}} {
		for _, v := range []commitVariant{{"single", 1, -1}, {"grouped", 0, -1}, {"grouped-4/s", 0, 4}, {"grouped-2/s", 0, 2}} {
			b.Run(fmt.Sprintf("%s/%d", v.name, load.rate), func(b *testing.B) {
				newCellBench(b, load.workers, load.slots, v).measure(3*time.Second, 10*time.Second)
			})
		}
	}
}

// benchState returns a state with n assigned tasks on 64 workers.
func benchState(n int) *State {
	s := NewState()
	job := pricingJob
	job.ID = JobIDFor("jabuka", "bench")
	job.Tasks = int32(n)
	b := &Batch{Epoch: 1, Accepts: []Accept{{Job: job, Tasks: []Handoff{{Count: int32(n)}}}}}
	for i := range benchWorkers {
		b.Workers = append(b.Workers, WorkerChange{Worker: benchWorker(i), Incarnation: "8f14e45f-ceea-467f-9c8b-9e0b6f2a7d11"})
	}
	for i := range n {
		b.Starts = append(b.Starts, Start{Job: job.ID, Index: int32(i), Number: 1, Worker: benchWorker(i % benchWorkers)})
	}
	s.Apply(1, b)
	return s
}

const benchWorkers = 64

func benchWorker(i int) structs.WorkerID { return structs.WorkerID(fmt.Sprintf("worker-%04d", i)) }

// testLeader returns the leader of a cell with the state, on a table without
// latency.
func testLeader(b testing.TB, s *State) *leader {
	b.Helper()
	o, err := Options{
		Cell: "a", Domain: "north", Worker: "w0", Table: standin.NewTable(), Objects: standin.NewObjects(),
		Assign: func(context.Context, string, *daisywallpb.AssignRequest) (*daisywallpb.AssignResponse, error) {
			return &daisywallpb.AssignResponse{}, nil
		},
	}.validateAndDefault()
	if err != nil {
		b.Fatal(err)
	}
	client := newTableClient(o.Table, time.Second)
	c := candidate{client: client, cell: "a", worker: "w0", takeoverAfter: time.Second, timing: o.Timing}
	acquired, err := c.acquireLeadership(b.Context())
	if err != nil {
		b.Fatal(err)
	}
	l := newLeader(o, "a", client, client.metrics, acquired)
	l.state, l.recovered, l.domain.polled = s, true, true
	return l
}

// BenchmarkRecovery reads a cell's state from its snapshot and a full tail of
// log rows.
func BenchmarkRecovery(b *testing.B) {
	for _, tasks := range []int{200, 1400, 10_000} {
		b.Run(fmt.Sprint(tasks), func(b *testing.B) {
			state := benchState(tasks)
			l := testLeader(b, state)
			data := encode(state)
			if err := l.options.Objects.Put(b.Context(), "snapshot", data); err != nil {
				b.Fatal(err)
			}
			puts := []substrate.Put{{Key: snapshotKey("a"), Value: encode(snapshotPointer{Object: "snapshot", Seq: 1})}}
			for i := range snapshotLogRows {
				e := End{Job: JobIDFor("jabuka", "bench"), Index: int32(i), Number: 1, Cause: structs.EndFinished}
				puts = append(puts, substrate.Put{Key: logKey("a", i), Value: encode(&Batch{Seq: int64(i + 2), Epoch: 1, Ends: []End{e}})})
			}
			if _, err := l.options.Table.Commit(b.Context(), substrate.Txn{ID: "setup", Puts: puts}); err != nil {
				b.Fatal(err)
			}
			for b.Loop() {
				if _, log, err := l.readState(b.Context()); err != nil || len(log.tail) != snapshotLogRows {
					b.Fatal(len(log.tail), err)
				}
			}
			b.ReportMetric(float64(len(data)), "snapshotB")
			b.ReportMetric(float64(len(data))/float64(tasks), "B/task")
		})
	}
}

// BenchmarkHeartbeat measures the leader's processor time for one heartbeat in
// a cell with 1,400 running tasks.
func BenchmarkHeartbeat(b *testing.B) {
	l := testLeader(b, benchState(1400))
	reqs := make([]*daisywallpb.HeartbeatRequest, benchWorkers)
	for i := range reqs {
		reqs[i] = &daisywallpb.HeartbeatRequest{
			Cell: "a", Worker: string(benchWorker(i)), Address: "w", Incarnation: "8f14e45f-ceea-467f-9c8b-9e0b6f2a7d11", Full: true,
			Capacity: api.FromResources(structs.Resources{MilliCPU: 16_000, MemoryMB: 60_000}),
		}
		for _, t := range l.state.AssignedTo(benchWorker(i)) {
			reqs[i].Runs = append(reqs[i].Runs, &daisywallpb.RunReport{Attempt: api.FromAttempt(t.Attempt()), State: string(substrate.RunRunning)})
		}
	}
	sendHeartbeat := func(req *daisywallpb.HeartbeatRequest) {
		req.Sequence++
		resp, _ := l.handleHeartbeat(req)
		req.Reply, req.ReplyEpoch = resp.GetReply(), resp.GetEpoch()
	}
	for _, full := range []bool{true, false} {
		b.Run(fmt.Sprintf("full=%t", full), func(b *testing.B) {
			for i := 0; b.Loop(); i++ {
				req := reqs[i%benchWorkers]
				if !full && i >= 2*benchWorkers {
					req.Full, req.Runs = false, nil
				}
				sendHeartbeat(req)
			}
		})
	}
}

// BenchmarkStart measures the leader's processor time for a start and the
// preceding end. It includes planning, encoding, the stand-in's commit and
// applying.
func BenchmarkStart(b *testing.B) {
	l := testLeader(b, benchState(1400))
	for i := range benchWorkers {
		id := benchWorker(i)
		session := newWorkerSession(id)
		session.worker.Capacity = structs.Resources{MilliCPU: 1 << 30, MemoryMB: 1 << 30}
		session.incarnation = "8f14e45f-ceea-467f-9c8b-9e0b6f2a7d11"
		session.outbox.requestInFlight = true // excludes deliveries
		l.sessions[id] = session
	}
	const batch = 36
	starts := 0
	for i := 0; b.Loop(); i++ {
		now := time.Now()
		for _, session := range l.sessions {
			session.lastHeartbeatAt = now
		}
		tasks := l.state.Assigned()
		for k := range batch {
			t := tasks[(i*batch+k)%len(tasks)]
			l.queueEnd(structs.AttemptEnd{Attempt: t.Attempt(), Cause: structs.EndEvicted, Checkpoint: "checkpoint/" + t.ID().String()})
		}
		for len(l.queue.ends)+len(l.state.pending) > 0 {
			txn := l.buildTxn(now)
			if err := l.commit(b.Context(), txn); err != nil {
				b.Fatal(err)
			}
			l.log.releaseCovered(l.state.Seq) // stands in for a snapshot
		}
		for _, session := range l.sessions {
			session.outbox.assignments = nil
		}
		starts += batch
	}
	b.ReportMetric(float64(b.Elapsed().Nanoseconds())/float64(starts), "ns/start")
}
