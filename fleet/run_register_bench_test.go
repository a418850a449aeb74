package fleet

import (
	"testing"

	"go.opentelemetry.io/otel/metric/noop"

	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// The cost of the register for each list of a runner with 40 runs, and for each
// start.
func BenchmarkRunRegister(b *testing.B) {
	m, err := newMetrics(noop.NewMeterProvider())
	if err != nil {
		b.Fatal(err)
	}
	h := newHost(Options{Clock: bootclock.Now}, m)
	active := make([]substrate.ActiveRun, 40)
	for i := range active {
		active[i].Run = structs.RunID{Task: structs.StepTaskID{Job: "0123456789abcdef", Index: int32(i)}, Number: 1}
	}
	b.Run("list", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			h.recordList("runner@1", active, nil)
		}
	})
	b.Run("start", func(b *testing.B) {
		b.ReportAllocs()
		for b.Loop() {
			h.recordStart(0, "runner@1", active[0].Run)
		}
	})
}
