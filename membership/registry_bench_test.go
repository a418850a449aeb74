package membership

import (
	"context"
	"fmt"
	"runtime"
	"testing"

	"google.golang.org/protobuf/proto"

	"github.com/daisywall/daisywall/api/daisywallpb"
)

const (
	benchTeamCount  = 63
	benchEntryCount = 10 // entries that a response names
)

// benchRegistration returns the full registration of the i-th agent. Every team has
// targets on agents/63 hosts.
func benchRegistration(i int, sequence int64) *daisywallpb.RegisterRequest {
	request := &daisywallpb.RegisterRequest{
		Worker: fmt.Sprintf("worker-%04d", i), FailureDomain: fmt.Sprintf("domain-%d", i%7), Address: fmt.Sprintf("10.0.%d.%d:7000", i/256, i%256),
		AgentIncarnation: "8f14e45f-ceea-467f-9c8b-9e0b6f2a7d11", Sequence: sequence, ConfigRevision: 1_000_000, AgentClockMs: 1_000_000_000,
	}
	request.Targets = []*daisywallpb.TargetInfo{{
		Id: fmt.Sprintf("target-%04d", i), Team: fmt.Sprintf("team-%02d", i%benchTeamCount), Kinds: []string{"alert", "pricing"},
		Incarnation: "2c9a1d0e-5b1f-4c47-9f0e-0d6a7b1c2e3f", Slots: 8, Connections: 60,
	}}
	return request
}

func benchRegistry(b *testing.B, agents int) *Registry {
	b.Helper()
	var others []string
	for i := range benchEntryCount {
		others = append(others, fmt.Sprintf("10.9.0.%d:7000", i))
	}
	r := NewRegistry(RegistryOptions{Address: others[0], Entries: func() []string { return others }})
	for i := range agents {
		if _, err := r.Register(b.Context(), benchRegistration(i, 1)); err != nil {
			b.Fatal(err)
		}
	}
	return r
}

// heapBytes returns the heap memory in use after a garbage collection.
func heapBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc)
}

// BenchmarkRegister measures one registration at an entry that holds many
// agents: processor time, message size, the interval that the entry grants and
// the memory of the registry. Run it with -cpu 1.
func BenchmarkRegister(b *testing.B) {
	for _, agents := range []int{64, 500, 4700} {
		for _, full := range []bool{false, true} {
			b.Run(fmt.Sprintf("agents=%d/full=%t", agents, full), func(b *testing.B) {
				before := heapBytes()
				r := benchRegistry(b, agents)
				heap := heapBytes() - before
				requests := make([]*daisywallpb.RegisterRequest, agents)
				for i := range requests {
					requests[i] = benchRegistration(i, 1)
					requests[i].Unchanged = !full
					if !full {
						requests[i].Targets = nil
					}
				}
				var response *daisywallpb.RegisterResponse
				ctx := context.Background()
				for i := 0; b.Loop(); i++ {
					request := requests[i%agents]
					request.Sequence++
					response, _ = r.Register(ctx, request)
				}
				b.ReportMetric(float64(proto.Size(requests[0])+proto.Size(response)), "wire-B/op")
				b.ReportMetric(float64(response.IntervalMs)/1000, "interval-s")
				b.ReportMetric(heap/float64(agents), "heap-B/agent")
			})
		}
	}
}
