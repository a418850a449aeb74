package explain

import (
	"encoding/json"
	"errors"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/placement"
	"github.com/daisywall/daisywall/structs"
)

func decision(at time.Duration, action placement.Action, job string, worker structs.WorkerID) placement.Decision {
	return placement.Decision{At: at, Action: action, Task: structs.TaskID{Job: structs.JobID(job)}, Worker: worker}
}

func TestReportContainsDecisionsAboutSubject(t *testing.T) {
	is := is.New(t)
	l := NewDecisionLog(8)
	placed := decision(2*time.Second, placement.ActionPlace, "pricing", "w1")
	placed.Alternatives = []placement.Alternative{{Worker: "w2", DecidingScorer: "spread"}}
	l.Add([]placement.Decision{decision(time.Second, placement.ActionWait, "pricing", ""), placed, decision(3*time.Second, placement.ActionPlace, "matching", "w3")}, 0)
	for _, c := range []struct {
		subject Subject
		id      string
		want    int
	}{
		{SubjectTask, "pricing/0", 2},
		{SubjectJob, "matching", 1},
		{SubjectWorker, "w2", 1},
		{SubjectWorker, "w9", 0},
	} {
		r, err := l.Report(c.subject, c.id, time.Minute)
		is.NoErr(err)
		is.Equal(len(r.Decisions), c.want) // number of records about c.id
	}
	r, err := l.Report(SubjectTask, "pricing/0", 5*time.Second)
	is.NoErr(err)
	is.Equal(r.Decisions[0].Action, placement.ActionPlace) // newest first
	is.Equal(r.Decisions[0].AgeMS, int64(3000))
}

func TestRepeatedDecisionsShareOneRecord(t *testing.T) {
	is := is.New(t)
	l := NewDecisionLog(2)
	for i := range 100 {
		l.Add([]placement.Decision{decision(time.Duration(i)*time.Second, placement.ActionWait, "pricing", "")}, 0)
	}
	r, err := l.Report(SubjectJob, "pricing", 100*time.Second)
	is.NoErr(err)
	is.Equal(len(r.Decisions), 1)
	is.Equal(r.Decisions[0].Count, 100)
	is.Equal(r.Decisions[0].FirstAgeMS, int64(100000))
}

func TestFullLogEvictsOldestRecord(t *testing.T) {
	is := is.New(t)
	l := NewDecisionLog(2)
	for i, job := range []string{"a", "b", "c", "a"} {
		l.Add([]placement.Decision{decision(time.Duration(i)*time.Second, placement.ActionWait, job, "")}, 1)
	}
	for job, want := range map[string]int{"a": 1, "b": 0, "c": 1} {
		r, err := l.Report(SubjectJob, job, time.Minute)
		is.NoErr(err)
		is.Equal(len(r.Decisions), want)
		is.Equal(r.Dropped, int64(4))
	}
}

func TestReportRejectsUnknownSubjectAndInvalidID(t *testing.T) {
	is := is.New(t)
	for _, c := range [][2]string{{"task", "no-index"}, {"planet", "x"}} {
		_, err := NewDecisionLog(1).Report(Subject(c[0]), c[1], 0)
		var invalid *structs.InvalidError
		is.True(errors.As(err, &invalid))
	}
}

func TestReportReadsAsTextAndJSON(t *testing.T) {
	is := is.New(t)
	l := NewDecisionLog(4)
	d := decision(time.Second, placement.ActionWait, "pricing", "")
	d.Reason = placement.ReasonInterference
	d.Rejected = []placement.Rejection{{Filter: "interference", Reason: placement.ReasonInterference, Workers: 7, Example: "w3"}}
	l.Add([]placement.Decision{d}, 0)
	r, err := l.Report(SubjectJob, "pricing", 2*time.Second)
	is.NoErr(err)
	var text strings.Builder
	is.NoErr(r.WriteText(&text))
	is.Equal(text.String(), "job pricing: 1 decisions\n1s ago: wait task pricing/0 because interference\n  7 workers rejected by interference: interference, such as w3\n")
	data, err := json.Marshal(r)
	is.NoErr(err)
	var decoded Report
	is.NoErr(json.Unmarshal(data, &decoded))
	is.Equal(decoded.Decisions[0].Rejected[0].Workers, 7)
}
