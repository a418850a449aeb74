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

// shareWaitLimit is how long a task waits for room in its team's share before
// batch tasks of the team that became pending later leave the room to it.
const shareWaitLimit = 2 * time.Minute

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

// leaveRoomInShares removes the batch tasks that must not start, because a task
// of their team has waited longer and for more than shareWaitLimit for room in
// the team's share. Otherwise small tasks would take each part of the share that
// becomes free. A task for which the share is too small, apart from what
// services occupy, or every worker is too small holds back no other task.
func (l *leader) leaveRoomInShares(eligible []*Task, budget *shareBudget, now time.Time) []*Task {
	if !budget.limited {
		return eligible
	}
	var shares map[structs.TeamID]structs.Resources // without what services occupy
	waitingSince := map[structs.TeamID]time.Time{}  // of the task that has waited longest for room, by team
	for _, t := range eligible {
		job, since := &t.job.Job, l.pendingSince[t.ID()]
		if budget.fits(job) || now.Sub(since) < shareWaitLimit {
			continue
		}
		if shares == nil {
			shares = l.sharesWithoutServices()
		}
		if !job.Resources.Fits(shares[job.Team]) || !l.fitsAnyWorker(job.Resources) {
			continue
		}
		if earliest, found := waitingSince[job.Team]; !found || since.Before(earliest) {
			waitingSince[job.Team] = since
		}
	}
	return slices.DeleteFunc(eligible, func(t *Task) bool {
		earliest, found := waitingSince[t.job.Job.Team]
		return found && t.job.Job.Kind == structs.WorkBatch && l.pendingSince[t.ID()].After(earliest)
	})
}

// fitsAnyWorker reports whether a task of the size fits on an empty worker.
func (l *leader) fitsAnyWorker(size structs.Resources) bool {
	for _, session := range l.sessions {
		if size.Fits(session.worker.Capacity) {
			return true
		}
	}
	return false
}

// sharesWithoutServices returns the teams' shares less the size of their
// assigned services.
func (l *leader) sharesWithoutServices() map[structs.TeamID]structs.Resources {
	shares := l.teamShares()
	for _, t := range l.state.assigned {
		if job := &t.job.Job; job.Kind == structs.WorkService {
			shares[job.Team] = shares[job.Team].Sub(job.Resources)
		}
	}
	return shares
}
