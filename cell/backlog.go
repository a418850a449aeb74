package cell

import (
	"slices"
	"strings"
	"time"

	"github.com/daisywall/daisywall/structs"
)

// Bounds of the pending tasks in one planner snapshot.
const (
	maxPending = 256
	// minPendingPerTeam is the number of tasks of each team that are selected
	// before the remaining tasks of any team.
	minPendingPerTeam = 4
)

// selectPending selects the pending tasks for a planner snapshot. Every team
// with room in its share gets an equal number of selected tasks, which are the
// team's most urgent ones. A large backlog of one team, or a backlog held back
// by a quota, therefore does not hide the tasks of other teams. selectPending
// returns at most limit tasks, ordered by ID, unless limit is too small for
// minPendingPerTeam tasks of each team.
func selectPending(pending []*Task, hasRoom func(*structs.Job) bool, limit int) []*Task {
	byTeam := map[structs.TeamID][]*Task{}
	for _, t := range pending {
		if hasRoom(&t.job.Job) {
			byTeam[t.job.Job.Team] = append(byTeam[t.job.Job.Team], t)
		}
	}
	if len(byTeam) == 0 {
		return nil
	}
	perTeam := max(limit/len(byTeam), minPendingPerTeam)
	var chosen, rest []*Task
	for _, tasks := range byTeam {
		slices.SortFunc(tasks, compareUrgency)
		n := min(perTeam, len(tasks))
		chosen = append(chosen, tasks[:n]...)
		rest = append(rest, tasks[n:]...)
	}
	if spare := limit - len(chosen); spare > 0 && len(rest) > 0 {
		slices.SortFunc(rest, compareUrgency)
		chosen = append(chosen, rest[:min(spare, len(rest))]...)
	}
	sortTasks(chosen)
	return chosen
}

// compareUrgency orders services before batch work, then by deadline, then by ID.
func compareUrgency(a, b *Task) int {
	ja, jb := &a.job.Job, &b.job.Job
	if ja.Kind != jb.Kind {
		return strings.Compare(string(jb.Kind), string(ja.Kind)) // "service" before "batch"
	}
	if c := compareDeadlines(ja.Deadline, jb.Deadline); c != 0 {
		return c
	}
	if c := strings.Compare(string(ja.ID), string(jb.ID)); c != 0 {
		return c
	}
	return int(a.Index) - int(b.Index)
}

// compareDeadlines orders by deadline and places a missing deadline last.
func compareDeadlines(a, b time.Time) int {
	if a.IsZero() != b.IsZero() {
		if a.IsZero() {
			return 1
		}
		return -1
	}
	return a.Compare(b)
}

// eligibleTasks returns the pending tasks that may start now. ending holds the
// attempts that the current transaction ends.
func (l *leader) eligibleTasks(ending map[structs.AttemptID]struct{}, now time.Time) []*Task {
	list := make([]*Task, 0, len(l.state.pending))
	for id, t := range l.state.pending {
		if _, ends := ending[t.Attempt()]; ends || t.job.CancelRequested || l.retryAt[id].After(now) {
			continue
		}
		if _, seen := l.pendingSince[id]; !seen {
			l.pendingSince[id] = now
		}
		list = append(list, t)
	}
	return list
}
