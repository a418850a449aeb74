package cell

import (
	"slices"
	"strings"
	"time"

	"github.com/daisywall/daisywall/structs"
)

// Bounds of the pending tasks that one snapshot shows to the planner.
const (
	maxPending = 256
	// minPerTeam is the least number of tasks of a team that are looked at
	// before the rest of another team's backlog.
	minPerTeam = 4
)

// backlog chooses the pending tasks that the planner sees: of every team that
// has room in its share an equal number, those first that are due first. A
// backlog of one team, or one that its quota holds back, hides no other team.
// It returns at most limit tasks, ordered by ID.
func backlog(pending []*Task, hasRoom func(*structs.Job) bool, limit int) []*Task {
	byTeam := map[structs.TeamID][]*Task{}
	for _, t := range pending {
		if hasRoom(&t.job.Job) {
			byTeam[t.job.Job.Team] = append(byTeam[t.job.Job.Team], t)
		}
	}
	if len(byTeam) == 0 {
		return nil
	}
	each := max(limit/len(byTeam), minPerTeam)
	var chosen, rest []*Task
	for _, tasks := range byTeam {
		slices.SortFunc(tasks, dueFirst)
		n := min(each, len(tasks))
		chosen = append(chosen, tasks[:n]...)
		rest = append(rest, tasks[n:]...)
	}
	if spare := limit - len(chosen); spare > 0 && len(rest) > 0 {
		slices.SortFunc(rest, dueFirst)
		chosen = append(chosen, rest[:min(spare, len(rest))]...)
	}
	sortTasks(chosen)
	return chosen
}

// dueFirst orders services before batch work, then by deadline, then by ID.
func dueFirst(a, b *Task) int {
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

// compareDeadlines orders no deadline last.
func compareDeadlines(a, b time.Time) int {
	if a.IsZero() != b.IsZero() {
		if a.IsZero() {
			return 1
		}
		return -1
	}
	return a.Compare(b)
}

// eligible returns the pending tasks that may start now.
func (l *leader) eligible(ending map[structs.AttemptID]struct{}, now time.Time) []*Task {
	list := make([]*Task, 0, len(l.state.pending))
	for id, t := range l.state.pending {
		if _, ends := ending[t.Attempt()]; ends || t.job.CancelRequested || l.retryAt[id].After(now) {
			continue
		}
		if _, seen := l.pendingAt[id]; !seen {
			l.pendingAt[id] = now
		}
		list = append(list, t)
	}
	return list
}
