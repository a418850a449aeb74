package placement

import (
	"github.com/daisywall/daisywall/structs"
)

// node is a worker as the planner sees it during a round.
type node struct {
	worker    *Worker
	classes   []int             // class number of each run of the worker
	free      structs.Resources // capacity less what is committed
	used      structs.Resources // expected use of the residents
	stopping  structs.Resources // part of the committed resources that ends soon
	services  []resident        // latency-critical residents
	gate      structs.Reason    // why nothing may start here, empty when open
	throttled bool              // some resident is throttled
	trial     bool              // one task at a time may try this quarantined worker
	trying    bool              // a trial task is running
	holder    *structs.TaskID   // the only task that may start here, nil for any
	starts    int               // starts planned in this round
	untried   int               // residents whose effect on a service is unknown
	domain    int               // number of the failure domain
	rack      int               // number of the rack
	index     int
}

// resident is a latency-critical run with the harm that its neighbours are
// expected to do.
type resident struct {
	run     *Run // nil for a service placed in this round
	service int  // number in the class table
	harm    float64
}

// share returns the processor share in force.
func (r *Run) share() float64 {
	if r.Throttle <= 0 || r.Throttle > 1 {
		return 1
	}
	return r.Throttle
}

// committed returns the sum of what the runs of a worker hold.
func committed(runs []Run) structs.Resources {
	var sum structs.Resources
	for i := range runs {
		sum = sum.Add(runs[i].Resources)
	}
	return sum
}

// latencyCritical reports whether harm to the run can be measured: a service
// that reports its latency, or whose class has done so before.
func (r *round) latencyCritical(run *Run) bool {
	if run.Kind != structs.WorkService {
		return false
	}
	if run.LatencyMS > 0 {
		return true
	}
	_, known := r.estimates.Baseline(run.Class, run.Usage)
	return known
}

// addNode builds the node of a worker and enters its runs in the sums of teams
// and jobs.
func (r *round) addNode(w *Worker, index int) {
	n := &r.nodes[index]
	n.worker = w
	n.index = index
	n.domain = number(r.domains, w.FailureDomain)
	n.rack = number(r.racks, rackKey{w.FailureDomain, w.Rack})
	n.free = w.Capacity.Sub(committed(w.Runs))
	n.gate = r.gate(w)
	n.classes = r.classNumbers(len(w.Runs))
	for i := range w.Runs {
		n.classes[i] = r.classes.class(w.Runs[i].Class)
		r.addRun(n, &w.Runs[i], n.classes[i])
	}
	r.addHarm(n)
}

// classNumbers cuts the class numbers of one worker off a shared buffer.
func (r *round) classNumbers(count int) []int {
	if count > len(r.numbers) {
		r.numbers = make([]int, max(count, numbersChunk))
	}
	part := r.numbers[:count:count]
	r.numbers = r.numbers[count:]
	return part
}

// numbersChunk is the size of the buffer for class numbers.
const numbersChunk = 4096

func (r *round) addRun(n *node, run *Run, class int) {
	usage := run.Usage
	if usage == (structs.Resources{}) {
		usage = r.classes.size(class, run.Resources).usage
	}
	n.used = n.used.Add(usage)
	n.throttled = n.throttled || run.share() < 1
	if run.Stopping {
		n.stopping = n.stopping.Add(run.Resources)
	}
	if t, found := r.teams[run.Team]; found {
		t.left = t.left.Sub(run.Resources)
	}
	if s, found := r.jobs[run.Attempt.Task.Job]; found {
		s.add(n)
	}
	if r.latencyCritical(run) {
		band := r.estimates.Band(run.Class, run.Usage)
		n.services = append(n.services, resident{run: run, service: r.classes.service(class, band)})
	}
}

// addHarm sums up what the neighbours of each service are expected to do to
// it.
func (r *round) addHarm(n *node) {
	if len(n.services) == 0 {
		return
	}
	for i := range n.worker.Runs {
		run := &n.worker.Runs[i]
		if run.Stopping {
			continue
		}
		class := n.classes[i]
		untried := false
		for j := range n.services {
			s := &n.services[j]
			if s.run == run {
				continue
			}
			p := r.classes.pair(s.service, class)
			s.harm += p.mean * run.share()
			untried = untried || p.deviation > r.options.UnknownDeviation
		}
		if untried && run.Kind == structs.WorkBatch {
			n.untried++
			r.probes[class]++
		}
	}
}

// gate returns why nothing may start on the worker.
func (r *round) gate(w *Worker) structs.Reason {
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

// number returns the number of the key, giving out the next one to a new key.
func number[K comparable](numbers map[K]int, key K) int {
	n, found := numbers[key]
	if !found {
		n = len(numbers)
		numbers[key] = n
	}
	return n
}

// spread counts the tasks of one job by place.
type spread struct {
	total   int
	domains map[int]int
	racks   map[int]int
	nodes   map[int]int
}

func newSpread() *spread {
	return &spread{domains: map[int]int{}, racks: map[int]int{}, nodes: map[int]int{}}
}

func (s *spread) add(n *node) {
	s.total++
	s.domains[n.domain]++
	s.racks[n.rack]++
	s.nodes[n.index]++
}

// crowding returns the share of the job's tasks that already sit near the
// node, 0 to 1. The failure domain weighs most, then the rack.
func (s *spread) crowding(n *node) float64 {
	if s.total == 0 {
		return 0
	}
	const domainWeight, rackWeight, nodeWeight = 0.5, 0.3, 0.2
	near := domainWeight*float64(s.domains[n.domain]) +
		rackWeight*float64(s.racks[n.rack]) +
		nodeWeight*float64(s.nodes[n.index])
	return near / float64(s.total)
}
