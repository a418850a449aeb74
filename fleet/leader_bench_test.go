package fleet

import (
	"context"
	"fmt"
	"testing"
	"time"

	"go.opentelemetry.io/otel/metric/noop"
	"go.uber.org/zap"

	"github.com/daisywall/daisywall/api/fleetpb"
	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/placement/steps"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/workflow"
)

// Load of BenchmarkLeaderHandlesReports: hosts that run services, filling and
// short tasks, and filling jobs that find no more room.
const (
	benchServicesPerHost = 5
	benchFillsPerHost    = 3
	benchServiceImages   = 16
	benchFillImages      = 30
	benchPendingJobs     = 20
	benchJobWidth        = 39
)

// staticConfig is a ConfigSource whose configuration never changes.
type staticConfig struct{ config *structs.FleetConfig }

func (c *staticConfig) Current() (*structs.FleetConfig, time.Duration) { return c.config, 0 }
func (c *staticConfig) Changed() <-chan struct{}                       { return nil }

// newBusyLeader returns a leader whose hosts run tasks, and a report of each host.
func newBusyLeader(b *testing.B, hosts int) (*leader, map[*worker]*fleetpb.WorkerReport) {
	b.Helper()
	now := bootclock.Time(time.Hour)
	m, err := newMetrics(noop.NewMeterProvider())
	if err != nil {
		b.Fatal(err)
	}
	l := newLeader(Options{
		Clock: func() bootclock.Time { return now }, WallClock: time.Now, Log: zap.NewNop(), Timing: Timing{}.withDefaults(),
	}, m, leaderRow{})
	l.config = &staticConfig{&structs.FleetConfig{Queues: map[structs.QueueID]structs.Queue{"q": testQueue}}}
	l.lastCommitSentAt = now
	for k := range benchServiceImages * benchFillImages {
		service, fill := k%benchServiceImages, k/benchServiceImages
		l.interference.Restore([]steps.PairOdds{{Service: fmt.Sprintf("s%d", service), Fill: fmt.Sprintf("f%d", fill), LogOdds: float64(k%9) - 6}})
	}
	reports := map[*worker]*fleetpb.WorkerReport{}
	for h := range hosts {
		w := l.workerByID(structs.WorkerID(fmt.Sprintf("w%d", h)))
		w.session, w.ready, w.incarnation, w.pool = newSession(), true, "i", "pool"
		w.session.worker, w.listedAt, w.leaseEndsAt = w, now, now.Add(time.Hour)
		w.capacity = structs.Resources{MilliCPU: 16000, MemoryMB: 62500}
		report := &fleetpb.WorkerReport{Listed: true}
		for k := range benchServicesPerHost + benchFillsPerHost {
			spec := testJob(fmt.Sprintf("job-%d-%d", h, k), 1)
			step := &spec.Steps[0]
			step.Resources = structs.Resources{MilliCPU: 3000, MemoryMB: 4000}
			step.Image, step.Fills, step.Estimate = fmt.Sprintf("f%d", (h+k)%benchFillImages), true, 2*time.Second
			if k < benchServicesPerHost {
				step.Image, step.Fills = fmt.Sprintf("s%d", (h+k)%benchServiceImages), false
				step.LongRunning, step.LatencyTarget = true, 18*time.Millisecond
			}
			j := &job{Job: workflow.New(*spec, testQueue), stored: true}
			l.addJob(j)
			id, _ := j.Assign(structs.StepTaskID{Job: spec.ID}, w.id, "i")
			w.assign(id, "i", j).stored = true
			report.Active = append(report.Active, &fleetpb.Active{Run: runToProto(id), Percent: 100, Figure: 10, Pace: fullPacePercent})
		}
		reports[w] = report
	}
	for k := range benchPendingJobs {
		spec := testJob(fmt.Sprintf("pending-%d", k), benchJobWidth)
		step := &spec.Steps[0]
		step.Fills, step.Image, step.Resources = true, fmt.Sprintf("f%d", k%benchFillImages), structs.Resources{MilliCPU: 14000}
		l.addJob(&job{Job: workflow.New(*spec, testQueue), stored: true})
	}
	return l, reports
}

// BenchmarkLeaderHandlesReports measures one report of one host with the
// scheduling cycle that follows it, in fleets of several sizes.
func BenchmarkLeaderHandlesReports(b *testing.B) {
	for _, hosts := range []int{30, 73, 160, 300, 1000} {
		b.Run(fmt.Sprintf("%d hosts", hosts), func(b *testing.B) {
			l, reports := newBusyLeader(b, hosts)
			b.ReportAllocs()
			for b.Loop() {
				for w, report := range reports {
					l.handleReport(w.session, report)
					break
				}
				l.schedule(context.Background())
				for _, w := range l.workers {
					w.outbox = outbox{}
				}
			}
		})
	}
}
