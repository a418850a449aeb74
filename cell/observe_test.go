package cell

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/structs"
)

// settledJobs records what an observer is told about jobs.
type settledJobs struct {
	noObserver
	onTime []bool
}

func (s *settledJobs) JobSettled(_ *structs.Job, onTime bool) { s.onTime = append(s.onTime, onTime) }

func TestObserverLearnsOnceWhetherAJobWasOnTime(t *testing.T) {
	began := time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)
	deadline := began.Add(time.Hour)
	cases := []struct {
		name   string
		status Status
		looks  []time.Time // at the deadlines while the job is open
		ends   time.Time   // when its last task ends, zero for never
		want   []bool
	}{
		{"a job that finishes early is on time", Status{Finished: 1}, []time.Time{began.Add(time.Minute)}, began.Add(2 * time.Minute), []bool{true}},
		{"a job that never finishes is late", Status{}, []time.Time{deadline.Add(time.Second), deadline.Add(time.Minute)}, time.Time{}, []bool{false}},
		{"a job that finishes after its deadline is late once", Status{Finished: 1}, []time.Time{deadline.Add(time.Second)}, deadline.Add(time.Minute), []bool{false}},
		{"a job that fails is late", Status{Failed: 1}, nil, began.Add(time.Minute), []bool{false}},
		{"a cancelled job counts neither way", Status{Cancelled: 1}, nil, began.Add(time.Minute), nil},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			told := &settledJobs{}
			job := &JobState{Job: structs.Job{ID: "j", Kind: structs.WorkBatch, Deadline: deadline}, open: 1}
			l := &leader{o: Options{Observer: told}, state: NewState(), late: map[structs.JobID]bool{}, began: began}
			l.state.Jobs["j"] = job
			for _, now := range c.looks {
				l.observeDeadlines(now)
			}
			if !c.ends.IsZero() {
				job.open, job.Status = 0, c.status
				l.observeBatch(&Batch{Ends: []End{{Job: "j"}}}, c.ends)
			}
			is.Equal(told.onTime, c.want)
		})
	}
}

func TestDeadlinesBeforeThisLeaderAreNotToldAgain(t *testing.T) {
	is := is.New(t)
	began := time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)
	told := &settledJobs{}
	l := &leader{o: Options{Observer: told}, state: NewState(), late: map[structs.JobID]bool{}, began: began}
	l.state.Jobs["j"] = &JobState{Job: structs.Job{ID: "j", Kind: structs.WorkBatch, Deadline: began.Add(-time.Second)}, open: 1}
	l.observeDeadlines(began.Add(time.Minute))
	is.Equal(len(told.onTime), 0)
}
