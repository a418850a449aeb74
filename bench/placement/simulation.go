package placement

import (
	"fmt"
	"math"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/daisywall/daisywall/placement"
	"github.com/daisywall/daisywall/placement/estimate"
	"github.com/daisywall/daisywall/structs"
)

// Policy is a placement policy under measurement.
type Policy interface {
	Plan(s *placement.Snapshot) placement.Plan
}

type taskState int

const (
	waiting taskState = iota
	running
	stopping
	ended
)

// simulatedTask is one task of the trace.
type simulatedTask struct {
	id            structs.TaskID
	class         *workClass
	state         taskState
	stateSince    time.Duration // time at which the task entered its state
	deadline      time.Duration // time of the deadline, 0 for none
	cancelAt      time.Duration // time of the cancellation, 0 for never
	progress      float64       // completed share of the work, 0 to 1
	savedProgress float64       // progress in the latest checkpoint
	attempt       int32
	worker        int
	commitment    structs.Resources
	cpuShare      float64
	failedOn      []structs.WorkerID
	finished      bool
	// Values of the latest delivered report about the attempt.
	reportedUsage     structs.Resources
	reportedLatencyMS float64
	reportedAt        time.Duration
	reportedProgress  float64
	// Time and progress up to which the model has observed the attempt.
	learnedAt       time.Duration
	learnedProgress float64
}

func (t *simulatedTask) attemptID() structs.AttemptID {
	return structs.AttemptID{Task: t.id, Number: t.attempt}
}

// pendingReport is a measurement that has not been delivered.
type pendingReport struct {
	// Delivery time of the report, and end of the measured tick.
	deliverAt, tickEnd time.Duration
	worker             int
	task               *simulatedTask
	attempt            int32
	usage              structs.Resources
	latencyMS          float64
	progress           float64
}

// simulation is the state of one run of a trace under a policy.
type simulation struct {
	trace          *Trace
	policy         Policy
	model          *estimate.Model
	now            time.Duration
	nextArrival    int // index of the next arrival in the trace
	tasks          []*simulatedTask
	byID           map[structs.TaskID]*simulatedTask
	hosts          [][]*simulatedTask
	pendingReports []pendingReport
	plannerMemory  placement.PlannerState
	outcomes       []placement.Outcome
	result         Result
	arrivals       []arrival
}

// Run simulates the trace under the policy.
func Run(t *Trace, policy Policy) Result {
	s := &simulation{trace: t, policy: policy, model: estimate.New(estimate.Options{}), byID: map[structs.TaskID]*simulatedTask{}, hosts: make([][]*simulatedTask, workers)}
	s.result.init()
	s.arrivals = append(s.arrivals, t.arrivals...)
	sort.SliceStable(s.arrivals, func(i, j int) bool { return s.arrivals[i].at < s.arrivals[j].at })
	s.placeServices()
	for s.now = 0; s.now < t.length; s.now += tick {
		s.submitArrivals()
		s.deliverReports()
		s.loseRunsInOutDomain()
		s.changeLeader()
		plan := s.policy.Plan(s.snapshot())
		s.plannerMemory = plan.State
		s.applyPlan(plan)
		s.advanceTick()
	}
	s.countDeadlines()
	return s.result
}

// placeServices starts the services before the trace begins, each instance on a
// worker without other instances. The policy decides on their later placements.
func (s *simulation) placeServices() {
	s.submitArrivals()
	next := 0
	for _, t := range s.tasks {
		if t.class.kind == structs.WorkService {
			s.startTask(placement.Placement{Task: t.id, Worker: workerID(s.trace.initialWorkers[next]), Resources: t.class.declared})
			next++
		}
	}
}

func workerID(i int) structs.WorkerID { return structs.WorkerID(fmt.Sprintf("w%02d", i)) }

func domainOf(i int) int { return i / (workers / domains) }

func domainID(i int) structs.FailureDomainID {
	return structs.FailureDomainID(fmt.Sprintf("d%d", i))
}

func (s *simulation) isDomainOut() bool { return s.now >= domainOutFrom && s.now < domainOutTo }

func (s *simulation) submitArrivals() {
	for s.nextArrival < len(s.arrivals) && s.arrivals[s.nextArrival].at <= s.now {
		a := &s.arrivals[s.nextArrival]
		s.nextArrival++
		for i := range a.tasks {
			t := &simulatedTask{id: structs.TaskID{Job: a.job, Index: i}, class: a.class, stateSince: s.now, deadline: a.deadline, cancelAt: a.cancelAt, cpuShare: 1}
			s.tasks = append(s.tasks, t)
			s.byID[t.id] = t
		}
	}
	for _, t := range s.tasks {
		if t.cancelAt > 0 && s.now >= t.cancelAt && t.state == waiting {
			t.state = ended
		}
	}
}

// deliverReports passes all due reports to the model and updates the reported
// values of their tasks.
func (s *simulation) deliverReports() {
	undelivered := s.pendingReports[:0]
	byHost := map[int][]estimate.Report{}
	for _, report := range s.pendingReports {
		if report.deliverAt > s.now {
			undelivered = append(undelivered, report)
			continue
		}
		t := report.task
		byHost[report.worker] = append(byHost[report.worker], estimate.Report{
			Attempt: structs.AttemptID{Task: t.id, Number: report.attempt}, Class: t.class.name, Kind: t.class.kind,
			Usage: report.usage, Age: s.now - report.tickEnd, LatencyMS: report.latencyMS,
		})
		if t.state != running || t.attempt != report.attempt {
			continue
		}
		t.reportedUsage, t.reportedLatencyMS, t.reportedAt, t.reportedProgress = report.usage, report.latencyMS, report.tickEnd, report.progress
		if t.class.kind == structs.WorkBatch && t.cpuShare == 1 && report.progress > t.learnedProgress && report.tickEnd > t.learnedAt {
			s.model.LearnProgress(t.class.name, report.progress-t.learnedProgress, report.tickEnd-t.learnedAt)
			t.learnedProgress, t.learnedAt = report.progress, report.tickEnd
		}
	}
	s.pendingReports = append([]pendingReport(nil), undelivered...)
	for i := range workers {
		if len(byHost[i]) > 0 {
			s.model.Learn(s.now, workerID(i), byHost[i])
		}
	}
}

// domainOutGrace is how long a run may stay in a failure domain that is out
// before it is lost.
const domainOutGrace = 2 * time.Minute

// loseRunsInOutDomain ends the runs that the policy left in a failure domain
// that is out.
func (s *simulation) loseRunsInOutDomain() {
	if !s.isDomainOut() || s.now < domainOutFrom+domainOutGrace {
		return
	}
	for i, host := range s.hosts {
		if domainOf(i) != s.trace.outDomain {
			continue
		}
		for _, t := range append([]*simulatedTask(nil), host...) {
			s.result.Lost++
			t.progress = t.savedProgress
			s.removeFromHost(t, waiting)
		}
	}
}

func (s *simulation) removeFromHost(t *simulatedTask, state taskState) {
	host := s.hosts[t.worker]
	for i := range host {
		if host[i] == t {
			s.hosts[t.worker] = append(host[:i:i], host[i+1:]...)
			break
		}
	}
	t.state, t.stateSince, t.cpuShare = state, s.now, 1
	t.reportedUsage, t.reportedLatencyMS, t.reportedProgress = structs.Resources{}, 0, 0
}

// applyPlan carries out a plan as agents do. A placement that does not fit is
// rejected.
func (s *simulation) applyPlan(plan placement.Plan) {
	for _, r := range plan.Unschedulable {
		s.byID[r.Task].state = ended
		s.result.Refused++
	}
	for _, a := range plan.Cancels {
		if t := s.byID[a.Task]; t.state == running {
			s.removeFromHost(t, ended)
		}
	}
	for _, e := range plan.Evictions {
		if t := s.byID[e.Attempt.Task]; t.state == running {
			t.state, t.stateSince, t.savedProgress = stopping, s.now, t.progress
			s.result.Evictions++
		}
	}
	for _, x := range plan.Throttles {
		if t := s.byID[x.Attempt.Task]; t.state == running {
			t.cpuShare = x.Share
			s.result.Throttles++
		}
	}
	for _, p := range plan.Placements {
		s.startTask(p)
	}
}

func (s *simulation) startTask(p placement.Placement) {
	t := s.byID[p.Task]
	var host int
	_, _ = fmt.Sscanf(string(p.Worker), "w%d", &host)
	free := hostCapacity
	for _, other := range s.hosts[host] {
		free = free.Sub(other.commitment)
	}
	if t.state != waiting || !p.Resources.Fits(free) || (s.isDomainOut() && domainOf(host) == s.trace.outDomain) {
		s.result.Rejected++
		return
	}
	s.result.Wait += s.now - t.stateSince
	s.result.Starts++
	t.state, t.stateSince, t.worker, t.commitment, t.cpuShare = running, s.now, host, p.Resources, 1
	t.attempt++
	t.progress, t.learnedProgress, t.learnedAt = t.savedProgress, t.savedProgress, s.now
	s.hosts[host] = append(s.hosts[host], t)
}

// advanceTick simulates one tick.
func (s *simulation) advanceTick() {
	tickNumber := uint64(s.now / tick)
	for i, host := range s.hosts {
		residents := make([]estimate.Resident, 0, len(host))
		demand := 0.0
		for _, t := range host {
			if t.state == running {
				residents = append(residents, estimate.Resident{Attempt: t.attemptID(), Class: t.class.name, Kind: t.class.kind, Share: t.cpuShare})
			}
			demand += s.cpuDemand(t)
		}
		s.model.Observe(s.now, workerID(i), residents)
		overload := max(1, demand/float64(hostCapacity.MilliCPU))
		for _, t := range append([]*simulatedTask(nil), host...) {
			switch {
			case t.state == stopping:
				s.removeFromHost(t, waiting)
			case t.class.kind == structs.WorkService:
				s.runService(t, host, overload, tickNumber)
			default:
				s.runBatch(t, overload)
			}
		}
	}
	s.countServiceTicks()
}

// serviceLoad returns the load of a service, 0 to 1. It varies over the trace
// as over a day.
func (s *simulation) serviceLoad(c *workClass) float64 {
	phase := 0.0
	if c.name == serviceNames[1] {
		phase = math.Pi / 2
	}
	return 0.6 + 0.4*math.Sin(2*math.Pi*float64(s.now)/float64(duration)+phase)
}

func (s *simulation) cpuDemand(t *simulatedTask) float64 {
	cpu := float64(t.class.usage.MilliCPU)
	if t.class.kind == structs.WorkService {
		return cpu * s.serviceLoad(t.class)
	}
	return cpu * t.cpuShare
}

// overloadLatencyGrowth is the relative growth of tail latency at a processor
// demand of twice the capacity.
const overloadLatencyGrowth = 3.0

// runService records the tail latency of a service instance over the tick, and
// the latency that it would have on an idle host.
func (s *simulation) runService(t *simulatedTask, host []*simulatedTask, overload float64, tickNumber uint64) {
	random := rand.New(rand.NewPCG(s.trace.seed^uint64(t.id.Index)<<32, tickNumber<<8|uint64(t.class.name[0])))
	load := s.serviceLoad(t.class)
	idleMS := t.class.idleLatencyMS * (1 + 0.5*load) * math.Exp(random.NormFloat64()*0.06)
	growth := overloadLatencyGrowth * (overload - 1)
	for _, other := range host {
		if other != t {
			growth += other.class.latencyEffects[t.class.name] * (0.5 + 0.5*load) * other.cpuShare
		}
	}
	latencyMS := idleMS * (1 + growth)
	s.result.recordLatency(idleMS, latencyMS)
	s.queueReport(t, structs.Resources{MilliCPU: int64(s.cpuDemand(t)), MemoryMB: t.class.usage.MemoryMB}, latencyMS)
}

func (s *simulation) queueReport(t *simulatedTask, usage structs.Resources, latencyMS float64) {
	end := s.now + tick
	s.pendingReports = append(s.pendingReports, pendingReport{deliverAt: end + reportLagTicks*tick, tickEnd: end, worker: t.worker, task: t, attempt: t.attempt, usage: usage, latencyMS: latencyMS, progress: t.progress})
}

// failureDelay is the time after which an attempt fails if its class always
// fails or its worker is failing.
const failureDelay = 15 * time.Second

func (s *simulation) runBatch(t *simulatedTask, overload float64) {
	workerFails := t.worker == s.trace.failingWorker && s.now >= workerFailsFrom && s.now < workerFailsTo
	if (workerFails || t.class.alwaysFails) && s.now-t.stateSince >= failureDelay {
		s.endAttempt(t, true)
		return
	}
	step := tick.Seconds() / t.class.runTime.Seconds() * t.cpuShare / overload
	step = min(step, 1-t.progress)
	t.progress += step
	processorSeconds := step * t.class.runTime.Seconds() * float64(t.class.usage.MilliCPU) / 1000
	if !t.class.alwaysFails && !workerFails {
		s.result.Work += processorSeconds
		if s.isDomainOut() {
			s.result.WorkInAbsence += processorSeconds
		}
	}
	s.queueReport(t, structs.Resources{MilliCPU: int64(s.cpuDemand(t)), MemoryMB: t.class.usage.MemoryMB}, 0)
	if t.progress >= 1-1e-9 {
		s.endAttempt(t, false)
	}
}

// maxOutcomes is the largest number of outcomes of attempts in a snapshot.
const maxOutcomes = 1000

func (s *simulation) endAttempt(t *simulatedTask, failed bool) {
	s.outcomes = append(s.outcomes, placement.Outcome{At: s.now + tick, Task: t.id, Class: t.class.name, Worker: workerID(t.worker), Failed: failed})
	if excess := len(s.outcomes) - maxOutcomes; excess > 0 {
		s.outcomes = append([]placement.Outcome(nil), s.outcomes[excess:]...)
	}
	if failed {
		s.result.Failures++
		t.failedOn = append(t.failedOn, workerID(t.worker))
		t.progress = t.savedProgress
		s.removeFromHost(t, waiting)
		return
	}
	t.finished = true
	s.result.Finished++
	if t.deadline > 0 && s.now+tick > t.deadline {
		s.result.Missed++
	}
	s.removeFromHost(t, ended)
}

// countServiceTicks adds the service instances, and the running ones among
// them, to the tick counts of the result.
func (s *simulation) countServiceTicks() {
	for _, t := range s.tasks {
		if t.class.kind == structs.WorkService {
			s.result.serviceTicks++
			if t.state == running {
				s.result.runningTicks++
			}
		}
	}
}

// countDeadlines counts the deadlines within the trace, and those that passed
// with the task unfinished.
func (s *simulation) countDeadlines() {
	for _, t := range s.tasks {
		if t.class.kind == structs.WorkBatch && t.deadline > 0 && t.deadline <= s.trace.length && !t.finished && t.cancelAt == 0 && !t.class.alwaysFails {
			s.result.Missed++
		}
		if t.deadline > 0 && t.deadline <= s.trace.length && t.cancelAt == 0 && !t.class.alwaysFails {
			s.result.Deadlines++
		}
	}
}
