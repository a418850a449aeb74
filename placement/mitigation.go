package placement

import (
	"time"

	"github.com/daisywall/daisywall/structs"
)

// react helps services in trouble: it throttles the likeliest culprit beside
// them, evicts it if that does not help, and lifts throttles in calm times.
func (r *round) react() {
	for i := range r.nodes {
		n := &r.nodes[i]
		if len(n.services) > 0 || n.throttled || len(r.plan.Memory.Ladders[n.worker.ID].Throttled) > 0 {
			r.reactOn(n)
		}
	}
}

func (r *round) reactOn(n *node) {
	ladder := r.plan.Memory.Ladders[n.worker.ID]
	ladder.Throttled = r.present(n, ladder.Throttled)
	if growth, worst, end, fresh := r.judge(n, &ladder); fresh {
		ladder.LastReport = end
		o := &r.options.Ladder
		switch {
		case growth > o.Upper:
			ladder.Trouble++
			ladder.Calm = 0
		case growth < o.Lower:
			ladder.Calm++
			ladder.Trouble = 0
		case r.remains(n, &ladder, worst):
			ladder.Trouble++
			ladder.Calm = 0
		default:
			// Between the bounds nothing changes, so that a small swing of
			// latency does not switch throttles on and off.
			ladder.Trouble, ladder.Calm = 0, 0
		}
		if ladder.Trouble >= o.Reports {
			r.climb(n, &ladder, worst, growth)
		} else if ladder.Calm >= o.CalmReports {
			r.release(n, &ladder)
		}
	} else if len(n.services) == 0 {
		r.release(n, &ladder)
	}
	r.plan.Memory.Ladders[n.worker.ID] = ladder
}

// judge returns the largest growth of tail latency on the node and the service
// that has it. A report is fresh when it is newer than the last one judged and
// its window began after the last action: an older one tells of the time
// before.
func (r *round) judge(n *node, ladder *Ladder) (growth float64, worst *Run, end time.Duration, fresh bool) {
	for i := range n.services {
		run := n.services[i].run
		if run == nil || run.LatencyMS <= 0 {
			continue
		}
		baseline, known := r.estimates.Baseline(run.Class, run.Usage)
		if !known || baseline <= 0 {
			continue
		}
		reported := r.snapshot.Now - run.ReportAge
		if reported <= ladder.LastReport || (ladder.LastAction > 0 && reported-r.options.Ladder.Window < ladder.LastAction) {
			continue
		}
		g := run.LatencyMS/baseline - 1
		if !fresh || g > growth {
			growth, worst = g, run
		}
		end = max(end, reported)
		fresh = true
	}
	return growth, worst, end, fresh
}

// present drops the throttled runs that have left the worker and takes in
// those that an earlier leader throttled.
func (r *round) present(n *node, list []ThrottledRun) []ThrottledRun {
	var kept []ThrottledRun
	for i := range n.worker.Runs {
		run := &n.worker.Runs[i]
		t, found := throttled(list, run.Attempt)
		switch {
		case found:
			kept = append(kept, r.repeat(n, run, t))
		case run.share() < 1:
			kept = append(kept, ThrottledRun{Attempt: run.Attempt, Since: r.snapshot.Now, Hold: r.options.Ladder.Hold, Active: true})
		}
	}
	return kept
}

func throttled(list []ThrottledRun, a structs.AttemptID) (ThrottledRun, bool) {
	for _, t := range list {
		if t.Attempt == a {
			return t, true
		}
	}
	return ThrottledRun{}, false
}

// repeat sends a throttle or its release again when the run still does not
// show it after the least hold, so that a lost action does not last.
func (r *round) repeat(n *node, run *Run, t ThrottledRun) ThrottledRun {
	if run.Stopping || t.Active == (run.share() < 1) || r.snapshot.Now-t.Since < r.options.Ladder.Hold {
		return t
	}
	share := 1.0
	if t.Active {
		share = r.options.Ladder.Share
	}
	t.Since = r.snapshot.Now
	r.plan.Throttles = append(r.plan.Throttles, Throttle{Attempt: run.Attempt, Worker: n.worker.ID, Share: share})
	return t
}

// climb takes the next step against the likeliest culprit.
func (r *round) climb(n *node, ladder *Ladder, worst *Run, growth float64) {
	run, throttled := r.culprit(n, ladder, worst)
	if run == nil {
		return
	}
	ladder.LastAction = r.snapshot.Now
	ladder.Trouble = 0
	d := Decision{Reason: ReasonInterference, Subject: worst.Attempt.Task.String(), Harm: growth}
	if throttled {
		r.evict(n, run, d)
		r.plan.Memory.Avoided[run.Attempt.Task] = Avoidance{Worker: n.worker.ID, Until: r.snapshot.Now + r.options.Ladder.Avoid}
		return
	}
	r.throttle(n, run, ladder)
	d.Action, d.Task, d.Worker = ActionThrottle, run.Attempt.Task, n.worker.ID
	r.record(d)
}

// culprit returns the batch run that most likely harms the service: an
// unthrottled one first, else a throttled one.
func (r *round) culprit(n *node, ladder *Ladder, worst *Run) (culprit *Run, throttled bool) {
	service := r.classes.service(r.classes.class(worst.Class), r.estimates.Band(worst.Class, worst.Usage))
	if run := r.remaining(n, ladder, service); run != nil {
		return run, true
	}
	var best, bestThrottled *Run
	most, mostThrottled := r.options.Ladder.Culprit, r.options.Ladder.Culprit
	for i := range n.worker.Runs {
		run := &n.worker.Runs[i]
		if run.Kind != structs.WorkBatch || run.Stopping || r.evicting[run.Attempt] {
			continue
		}
		p := r.classes.pair(service, n.classes[i])
		harm := p.mean + p.deviation
		if ladder.active(run.Attempt) {
			if harm > mostThrottled {
				bestThrottled, mostThrottled = run, harm
			}
			continue
		}
		if harm > most {
			best, most = run, harm
		}
	}
	if best != nil {
		return best, false
	}
	return bestThrottled, bestThrottled != nil
}

// remains reports whether a throttled run still harms the service more than is
// accepted, so that the throttle is no way out of the trouble.
func (r *round) remains(n *node, ladder *Ladder, worst *Run) bool {
	if worst == nil {
		return false
	}
	service := r.classes.service(r.classes.class(worst.Class), r.estimates.Band(worst.Class, worst.Usage))
	return r.remaining(n, ladder, service) != nil
}

// remaining returns the throttled run that is known to harm the service more
// than is accepted although it is throttled.
func (r *round) remaining(n *node, ladder *Ladder, service int) *Run {
	var worst *Run
	most := r.options.HarmLimit
	for i := range n.worker.Runs {
		run := &n.worker.Runs[i]
		if run.Kind != structs.WorkBatch || run.Stopping || r.evicting[run.Attempt] || !ladder.active(run.Attempt) {
			continue
		}
		p := r.classes.pair(service, n.classes[i])
		if harm := p.mean * r.options.Ladder.Share; p.deviation <= r.options.UnknownDeviation && harm > most {
			worst, most = run, harm
		}
	}
	return worst
}

func (l *Ladder) active(a structs.AttemptID) bool {
	t, found := throttled(l.Throttled, a)
	return found && t.Active
}

// throttle limits the run. A run that is throttled again is held twice as
// long.
func (r *round) throttle(n *node, run *Run, ladder *Ladder) {
	o := &r.options.Ladder
	r.plan.Throttles = append(r.plan.Throttles, Throttle{Attempt: run.Attempt, Worker: n.worker.ID, Share: o.Share})
	for i := range ladder.Throttled {
		t := &ladder.Throttled[i]
		if t.Attempt == run.Attempt {
			t.Active, t.Since, t.Hold = true, r.snapshot.Now, min(2*t.Hold, o.MaxHold)
			return
		}
	}
	ladder.Throttled = append(ladder.Throttled, ThrottledRun{Attempt: run.Attempt, Since: r.snapshot.Now, Hold: o.Hold, Active: true})
}

// release lifts one throttle whose hold is over, the longest held first.
func (r *round) release(n *node, ladder *Ladder) {
	var oldest *ThrottledRun
	for i := range ladder.Throttled {
		t := &ladder.Throttled[i]
		if !t.Active || r.snapshot.Now-t.Since < t.Hold {
			continue
		}
		if oldest == nil || t.Since < oldest.Since {
			oldest = t
		}
	}
	if oldest == nil {
		return
	}
	oldest.Active, oldest.Since = false, r.snapshot.Now
	ladder.LastAction = r.snapshot.Now
	ladder.Calm = 0
	r.plan.Throttles = append(r.plan.Throttles, Throttle{Attempt: oldest.Attempt, Worker: n.worker.ID, Share: 1})
	r.record(Decision{Action: ActionRelease, Task: oldest.Attempt.Task, Worker: n.worker.ID, Reason: ReasonRecovered})
}
