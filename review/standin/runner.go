package main

import (
	"bytes"
	"context"
	"crypto/sha512"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"hash/crc32"
	"net"
	"net/http"
	"slices"
	"sync"
	"time"
)

// Times of a runner, from the pages.
const (
	holdMax       = 10 * time.Second
	stopGrace     = 200 * time.Millisecond
	maxEndsListed = 500
	heartbeat     = 1100 * time.Millisecond
	restoreTime   = 100 * time.Millisecond
	maxWait       = 2 * time.Second
)

// taskPlan is what the tasks of a job do, which only the script knows.
type taskPlan struct {
	work        time.Duration // time to the end "done"
	checkpoints time.Duration // a checkpoint is written after each such time, 0 for never
	spread      time.Duration // the work of the tasks is longer by 0 to this time
}

// run is a run on a runner.
type run struct {
	task, spec string
	number     int
	begun      time.Time // when the work would have begun without a checkpoint
	plan       taskPlan
	saved      string
	stopping   bool
}

// end is the end of a run.
type end struct {
	number int
	task   string
	run    int
	how    string
	saved  string
	at     time.Time
}

type runnerCall struct {
	Task       string `json:"task"`
	Run        int    `json:"run_id"`
	Spec       string `json:"spec"`
	Expires    int64  `json:"expires_ms"`
	Fence      int64  `json:"fence_token"`
	Checkpoint string `json:"checkpoint"`
	LastSeen   int    `json:"last_seen"`
	WaitMS     int64  `json:"wait_ms"`
}

type runnerAnswer struct {
	ClockMS int64   `json:"clock_ms"`
	Born    int64   `json:"born"`
	Reason  string  `json:"reason,omitempty"`
	Running [][]any `json:"running,omitempty"`
	Ended   [][]any `json:"ended,omitempty"`
}

// runner is a stand-in of an application runner with one machine. Its processes are
// its incarnations.
type runner struct {
	sys      *system
	name     string
	id       string
	address  string // of its calls
	control  string // where it registers
	zone     string
	labels   []string
	cpu, mem int64
	server   *http.Server

	mu        sync.Mutex
	up        bool
	unhealthy bool // it answers 503 to starts
	born      time.Time
	seq       int
	runs      map[string]*run // by task and run number
	settled   map[string]int  // by task, the highest run that was stopped or has ended
	ends      []*end
	lastEnd   int
	fence     int64
	lease     time.Time
	wake      chan struct{}
}

func runKey(task string, number int) string { return fmt.Sprintf("%s#%d", task, number) }

// start begins a new incarnation.
func (r *runner) start() error {
	listener, err := net.Listen("tcp", r.address)
	if err != nil {
		return fmt.Errorf("listen for runner %s: %w", r.name, err)
	}
	r.mu.Lock()
	r.up, r.born, r.seq = true, time.Now(), 0
	r.runs, r.settled, r.ends, r.lastEnd, r.fence, r.lease = map[string]*run{}, map[string]int{}, nil, 0, 0, time.Time{}
	r.wake = make(chan struct{})
	r.server = &http.Server{Handler: r, ReadHeaderTimeout: 5 * time.Second}
	server, born := r.server, r.born
	r.mu.Unlock()
	r.sys.rec.add("runner %s: starts as %s, born %d", r.name, r.id, born.UnixMilli())
	go func() { _ = server.Serve(listener) }() // ends with the incarnation
	go r.work(born)
	go r.report(born)
	return nil
}

// crash ends the incarnation, with all that it runs.
func (r *runner) crash() {
	r.mu.Lock()
	r.up = false
	server, n := r.server, len(r.runs)
	for _, v := range r.runs {
		r.sys.runs.ended(r, v, "crashed")
	}
	r.runs = map[string]*run{}
	r.mu.Unlock()
	r.sys.rec.add("runner %s: crashes with %d runs", r.name, n)
	_ = server.Close()
}

func (r *runner) alive(born time.Time) bool { return r.up && r.born.Equal(born) }

// report sends the heartbeats of the incarnation.
func (r *runner) report(born time.Time) {
	client := &http.Client{Timeout: time.Second}
	for {
		r.mu.Lock()
		if !r.alive(born) {
			r.mu.Unlock()
			return
		}
		r.seq++
		body, err := json.Marshal(map[string]any{
			"service": serviceName, "address": r.address, "zone": r.zone, "version": "v1", "slots": 8, "state": "ready", "cold_left_ms": 0,
			"capacity": map[string]int64{"cpu": r.cpu, "mem_mb": r.mem, "gpu": 0}, "labels": r.labels,
			"clock_ms": r.clock(), "seq_no": r.seq, "born": born.UnixMilli(),
		})
		r.mu.Unlock()
		if err == nil {
			r.put(client, body)
		}
		time.Sleep(heartbeat)
	}
}

func (r *runner) put(client *http.Client, body []byte) {
	ctx, cancel := context.WithTimeout(context.Background(), time.Second)
	defer cancel()
	req, err := http.NewRequestWithContext(ctx, http.MethodPut, "http://"+r.control+"/v1/instances/"+r.id, bytes.NewReader(body))
	if err != nil {
		return
	}
	req.Header.Set("Content-Type", "application/json")
	if resp, err := client.Do(req); err == nil { // the next one follows
		resp.Body.Close()
	}
}

// work ends runs that are done, and all of them when the lease lapses.
func (r *runner) work(born time.Time) {
	for range time.Tick(5 * time.Millisecond) {
		r.mu.Lock()
		if !r.alive(born) {
			r.mu.Unlock()
			return
		}
		now := time.Now()
		for _, v := range r.runs {
			if v.plan.checkpoints > 0 {
				v.save(now)
			}
			switch {
			case !now.Before(r.lease):
				r.endRun(v, "lapsed")
			case now.Sub(v.begun) >= v.plan.work:
				r.endRun(v, "done")
			}
		}
		r.mu.Unlock()
	}
}

// save writes a checkpoint for each period of work. A checkpoint names two
// objects by 128 hexadecimal digits each.
func (v *run) save(now time.Time) {
	if n := int(now.Sub(v.begun) / v.plan.checkpoints); n > 0 {
		v.saved = checkpointName(v.task, n)
	}
}

func checkpointName(task string, n int) string {
	input, output := sha512.Sum512([]byte(fmt.Sprintf("in/%s/%d", task, n))), sha512.Sum512([]byte(fmt.Sprintf("out/%s/%d", task, n)))
	return hex.EncodeToString(input[:]) + hex.EncodeToString(output[:])
}

// progressOf returns the number of periods that the checkpoint holds.
func progressOf(task, checkpoint string) int {
	for n := 1; n < 200 && checkpoint != ""; n++ {
		if checkpointName(task, n) == checkpoint {
			return n
		}
	}
	return 0
}

// endRun lists the end of a run. The caller holds mu.
func (r *runner) endRun(v *run, how string) {
	delete(r.runs, runKey(v.task, v.number))
	r.settled[v.task] = max(r.settled[v.task], v.number)
	r.lastEnd++
	r.ends = append(r.ends, &end{number: r.lastEnd, task: v.task, run: v.number, how: how, saved: v.saved, at: time.Now()})
	r.sys.runs.ended(r, v, how)
	r.notify()
}

// notify wakes the calls that wait for an end. The caller holds mu.
func (r *runner) notify() {
	close(r.wake)
	r.wake = make(chan struct{})
}

// clock is the runner's clock in milliseconds. The caller holds mu.
func (r *runner) clock() int64 { return time.Since(r.born).Milliseconds() }

// ServeHTTP implements http.Handler.
func (r *runner) ServeHTTP(w http.ResponseWriter, req *http.Request) {
	var c runnerCall
	if err := json.NewDecoder(req.Body).Decode(&c); err != nil {
		writeJSON(w, http.StatusBadRequest, runnerAnswer{})
		return
	}
	if expected := req.Header.Get("X-Expect-Instance"); expected != "" && expected != r.id {
		writeJSON(w, http.StatusMisdirectedRequest, runnerAnswer{})
		return
	}
	r.mu.Lock()
	born := r.born
	status, reason := http.StatusOK, ""
	switch {
	case c.Fence < r.fence:
		status, reason = http.StatusConflict, "fence"
	case req.URL.Path == "/v1/run-start":
		r.fence = c.Fence
		status, reason = r.startRun(c)
	case req.URL.Path == "/v1/run-stop":
		r.fence = c.Fence
		r.stopRun(c)
	case req.URL.Path == "/v1/pace":
		r.fence = c.Fence
	case req.URL.Path == "/v1/hold":
		r.fence = c.Fence
		r.extend(c.Expires)
		r.forget(c.LastSeen)
		r.mu.Unlock()
		r.await(req.Context(), min(maxWait, time.Duration(c.WaitMS)*time.Millisecond))
		r.mu.Lock()
	default:
		status = http.StatusNotFound
	}
	answer := runnerAnswer{ClockMS: r.clock(), Born: r.born.UnixMilli(), Reason: reason}
	if req.URL.Path == "/v1/hold" && status == http.StatusOK {
		answer.Running, answer.Ended = r.lists()
	}
	alive := r.alive(born)
	r.mu.Unlock()
	if !alive {
		panic(http.ErrAbortHandler) // the process has ended
	}
	writeJSON(w, status, answer)
}

// extend extends the lease. The caller holds mu.
func (r *runner) extend(expires int64) {
	until := min(time.Duration(expires)*time.Millisecond, time.Since(r.born)+holdMax)
	if at := r.born.Add(until); expires > 0 && at.After(r.lease) {
		r.lease = at
	}
}

// startRun starts a run. The caller holds mu.
func (r *runner) startRun(c runnerCall) (status int, reason string) {
	if r.unhealthy {
		r.sys.rec.add("runner %s: answers 503 to the start of %s run %d", r.name, c.Task, c.Run)
		return http.StatusServiceUnavailable, ""
	}
	r.extend(c.Expires)
	switch {
	case r.runs[runKey(c.Task, c.Run)] != nil:
		return http.StatusOK, ""
	case c.Run <= r.settled[c.Task]:
		r.sys.rec.add("runner %s: refuses %s run %d, old", r.name, c.Task, c.Run)
		return http.StatusConflict, "old"
	case !time.Now().Before(r.lease):
		return http.StatusConflict, "late"
	}
	v := &run{task: c.Task, spec: c.Spec, number: c.Run, plan: r.sys.planOf(c.Task), saved: c.Checkpoint, begun: time.Now()}
	if v.plan.spread > 0 {
		v.plan.work += time.Duration(crc32.ChecksumIEEE([]byte(c.Task))) % v.plan.spread
	}
	if n := progressOf(c.Task, c.Checkpoint); n > 0 {
		v.begun = v.begun.Add(restoreTime - time.Duration(n)*v.plan.checkpoints)
	}
	r.runs[runKey(c.Task, c.Run)] = v
	r.sys.runs.started(r, v)
	return http.StatusOK, ""
}

// stopRun stops a run. The caller holds mu.
func (r *runner) stopRun(c runnerCall) {
	v := r.runs[runKey(c.Task, c.Run)]
	if v == nil {
		r.settled[c.Task] = max(r.settled[c.Task], c.Run)
		return
	}
	if v.stopping {
		return
	}
	v.stopping = true
	born := r.born
	time.AfterFunc(stopGrace/4, func() {
		r.mu.Lock()
		defer r.mu.Unlock()
		if r.alive(born) && r.runs[runKey(c.Task, c.Run)] == v {
			r.endRun(v, "stopped")
		}
	})
}

// forget drops the ends that were taken note of. The caller holds mu.
func (r *runner) forget(lastSeen int) {
	for len(r.ends) > 0 && r.ends[0].number <= lastSeen {
		r.sys.runs.noted(r, r.ends[0])
		r.ends = r.ends[1:]
	}
}

// await waits until an end is listed.
func (r *runner) await(ctx context.Context, d time.Duration) {
	r.mu.Lock()
	wake, has := r.wake, len(r.ends) > 0
	r.mu.Unlock()
	if has || d <= 0 {
		return
	}
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-wake:
	case <-timer.C:
	case <-ctx.Done():
	}
}

// lists returns the runs, and the first 500 ends. The caller holds mu.
func (r *runner) lists() (running, ended [][]any) {
	now := time.Now()
	for _, v := range r.runs {
		percent := int(100 * now.Sub(v.begun) / max(1, v.plan.work))
		running = append(running, []any{v.task, v.number, v.saved, max(0, min(100, percent)), 1})
	}
	slices.SortFunc(running, func(a, b []any) int { return bytes.Compare([]byte(a[0].(string)), []byte(b[0].(string))) })
	for _, e := range r.ends[:min(maxEndsListed, len(r.ends))] {
		ended = append(ended, []any{e.number, e.task, e.run, e.how, e.saved})
	}
	return running, ended
}

// setUnhealthy makes the runner answer 503 to starts, or ends that.
func (r *runner) setUnhealthy(unhealthy bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.unhealthy = unhealthy
	r.sys.rec.add("runner %s: answers 503 to starts: %v", r.name, unhealthy)
}
