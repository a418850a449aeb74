package placement

import (
	"time"

	"github.com/daisywall/daisywall/structs"
)

// mitigateInterference reduces the harm to services whose tail latency has
// grown. On each worker it throttles the batch run that most likely causes the
// growth, evicts it if throttling does not help, and lifts throttles after the
// latency has recovered.
func (r *cycle) mitigateInterference() {
	for i := range r.nodes {
		n := &r.nodes[i]
		if len(n.services) > 0 || n.throttled || len(r.plan.State.Mitigations[n.worker.ID].Throttled) > 0 {
			r.mitigateOnNode(n)
		}
	}
}

// mitigateOnNode updates the state of one worker from a new latency report and
// takes at most one action on the worker.
func (r *cycle) mitigateOnNode(n *node) {
	state := r.plan.State.Mitigations[n.worker.ID]
	state.Throttled = r.trackThrottled(n, state.Throttled)
	if growth, worst, end, fresh := r.worstGrowth(n, &state); fresh {
		state.LastReport = end
		o := &r.options.Mitigation
		switch {
		case growth > o.HighGrowth:
			state.HighReports++
			state.LowReports = 0
		case growth < o.LowGrowth:
			state.LowReports++
			state.HighReports = 0
		case r.throttleInsufficient(n, &state, worst):
			state.HighReports++
			state.LowReports = 0
		default:
			// Hysteresis: between the bounds nothing changes, so that small
			// changes of latency do not toggle throttles.
			state.HighReports, state.LowReports = 0, 0
		}
		if state.HighReports >= o.HighReports {
			r.escalate(n, &state, worst, growth)
		} else if state.LowReports >= o.LowReports {
			r.liftOldestThrottle(n, &state)
		}
	} else if len(n.services) == 0 {
		r.liftOldestThrottle(n, &state)
	}
	r.plan.State.Mitigations[n.worker.ID] = state
}

// worstGrowth returns the largest growth of tail latency on the node, the
// service that has it and the end of the newest report. fresh is false if there
// is no usable report. A report is usable when it is newer than the last one
// evaluated and its window began after the last action, so that it measures the
// effect of that action.
func (r *cycle) worstGrowth(n *node, state *MitigationState) (growth float64, worst *Run, end time.Duration, fresh bool) {
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
		if reported <= state.LastReport || (state.LastAction > 0 && reported-r.options.Mitigation.Window < state.LastAction) {
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

// trackThrottled returns the list without the runs that have left the worker,
// and adds throttled runs that are missing in it because an earlier leader
// throttled them.
func (r *cycle) trackThrottled(n *node, list []ThrottledRun) []ThrottledRun {
	var kept []ThrottledRun
	for i := range n.worker.Runs {
		run := &n.worker.Runs[i]
		t, found := findThrottled(list, run.Attempt)
		switch {
		case found:
			kept = append(kept, r.resendThrottle(n, run, t))
		case run.processorShare() < 1:
			kept = append(kept, ThrottledRun{Attempt: run.Attempt, Since: r.snapshot.Now, MinDuration: r.options.Mitigation.MinThrottleDuration, Active: true})
		}
	}
	return kept
}

func findThrottled(list []ThrottledRun, a structs.AttemptID) (ThrottledRun, bool) {
	for _, t := range list {
		if t.Attempt == a {
			return t, true
		}
	}
	return ThrottledRun{}, false
}

// resendThrottle sends a throttle or its release again if the run's processor
// share does not match it after MinThrottleDuration, since the earlier action
// may have been lost.
func (r *cycle) resendThrottle(n *node, run *Run, t ThrottledRun) ThrottledRun {
	if run.Stopping || t.Active == (run.processorShare() < 1) || r.snapshot.Now-t.Since < r.options.Mitigation.MinThrottleDuration {
		return t
	}
	share := 1.0
	if t.Active {
		share = r.options.Mitigation.Share
	}
	t.Since = r.snapshot.Now
	r.plan.Throttles = append(r.plan.Throttles, Throttle{Attempt: run.Attempt, Worker: n.worker.ID, Share: share})
	return t
}

// escalate throttles the likeliest suspect, or evicts it if it is throttled
// already.
func (r *cycle) escalate(n *node, state *MitigationState, worst *Run, growth float64) {
	run, throttled := r.likeliestSuspect(n, state, worst)
	if run == nil {
		return
	}
	state.LastAction = r.snapshot.Now
	state.HighReports = 0
	d := Decision{Reason: ReasonInterference, Subject: worst.Attempt.Task.String(), Harm: growth}
	if throttled {
		r.evict(n, run, d)
		r.plan.State.Avoided[run.Attempt.Task] = Avoidance{Worker: n.worker.ID, Until: r.snapshot.Now + r.options.Mitigation.AvoidDuration}
		return
	}
	r.throttle(n, run, state)
	d.Action, d.Task, d.Worker = ActionThrottle, run.Attempt.Task, n.worker.ID
	r.recordDecision(d)
}

// likeliestSuspect returns the batch run that most likely harms the service. It
// is nil if there is none. A throttled run that is certain to do too much harm
// comes first, then unthrottled runs, then other throttled ones.
func (r *cycle) likeliestSuspect(n *node, state *MitigationState, worst *Run) (suspect *Run, throttled bool) {
	service := r.classes.service(r.classes.class(worst.Class), r.estimates.Band(worst.Class, worst.Usage))
	if run := r.harmfulThrottledRun(n, state, service); run != nil {
		return run, true
	}
	var best, bestThrottled *Run
	most, mostThrottled := r.options.Mitigation.MinSuspectHarm, r.options.Mitigation.MinSuspectHarm
	for i := range n.worker.Runs {
		run := &n.worker.Runs[i]
		if run.Kind != structs.WorkBatch || run.Stopping || r.evicting[run.Attempt] {
			continue
		}
		estimate := r.classes.harm(service, n.classes[i])
		harm := estimate.mean + estimate.deviation
		if state.isThrottled(run.Attempt) {
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

// throttleInsufficient reports whether a throttled run still harms the service
// beyond the limit, so that only the eviction of the run helps.
func (r *cycle) throttleInsufficient(n *node, state *MitigationState, worst *Run) bool {
	if worst == nil {
		return false
	}
	service := r.classes.service(r.classes.class(worst.Class), r.estimates.Band(worst.Class, worst.Usage))
	return r.harmfulThrottledRun(n, state, service) != nil
}

// harmfulThrottledRun returns the throttled run with the most predicted harm to
// the service, if that exceeds the limit in spite of the throttle and the
// estimate is certain enough, else nil.
func (r *cycle) harmfulThrottledRun(n *node, state *MitigationState, service int) *Run {
	var worst *Run
	most := r.options.HarmLimit
	for i := range n.worker.Runs {
		run := &n.worker.Runs[i]
		if run.Kind != structs.WorkBatch || run.Stopping || r.evicting[run.Attempt] || !state.isThrottled(run.Attempt) {
			continue
		}
		estimate := r.classes.harm(service, n.classes[i])
		if harm := estimate.mean * r.options.Mitigation.Share; estimate.deviation <= r.options.UnknownDeviation && harm > most {
			worst, most = run, harm
		}
	}
	return worst
}

func (l *MitigationState) isThrottled(a structs.AttemptID) bool {
	t, found := findThrottled(l.Throttled, a)
	return found && t.Active
}

// throttle limits the processor share of the run. A run that was throttled
// before stays throttled for twice as long.
func (r *cycle) throttle(n *node, run *Run, state *MitigationState) {
	o := &r.options.Mitigation
	r.plan.Throttles = append(r.plan.Throttles, Throttle{Attempt: run.Attempt, Worker: n.worker.ID, Share: o.Share})
	for i := range state.Throttled {
		t := &state.Throttled[i]
		if t.Attempt == run.Attempt {
			t.Active, t.Since, t.MinDuration = true, r.snapshot.Now, min(2*t.MinDuration, o.MinThrottleDurationLimit)
			return
		}
	}
	state.Throttled = append(state.Throttled, ThrottledRun{Attempt: run.Attempt, Since: r.snapshot.Now, MinDuration: o.MinThrottleDuration, Active: true})
}

// liftOldestThrottle lifts the oldest throttle whose minimum duration has
// passed, one per call.
func (r *cycle) liftOldestThrottle(n *node, state *MitigationState) {
	var oldest *ThrottledRun
	for i := range state.Throttled {
		t := &state.Throttled[i]
		if !t.Active || r.snapshot.Now-t.Since < t.MinDuration {
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
	state.LastAction = r.snapshot.Now
	state.LowReports = 0
	r.plan.Throttles = append(r.plan.Throttles, Throttle{Attempt: oldest.Attempt, Worker: n.worker.ID, Share: 1})
	r.recordDecision(Decision{Action: ActionRelease, Task: oldest.Attempt.Task, Worker: n.worker.ID, Reason: ReasonRecovered})
}
