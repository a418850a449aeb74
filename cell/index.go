package cell

import (
	"cmp"
	"slices"

	"github.com/daisywall/daisywall/structs"
)

// rebuildIndexes rebuilds the fields that are derived from the encoded fields.
func (s *State) rebuildIndexes() {
	s.tasks = map[structs.TaskID]*Task{}
	s.pending = map[structs.TaskID]*Task{}
	s.assigned = map[structs.TaskID]*Task{}
	s.byWorker = map[structs.WorkerID]map[structs.TaskID]*Task{}
	s.finalJobs = map[structs.JobID]*JobState{}
	s.cancellingJobs = map[structs.JobID]*JobState{}
	for _, job := range s.Jobs {
		job.openTasks = 0
		for _, t := range job.Tasks {
			t.job = job
			s.tasks[t.ID()] = t
			s.indexTask(t)
			if !t.State.Final() {
				job.openTasks++
			}
		}
		s.updateJobSets(job)
	}
}

// updateJobSets updates finalJobs and cancellingJobs for the job.
func (s *State) updateJobSets(job *JobState) {
	id := job.Job.ID
	delete(s.finalJobs, id)
	delete(s.cancellingJobs, id)
	switch {
	case job.openTasks == 0:
		s.finalJobs[id] = job
	case job.CancelRequested:
		s.cancellingJobs[id] = job
	}
}

// indexTask moves the task into the index of its current state.
func (s *State) indexTask(t *Task) {
	id := t.ID()
	delete(s.pending, id)
	if _, wasAssigned := s.assigned[id]; wasAssigned {
		delete(s.assigned, id)
		delete(s.byWorker[t.indexedUnder], id)
	}
	switch t.State {
	case structs.TaskPending:
		s.pending[id] = t
	case structs.TaskAssigned:
		s.assigned[id] = t
		t.indexedUnder = t.Worker
		if s.byWorker[t.indexedUnder] == nil {
			s.byWorker[t.indexedUnder] = map[structs.TaskID]*Task{}
		}
		s.byWorker[t.indexedUnder][id] = t
	}
}

// Task returns a task of the cell, or nil.
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
