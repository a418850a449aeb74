package placement

import (
	"github.com/daisywall/daisywall/structs"
)

// node is the planner's view of a worker during a planning cycle.
type node struct {
	worker        *Worker
	classes       []int             // class number of each run of the worker
	free          structs.Resources // capacity less the committed resources
	expectedUsage structs.Resources // expected usage of the runs
	stopping      structs.Resources // committed resources of runs that are being stopped
	services      []serviceRun      // latency-critical runs
	closedReason  structs.Reason    // why nothing may start here, empty if the worker is open
	throttled     bool              // at least one run is throttled
	onTrial       bool              // the worker is quarantined and may run one trial task at a time
	trialRunning  bool              // a trial task is running
	reservedFor   *structs.TaskID   // the only task that may start here, nil for any task
	keptFor       *structs.TaskID   // pending task for which the previous cycle reserved the worker
	plannedStarts int               // starts planned in this cycle
	uncertainRuns int               // batch runs with an uncertain harm estimate for a service here
	domain        int               // number of the failure domain
	rack          int               // number of the rack
	index         int               // index in the snapshot's workers
}

// serviceRun is a latency-critical run and the predicted harm to it.
type serviceRun struct {
	run     *Run    // nil for a service placed in this cycle
	service int     // number in the class table
	harm    float64 // predicted relative growth of its tail latency, from all neighbours
}

// processorShare returns the processor share in force, 1 if the run is not
// throttled.
func (r *Run) processorShare() float64 {
	if r.Throttle <= 0 || r.Throttle > 1 {
		return 1
	}
	return r.Throttle
}

// committedResources returns the sum of the resources that the runs have
// committed.
func committedResources(runs []Run) structs.Resources {
	var sum structs.Resources
	for i := range runs {
		sum = sum.Add(runs[i].Resources)
	}
	return sum
}

// latencyCritical reports whether harm to the run can be measured, which is the
// case for a service that reports its latency or whose class has a baseline.
func (r *cycle) latencyCritical(run *Run) bool {
	if run.Kind != structs.WorkService {
		return false
	}
	if run.LatencyMS > 0 {
		return true
	}
	_, known := r.estimates.Baseline(run.Class, run.Usage)
	return known
}

// addNode fills in the node of a worker and adds its runs to the totals of
// teams and jobs.
func (r *cycle) addNode(w *Worker, index int) {
	n := &r.nodes[index]
	n.worker = w
	n.index = index
	n.domain = numberOf(r.domains, w.FailureDomain)
	n.rack = numberOf(r.racks, rackKey{w.FailureDomain, w.Rack})
	n.free = w.Capacity.Sub(committedResources(w.Runs))
	n.closedReason = r.closedReason(w)
	n.classes = r.allocateClassNumbers(len(w.Runs))
	for i := range w.Runs {
		n.classes[i] = r.classes.class(w.Runs[i].Class)
		r.addRun(n, &w.Runs[i], n.classes[i])
	}
	r.sumHarm(n)
}

// allocateClassNumbers cuts a slice for the class numbers of one worker from a
// shared buffer.
func (r *cycle) allocateClassNumbers(count int) []int {
	if count > len(r.classNumberBuffer) {
		r.classNumberBuffer = make([]int, max(count, classNumberChunk))
	}
	part := r.classNumberBuffer[:count:count]
	r.classNumberBuffer = r.classNumberBuffer[count:]
	return part
}

// classNumberChunk is the minimum size of a new buffer for class numbers.
const classNumberChunk = 4096

// addRun adds a run to the totals of its node, team and job.
func (r *cycle) addRun(n *node, run *Run, class int) {
	n.expectedUsage = n.expectedUsage.Add(r.runUsage(run, class))
	n.throttled = n.throttled || run.processorShare() < 1
	if run.Stopping {
		n.stopping = n.stopping.Add(run.Resources)
	}
	if t, found := r.teams[run.Team]; found {
		t.left = t.left.Sub(run.Resources)
	}
	if spread, found := r.jobSpreads[run.Attempt.Task.Job]; found {
		spread.add(n)
	}
	if r.latencyCritical(run) {
		band := r.estimates.Band(run.Class, run.Usage)
		n.services = append(n.services, serviceRun{run: run, service: r.classes.service(class, band)})
	}
}

// runUsage returns the reported usage of the run, or the expected one before the
// first report.
func (r *cycle) runUsage(run *Run, class int) structs.Resources {
	if run.Usage == (structs.Resources{}) {
		return r.classes.demand(class, run.Resources).usage
	}
	return run.Usage
}

// sumHarm sums the predicted harm to each service from its neighbours, and
// counts the batch runs with an uncertain estimate.
func (r *cycle) sumHarm(n *node) {
	if len(n.services) == 0 {
		return
	}
	for i := range n.worker.Runs {
		run := &n.worker.Runs[i]
		if run.Stopping {
			continue
		}
		class := n.classes[i]
		uncertain := false
		for j := range n.services {
			service := &n.services[j]
			if service.run == run {
				continue
			}
			estimate := r.classes.harm(service.service, class)
			service.harm += estimate.mean * run.processorShare()
			uncertain = uncertain || estimate.deviation > r.options.UnknownDeviation
		}
		if uncertain && run.Kind == structs.WorkBatch {
			n.uncertainRuns++
			r.probesByClass[class]++
		}
	}
}

// closedReason returns why nothing may start on the worker, or an empty reason.
func (r *cycle) closedReason(w *Worker) structs.Reason {
	switch {
	case r.snapshot.Domains[w.FailureDomain] != structs.DomainIn:
		return structs.ReasonDomainOut
	case w.State == WorkerLeaving:
		return structs.ReasonLeaving
	case w.State == WorkerSilent:
		return structs.ReasonUnreachable
	}
	return ""
}

type rackKey struct {
	domain structs.FailureDomainID
	rack   string
}

// numberOf returns the number of the key. A new key gets the next number.
func numberOf[K comparable](numbers map[K]int, key K) int {
	n, found := numbers[key]
	if !found {
		n = len(numbers)
		numbers[key] = n
	}
	return n
}

// jobSpread counts the tasks of one job by failure domain, rack and worker.
type jobSpread struct {
	total   int
	domains map[int]int
	racks   map[int]int
	nodes   map[int]int
}

func newJobSpread() *jobSpread {
	return &jobSpread{domains: map[int]int{}, racks: map[int]int{}, nodes: map[int]int{}}
}

func (s *jobSpread) add(n *node) {
	s.total++
	s.domains[n.domain]++
	s.racks[n.rack]++
	s.nodes[n.index]++
}

// crowding returns the weighted share of the job's tasks in the node's failure
// domain, rack and worker, 0 to 1. The failure domain weighs most, then the
// rack.
func (s *jobSpread) crowding(n *node) float64 {
	if s.total == 0 {
		return 0
	}
	const domainWeight, rackWeight, nodeWeight = 0.5, 0.3, 0.2
	near := domainWeight*float64(s.domains[n.domain]) +
		rackWeight*float64(s.racks[n.rack]) +
		nodeWeight*float64(s.nodes[n.index])
	return near / float64(s.total)
}
