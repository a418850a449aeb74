package worker

import (
	"context"
	"fmt"
	"runtime"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// stubRuntime answers every call at once, always with the same runs.
type stubRuntime struct {
	substrate.WorkerRuntime
	runs []substrate.Run
	now  substrate.RuntimeClock
}

func (r *stubRuntime) Snapshot(context.Context) (substrate.Snapshot, error) {
	r.now = r.now.Add(time.Second)
	return substrate.Snapshot{Incarnation: "i1", Now: r.now, Runs: r.runs}, nil
}

func (r *stubRuntime) Usage(context.Context) ([]substrate.Usage, error) {
	list := make([]substrate.Usage, 0, len(r.runs))
	for _, run := range r.runs {
		list = append(list, substrate.Usage{Attempt: run.Attempt, Class: run.Class, Resources: run.Resources})
	}
	return list, nil
}

func (r *stubRuntime) Renew(context.Context, string, map[structs.AttemptID]substrate.RuntimeClock) error {
	return nil
}

// BenchmarkHeartbeat measures one heartbeat of a worker with steady runs: the
// agent's processor time, and the bytes of the messages.
func BenchmarkHeartbeat(b *testing.B) {
	for _, runs := range []int{0, 22, 44} {
		for _, full := range []bool{false, true} {
			b.Run(fmt.Sprintf("runs=%d/full=%t", runs, full), func(b *testing.B) { benchmarkHeartbeat(b, runs, full) })
		}
	}
}

// BenchmarkMemory reports the heap that an agent uses for its runs, after
// three heartbeats.
func BenchmarkMemory(b *testing.B) {
	heap := func() float64 {
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc)
	}
	for _, runs := range []int{0, 22, 1000} {
		b.Run(fmt.Sprintf("runs=%d", runs), func(b *testing.B) {
			r := newStubRuntime(runs)
			for b.Loop() {
				before := heap()
				leader := &fakeLeader{epoch: 1}
				agent := benchAgent(b, r, leader)
				leader.requests = nil
				b.ReportMetric(heap()-before, "heap-B")
				runtime.KeepAlive(agent)
			}
		})
	}
}

// newStubRuntime returns a runtime with the given number of running tasks.
func newStubRuntime(runs int) *stubRuntime {
	r := &stubRuntime{}
	for i := range runs {
		id := structs.AttemptID{Task: structs.TaskID{Job: "1kg2n6hei99tr6hckhghii4nvs", Index: int32(i)}, Number: 1}
		r.runs = append(r.runs, substrate.Run{Attempt: id, State: substrate.RunRunning, Class: "pricing", Kind: structs.WorkBatch, Resources: oneTask})
	}
	return r
}

// benchAgent returns an agent after its first heartbeats.
func benchAgent(b *testing.B, r *stubRuntime, leader *fakeLeader) *Agent {
	b.Helper()
	agent, err := New(Options{
		Worker:  structs.Worker{ID: "worker-0001", Cell: "cell-01", FailureDomain: "domain-1", Rack: "rack-1", Capacity: hostCapacity, Address: "10.0.0.1:7000"},
		Runtime: r, Finder: leader, Heartbeat: leader.Heartbeat,
	})
	if err != nil {
		b.Fatal(err)
	}
	for range 3 {
		if err := agent.runHeartbeat(context.Background()); err != nil {
			b.Fatal(err)
		}
	}
	return agent
}

func benchmarkHeartbeat(b *testing.B, runs int, full bool) {
	leader := &fakeLeader{epoch: 1}
	var bytes int
	answer := func(req *daisywallpb.HeartbeatRequest, resp *daisywallpb.HeartbeatResponse) error {
		resp.WantFull = full
		bytes = proto.Size(req) + proto.Size(resp)
		return nil
	}
	leader.setResponseHook(answer)
	agent := benchAgent(b, newStubRuntime(runs), leader)
	b.ReportAllocs()
	for b.Loop() {
		leader.requests = leader.requests[:0]
		if err := agent.runHeartbeat(context.Background()); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric(float64(bytes), "wire-B/op")
}
