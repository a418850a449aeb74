package cell

import (
	"context"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// quotaPrefix is the prefix of the teams' quota rows. The row of a team holds
// the shares of its quota that the cells have. The sum of the shares never
// exceeds the quota, unless the quota itself is reduced.
const quotaPrefix = "quota/"

func quotaKey(team structs.TeamID) string { return quotaPrefix + string(team) }

// Times and factors of the division of quotas.
const (
	// surplusHoldTime is how long a cell keeps a share that it does not need,
	// so that shares do not move with every burst of work.
	surplusHoldTime = 5 * time.Second
	// quotaWritePeriod is the shortest time between two transactions of quota
	// rows, so that other changes can be committed in between. The period
	// doubles with each conflict.
	quotaWritePeriod    = time.Second
	maxQuotaWritePeriod = 16 * time.Second
	// ticketTimeout is how long free quota is reserved for the cell with the
	// lowest ticket. A cell that has failed, or whose task is too large for
	// the free quota, must not block the others for longer.
	ticketTimeout = 30 * time.Second
	// maxQuotaRows bounds the quota rows of one transaction. Each additional
	// row makes a conflict with another cell more likely.
	maxQuotaRows = 4
	// quotaCheckPeriod is the time between two comparisons of the shares with
	// the demand.
	quotaCheckPeriod = 100 * time.Millisecond
	// reserveDivisor sets the reserve that a cell takes in addition to its
	// demand, as a fraction of the demand.
	reserveDivisor = 4 // the reserve is a quarter of the demand
)

// Quotas returns the quota of every team.
type Quotas func() map[structs.TeamID]structs.Resources

// quotaRow is the value of a team's quota row.
type quotaRow struct {
	Shares map[structs.CellID]structs.Resources `json:"shares"`
	// Tickets holds the tickets of the cells whose demand is larger than their
	// share. Free quota goes to the lowest ticket first.
	Tickets map[structs.CellID]int64 `json:"wants,omitempty"`
}

// teamQuota is a team's quota row as the leader last read it.
type teamQuota struct {
	revision     int64
	row          quotaRow
	surplusSince time.Time // since when the share is larger than the demand, zero if it is not
	changedAt    time.Time // when this leader first read the revision or wrote it, by its own clock
}

// quotas holds what a leader needs to divide the teams' quotas.
type quotas struct {
	polled       bool  // the quota rows were read since the last conflict
	readRevision int64 // table revision up to which the rows were read
	teams        map[structs.TeamID]*teamQuota
	firstTeam    int       // index of the team that the next check begins with
	nextCheck    time.Time // earliest time of the next check of the shares
	writePeriod  time.Duration
}

// quotaWrite is the change of a quota row in a leader's transaction.
type quotaWrite struct {
	team structs.TeamID
	row  quotaRow
}

// pollQuotas reads the quota rows that have changed.
func (l *leader) pollQuotas(ctx context.Context) error {
	if l.options.Quotas == nil {
		return nil
	}
	l.mu.Lock()
	since := l.quotas.readRevision
	l.mu.Unlock()
	rows, revision, err := l.client.changes(ctx, quotaPrefix, since)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, row := range rows {
		current := l.teamQuotaOf(structs.TeamID(strings.TrimPrefix(row.Key, quotaPrefix)))
		if row.Revision <= current.revision {
			continue // written by this leader, or an older reading
		}
		var read quotaRow
		if err := decode(row.Key, row.Value, &read); err != nil {
			return err
		}
		current.revision, current.row, current.changedAt = row.Revision, read, time.Now()
	}
	l.quotas.readRevision = max(l.quotas.readRevision, revision)
	l.quotas.polled = true
	return nil
}

func (l *leader) teamQuotaOf(team structs.TeamID) *teamQuota {
	quota, found := l.quotas.teams[team]
	if !found {
		quota = &teamQuota{}
		l.quotas.teams[team] = quota
	}
	return quota
}

// demand holds the size of a team's assigned tasks in this cell, and the total
// size of its assigned and pending tasks.
type demand struct {
	assigned, total structs.Resources
	// smallestTask is the size of the smallest pending task, zero without one.
	// Shares grow in multiples of it, because a part of a task cannot start.
	smallestTask structs.Resources
}

// demandByTeam sums up the sizes of the open tasks by team. starting holds the
// starts of a transaction that is not yet committed, which count as assigned.
func (l *leader) demandByTeam(starting []Start) map[structs.TeamID]*demand {
	byTeam := map[structs.TeamID]*demand{}
	demandOf := func(t *Task) *demand {
		team := t.job.Job.Team
		if byTeam[team] == nil {
			byTeam[team] = &demand{}
		}
		return byTeam[team]
	}
	for _, t := range l.state.assigned {
		d := demandOf(t)
		d.assigned = d.assigned.Add(t.job.Job.Resources)
		d.total = d.total.Add(t.job.Job.Resources)
	}
	for _, s := range starting {
		if t := l.state.pending[s.attempt().Task]; t != nil {
			d := demandOf(t)
			d.assigned = d.assigned.Add(t.job.Job.Resources)
		}
	}
	if l.isEvacuating() {
		return byTeam
	}
	for _, t := range l.state.pending {
		if !t.job.CancelRequested {
			d := demandOf(t)
			d.total = d.total.Add(t.job.Job.Resources)
			d.recordPendingSize(t.job.Job.Resources)
		}
	}
	return byTeam
}

func (d *demand) recordPendingSize(size structs.Resources) {
	if d.smallestTask == (structs.Resources{}) {
		d.smallestTask = size
		return
	}
	d.smallestTask = minResources(d.smallestTask, size)
}

// addQuotaShares adjusts this cell's shares to the demand. The changes get a
// transaction of their own, because many cells write the row of a team and a
// conflict must not discard other changes. The comparison of the leadership
// row prevents a replaced leader from giving up shares that its successor
// uses.
func (l *leader) addQuotaShares(txn *leaderTxn, now time.Time) {
	if l.options.Quotas == nil || !l.quotas.polled || !l.recovered {
		return
	}
	byTeam := l.demandByTeam(nil)
	limits := l.options.Quotas()
	teams := quotaTeams(limits, l.quotas.teams)
	// A transaction holds few rows, so each check begins with another team.
	l.quotas.firstTeam++
	for i := range teams {
		team := teams[(i+l.quotas.firstTeam)%len(teams)]
		if len(txn.quotas) == maxQuotaRows {
			break
		}
		d := byTeam[team]
		if d == nil {
			d = &demand{}
		}
		if next, changed := l.nextShare(l.teamQuotaOf(team), limits[team], d, now); changed {
			l.addQuotaRow(txn, team, next)
		}
	}
	l.quotas.nextCheck = now.Add(quotaCheckPeriod)
	if len(txn.quotas) > 0 {
		l.quotas.nextCheck = now.Add(max(l.quotas.writePeriod, quotaWritePeriod))
	}
}

// discardQuotaReads discards the quota rows that were read, after another cell
// has changed one of them first. It also delays the next write.
func (l *leader) discardQuotaReads(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.quotas.polled = false
	l.quotas.writePeriod = min(max(2*l.quotas.writePeriod, quotaWritePeriod), maxQuotaWritePeriod)
	l.quotas.nextCheck = now.Add(rand.N(l.quotas.writePeriod))
	l.requestPoll()
}

// quotaTeams returns the teams with a quota or a quota row, sorted by ID.
func quotaTeams(limits map[structs.TeamID]structs.Resources, rows map[structs.TeamID]*teamQuota) []structs.TeamID {
	teams := make([]structs.TeamID, 0, len(limits))
	for team := range limits {
		teams = append(teams, team)
	}
	for team := range rows {
		if _, found := limits[team]; !found {
			teams = append(teams, team)
		}
	}
	slices.Sort(teams)
	return teams
}

// nextShare computes this cell's share of a quota and reports whether the row
// has to change.
func (l *leader) nextShare(current *teamQuota, quota structs.Resources, d *demand, now time.Time) (quotaRow, bool) {
	share := current.row.Shares[l.cell]
	othersWait := current.row.hasOtherWaiters(l.cell)
	newShare := share
	switch {
	case !d.total.Fits(share):
		inOrder := now.Sub(current.changedAt) < ticketTimeout
		newShare = current.row.grownShare(l.cell, quota, d, inOrder)
		current.surplusSince = time.Time{}
	case d.total == share:
		current.surplusSince = time.Time{}
	case othersWait || l.isEvacuating() || (!current.surplusSince.IsZero() && now.Sub(current.surplusSince) >= surplusHoldTime):
		newShare = d.total
	case current.surplusSince.IsZero():
		current.surplusSince = now
	}
	if othersWait {
		// Other cells wait for a share. Keep the assigned tasks, and otherwise
		// no more than an equal part.
		retained := maxResources(d.assigned, largestMultiple(current.row.equalPart(quota, l.cell), d.smallestTask))
		if newShare == share {
			newShare = minResources(share, retained)
		}
	}
	// A task that is larger than the whole quota needs no ticket, because it
	// cannot start until the quota grows.
	needsMore := !d.total.Fits(newShare) && d.smallestTask.Fits(quota)
	_, waiting := current.row.Tickets[l.cell]
	if newShare == share && needsMore == waiting {
		return quotaRow{}, false
	}
	return current.row.withShare(l.cell, newShare, needsMore), true
}

// grownShare returns the share of a cell that needs more. It adds the free
// quota in multiples of the smallest pending task. If inOrder is set, the share
// does not grow while another cell has a ticket and this cell has none or a
// higher one.
func (r quotaRow) grownShare(own structs.CellID, quota structs.Resources, d *demand, inOrder bool) structs.Resources {
	share := r.Shares[own]
	ticket, waiting := r.Tickets[own]
	for other, otherTicket := range r.Tickets {
		if inOrder && other != own && (!waiting || otherTicket < ticket) {
			return share
		}
	}
	free := quota
	for _, held := range r.Shares {
		free = free.Sub(held)
	}
	room := share.Add(maxResources(free, structs.Resources{}))
	reserve := reserveOf(d.total)
	if len(r.Tickets) > 0 {
		reserve = structs.Resources{}
	}
	steps := largestMultiple(room.Sub(d.assigned), d.smallestTask)
	return maxResources(share, minResources(d.total.Add(reserve), d.assigned.Add(steps)))
}

// largestMultiple returns the largest multiple of step that fits into r, or
// zero.
func largestMultiple(r, step structs.Resources) structs.Resources {
	multiple := int64(-1)
	for _, d := range [][2]int64{{r.MilliCPU, step.MilliCPU}, {r.MemoryMB, step.MemoryMB}, {r.Accelerators, step.Accelerators}} {
		if d[1] > 0 && (multiple < 0 || d[0]/d[1] < multiple) {
			multiple = max(0, d[0]/d[1])
		}
	}
	return step.Scale(max(0, multiple))
}

// hasOtherWaiters reports whether another cell waits for a share.
func (r quotaRow) hasOtherWaiters(own structs.CellID) bool {
	for other := range r.Tickets {
		if other != own {
			return true
		}
	}
	return false
}

// equalPart divides the quota equally among this cell and the cells that hold
// or request a share, and returns one part.
func (r quotaRow) equalPart(quota structs.Resources, own structs.CellID) structs.Resources {
	cells := map[structs.CellID]bool{own: true}
	for c := range r.Shares {
		cells[c] = true
	}
	for c := range r.Tickets {
		cells[c] = true
	}
	n := int64(len(cells))
	return structs.Resources{MilliCPU: quota.MilliCPU / n, MemoryMB: quota.MemoryMB / n, Accelerators: quota.Accelerators / n}
}

// withShare returns a copy of the row with the share of one cell. A cell that
// needs more keeps its ticket until its share grows, and then takes a new
// ticket.
func (r quotaRow) withShare(c structs.CellID, share structs.Resources, needsMore bool) quotaRow {
	next := quotaRow{Shares: map[structs.CellID]structs.Resources{}, Tickets: map[structs.CellID]int64{}}
	for other, held := range r.Shares {
		next.Shares[other] = held
	}
	last := int64(0)
	for other, ticket := range r.Tickets {
		next.Tickets[other] = ticket
		last = max(last, ticket)
	}
	grew := !share.Fits(r.Shares[c])
	delete(next.Shares, c)
	if share != (structs.Resources{}) {
		next.Shares[c] = share
	}
	_, waiting := r.Tickets[c]
	switch {
	case !needsMore:
		delete(next.Tickets, c)
	case !waiting || grew:
		next.Tickets[c] = last + 1
	}
	return next
}

func (l *leader) addQuotaRow(txn *leaderTxn, team structs.TeamID, row quotaRow) {
	key := quotaKey(team)
	txn.comparisons = append(txn.comparisons, substrate.Compare{Key: key, Revision: l.teamQuotaOf(team).revision})
	txn.puts = append(txn.puts, substrate.Put{Key: key, Value: encode(row)})
	txn.quotas = append(txn.quotas, quotaWrite{team: team, row: row})
}

// applyQuotaWrites records the quota rows of a committed transaction.
func (l *leader) applyQuotaWrites(txn *leaderTxn, revision int64) {
	if len(txn.quotas) > 0 {
		l.quotas.writePeriod = quotaWritePeriod
	}
	for _, q := range txn.quotas {
		current := l.teamQuotaOf(q.team)
		current.row, current.revision, current.surplusSince, current.changedAt = q.row, revision, time.Time{}, time.Now()
	}
}

// teamShares returns the part of each team's quota that this cell may commit.
// It is nil without quotas.
func (l *leader) teamShares() map[structs.TeamID]structs.Resources {
	if l.options.Quotas == nil {
		return nil
	}
	shares := make(map[structs.TeamID]structs.Resources, len(l.quotas.teams))
	for team, current := range l.quotas.teams {
		shares[team] = current.row.Shares[l.cell]
	}
	return shares
}

// shareBudget tracks what remains of the teams' shares after the starts of one
// plan.
type shareBudget struct {
	limited   bool
	remaining map[structs.TeamID]structs.Resources
}

// remainingShares returns the teams' shares less the size of their assigned
// tasks.
func (l *leader) remainingShares() *shareBudget {
	r := &shareBudget{limited: l.options.Quotas != nil, remaining: l.teamShares()}
	if !r.limited {
		return r
	}
	for team, d := range l.demandByTeam(nil) {
		r.remaining[team] = r.remaining[team].Sub(d.assigned)
	}
	return r
}

// fits reports whether the team has room for one task of the job.
func (r *shareBudget) fits(job *structs.Job) bool {
	return !r.limited || job.Resources.Fits(r.remaining[job.Team])
}

// reserve reserves the size of one task of the job and reports whether there
// was room.
func (r *shareBudget) reserve(job *structs.Job) bool {
	if !r.limited {
		return true
	}
	if !job.Resources.Fits(r.remaining[job.Team]) {
		return false
	}
	r.remaining[job.Team] = r.remaining[job.Team].Sub(job.Resources)
	return true
}

func maxResources(a, b structs.Resources) structs.Resources {
	return structs.Resources{
		MilliCPU: max(a.MilliCPU, b.MilliCPU), MemoryMB: max(a.MemoryMB, b.MemoryMB), Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

func minResources(a, b structs.Resources) structs.Resources {
	return structs.Resources{
		MilliCPU: min(a.MilliCPU, b.MilliCPU), MemoryMB: min(a.MemoryMB, b.MemoryMB), Accelerators: min(a.Accelerators, b.Accelerators),
	}
}

func reserveOf(r structs.Resources) structs.Resources {
	return structs.Resources{MilliCPU: r.MilliCPU / reserveDivisor, MemoryMB: r.MemoryMB / reserveDivisor, Accelerators: r.Accelerators / reserveDivisor}
}
