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
	// ejectFailures is the number of consecutive failures that eject a target.
	ejectFailures = 3
	// ejectSlow is the ratio of a target's smoothed latency to the median of
	// its peers that ejects it.
	ejectSlow = 3.0
	// ejectSamples is the least number of answers for a verdict on latency.
	ejectSamples = 10
	// ejectBase and ejectMax bound the time of an ejection, which doubles with
	// every ejection that follows another.
	ejectBase = time.Second
	ejectMax  = 30 * time.Second
	// ejectShare is the share of candidates, as a divisor, that may be ejected.
	ejectShare = 3
	// latencySmoothing is the weight of the latest latency.
	latencySmoothing = 0.2
)

// targetKey names one incarnation of a target.
type targetKey struct {
	worker      structs.WorkerID
	target      structs.TargetID
	incarnation string
}

// targetState is what this entry knows of a target. It is guarded by the
// chooser's lock.
type targetState struct {
	candidate membership.Candidate
	inFlight  int     // requests of this entry
	others    int     // requests of others, as last reported
	slots     int     // as last reported, declared at first
	ramp      int     // slots that may be used while the target is fresh
	latency   float64 // smoothed seconds
	samples   int
	failures  int // consecutive
	ejections int // consecutive
	ejected   time.Time
}

// load is the use of the target as a share of its slots.
func (t *targetState) load() float64 {
	return float64(t.inFlight+t.others+1) / float64(t.allowed())
}

// allowed is the number of requests to have at the target at once.
func (t *targetState) allowed() int { return max(1, min(t.slots, t.ramp)) }

func (t *targetState) free() bool { return t.inFlight+t.others < t.allowed() }

// chooser picks targets of one kind of request.
type chooser struct {
	domain structs.FailureDomainID
	rand   func(n int) int

	mu     sync.Mutex
	source []membership.Candidate // list that states was built from
	states []*targetState
	byKey  map[targetKey]*targetState
}

func newChooser(domain structs.FailureDomainID) *chooser {
	return &chooser{domain: domain, rand: rand.IntN, byKey: map[targetKey]*targetState{}}
}

// refresh takes a new list of candidates.
func (c *chooser) refresh(list []membership.Candidate) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if sameList(c.source, list) {
		return
	}
	c.source = list
	byKey := make(map[targetKey]*targetState, len(list))
	states := make([]*targetState, 0, len(list))
	for _, candidate := range list {
		key := targetKey{candidate.Worker, candidate.Target.ID, candidate.Incarnation + "/" + candidate.Target.Incarnation}
		state, known := c.byKey[key]
		if !known {
			state = &targetState{slots: candidate.Target.Slots, ramp: 1}
		}
		state.candidate = candidate
		byKey[key] = state
		states = append(states, state)
	}
	c.byKey, c.states = byKey, states
}

// sameList reports whether both are the same slice.
func sameList(a, b []membership.Candidate) bool {
	if len(a) != len(b) {
		return false
	}
	return len(a) == 0 || &a[0] == &b[0]
}

// slots returns the number of requests that all targets work on at once.
func (c *chooser) slots() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	total := 0
	for _, s := range c.states {
		total += max(1, s.slots)
	}
	return total
}

// pick chooses a target and counts the request in flight, or returns nil when
// none is left. It prefers the own failure domain unless that is worse.
func (c *chooser) pick(exclude map[*targetState]bool) *targetState {
	c.mu.Lock()
	defer c.mu.Unlock()
	now := time.Now()
	var own, other, ejected []*targetState
	for _, s := range c.states {
		switch {
		case exclude[s]:
		case now.Before(s.ejected):
			ejected = append(ejected, s)
		case s.candidate.FailureDomain == c.domain:
			own = append(own, s)
		default:
			other = append(other, s)
		}
	}
	best := c.preferOwn(c.bestOfTwo(own), c.bestOfTwo(other))
	if best == nil {
		best = c.bestOfTwo(ejected)
	}
	if best != nil {
		best.inFlight++
	}
	return best
}

func (c *chooser) preferOwn(own, other *targetState) *targetState {
	switch {
	case own == nil:
		return other
	case other == nil, own.load() <= other.load():
		return own
	default:
		return other
	}
}

// bestOfTwo returns the less loaded of two random targets, among those with
// free slots if there are any.
func (c *chooser) bestOfTwo(list []*targetState) *targetState {
	free := make([]*targetState, 0, len(list))
	for _, s := range list {
		if s.free() {
			free = append(free, s)
		}
	}
	if len(free) > 0 {
		list = free
	}
	if len(list) == 0 {
		return nil
	}
	a := list[c.rand(len(list))]
	b := list[c.rand(len(list))]
	if b.load() < a.load() {
		return b
	}
	return a
}

// result is how an attempt ended, as far as the choice of targets matters.
type result int

const (
	resultAnswered result = iota
	resultFailed          // the target or the way to it failed
	resultRefused         // refused by admission, which is no failure
	resultDropped         // given up on by this entry
)

// done takes the end of an attempt and reports whether it ejected the target.
func (c *chooser) done(s *targetState, r result, took time.Duration, load *daisywallpb.Load) (ejected bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if load != nil && load.Target == string(s.candidate.Target.ID) {
		s.slots = max(1, int(load.Slots))
		s.others = max(0, int(load.InUse+load.Queued)-s.inFlight)
	}
	s.inFlight--
	switch r {
	case resultAnswered:
		s.answered(took)
		return c.judgeLatency(s)
	case resultFailed:
		s.failures++
		if s.failures >= ejectFailures {
			return c.eject(s)
		}
	}
	return false
}

func (s *targetState) answered(took time.Duration) {
	s.failures = 0
	s.samples++
	if s.samples == 1 {
		s.latency = took.Seconds()
	}
	s.latency += latencySmoothing * (took.Seconds() - s.latency)
	if s.ramp < s.slots {
		s.ramp++
	}
	if s.samples >= ejectSamples && time.Since(s.ejected) > ejectMax {
		s.ejections = 0
	}
}

// judgeLatency ejects a target that is far slower than its peers. The caller
// holds the lock.
func (c *chooser) judgeLatency(s *targetState) bool {
	if s.samples < ejectSamples {
		return false
	}
	peers := make([]float64, 0, len(c.states))
	for _, other := range c.states {
		if other != s && other.samples >= ejectSamples {
			peers = append(peers, other.latency)
		}
	}
	if len(peers) < 2 {
		return false
	}
	sort.Float64s(peers)
	if s.latency < ejectSlow*peers[len(peers)/2] {
		return false
	}
	return c.eject(s)
}

// eject takes a target out for a while, unless too many are out. The caller
// holds the lock.
func (c *chooser) eject(s *targetState) bool {
	now := time.Now()
	out := 0
	for _, other := range c.states {
		if now.Before(other.ejected) {
			out++
		}
	}
	if len(c.states) < 2 || out >= max(1, len(c.states)/ejectShare) || now.Before(s.ejected) {
		return false
	}
	s.ejected = now.Add(min(ejectBase<<min(s.ejections, 10), ejectMax))
	s.ejections++
	// It comes back as a fresh target.
	s.ramp, s.samples, s.failures = 1, 0, 0
	return true
}
