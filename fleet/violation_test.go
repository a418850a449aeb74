package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"go.opentelemetry.io/otel/metric/noop"
	"go.uber.org/zap"
	"go.uber.org/zap/zaptest/observer"

	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/structs"
)

func TestLongViolationIsLoggedWithWhatRanBesideIt(t *testing.T) {
	is := is.New(t)
	core, lines := observer.New(zap.InfoLevel)
	m, err := newMetrics(noop.NewMeterProvider())
	is.NoErr(err)
	v := newViolations(Options{Log: zap.New(core), Timing: Timing{}.withDefaults()}, m)
	service := structs.RunID{Task: structs.StepTaskID{Job: "web"}, Number: 1}
	now := bootclock.Time(time.Hour)
	read := func(ratio float64, working int) {
		now = now.Add(500 * time.Millisecond)
		v.observe(map[structs.RunID]float64{service: ratio}, fillState{running: 3, working: working}, now)
	}
	for range 8 { // too short for the log
		read(2, 3)
		read(2, 3)
		read(0.9, 3)
	}
	is.Equal(lines.Len(), 0)
	for i := range 7 {
		read(3, max(0, 3-i))
		v.countFillStart()
	}
	read(0.5, 0)
	is.Equal(lines.Len(), 2)
	is.Equal(lines.All()[0].Message, "service over its target")
	ended := lines.All()[1]
	is.Equal(ended.Message, "service within its target")
	fields := ended.ContextMap()
	is.Equal(fields["for"], 3500*time.Millisecond)
	is.Equal(fields["beside_work"], time.Second)
	is.Equal(fields["fill_starts"], int64(7))
}
