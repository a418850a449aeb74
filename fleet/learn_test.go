package fleet

import (
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/placement/steps"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/workflow"
)

// disturbed returns a leader with one worker on which a task of the step, which
// is known to disturb it, fills beside a service that is over its target.
func disturbed(t *testing.T, fill structs.Step) (*leader, *worker, *run) {
	t.Helper()
	now := bootclock.Time(time.Hour)
	config := &fixedConfig{queue: worldQueue}
	o := Options{Clock: func() bootclock.Time { return now }, Log: zap.NewNop(), Timing: Timing{HoldMax: 10 * time.Second}.withDefaults()}
	l := newLeader(o, nil, leaderRow{})
	l.config = config
	l.interference.Adopt([]steps.PairOdds{{Service: "web", Fill: "match", LogOdds: 3}})
	w := l.worker("w")
	w.incarnation = "i"
	var last *run
	for i, step := range []structs.Step{{Tasks: 1, LongRunning: true, LatencyTarget: time.Second, Image: "web"}, fill} {
		spec := structs.StepJob{ID: structs.JobID([]string{"service", "fill"}[i]), Queue: "q", Steps: []structs.Step{step}}
		j := &job{Job: workflow.New(spec, worldQueue)}
		l.add(j)
		id, ok := j.Assign(structs.StepTaskID{Job: spec.ID}, w.id, w.incarnation)
		if !ok {
			t.Fatal("not assigned")
		}
		last = w.assign(id, w.incarnation, j)
		last.startedAt, last.percent, last.pace = now.Add(-5*time.Second), 50, 100
	}
	l.suspect(w, w.sortedRuns(), true)
	return l, w, last
}

func TestFillingTaskThatDisturbsGivesItsPlaceUp(t *testing.T) {
	is := is.New(t)
	_, w, r := disturbed(t, structs.Step{Tasks: 1, Fills: true, Image: "match", Checkpoints: true})
	is.Equal(r.stopping, "disturbs a service")
	is.Equal(w.suspects, []structs.TaskRun{r.run}) // and the agent slows it down until then
}

// Stopping it would spend the disruption budget of its step.
func TestLongRunningTaskThatDisturbsIsOnlySlowedDown(t *testing.T) {
	is := is.New(t)
	_, w, r := disturbed(t, structs.Step{Tasks: 1, Fills: true, Image: "match", Checkpoints: true, LongRunning: true, MayMiss: 1})
	is.Equal(r.stopping, "")
	is.Equal(w.suspects, []structs.TaskRun{r.run})
}
