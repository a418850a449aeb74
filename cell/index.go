package cell

import (
	"cmp"
	"slices"

	"github.com/daisywall/daisywall/structs"
)

// index rebuilds what is derived from the encoded fields.
func (s *State) index() {
	s.tasks = map[structs.TaskID]*Task{}
	s.pending = map[structs.TaskID]*Task{}
	s.assigned = map[structs.TaskID]*Task{}
	s.byWorker = map[structs.WorkerID]map[structs.TaskID]*Task{}
	s.settled = map[structs.JobID]*JobState{}
	s.cancelling = map[structs.JobID]*JobState{}
	for _, job := range s.Jobs {
		job.open = 0
		for _, t := range job.Tasks {
			t.job = job
			s.tasks[t.ID()] = t
			s.file(t)
			if !t.State.Final() {
				job.open++
			}
		}
		s.classify(job)
	}
}

// classify keeps the sets of jobs.
func (s *State) classify(job *JobState) {
	id := job.Job.ID
	delete(s.settled, id)
	delete(s.cancelling, id)
	switch {
	case job.open == 0:
		s.settled[id] = job
	case job.CancelRequested:
		s.cancelling[id] = job
	}
}

// file keeps the index by state.
func (s *State) file(t *Task) {
	id := t.ID()
	delete(s.pending, id)
	if _, was := s.assigned[id]; was {
		delete(s.assigned, id)
		delete(s.byWorker[t.filed], id)
	}
	switch t.State {
	case structs.TaskPending:
		s.pending[id] = t
	case structs.TaskAssigned:
		s.assigned[id] = t
		t.filed = t.Worker
		if s.byWorker[t.filed] == nil {
			s.byWorker[t.filed] = map[structs.TaskID]*Task{}
		}
		s.byWorker[t.filed][id] = t
	}
}

// Task returns a task that the cell holds, or nil.
func (s *State) Task(id structs.TaskID) *Task { return s.tasks[id] }

// Counts returns the number of pending and assigned tasks.
func (s *State) Counts() (pending, assigned int) { return len(s.pending), len(s.assigned) }

// AssignedTo returns the tasks assigned to the worker, ordered by ID.
func (s *State) AssignedTo(w structs.WorkerID) []*Task {
	return sortedTasks(s.byWorker[w])
}

// Assigned returns every assigned task, ordered by ID.
func (s *State) Assigned() []*Task { return sortedTasks(s.assigned) }

// Pending returns every pending task, ordered by ID.
func (s *State) Pending() []*Task { return sortedTasks(s.pending) }

func sortedTasks(m map[structs.TaskID]*Task) []*Task {
	list := make([]*Task, 0, len(m))
	for _, t := range m {
		list = append(list, t)
	}
	sortTasks(list)
	return list
}

func sortTasks(list []*Task) {
	slices.SortFunc(list, func(a, b *Task) int {
		if a.job == b.job {
			return cmp.Compare(a.Index, b.Index)
		}
		return cmp.Compare(a.job.Job.ID, b.job.Job.ID)
	})
}

func compareTasks(a, b structs.TaskID) int {
	return cmp.Or(cmp.Compare(a.Job, b.Job), cmp.Compare(a.Index, b.Index))
}
