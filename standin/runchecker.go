package standin

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// RunChecker watches task runners from outside the code under test, and notes
// each violation of what is promised for their tasks. It implements RunObserver.
// All tasks ask for the same processors and no memory to speak of.
type RunChecker struct {
	// RestartsDone is set where tasks are meant to go on after they are done.
	RestartsDone bool

	mu       sync.Mutex
	capacity int64 // of a runner
	cpu      int64 // of a task
	running  map[structs.StepTaskID]map[string]structs.TaskRun
	done     map[structs.StepTaskID]bool // an end "done" that was acknowledged
	finished map[structs.StepTaskID]bool // an end "done", acknowledged or not
	loads    map[string]int
	starts   map[structs.StepTaskID]int
	startsOn map[hostTask]int
	ends     map[substrate.RunEnd]int
	faults   []string
	log      []string // all that was seen
}

// hostTask is a task on a host.
type hostTask struct {
	host string
	task structs.StepTaskID
}

// NewRunChecker returns a checker of runners with the given capacity, for tasks
// that ask for cpu, both in thousandths of a processor.
func NewRunChecker(capacity, cpu int64) *RunChecker {
	return &RunChecker{
		capacity: capacity, cpu: cpu, running: map[structs.StepTaskID]map[string]structs.TaskRun{},
		done: map[structs.StepTaskID]bool{}, finished: map[structs.StepTaskID]bool{}, loads: map[string]int{},
		starts: map[structs.StepTaskID]int{}, startsOn: map[hostTask]int{}, ends: map[substrate.RunEnd]int{},
	}
}

func (c *RunChecker) fault(format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf(format, args...))
}

// Started implements RunObserver.
func (c *RunChecker) Started(host string, r structs.TaskRun) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.log = append(c.log, fmt.Sprintf("%s started %s %s", time.Now().Format("05.000"), r, host))
	c.starts[r.Task]++
	c.startsOn[hostTask{host, r.Task}]++
	if c.done[r.Task] {
		c.fault("%s started on %s after its task was done", r, host)
	}
	if c.running[r.Task] == nil {
		c.running[r.Task] = map[string]structs.TaskRun{}
	}
	c.running[r.Task][host] = r
	if len(c.running[r.Task]) > 1 {
		c.fault("%s started on %s beside another run: %v", r, host, c.running[r.Task])
	}
	c.loads[host]++
	if int64(c.loads[host])*c.cpu > c.capacity {
		c.fault("%s brings %s over its capacity", r, host)
	}
}

// Ended implements RunObserver.
func (c *RunChecker) Ended(host string, r structs.TaskRun, end substrate.RunEnd) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.log = append(c.log, fmt.Sprintf("%s ended %s %s %s", time.Now().Format("05.000"), r, host, end))
	delete(c.running[r.Task], host)
	c.loads[host]--
	c.ends[end]++
	if end == substrate.RunEndDone {
		c.finished[r.Task] = true
	}
}

// EndsOf returns how many runs ended that way.
func (c *RunChecker) EndsOf(end substrate.RunEnd) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ends[end]
}

// Acknowledged implements RunObserver.
func (c *RunChecker) Acknowledged(_ string, r structs.TaskRun, end substrate.RunEnd) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.log = append(c.log, fmt.Sprintf("%s acknowledged %s %s", time.Now().Format("05.000"), r, end))
	if end == substrate.RunEndDone && !c.RestartsDone {
		c.done[r.Task] = true
	}
}

// StartsOfJob returns how many runs of the job's tasks began.
func (c *RunChecker) StartsOfJob(job structs.JobID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for id, starts := range c.starts {
		if id.Job == job {
			n += starts
		}
	}
	return n
}

// Reset implements RunObserver.
func (c *RunChecker) Reset(host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, hosts := range c.running {
		delete(hosts, host)
	}
	c.loads[host] = 0
}

// Found returns the violations so far.
func (c *RunChecker) Found() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.faults...)
}

// StartsOf returns how many runs of the task began.
func (c *RunChecker) StartsOf(id structs.StepTaskID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.starts[id]
}

// RunsOn returns how many runs the host has.
func (c *RunChecker) RunsOn(host string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loads[host]
}

// Total returns how many runs there are now.
func (c *RunChecker) Total() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, hosts := range c.running {
		n += len(hosts)
	}
	return n
}

// StartsOn returns how many runs of the task began on the runner.
func (c *RunChecker) StartsOn(host string, id structs.StepTaskID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.startsOn[hostTask{host, id}]
}

// Finished reports whether a run of the task has ended done.
func (c *RunChecker) Finished(id structs.StepTaskID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.finished[id]
}

// Running lists the tasks of the job that run now.
func (c *RunChecker) Running(job structs.JobID) []structs.StepTaskID {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []structs.StepTaskID
	for id, hosts := range c.running {
		if id.Job == job && len(hosts) > 0 {
			list = append(list, id)
		}
	}
	return list
}

// Log returns what was seen of runs whose name holds the text.
func (c *RunChecker) Log(text string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var lines []string
	for _, line := range c.log {
		if strings.Contains(line, text) {
			lines = append(lines, line)
		}
	}
	return lines
}
