package steps

import "cmp"

// wideFactor is the multiple of the mean remaining work from which a short job
// counts as wide. A lower one delays more of the narrow jobs, a higher one leaves
// out the widest tenth of the jobs.
const wideFactor = 2

// markOverload marks the short demands of the priorities that have late ones, and
// of each such priority one wide demand that goes first. Short demands are those that neither run
// long nor fill.
//
// It answers the load of bursts of urgent jobs that need more room than there is.
// Least slack first serves each job at the last moment: once there is more work
// than room, nearly all jobs miss their objective by a little.
func markOverload(demands []Demand) {
	overloaded := map[int]bool{}
	for i := range demands {
		if d := &demands[i]; d.isShort() && d.Slack < 0 {
			overloaded[d.effectivePriority()] = true
		}
	}
	inTime := map[int][]*Demand{}
	for i := range demands {
		d := &demands[i]
		priority := d.effectivePriority()
		d.isOverloaded = d.isShort() && overloaded[priority]
		if d.isOverloaded && d.Slack >= 0 {
			inTime[priority] = append(inTime[priority], d)
		}
	}
	for _, list := range inTime {
		promoteWide(list)
	}
}

// promoteWide lets the wide demand with the least slack go first. By the work that
// is left alone, wide jobs would hardly be served under heavy overload; more than
// one at a time would make the narrow ones late.
func promoteWide(inTime []*Demand) {
	total := 0.0
	for _, d := range inTime {
		total += d.RemainingWork
	}
	wideWork := wideFactor * total / float64(len(inTime))
	var first *Demand
	for _, d := range inTime {
		if d.RemainingWork > wideWork && (first == nil || d.Slack < first.Slack) {
			first = d
		}
	}
	if first != nil {
		first.goesFirst = true
	}
}

func (d *Demand) isShort() bool { return !d.Spec.LongRunning && !d.Spec.Fills }

// compareShort orders the short demands of one priority. While no job is late, the
// one with the least slack goes first. Under overload it is the one with the least
// work left, so that as many jobs as possible are in time.
func compareShort(a, b *Demand) int {
	order := cmp.Or(
		compareFirst(a.goesFirst, b.goesFirst),
		cmp.Compare(a.rank(), b.rank()),
		compareFirst(!a.isWorthless(), !b.isWorthless()),
	)
	if order == 0 && a.isOverloaded && b.isOverloaded {
		order = cmp.Compare(a.RemainingWork, b.RemainingWork)
	}
	return cmp.Or(order, cmp.Compare(a.Slack, b.Slack))
}

// isWorthless reports whether the job is so late that its end is worth nothing to
// its caller. Late jobs that are still worth something go before it.
func (d *Demand) isWorthless() bool { return d.objectivesLate() > hopelessFactor-1 }
