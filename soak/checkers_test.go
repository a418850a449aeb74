package soak

import (
	"bytes"
	"net/http"
	"net/http/httptest"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

func TestJobCheckerReportsInjectedViolations(t *testing.T) {
	is := is.New(t)
	checker := newJobChecker()
	j := &submittedJob{id: "a", tasksPerStep: []int{1, 1}}
	checker.addJob(j)
	first := structs.RunID{Task: structs.StepTaskID{Job: "a"}, Number: 1}
	second := structs.RunID{Task: structs.StepTaskID{Job: "a", Step: 1}, Number: 1}
	checker.Started("w1", first)
	is.Equal(len(checker.violations()), 0)
	checker.Started("w2", second) // starts before the first step has finished
	is.Equal(len(checker.violations()), 1)
	checker.Started("w3", structs.RunID{Task: structs.StepTaskID{Job: "b"}, Number: 1}) // no caller submitted the job
	is.Equal(len(checker.violations()), 2)
	checker.Started("w4", structs.RunID{Task: first.Task, Number: 2}) // starts while the first run of its task is running
	is.Equal(len(checker.violations()), 3)
}

// An answer that was true when its request was sent can arrive after the answer
// to a later request, which reports a later state. The callers must not report
// that as a violation.
func TestDelayedAnswerIsNoViolation(t *testing.T) {
	is := is.New(t)
	firstReceived, firstReleased := make(chan struct{}), make(chan struct{})
	var requests atomic.Int64
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
		if requests.Add(1) == 1 {
			close(firstReceived)
			<-firstReleased
			_, _ = w.Write([]byte(`{"state":"running"}`))
			return
		}
		_, _ = w.Write([]byte(`{"state":"completed"}`))
	}))
	defer server.Close()
	s, j := newSystemWithJob(t, server)
	s.checker.Started("w1", structs.RunID{Task: structs.StepTaskID{Job: "a"}, Number: 1})
	s.checker.Ended("w1", structs.RunID{Task: structs.StepTaskID{Job: "a"}, Number: 1}, substrate.RunEndDone)
	c := newCallers(s)
	var delayedRequest sync.WaitGroup
	delayedRequest.Go(func() { c.checkState(t.Context(), 0, j) })
	<-firstReceived
	is.Equal(c.checkState(t.Context(), 0, j), structs.JobCompleted)
	close(firstReleased)
	delayedRequest.Wait()
	is.Equal(s.checker.violations(), nil)
	requests.Store(0)
	firstReceived, firstReleased = make(chan struct{}), make(chan struct{})
	close(firstReleased)
	c.checkState(t.Context(), 0, j) // the request was sent after the answer "completed"
	is.Equal(len(s.checker.violations()), 1)
}

// newSystemWithJob returns a system with one accepted job. Calls to every entry
// of the system reach the server.
func newSystemWithJob(t *testing.T, server *httptest.Server) (*testSystem, *submittedJob) {
	t.Helper()
	callerLink, err := newLink(server.Listener.Addr().String(), func() bool { return false })
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(callerLink.close)
	s := &testSystem{checker: newJobChecker()}
	for range workerCount + entryCount {
		s.hosts = append(s.hosts, &host{callerLink: callerLink})
	}
	j := &submittedJob{id: "a", tasksPerStep: []int{1}, accepted: true}
	s.checker.addJob(j)
	return s, j
}

// None of these answers can be true, so each must be reported as a violation.
func TestCallersReportInjectedFalseAnswers(t *testing.T) {
	for answer, status := range map[string]int{
		`{"state":"completed"}`: http.StatusOK, // no task has finished
		`{"state":"failed"}`:    http.StatusOK, // no task has failed
		`{"state":"cancelled"}`: http.StatusOK, // no caller cancelled it
		`{}`:                    http.StatusGone,
		`{"state"`:              http.StatusOK,
	} {
		is := is.New(t)
		server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
			w.WriteHeader(status)
			_, _ = w.Write([]byte(answer))
		}))
		s, j := newSystemWithJob(t, server)
		newCallers(s).checkState(t.Context(), 0, j)
		is.Equal(len(s.checker.violations()), 1)
		server.Close()
	}
}

// Guards against a checker that accepts an agent that goes on after its grace period.
func TestProcessThatGoesOnAfterSIGTERMIsReported(t *testing.T) {
	t.Parallel()
	is := is.New(t)
	const program = "ignores-sigterm"
	is.NoErr(os.WriteFile(filepath.Join(binaries, program), []byte("#!/bin/sh\ntrap '' TERM\necho ready\nexec sleep 30\n"), 0o700))
	p, err := newProcess(t.TempDir(), "w1", program, nil)
	is.NoErr(err)
	defer p.output.Close()
	is.NoErr(p.start())
	defer p.stop(syscall.SIGKILL)
	for deadline := time.Now().Add(10 * time.Second); ; time.Sleep(10 * time.Millisecond) {
		output, err := os.ReadFile(p.output.Name())
		is.NoErr(err)
		if bytes.Contains(output, []byte("ready")) {
			break
		}
		is.True(time.Now().Before(deadline)) // the program has not started
	}
	p.stop(syscall.SIGTERM)
	is.Equal(len(p.exitViolations()), 1)
	is.True(strings.Contains(p.exitViolations()[0], "did not exit within its grace period"))
}
