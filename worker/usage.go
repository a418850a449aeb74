package worker

import (
	"context"
	"math"

	"github.com/daisywall/daisywall/api"
	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// minUsageChange is the relative change above which a measurement is reported.
const minUsageChange = 0.1

// usageReports holds the last usage report of each run that the leader has
// acknowledged.
type usageReports map[structs.AttemptID]*daisywallpb.UsageReport

// changedUsage returns the measurements that have changed since their last
// acknowledged report, or all of them when a full report is due. It returns no
// measurements if the call to the runtime fails.
func (a *Agent) changedUsage(ctx context.Context) []*daisywallpb.UsageReport {
	list, err := callWithTimeout(ctx, a, a.options.Runtime.Usage)
	if err != nil {
		return nil
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	var changed []*daisywallpb.UsageReport
	for _, u := range list {
		report := newUsageReport(u)
		if a.needsFullReport || usageDiffers(a.ackedUsage[u.Attempt], report) {
			changed = append(changed, report)
		}
	}
	return changed
}

// acknowledge stores the usage reports of a heartbeat that the leader has
// answered.
func (r usageReports) acknowledge(req *daisywallpb.HeartbeatRequest) {
	if req.GetFull() {
		clear(r)
	}
	for _, report := range req.GetUsage() {
		r[api.ToAttempt(report.GetAttempt())] = report
	}
	for _, run := range req.GetRuns() {
		if substrate.RunState(run.GetState()).Final() {
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
	return exceedsMinUsageChange(float64(a.GetMilliCpu()), float64(b.GetMilliCpu())) ||
		exceedsMinUsageChange(float64(a.GetMemoryMb()), float64(b.GetMemoryMb())) ||
		a.GetAccelerators() != b.GetAccelerators() ||
		exceedsMinUsageChange(old.GetLatencyMs(), report.GetLatencyMs())
}

func exceedsMinUsageChange(old, value float64) bool {
	return math.Abs(value-old) > minUsageChange*math.Abs(old)
}
