package cell

import (
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/structs"
)

// recordingObserver records the calls of JobOutcomeKnown.
type recordingObserver struct {
	noopObserver
	onTime []bool
}

func (s *recordingObserver) JobOutcomeKnown(_ *structs.Job, onTime bool) {
	s.onTime = append(s.onTime, onTime)
}

func TestObserverIsNotifiedOnceWhetherAJobWasOnTime(t *testing.T) {
	began := time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)
	deadline := began.Add(time.Hour)
	cases := []struct {
		name      string
		status    Status
		checkedAt []time.Time // times of the deadline checks while the job is open
		endsAt    time.Time   // end of its last task, zero for none
		want      []bool
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
			observer := &recordingObserver{}
			job := &JobState{Job: structs.Job{ID: "j", Kind: structs.WorkBatch, Deadline: deadline}, openTasks: 1}
			l := &leader{options: Options{Observer: observer}, state: NewState(), missedDeadline: map[structs.JobID]bool{}, startedAt: began}
			l.state.Jobs["j"] = job
			for _, now := range c.checkedAt {
				l.notifyMissedDeadlines(now)
			}
			if !c.endsAt.IsZero() {
				job.openTasks, job.Status = 0, c.status
				l.notifyBatch(&Batch{Ends: []End{{Job: "j"}}}, c.endsAt)
			}
			is.Equal(observer.onTime, c.want)
		})
	}
}

func TestDeadlinesMissedBeforeThisLeaderAreNotReportedAgain(t *testing.T) {
	is := is.New(t)
	began := time.Date(2026, 12, 3, 0, 0, 0, 0, time.UTC)
	observer := &recordingObserver{}
	l := &leader{options: Options{Observer: observer}, state: NewState(), missedDeadline: map[structs.JobID]bool{}, startedAt: began}
	l.state.Jobs["j"] = &JobState{Job: structs.Job{ID: "j", Kind: structs.WorkBatch, Deadline: began.Add(-time.Second)}, openTasks: 1}
	l.notifyMissedDeadlines(began.Add(time.Minute))
	is.Equal(len(observer.onTime), 0)
}
