package fleet

import (
	"fmt"
	"sync"
	"time"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// checker watches the runners from outside the code under test.
type checker struct {
	mu       sync.Mutex
	capacity int64
	running  map[structs.StepTaskID]map[string]structs.TaskRun
	done     map[structs.StepTaskID]bool // an end "done" that was acknowledged
	loads    map[string]int
	starts   map[structs.StepTaskID]int
	startsOn map[hostTask]int
	ends     map[substrate.RunEnd]int
	faults   []string
	log      []string // all that was seen
	// restartsDone is set where tasks are meant to go on after they are done.
	restartsDone bool
}

// hostTask is a task on a host.
type hostTask struct {
	host string
	task structs.StepTaskID
}

// taskCPU is what each task of a world asks for.
const taskCPU = 500

func newChecker(capacity int64) *checker {
	return &checker{
		capacity: capacity, running: map[structs.StepTaskID]map[string]structs.TaskRun{}, done: map[structs.StepTaskID]bool{},
		loads: map[string]int{}, starts: map[structs.StepTaskID]int{}, startsOn: map[hostTask]int{},
		ends: map[substrate.RunEnd]int{},
	}
}

func (c *checker) fault(format string, args ...any) {
	c.faults = append(c.faults, fmt.Sprintf(format, args...))
}

// Started implements standin.RunObserver.
func (c *checker) Started(host string, r structs.TaskRun) {
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
	if int64(c.loads[host]*taskCPU) > c.capacity {
		c.fault("%s brings %s over its capacity", r, host)
	}
}

// Ended implements standin.RunObserver.
func (c *checker) Ended(host string, r structs.TaskRun, end substrate.RunEnd) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.log = append(c.log, fmt.Sprintf("%s ended %s %s %s", time.Now().Format("05.000"), r, host, end))
	delete(c.running[r.Task], host)
	c.loads[host]--
	c.ends[end]++
}

// endsOf returns how many runs ended that way.
func (c *checker) endsOf(end substrate.RunEnd) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ends[end]
}

// Acknowledged implements standin.RunObserver.
func (c *checker) Acknowledged(_ string, r structs.TaskRun, end substrate.RunEnd) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.log = append(c.log, fmt.Sprintf("%s acknowledged %s %s", time.Now().Format("05.000"), r, end))
	if end == substrate.RunEndDone && !c.restartsDone {
		c.done[r.Task] = true
	}
}

// startsOfJob returns how many runs of the job's tasks began.
func (c *checker) startsOfJob(job structs.JobID) int {
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

// Reset implements standin.RunObserver.
func (c *checker) Reset(host string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, hosts := range c.running {
		delete(hosts, host)
	}
	c.loads[host] = 0
}

func (c *checker) found() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.faults...)
}

func (c *checker) startsOf(id structs.StepTaskID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.starts[id]
}

// runsOn returns how many runs the host has.
func (c *checker) runsOn(host string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.loads[host]
}

func (c *checker) total() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, hosts := range c.running {
		n += len(hosts)
	}
	return n
}
