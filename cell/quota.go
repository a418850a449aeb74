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

// quotaPrefix holds one row for each team with the shares of its quota that
// cells hold. The sum of the shares never passes the quota, unless the quota
// itself is reduced.
const quotaPrefix = "quota/"

func quotaKey(team structs.TeamID) string { return quotaPrefix + string(team) }

// Times and factors of the division of quotas.
const (
	// quotaHold is how long a cell keeps a share that it does not need, so that
	// work that comes in waves does not move shares with every wave.
	quotaHold = 5 * time.Second
	// quotaPeriod is the shortest time between two transactions of quota rows
	// while there is other work. It grows with conflicts.
	quotaPeriod    = time.Second
	maxQuotaPeriod = 16 * time.Second
	// ticketHold is how long free quota waits for the cell with the lowest
	// ticket. A cell that has died, or whose task is too large for what is free,
	// must not hold up the others for longer.
	ticketHold = 30 * time.Second
	// maxQuotaRows bounds the quota rows of one transaction. Each of them may be
	// the one that another cell has written first.
	maxQuotaRows = 4
	// quotaLook is the time between two comparisons of shares with the need.
	quotaLook = 100 * time.Millisecond
	// quotaReserve is the part of the need that a cell takes in addition.
	quotaReserve = 4 // a quarter
)

// Quotas returns the quota of every team.
type Quotas func() map[structs.TeamID]structs.Resources

// quotaRow is the value of a team's quota row.
type quotaRow struct {
	Shares map[structs.CellID]structs.Resources `json:"shares"`
	// Wants holds the tickets of the cells whose need is larger than what they
	// could get. Free quota goes to the lowest ticket first.
	Wants map[structs.CellID]int64 `json:"wants,omitempty"`
}

// quotaView is what a leader knows of a team's quota row.
type quotaView struct {
	revision int64
	row      quotaRow
	surplus  time.Time // since when the share is larger than the need, zero if not
	changed  time.Time // when this revision was first seen, by this leader's clock
}

// quotas is a leader's part in the division of the teams' quotas.
type quotas struct {
	polled bool
	since  int64 // table revision that was read up to
	teams  map[structs.TeamID]*quotaView
	first  int       // team that the next round begins with
	next   time.Time // when the next write is due beside other work
	period time.Duration
}

// quotaWrite is a change of a row inside a leader's transaction.
type quotaWrite struct {
	team structs.TeamID
	row  quotaRow
}

// pollQuotas reads the quota rows that have changed.
func (l *leader) pollQuotas(ctx context.Context) error {
	if l.o.Quotas == nil {
		return nil
	}
	l.mu.Lock()
	since := l.quotas.since
	l.mu.Unlock()
	rows, revision, err := l.settler.changes(ctx, quotaPrefix, since)
	if err != nil {
		return err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	for _, row := range rows {
		view := l.quotaOf(structs.TeamID(strings.TrimPrefix(row.Key, quotaPrefix)))
		if row.Revision <= view.revision {
			continue // this leader's own write, or an older reading
		}
		var read quotaRow
		if err := decode(row.Key, row.Value, &read); err != nil {
			return err
		}
		view.revision, view.row, view.changed = row.Revision, read, time.Now()
	}
	l.quotas.since = max(l.quotas.since, revision)
	l.quotas.polled = true
	return nil
}

func (l *leader) quotaOf(team structs.TeamID) *quotaView {
	view, found := l.quotas.teams[team]
	if !found {
		view = &quotaView{}
		l.quotas.teams[team] = view
	}
	return view
}

// need is what a team holds in this cell, and what it would hold if every
// pending task ran.
type need struct {
	used, wanted structs.Resources
	// step is the size of the smallest pending task, zero without one. A share
	// that is no multiple of it is of no use.
	step structs.Resources
}

// needs sums up the open tasks by team. The starts of a transaction that is
// not committed yet count as running.
func (l *leader) needs(starting []Start) map[structs.TeamID]*need {
	byTeam := map[structs.TeamID]*need{}
	of := func(t *Task) *need {
		team := t.job.Job.Team
		if byTeam[team] == nil {
			byTeam[team] = &need{}
		}
		return byTeam[team]
	}
	for _, t := range l.state.assigned {
		n := of(t)
		n.used = n.used.Add(t.job.Job.Resources)
		n.wanted = n.wanted.Add(t.job.Job.Resources)
	}
	for _, s := range starting {
		if t := l.state.pending[s.attempt().Task]; t != nil {
			n := of(t)
			n.used = n.used.Add(t.job.Job.Resources)
		}
	}
	if l.evacuating() {
		return byTeam
	}
	for _, t := range l.state.pending {
		if !t.job.CancelRequested {
			n := of(t)
			n.wanted = n.wanted.Add(t.job.Job.Resources)
			n.smallest(t.job.Job.Resources)
		}
	}
	return byTeam
}

func (n *need) smallest(size structs.Resources) {
	if n.step == (structs.Resources{}) {
		n.step = size
		return
	}
	n.step = atMost(n.step, size)
}

// composeQuotas moves shares of quotas towards the need, in a transaction of
// their own: many cells write a team's row, and a conflict must not discard
// other work. The comparison of the leadership row keeps a leader that was
// replaced from giving away what its successor uses.
func (l *leader) composeQuotas(w *work, now time.Time) {
	if l.o.Quotas == nil || !l.quotas.polled || !l.ready {
		return
	}
	byTeam := l.needs(nil)
	limits := l.o.Quotas()
	teams := quotaTeams(limits, l.quotas.teams)
	// Each round begins with another team, since a transaction holds few rows.
	l.quotas.first++
	for i := range teams {
		team := teams[(i+l.quotas.first)%len(teams)]
		if len(w.quotas) == maxQuotaRows {
			break
		}
		n := byTeam[team]
		if n == nil {
			n = &need{}
		}
		if next, changed := l.nextShare(l.quotaOf(team), limits[team], n, now); changed {
			l.writeQuota(w, team, next)
		}
	}
	l.quotas.next = now.Add(quotaLook)
	if len(w.quotas) > 0 {
		l.quotas.next = now.Add(max(l.quotas.period, quotaPeriod))
	}
}

// forgetQuotas drops what was read of the quota rows, after another cell has
// written one of them first, and lets the next write wait longer.
func (l *leader) forgetQuotas(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.quotas.polled = false
	l.quotas.period = min(max(2*l.quotas.period, quotaPeriod), maxQuotaPeriod)
	l.quotas.next = now.Add(rand.N(l.quotas.period))
	l.readAgain()
}

// quotaTeams returns the teams with a quota or a row, in order.
func quotaTeams(limits map[structs.TeamID]structs.Resources, rows map[structs.TeamID]*quotaView) []structs.TeamID {
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

// nextShare decides this cell's share of a quota and reports whether the row
// has to change.
func (l *leader) nextShare(view *quotaView, quota structs.Resources, n *need, now time.Time) (quotaRow, bool) {
	share := view.row.Shares[l.cell]
	contested := view.row.contested(l.cell)
	target := share
	switch {
	case !n.wanted.Fits(share):
		inOrder := now.Sub(view.changed) < ticketHold
		target = view.row.grown(l.cell, quota, n, inOrder)
		view.surplus = time.Time{}
	case n.wanted == share:
		view.surplus = time.Time{}
	case contested || l.evacuating() || (!view.surplus.IsZero() && now.Sub(view.surplus) >= quotaHold):
		target = n.wanted
	case view.surplus.IsZero():
		view.surplus = now
	}
	if contested {
		// Others wait: keep what runs, and no more than an equal part.
		kept := atLeast(n.used, multiple(view.row.part(quota, l.cell), n.step))
		if target == share {
			target = atMost(share, kept)
		}
	}
	// A task that is larger than the whole quota waits for another quota.
	short := !n.wanted.Fits(target) && n.step.Fits(quota)
	_, waiting := view.row.Wants[l.cell]
	if target == share && short == waiting {
		return quotaRow{}, false
	}
	return view.row.with(l.cell, target, short), true
}

// grown is the share of a cell that needs more: what is free, in steps of the
// smallest pending task. With inOrder, cells with a lower ticket come first.
func (r quotaRow) grown(own structs.CellID, quota structs.Resources, n *need, inOrder bool) structs.Resources {
	share := r.Shares[own]
	ticket, waiting := r.Wants[own]
	for other, t := range r.Wants {
		if inOrder && other != own && (!waiting || t < ticket) {
			return share
		}
	}
	free := quota
	for _, held := range r.Shares {
		free = free.Sub(held)
	}
	room := share.Add(atLeast(free, structs.Resources{}))
	reserve := quarter(n.wanted)
	if len(r.Wants) > 0 {
		reserve = structs.Resources{}
	}
	steps := multiple(room.Sub(n.used), n.step)
	return atLeast(share, atMost(n.wanted.Add(reserve), n.used.Add(steps)))
}

// multiple is the largest multiple of step that fits into r, zero if none does.
func multiple(r, step structs.Resources) structs.Resources {
	times := int64(-1)
	for _, d := range [][2]int64{{r.MilliCPU, step.MilliCPU}, {r.MemoryMB, step.MemoryMB}, {r.Accelerators, step.Accelerators}} {
		if d[1] > 0 && (times < 0 || d[0]/d[1] < times) {
			times = max(0, d[0]/d[1])
		}
	}
	return step.Scale(max(0, times))
}

// contested reports whether another cell waits for a share.
func (r quotaRow) contested(own structs.CellID) bool {
	for other := range r.Wants {
		if other != own {
			return true
		}
	}
	return false
}

// part is an equal part of the quota for every cell that holds or wants some.
func (r quotaRow) part(quota structs.Resources, own structs.CellID) structs.Resources {
	cells := map[structs.CellID]bool{own: true}
	for c := range r.Shares {
		cells[c] = true
	}
	for c := range r.Wants {
		cells[c] = true
	}
	n := int64(len(cells))
	return structs.Resources{MilliCPU: quota.MilliCPU / n, MemoryMB: quota.MemoryMB / n, Accelerators: quota.Accelerators / n}
}

// with returns a copy of the row with the share of one cell. A cell that wants
// more keeps its ticket until it has got some, and then takes a new one.
func (r quotaRow) with(c structs.CellID, share structs.Resources, wants bool) quotaRow {
	next := quotaRow{Shares: map[structs.CellID]structs.Resources{}, Wants: map[structs.CellID]int64{}}
	for other, held := range r.Shares {
		next.Shares[other] = held
	}
	last := int64(0)
	for other, ticket := range r.Wants {
		next.Wants[other] = ticket
		last = max(last, ticket)
	}
	grew := !share.Fits(r.Shares[c])
	delete(next.Shares, c)
	if share != (structs.Resources{}) {
		next.Shares[c] = share
	}
	_, waiting := r.Wants[c]
	switch {
	case !wants:
		delete(next.Wants, c)
	case !waiting || grew:
		next.Wants[c] = last + 1
	}
	return next
}

func (l *leader) writeQuota(w *work, team structs.TeamID, row quotaRow) {
	key := quotaKey(team)
	w.compares = append(w.compares, substrate.Compare{Key: key, Revision: l.quotaOf(team).revision})
	w.puts = append(w.puts, substrate.Put{Key: key, Value: encode(row)})
	w.quotas = append(w.quotas, quotaWrite{team: team, row: row})
}

// quotasApplied takes over the rows of a transaction that was committed.
func (l *leader) quotasApplied(w *work, revision int64) {
	if len(w.quotas) > 0 {
		l.quotas.period = quotaPeriod
	}
	for _, q := range w.quotas {
		view := l.quotaOf(q.team)
		view.row, view.revision, view.surplus, view.changed = q.row, revision, time.Time{}, time.Now()
	}
}

// shares returns what each team may commit in this cell, nil without quotas.
func (l *leader) shares() map[structs.TeamID]structs.Resources {
	if l.o.Quotas == nil {
		return nil
	}
	shares := make(map[structs.TeamID]structs.Resources, len(l.quotas.teams))
	for team, view := range l.quotas.teams {
		shares[team] = view.row.Shares[l.cell]
	}
	return shares
}

// quotaRoom tracks what the starts of one plan leave of the teams' shares.
type quotaRoom struct {
	limited bool
	left    map[structs.TeamID]structs.Resources
}

func (l *leader) quotaRoom() *quotaRoom {
	r := &quotaRoom{limited: l.o.Quotas != nil, left: l.shares()}
	if !r.limited {
		return r
	}
	for team, n := range l.needs(nil) {
		r.left[team] = r.left[team].Sub(n.used)
	}
	return r
}

// has reports whether the team has room for one task of the job.
func (r *quotaRoom) has(job *structs.Job) bool {
	return !r.limited || job.Resources.Fits(r.left[job.Team])
}

// take reserves the size of a start and reports whether there was room.
func (r *quotaRoom) take(job *structs.Job) bool {
	if !r.limited {
		return true
	}
	if !job.Resources.Fits(r.left[job.Team]) {
		return false
	}
	r.left[job.Team] = r.left[job.Team].Sub(job.Resources)
	return true
}

func atLeast(a, b structs.Resources) structs.Resources {
	return structs.Resources{
		MilliCPU: max(a.MilliCPU, b.MilliCPU), MemoryMB: max(a.MemoryMB, b.MemoryMB), Accelerators: max(a.Accelerators, b.Accelerators),
	}
}

func atMost(a, b structs.Resources) structs.Resources {
	return structs.Resources{
		MilliCPU: min(a.MilliCPU, b.MilliCPU), MemoryMB: min(a.MemoryMB, b.MemoryMB), Accelerators: min(a.Accelerators, b.Accelerators),
	}
}

func quarter(r structs.Resources) structs.Resources {
	return structs.Resources{MilliCPU: r.MilliCPU / quotaReserve, MemoryMB: r.MemoryMB / quotaReserve, Accelerators: r.Accelerators / quotaReserve}
}
