package soak

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/daisywall/daisywall/structs"
)

// Number and behavior of the callers.
const (
	callerCount    = 6
	callerDeadline = 3 * time.Second
	callerAttempts = 4
)

// submittedJob is a job that a caller submits.
type submittedJob struct {
	id           structs.JobID
	tasksPerStep []int // number of tasks of each step
	isGang       bool
	isDeadly     bool          // the first task of the last step crashes the runners that start it
	mayCopy      bool          // its tasks are speculative, and some of their runs are slow
	runTime      time.Duration // of each run, 0 for a short one
	longRunning  bool          // its tasks run until it is cancelled

	mu        sync.Mutex
	accepted  bool // an attempt to submit the job was answered with success
	rejected  bool // every attempt to submit the job was answered with a rejection
	cancelled bool // a cancellation was sent, whatever its answer
	completed bool
}

// deadlyTask returns the task of a deadly job that crashes its runners.
func (j *submittedJob) deadlyTask() structs.StepTaskID {
	return structs.StepTaskID{Job: j.id, Step: int32(len(j.tasksPerStep) - 1)}
}

func (j *submittedJob) body() string {
	var steps []string
	for i, n := range j.tasksPerStep {
		step := fmt.Sprintf(`{"count":%d,"cpu":%d,"mem_mb":10,"gang":%v,"speculative":%v,"estimate_ms":500`, n, taskCPU, j.isGang, j.mayCopy)
		if j.longRunning {
			step += `,"long_running":true`
		}
		if i > 0 {
			step += fmt.Sprintf(`,"after":[%d]`, i-1)
		}
		steps = append(steps, step+"}")
	}
	return `{"spec":"soak","steps":[` + strings.Join(steps, ",") + `]}`
}

// callers submit jobs, read their state and cancel some of them over
// connections that they keep open.
type callers struct {
	system *testSystem
	client *http.Client

	mu              sync.Mutex
	jobs            []*submittedJob
	answersByStatus map[int]int // number of answers by HTTP status, 0 for no answer
}

func newCallers(s *testSystem) *callers {
	return &callers{system: s, answersByStatus: map[int]int{}, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callerCount}, Timeout: callerDeadline}}
}

// call sends one request to an entry and returns the HTTP status and the body
// of the answer. The status is 0 if there was no answer.
func (c *callers) call(ctx context.Context, entry int, method string, id structs.JobID, body string) (int, string) {
	callerLink := c.system.hosts[workerCount+entry%entryCount].callerLink
	req, err := http.NewRequestWithContext(ctx, method, "http://"+callerLink.address()+"/jobs/"+string(id), strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = "h"
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(callerDeadline.Milliseconds()))
	resp, err := c.client.Do(req)
	if err != nil {
		c.countAnswer(0)
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		c.countAnswer(0)
		return 0, err.Error()
	}
	c.countAnswer(resp.StatusCode)
	return resp.StatusCode, string(data)
}

func (c *callers) countAnswer(status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.answersByStatus[status]++
}

// run submits jobs and reads the state of jobs until ctx ends. The job with the
// number deadlyJob, counted from 0, is deadly, none if it is negative.
func (c *callers) run(ctx context.Context, rng *rand.Rand, deadlyJob int) {
	for number := 0; ctx.Err() == nil; number++ {
		j := &submittedJob{id: structs.JobID(fmt.Sprintf("%016x", rng.Uint64())), isGang: rng.IntN(4) == 0, isDeadly: number == deadlyJob}
		j.mayCopy = !j.isGang && !j.isDeadly && number%2 == 1
		for range 1 + rng.IntN(2) {
			j.tasksPerStep = append(j.tasksPerStep, 1+rng.IntN(3))
		}
		c.system.checker.addJob(j)
		c.mu.Lock()
		c.jobs = append(c.jobs, j)
		c.mu.Unlock()
		c.submit(ctx, rng, j)
		if rng.IntN(8) == 0 {
			j.mu.Lock()
			j.cancelled = true
			j.mu.Unlock()
			c.call(ctx, rng.IntN(entryCount), http.MethodDelete, j.id, "")
		}
		c.checkState(ctx, rng.IntN(entryCount), c.any(rng))
		select {
		case <-time.After(time.Duration(rng.IntN(400)) * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

func (c *callers) any(rng *rand.Rand) *submittedJob {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jobs[rng.IntN(len(c.jobs))]
}

// submit sends a job until an entry accepts it or callerAttempts are used up.
func (c *callers) submit(ctx context.Context, rng *rand.Rand, j *submittedJob) {
	allRejected := true
	for range callerAttempts {
		status, _ := c.call(ctx, rng.IntN(entryCount), http.MethodPost, j.id, j.body())
		switch status {
		case http.StatusOK:
			j.mu.Lock()
			j.accepted = true
			j.mu.Unlock()
			return
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		default:
			allRejected = false
		}
		if ctx.Err() != nil {
			return
		}
		time.Sleep(time.Duration(50+rng.IntN(200)) * time.Millisecond)
	}
	j.mu.Lock()
	j.rejected = allRejected
	j.mu.Unlock()
}

// checkState reads the state of a job and checks that the state can be true. It
// returns the state, or an empty one if there was no answer.
func (c *callers) checkState(ctx context.Context, entry int, j *submittedJob) structs.JobPhase {
	j.mu.Lock()
	accepted, completed := j.accepted, j.completed // values at the time when the request is sent
	j.mu.Unlock()
	status, body := c.call(ctx, entry, http.MethodGet, j.id, "")
	var answer struct {
		State structs.JobPhase `json:"state"`
	}
	if status == http.StatusOK && json.Unmarshal([]byte(body), &answer) != nil {
		c.system.checker.reportViolation("%s: decode state from %q", j.id, body)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	switch {
	case status == http.StatusGone && accepted:
		c.system.checker.reportViolation("%s was accepted, but is reported as unknown at %s", j.id, time.Now().Format("05.000"))
	case answer.State == structs.JobFailed && c.system.checker.CrashesUnder(j.deadlyTask()) == 0, answer.State == structs.JobCancelled && !j.cancelled:
		c.system.checker.reportViolation("%s is reported as %s without cause", j.id, answer.State)
	case answer.State == structs.JobCompleted && !c.system.checker.allFinished(j):
		c.system.checker.reportViolation("%s is reported as completed before all its tasks have finished", j.id)
	case completed && answer.State != "" && answer.State != structs.JobCompleted:
		c.system.checker.reportViolation("%s was reported as completed, and later as %s", j.id, answer.State)
	}
	j.completed = j.completed || answer.State == structs.JobCompleted
	return answer.State
}
