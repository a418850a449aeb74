package membership

import (
	"context"
	"fmt"
	"net"
	"runtime"
	"testing"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"github.com/daisywall/daisywall/api/daisywallpb"
)

// heapAndStackBytes returns the memory used by heap and stacks after a garbage
// collection.
func heapAndStackBytes() float64 {
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapInuse + m.StackInuse)
}

// BenchmarkConnections reports the memory that an entry uses for each agent
// that stays connected to it. Clients run in the same process, without
// buffers, so the figure is above that of the entry alone. Run it with
// -benchtime 1x.
func BenchmarkConnections(b *testing.B) {
	for _, agents := range []int{64, 250, 1000} {
		b.Run(fmt.Sprint(agents), func(b *testing.B) { benchmarkConnections(b, agents) })
	}
}

func benchmarkConnections(b *testing.B, agents int) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	server := grpc.NewServer()
	daisywallpb.RegisterEntryServer(server, NewRegistry(RegistryOptions{Address: "entry"}))
	done := make(chan struct{})
	go func() {
		defer close(done)
		_ = server.Serve(listener)
	}()
	defer func() { server.Stop(); <-done }()
	before := heapAndStackBytes()
	for i := range agents {
		conn, err := grpc.NewClient(listener.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()),
			grpc.WithReadBufferSize(0), grpc.WithWriteBufferSize(0))
		if err != nil {
			b.Fatal(err)
		}
		defer func() { _ = conn.Close() }()
		if _, err := daisywallpb.NewEntryClient(conn).Register(context.Background(), benchRegistration(i, 1)); err != nil {
			b.Fatal(err)
		}
	}
	b.ReportMetric((heapAndStackBytes()-before)/float64(agents), "B/connection")
	b.ReportMetric(0, "ns/op")
}
