package worker

import (
	"context"
	"math"

	"github.com/daisywall/daisywall/api"
	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// usageStep is the relative change of a measurement that is worth a report.
const usageStep = 0.1

// usageReports holds the measurements as the leader has acknowledged them.
type usageReports map[structs.AttemptID]*daisywallpb.UsageReport

// readUsage returns the measurements that have changed. Without an answer of
// the runtime there are none.
func (a *Agent) readUsage(ctx context.Context) []*daisywallpb.UsageReport {
	list, err := call(ctx, a, a.o.Runtime.Usage)
	if err != nil {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	var changed []*daisywallpb.UsageReport
	for _, u := range list {
		report := newUsageReport(u)
		if a.wantFull || usageDiffers(a.usage[u.Attempt], report) {
			changed = append(changed, report)
		}
	}
	return changed
}

// acknowledge remembers what the leader has received.
func (r usageReports) acknowledge(req *daisywallpb.HeartbeatRequest) {
	if req.GetFull() {
		clear(r)
	}
	for _, report := range req.GetUsage() {
		r[api.ToAttempt(report.GetAttempt())] = report
	}
	for _, run := range req.GetRuns() {
		if substrate.RunState(run.GetState()).Over() {
			delete(r, api.ToAttempt(run.GetAttempt()))
		}
	}
}

func newUsageReport(u substrate.Usage) *daisywallpb.UsageReport {
	return &daisywallpb.UsageReport{
		Attempt:   api.FromAttempt(u.Attempt),
		Class:     u.Class,
		Resources: api.FromResources(u.Resources),
		AgeMs:     u.Age.Milliseconds(),
		LatencyMs: u.LatencyMS,
	}
}

func usageDiffers(old, report *daisywallpb.UsageReport) bool {
	if old == nil {
		return true
	}
	a, b := old.GetResources(), report.GetResources()
	return moved(float64(a.GetMilliCpu()), float64(b.GetMilliCpu())) ||
		moved(float64(a.GetMemoryMb()), float64(b.GetMemoryMb())) ||
		a.GetAccelerators() != b.GetAccelerators() ||
		moved(old.GetLatencyMs(), report.GetLatencyMs())
}

func moved(old, value float64) bool {
	return math.Abs(value-old) > usageStep*math.Abs(old)
}
