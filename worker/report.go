package worker

import (
	"cmp"
	"math"
	"slices"

	"github.com/daisywall/daisywall/api"
	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// minProgressChange is the smallest change of progress that is reported.
const minProgressChange = 0.05

// runReports holds the last report of each run that the leader has acknowledged.
type runReports map[structs.AttemptID]*daisywallpb.RunReport

// compose returns the run reports of a heartbeat: all runs if full is true,
// otherwise the runs that have changed since their last acknowledged report. A
// run that has ended is reported until it is forgotten.
func (r runReports) compose(l *ledger, full bool) []*daisywallpb.RunReport {
	var list []*daisywallpb.RunReport
	for attempt, e := range l.entries {
		if e.phase == phaseStarting {
			continue
		}
		report := newReport(e.run)
		if full || e.phase == phaseEnded || runReportDiffers(r[attempt], report) {
			list = append(list, report)
		}
	}
	slices.SortFunc(list, func(a, b *daisywallpb.RunReport) int {
		return cmp.Or(
			cmp.Compare(a.GetAttempt().GetJob(), b.GetAttempt().GetJob()),
			cmp.Compare(a.GetAttempt().GetIndex(), b.GetAttempt().GetIndex()),
			cmp.Compare(a.GetAttempt().GetNumber(), b.GetAttempt().GetNumber()),
		)
	})
	return list
}

// acknowledge stores the run reports of a heartbeat that the leader has answered.
func (r runReports) acknowledge(req *daisywallpb.HeartbeatRequest) {
	if req.GetFull() {
		clear(r)
	}
	for _, report := range req.GetRuns() {
		attempt := api.ToAttempt(report.GetAttempt())
		if substrate.RunState(report.GetState()).Final() {
			delete(r, attempt)
			continue
		}
		r[attempt] = report
	}
}

func newReport(run substrate.Run) *daisywallpb.RunReport {
	return &daisywallpb.RunReport{
		Attempt:    api.FromAttempt(run.Attempt),
		State:      string(run.State),
		Failed:     run.Failed,
		Detail:     run.Detail,
		Checkpoint: run.Checkpoint,
		Result:     run.Result,
		Resources:  api.FromResources(run.Resources),
		Progress:   run.Progress,
		Class:      run.Class,
	}
}

func runReportDiffers(old, report *daisywallpb.RunReport) bool {
	if old == nil {
		return true
	}
	return old.GetState() != report.GetState() || old.GetCheckpoint() != report.GetCheckpoint() ||
		math.Abs(old.GetProgress()-report.GetProgress()) >= minProgressChange
}
