package standin

import (
	"fmt"
	"strings"
	"sync"
	"time"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// RunChecker observes task runners independently of the code under test. It
// records each violation of the guarantees for their tasks: one run at a time,
// no run after an end "done" that is acknowledged then or later, no start that brings a runner above its
// capacity, and few starts of a task that has crashed its runners. It implements
// RunObserver.
type RunChecker struct {
	// AllowsRestartAfterDone is set for systems in which a task may run again
	// after it has ended as done.
	AllowsRestartAfterDone bool
	// TaskCPU returns the request of a task, in thousandths of a processor. It
	// returns the same value at each call. If it is nil, all tasks have the
	// request that was given to NewRunChecker. Set it before the first run.
	TaskCPU func(structs.StepTaskID) int64
	// TaskResources takes the place of TaskCPU if it is set, so that all
	// resources are checked on the runners whose capacity has changed.
	TaskResources func(structs.StepTaskID) structs.Resources
	// CapacityGrace is how long after a change the previous capacity of a runner
	// still counts, if it was larger. Set it before the first run.
	CapacityGrace time.Duration

	// IsSpeculative reports whether a task may have two runs on different runners,
	// one of which may start within CopyGrace after the other was done. If it is
	// nil, no task may. Set it before the first run.
	IsSpeculative func(structs.StepTaskID) bool

	mu               sync.Mutex
	runnerCPU        int64                       // capacity of each runner, in thousandths of a processor
	capacities       map[string][]capacityPeriod // capacities of the runners whose capacity has changed, oldest first
	defaultTaskCPU   int64                       // request of each task without TaskCPU, in thousandths of a processor
	running          map[structs.StepTaskID]map[string]structs.RunID
	acknowledgedDone map[structs.StepTaskID]time.Time // first acknowledgement of a run end "done", by task
	doneAt           map[structs.RunID]time.Time      // times of the run ends "done"
	lastStarts       map[structs.StepTaskID]time.Time // last start, by task
	everDone         map[structs.StepTaskID]bool      // tasks with a run end "done", acknowledged or not
	activeRuns       map[string]int                   // number of active runs, by runner
	reserved         map[string]structs.Resources     // requests of the active runs, by runner
	starts           map[structs.StepTaskID]int
	parallelStarts   int // starts beside another run of the task
	startsOn         map[runnerTask]int
	startsAtCrash    map[structs.StepTaskID][]int // number of starts of the task at each of the crashes that it caused
	ends             map[substrate.RunEnd]int
	violations       []string
	events           []string // every event, one line each
}

// A task may be started fewer than excessiveStarts times after it has crashed
// its runners crashLimit times.
const (
	crashLimit      = 3
	excessiveStarts = 3
)

// runnerTask identifies a task on a runner.
type runnerTask struct {
	runner string
	task   structs.StepTaskID
}

// capacityPeriod is a time in which a runner had the same capacity.
type capacityPeriod struct {
	capacity structs.Resources
	until    time.Time // zero for the current capacity
}

// CopyGrace is how long after the end "done" of a run another run of a
// speculative task may start.
const CopyGrace = time.Second

// DefaultCapacityGrace is the platform's contact_ms and one beat.
const DefaultCapacityGrace = 4100 * time.Millisecond

// NewRunChecker returns a checker of runners with the given capacity, for tasks
// that request cpu, both in thousandths of a processor.
func NewRunChecker(capacity, cpu int64) *RunChecker {
	return &RunChecker{
		runnerCPU: capacity, defaultTaskCPU: cpu, running: map[structs.StepTaskID]map[string]structs.RunID{},
		acknowledgedDone: map[structs.StepTaskID]time.Time{}, doneAt: map[structs.RunID]time.Time{}, lastStarts: map[structs.StepTaskID]time.Time{}, everDone: map[structs.StepTaskID]bool{}, activeRuns: map[string]int{}, reserved: map[string]structs.Resources{},
		capacities: map[string][]capacityPeriod{}, CapacityGrace: DefaultCapacityGrace,
		starts: map[structs.StepTaskID]int{}, startsOn: map[runnerTask]int{}, startsAtCrash: map[structs.StepTaskID][]int{}, ends: map[substrate.RunEnd]int{},
	}
}

func (c *RunChecker) addViolation(format string, args ...any) {
	c.violations = append(c.violations, fmt.Sprintf(format, args...))
}

// requestOf returns the request of the task.
func (c *RunChecker) requestOf(id structs.StepTaskID) structs.Resources {
	switch {
	case c.TaskResources != nil:
		return c.TaskResources(id)
	case c.TaskCPU != nil:
		return structs.Resources{MilliCPU: c.TaskCPU(id)}
	default:
		return structs.Resources{MilliCPU: c.defaultTaskCPU}
	}
}

// CapacityChanged implements RunObserver.
func (c *RunChecker) CapacityChanged(runner string, before, after structs.Resources) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, fmt.Sprintf("%s capacity %+v %s", time.Now().Format("05.000"), after, runner))
	periods := c.capacities[runner]
	if len(periods) == 0 {
		periods = []capacityPeriod{{capacity: before}}
	}
	periods[len(periods)-1].until = time.Now()
	c.capacities[runner] = append(periods, capacityPeriod{capacity: after})
}

// fitsLocked reports whether the runs on the runner fit into its capacity, or
// into one that it had within CapacityGrace. The caller holds the lock.
func (c *RunChecker) fitsLocked(runner string) bool {
	reserved := c.reserved[runner]
	if len(c.capacities[runner]) == 0 {
		return reserved.MilliCPU <= c.runnerCPU
	}
	for _, p := range c.capacities[runner] {
		if (p.until.IsZero() || time.Since(p.until) <= c.CapacityGrace) && reserved.Fits(p.capacity) {
			return true
		}
	}
	return false
}

// Started implements RunObserver.
func (c *RunChecker) Started(runner string, r structs.RunID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, fmt.Sprintf("%s started %s %s", time.Now().Format("05.000"), r, runner))
	c.starts[r.Task]++
	c.lastStarts[r.Task] = time.Now()
	c.startsOn[runnerTask{runner, r.Task}]++
	maxRuns, grace := 1, time.Duration(0)
	if c.IsSpeculative != nil && c.IsSpeculative(r.Task) {
		maxRuns, grace = 2, CopyGrace
	}
	if at, done := c.acknowledgedDone[r.Task]; done && (grace == 0 || time.Since(at) > grace) {
		c.addViolation("%s started on %s after its task was done", r, runner)
	}
	if c.running[r.Task] == nil {
		c.running[r.Task] = map[string]structs.RunID{}
	}
	_, sameRunner := c.running[r.Task][runner]
	c.running[r.Task][runner] = r
	if len(c.running[r.Task]) > 1 {
		c.parallelStarts++
	}
	if len(c.running[r.Task]) > maxRuns || sameRunner {
		c.addViolation("%s started on %s beside another run: %v", r, runner, c.running[r.Task])
	}
	if c.startsAfterCrash(r.Task, crashLimit) == excessiveStarts {
		c.addViolation("%s started on %s, start %d after crash %d by its task", r, runner, excessiveStarts, crashLimit)
	}
	c.activeRuns[runner]++
	c.reserved[runner] = c.reserved[runner].Add(c.requestOf(r.Task))
	if !c.fitsLocked(runner) {
		c.addViolation("%s brings %s over its capacity", r, runner)
	}
}

// Ended implements RunObserver.
func (c *RunChecker) Ended(runner string, r structs.RunID, end substrate.RunEnd) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, fmt.Sprintf("%s ended %s %s %s", time.Now().Format("05.000"), r, runner, end))
	delete(c.running[r.Task], runner)
	c.activeRuns[runner]--
	c.reserved[runner] = c.reserved[runner].Sub(c.requestOf(r.Task))
	c.ends[end]++
	if end == substrate.RunEndDone {
		c.everDone[r.Task], c.doneAt[r] = true, time.Now()
	}
}

// ParallelStarts returns the number of starts beside another run of the task.
func (c *RunChecker) ParallelStarts() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.parallelStarts
}

// EndsOf returns the number of runs that ended with end.
func (c *RunChecker) EndsOf(end substrate.RunEnd) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.ends[end]
}

// Acknowledged implements RunObserver.
func (c *RunChecker) Acknowledged(_ string, r structs.RunID, end substrate.RunEnd) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, fmt.Sprintf("%s acknowledged %s %s", time.Now().Format("05.000"), r, end))
	if end != substrate.RunEndDone || c.AllowsRestartAfterDone {
		return
	}
	if _, found := c.acknowledgedDone[r.Task]; !found {
		c.acknowledgedDone[r.Task] = time.Now()
	}
	if mayCopy := c.IsSpeculative != nil && c.IsSpeculative(r.Task); !mayCopy && c.lastStarts[r.Task].After(c.doneAt[r]) {
		c.addViolation("the end of %s is acknowledged, and its task started after that end", r)
	}
}

// StartsOfJob returns the number of starts of all tasks of the job.
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

// Crashed implements RunObserver.
func (c *RunChecker) Crashed(runner string, r structs.RunID) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.events = append(c.events, fmt.Sprintf("%s crashed by %s %s", time.Now().Format("05.000"), r, runner))
	c.startsAtCrash[r.Task] = append(c.startsAtCrash[r.Task], c.starts[r.Task])
}

// CrashesUnder returns the number of crashes of runners that the task caused.
func (c *RunChecker) CrashesUnder(id structs.StepTaskID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.startsAtCrash[id])
}

// StartsAfterCrash returns the number of starts of the task after the nth crash
// that it caused, n counted from 1.
func (c *RunChecker) StartsAfterCrash(id structs.StepTaskID, n int) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.startsAfterCrash(id, n)
}

// startsAfterCrash implements StartsAfterCrash. The caller holds the lock.
func (c *RunChecker) startsAfterCrash(id structs.StepTaskID, n int) int {
	if crashes := c.startsAtCrash[id]; len(crashes) >= n {
		return c.starts[id] - crashes[n-1]
	}
	return 0
}

// Reset implements RunObserver.
func (c *RunChecker) Reset(runner string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, byRunner := range c.running {
		delete(byRunner, runner)
	}
	c.activeRuns[runner], c.reserved[runner] = 0, structs.Resources{}
}

// Violations returns the violations so far.
func (c *RunChecker) Violations() []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	return append([]string(nil), c.violations...)
}

// StartsOf returns the number of starts of the task.
func (c *RunChecker) StartsOf(id structs.StepTaskID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.starts[id]
}

// ActiveRunsOn returns the number of active runs on the runner.
func (c *RunChecker) ActiveRunsOn(runner string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.activeRuns[runner]
}

// ActiveRuns returns the number of active runs.
func (c *RunChecker) ActiveRuns() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	n := 0
	for _, byRunner := range c.running {
		n += len(byRunner)
	}
	return n
}

// StartsOn returns the number of starts of the task on the runner.
func (c *RunChecker) StartsOn(runner string, id structs.StepTaskID) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.startsOn[runnerTask{runner, id}]
}

// EverDone reports whether a run of the task has ended as done.
func (c *RunChecker) EverDone(id structs.StepTaskID) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.everDone[id]
}

// RunningTasks lists the tasks of the job with an active run.
func (c *RunChecker) RunningTasks(job structs.JobID) []structs.StepTaskID {
	c.mu.Lock()
	defer c.mu.Unlock()
	var list []structs.StepTaskID
	for id, byRunner := range c.running {
		if id.Job == job && len(byRunner) > 0 {
			list = append(list, id)
		}
	}
	return list
}

// EventsMatching returns the lines of the event log that contain the text.
func (c *RunChecker) EventsMatching(text string) []string {
	c.mu.Lock()
	defer c.mu.Unlock()
	var lines []string
	for _, line := range c.events {
		if strings.Contains(line, text) {
			lines = append(lines, line)
		}
	}
	return lines
}
