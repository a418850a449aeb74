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

// progressStep is the change of progress that is worth a report.
const progressStep = 0.05

// reports holds the runs as the leader has acknowledged them.
type reports map[structs.AttemptID]*daisywallpb.RunReport

// compose returns the reports of a heartbeat: every run when full, else those
// that have changed. A run that is over is reported until it is forgotten.
func (r reports) compose(l *ledger, full bool) []*daisywallpb.RunReport {
	var list []*daisywallpb.RunReport
	for attempt, e := range l.entries {
		if e.phase == starting {
			continue
		}
		report := newReport(e.run)
		if full || e.phase == over || differs(r[attempt], report) {
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

// acknowledge remembers what the leader has received.
func (r reports) acknowledge(req *daisywallpb.HeartbeatRequest) {
	if req.GetFull() {
		clear(r)
	}
	for _, report := range req.GetRuns() {
		attempt := api.ToAttempt(report.GetAttempt())
		if substrate.RunState(report.GetState()).Over() {
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

func differs(old, report *daisywallpb.RunReport) bool {
	if old == nil {
		return true
	}
	return old.GetState() != report.GetState() || old.GetCheckpoint() != report.GetCheckpoint() ||
		math.Abs(old.GetProgress()-report.GetProgress()) >= progressStep
}
