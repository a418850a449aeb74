package soak

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/structs"
)

func TestWitnessFindsPlantedViolations(t *testing.T) {
	is := is.New(t)
	w := newWitness()
	j := &submitted{id: "a", widths: []int{1, 1}}
	w.add(j)
	first := structs.TaskRun{Task: structs.StepTaskID{Job: "a"}, Number: 1}
	second := structs.TaskRun{Task: structs.StepTaskID{Job: "a", Step: 1}, Number: 1}
	w.Started("w1", first)
	is.Equal(len(w.found()), 0)
	w.Started("w2", second) // before the first step has finished
	is.Equal(len(w.found()), 1)
	w.Started("w3", structs.TaskRun{Task: structs.StepTaskID{Job: "b"}, Number: 1}) // nobody submitted it
	is.Equal(len(w.found()), 2)
	w.Started("w4", structs.TaskRun{Task: first.Task, Number: 2}) // beside the first run
	is.Equal(len(w.found()), 3)
}

// An entry that says what cannot be true.
func TestCallersFindPlantedAnswers(t *testing.T) {
	for answer, status := range map[string]int{
		`{"state":"completed"}`: http.StatusOK, // no task has ended
		`{"state":"failed"}`:    http.StatusOK, // without cause
		`{"state":"cancelled"}`: http.StatusOK, // nobody cancelled it
		`{}`:                    http.StatusGone,
		`{"state"`:              http.StatusOK,
	} {
		is := is.New(t)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = w.Write([]byte(answer))
		}))
		front, err := newLink(server.Listener.Addr().String(), func() bool { return false })
		is.NoErr(err)
		s := &testSite{checker: newWitness()}
		for range workerHosts + entryHosts {
			s.hosts = append(s.hosts, &host{front: front})
		}
		j := &submitted{id: "a", widths: []int{1}, accepted: true}
		s.checker.add(j)
		newCallers(s).ask(t.Context(), 0, j)
		is.Equal(len(s.checker.found()), 1)
		front.close()
		server.Close()
	}
}
