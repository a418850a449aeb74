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

// Callers' habits.
const (
	callerCount    = 6
	callerDeadline = 3 * time.Second
	callerAttempts = 4
)

// submitted is a job that a caller hands in.
type submitted struct {
	id     structs.JobID
	widths []int // tasks by step
	gang   bool

	mu        sync.Mutex
	accepted  bool // some attempt was answered with success
	refused   bool // every attempt was answered as not run
	cancelled bool // a cancellation was sent, whatever its answer
	completed bool
}

func (j *submitted) body() string {
	var steps []string
	for i, n := range j.widths {
		step := fmt.Sprintf(`{"count":%d,"cpu":%d,"mem_mb":10,"gang":%v`, n, taskCPU, j.gang)
		if i > 0 {
			step += fmt.Sprintf(`,"after":[%d]`, i-1)
		}
		steps = append(steps, step+"}")
	}
	return `{"spec":"soak","steps":[` + strings.Join(steps, ",") + `]}`
}

// callers hand jobs in, ask for them and cancel some, over connections that
// they keep open.
type callers struct {
	site   *testSite
	client *http.Client

	mu   sync.Mutex
	jobs []*submitted
	seen map[int]int // answers by status, 0 for none
}

func newCallers(s *testSite) *callers {
	return &callers{site: s, seen: map[int]int{}, client: &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: callerCount}, Timeout: callerDeadline}}
}

// call makes one request to an entry and returns the status, 0 for no answer.
func (c *callers) call(ctx context.Context, entry int, method string, id structs.JobID, body string) (int, string) {
	front := c.site.hosts[workerHosts+entry%entryHosts].front
	req, err := http.NewRequestWithContext(ctx, method, "http://"+front.address()+"/jobs/"+string(id), strings.NewReader(body))
	if err != nil {
		return 0, err.Error()
	}
	req.Host = "h"
	req.Header.Set("X-Deadline-Ms", fmt.Sprint(callerDeadline.Milliseconds()))
	resp, err := c.client.Do(req)
	if err != nil {
		c.count(0)
		return 0, err.Error()
	}
	defer resp.Body.Close()
	data, err := io.ReadAll(resp.Body)
	if err != nil {
		c.count(0)
		return 0, err.Error()
	}
	c.count(resp.StatusCode)
	return resp.StatusCode, string(data)
}

func (c *callers) count(status int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.seen[status]++
}

// work hands jobs in and asks for them until ctx ends.
func (c *callers) work(ctx context.Context, rng *rand.Rand) {
	for ctx.Err() == nil {
		j := &submitted{id: structs.JobID(fmt.Sprintf("%016x", rng.Uint64())), gang: rng.IntN(4) == 0}
		for range 1 + rng.IntN(2) {
			j.widths = append(j.widths, 1+rng.IntN(3))
		}
		c.site.checker.add(j)
		c.mu.Lock()
		c.jobs = append(c.jobs, j)
		c.mu.Unlock()
		c.submit(ctx, rng, j)
		if rng.IntN(8) == 0 {
			j.mu.Lock()
			j.cancelled = true
			j.mu.Unlock()
			c.call(ctx, rng.IntN(entryHosts), http.MethodDelete, j.id, "")
		}
		c.ask(ctx, rng.IntN(entryHosts), c.any(rng))
		select {
		case <-time.After(time.Duration(rng.IntN(400)) * time.Millisecond):
		case <-ctx.Done():
		}
	}
}

func (c *callers) any(rng *rand.Rand) *submitted {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.jobs[rng.IntN(len(c.jobs))]
}

// submit hands a job in, again after answers that leave it open.
func (c *callers) submit(ctx context.Context, rng *rand.Rand, j *submitted) {
	surely := true
	for range callerAttempts {
		status, _ := c.call(ctx, rng.IntN(entryHosts), http.MethodPost, j.id, j.body())
		switch status {
		case http.StatusOK:
			j.mu.Lock()
			j.accepted = true
			j.mu.Unlock()
			return
		case http.StatusServiceUnavailable, http.StatusTooManyRequests:
		default:
			surely = false
		}
		if ctx.Err() != nil {
			return
		}
		time.Sleep(time.Duration(50+rng.IntN(200)) * time.Millisecond)
	}
	j.mu.Lock()
	j.refused = surely
	j.mu.Unlock()
}

// ask looks at the state of a job and checks that it can be true. It returns
// the state, empty without an answer.
func (c *callers) ask(ctx context.Context, entry int, j *submitted) structs.JobPhase {
	j.mu.Lock()
	accepted, completed := j.accepted, j.completed // as known when the question is put
	j.mu.Unlock()
	status, body := c.call(ctx, entry, http.MethodGet, j.id, "")
	var answer struct {
		State structs.JobPhase `json:"state"`
	}
	if status == http.StatusOK && json.Unmarshal([]byte(body), &answer) != nil {
		c.site.checker.fault("%s: state cannot be read: %q", j.id, body)
	}
	j.mu.Lock()
	defer j.mu.Unlock()
	switch {
	case status == http.StatusGone && accepted:
		c.site.checker.fault("%s was accepted, and is not known at %s", j.id, time.Now().Format("05.000"))
	case answer.State == structs.JobFailed, answer.State == structs.JobCancelled && !j.cancelled:
		c.site.checker.fault("%s is shown as %s without cause", j.id, answer.State)
	case answer.State == structs.JobCompleted && !c.site.checker.allFinished(j):
		c.site.checker.fault("%s is shown as completed before all its tasks are done", j.id)
	case completed && answer.State != "" && answer.State != structs.JobCompleted:
		c.site.checker.fault("%s was completed, and is shown as %s", j.id, answer.State)
	}
	j.completed = j.completed || answer.State == structs.JobCompleted
	return answer.State
}
