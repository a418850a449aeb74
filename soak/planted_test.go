package soak

import (
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
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

// An answer that was true when the question was put may arrive after a later one.
func TestLateAnswerIsNoStepBack(t *testing.T) {
	is := is.New(t)
	first, second := make(chan struct{}), make(chan struct{})
	var asked atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if asked.Add(1) == 1 {
			close(first)
			<-second
			_, _ = w.Write([]byte(`{"state":"running"}`))
			return
		}
		_, _ = w.Write([]byte(`{"state":"completed"}`))
	}))
	defer server.Close()
	s, j := askedSite(t, server)
	s.checker.Started("w1", structs.TaskRun{Task: structs.StepTaskID{Job: "a"}, Number: 1})
	s.checker.Ended("w1", structs.TaskRun{Task: structs.StepTaskID{Job: "a"}, Number: 1}, substrate.RunEndDone)
	c := newCallers(s)
	var late sync.WaitGroup
	late.Go(func() { c.ask(t.Context(), 0, j) })
	<-first
	is.Equal(c.ask(t.Context(), 0, j), structs.JobCompleted)
	close(second)
	late.Wait()
	is.Equal(s.checker.found(), nil)
	asked.Store(0)
	first, second = make(chan struct{}), make(chan struct{})
	close(second)
	c.ask(t.Context(), 0, j) // "running", to a question that was put after "completed"
	is.Equal(len(s.checker.found()), 1)
}

// askedSite returns a site whose entries are the server, with one accepted job.
func askedSite(t *testing.T, server *httptest.Server) (*testSite, *submitted) {
	t.Helper()
	front, err := newLink(server.Listener.Addr().String(), func() bool { return false })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(front.close)
	s := &testSite{checker: newWitness()}
	for range workerHosts + entryHosts {
		s.hosts = append(s.hosts, &host{front: front})
	}
	j := &submitted{id: "a", widths: []int{1}, accepted: true}
	s.checker.add(j)
	return s, j
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
		s, j := askedSite(t, server)
		newCallers(s).ask(t.Context(), 0, j)
		is.Equal(len(s.checker.found()), 1)
		server.Close()
	}
}
