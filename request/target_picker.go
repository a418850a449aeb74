package request

import (
	"math/rand/v2"
	"sort"
	"sync"
	"time"

	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/membership"
	"github.com/daisywall/daisywall/structs"
)

const (
	// ejectAfterFailures is the number of consecutive failures after which a
	// target is ejected.
	ejectAfterFailures = 3
	// ejectLatencyRatio is the lowest ratio of a target's average latency to
	// the median of the other targets at which the target is ejected.
	ejectLatencyRatio = 3.0
	// minLatencySamples is the least number of answers for which the average
	// latency of a target is compared.
	minLatencySamples = 10
	// minEjectDuration and maxEjectDuration bound the duration of an ejection,
	// which doubles with each consecutive ejection.
	minEjectDuration = time.Second
	maxEjectDuration = 30 * time.Second
	// ejectedShareDivisor divides the number of targets. The quotient is the
	// maximum number of targets that are ejected at once.
	ejectedShareDivisor = 3
	// latencySmoothing is the weight of the latest latency in the moving
	// average.
	latencySmoothing = 0.2
)

// targetKey identifies one incarnation of a target on one incarnation of its
// agent.
type targetKey struct {
	worker      structs.WorkerID
	target      structs.TargetID
	incarnation string // incarnation of the agent followed by that of the target
}

// targetState is this entry's view of the load and health of a target. The
// picker's lock guards it.
type targetState struct {
	candidate            membership.Candidate
	inFlight             int     // requests of this entry in flight
	inFlightElsewhere    int     // requests of other entries in flight, as last reported by the agent
	slots                int     // slots as last reported by the agent, initially as declared
	slowStartSlots       int     // slots that may be used during slow start; grows with each answer
	latencySeconds       float64 // moving average of the latency in seconds
	latencySamples       int
	consecutiveFailures  int
	consecutiveEjections int
	ejectedUntil         time.Time // zero if never ejected
}

// utilization returns the ratio of the requests in flight, if one more is
// added, to the number that the target may have in flight.
func (t *targetState) utilization() float64 {
	return float64(t.inFlight+t.inFlightElsewhere+1) / float64(t.allowedInFlight())
}

// allowedInFlight is the number of requests that the target may have in flight.
func (t *targetState) allowedInFlight() int { return max(1, min(t.slots, t.slowStartSlots)) }

func (t *targetState) hasFreeSlot() bool { return t.inFlight+t.inFlightElsewhere < t.allowedInFlight() }

// targetPicker picks targets for one request kind of a team by load, failure
// domain and health.
type targetPicker struct {
	localDomain structs.FailureDomainID
	rand        func(n int) int // random number in [0, n)

	mu         sync.Mutex
	candidates []membership.Candidate // list from which targets was built
	targets    []*targetState
	byKey      map[targetKey]*targetState
}

func newTargetPicker(domain structs.FailureDomainID) *targetPicker {
	return &targetPicker{localDomain: domain, rand: rand.IntN, byKey: map[targetKey]*targetState{}}
}

// updateCandidates replaces the candidates. Targets that stay keep their state,
// and new ones begin in slow start.
func (p *targetPicker) updateCandidates(list []membership.Candidate) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if isSameSlice(p.candidates, list) {
		return
	}
	p.candidates = list
	byKey := make(map[targetKey]*targetState, len(list))
	states := make([]*targetState, 0, len(list))
	for _, candidate := range list {
		key := targetKey{candidate.Worker, candidate.Target.ID, candidate.Incarnation + "/" + candidate.Target.Incarnation}
		state, found := p.byKey[key]
		if !found {
			state = &targetState{slots: candidate.Target.Slots, slowStartSlots: 1}
		}
		state.candidate = candidate
		byKey[key] = state
		states = append(states, state)
	}
	p.byKey, p.targets = byKey, states
}

// isSameSlice reports whether both are the same slice in memory.
func isSameSlice(a, b []membership.Candidate) bool {
	if len(a) != len(b) {
		return false
	}
	return len(a) == 0 || &a[0] == &b[0]
}

// totalSlots returns the sum of the slots of all targets.
func (p *targetPicker) totalSlots() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	total := 0
	for _, s := range p.targets {
		total += max(1, s.slots)
	}
	return total
}

// pick returns a target that is not excluded and counts the request in flight,
// or returns nil if there is none. It prefers a target in the local failure
// domain unless that target has a higher utilization than the one in another
// domain. It returns an ejected target only if there is no other target.
func (p *targetPicker) pick(exclude map[*targetState]bool) *targetState {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	var local, remote, ejected []*targetState
	for _, s := range p.targets {
		switch {
		case exclude[s]:
		case now.Before(s.ejectedUntil):
			ejected = append(ejected, s)
		case s.candidate.FailureDomain == p.localDomain:
			local = append(local, s)
		default:
			remote = append(remote, s)
		}
	}
	best := p.preferLocal(p.lessLoadedOfTwo(local), p.lessLoadedOfTwo(remote))
	if best == nil {
		best = p.lessLoadedOfTwo(ejected)
	}
	if best != nil {
		best.inFlight++
	}
	return best
}

func (p *targetPicker) preferLocal(local, remote *targetState) *targetState {
	switch {
	case local == nil:
		return remote
	case remote == nil, local.utilization() <= remote.utilization():
		return local
	default:
		return remote
	}
}

// lessLoadedOfTwo returns the less loaded of two random targets, drawn from
// those with free slots if there are any.
func (p *targetPicker) lessLoadedOfTwo(list []*targetState) *targetState {
	free := make([]*targetState, 0, len(list))
	for _, s := range list {
		if s.hasFreeSlot() {
			free = append(free, s)
		}
	}
	if len(free) > 0 {
		list = free
	}
	if len(list) == 0 {
		return nil
	}
	a := list[p.rand(len(list))]
	b := list[p.rand(len(list))]
	if b.utilization() < a.utilization() {
		return b
	}
	return a
}

// attemptResult is the result of an attempt for the purpose of picking targets.
type attemptResult int

const (
	resultAnswered  attemptResult = iota
	resultFailed                  // the target or the connection to it failed
	resultRefused                 // refused by admission control, which is not a failure
	resultAbandoned               // cancelled by the caller or never sent by this entry
)

// recordResult records the end of an attempt and the load that the agent
// reported. It reports whether the target was ejected as a result.
func (p *targetPicker) recordResult(s *targetState, r attemptResult, took time.Duration, load *daisywallpb.Load) (ejected bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if load != nil && load.Target == string(s.candidate.Target.ID) {
		s.slots = max(1, int(load.Slots))
		s.inFlightElsewhere = max(0, int(load.InUse+load.Queued)-s.inFlight)
	}
	s.inFlight--
	switch r {
	case resultAnswered:
		s.recordAnswer(took)
		return p.ejectIfSlow(s)
	case resultFailed:
		s.consecutiveFailures++
		if s.consecutiveFailures >= ejectAfterFailures {
			return p.eject(s)
		}
	}
	return false
}

func (s *targetState) recordAnswer(took time.Duration) {
	s.consecutiveFailures = 0
	s.latencySamples++
	if s.latencySamples == 1 {
		s.latencySeconds = took.Seconds()
	}
	s.latencySeconds += latencySmoothing * (took.Seconds() - s.latencySeconds)
	if s.slowStartSlots < s.slots {
		s.slowStartSlots++
	}
	if s.latencySamples >= minLatencySamples && time.Since(s.ejectedUntil) > maxEjectDuration {
		s.consecutiveEjections = 0
	}
}

// ejectIfSlow ejects a target that is far slower than the others, and reports
// whether it did so. The caller holds the lock.
func (p *targetPicker) ejectIfSlow(s *targetState) bool {
	if s.latencySamples < minLatencySamples {
		return false
	}
	otherLatencies := make([]float64, 0, len(p.targets))
	for _, other := range p.targets {
		if other != s && other.latencySamples >= minLatencySamples {
			otherLatencies = append(otherLatencies, other.latencySeconds)
		}
	}
	if len(otherLatencies) < 2 {
		return false
	}
	sort.Float64s(otherLatencies)
	if s.latencySeconds < ejectLatencyRatio*otherLatencies[len(otherLatencies)/2] {
		return false
	}
	return p.eject(s)
}

// eject makes pick avoid a target for a while, unless it is the only target or
// too many are ejected already. It reports whether it did so. The caller holds
// the lock.
func (p *targetPicker) eject(s *targetState) bool {
	now := time.Now()
	ejectedCount := 0
	for _, other := range p.targets {
		if now.Before(other.ejectedUntil) {
			ejectedCount++
		}
	}
	if len(p.targets) < 2 || ejectedCount >= max(1, len(p.targets)/ejectedShareDivisor) || now.Before(s.ejectedUntil) {
		return false
	}
	s.ejectedUntil = now.Add(min(minEjectDuration<<min(s.consecutiveEjections, 10), maxEjectDuration))
	s.consecutiveEjections++
	// After the ejection, the target gets requests in slow start again.
	s.slowStartSlots, s.latencySamples, s.consecutiveFailures = 1, 0, 0
	return true
}
