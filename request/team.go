package request

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/daisywall/daisywall/structs"
)

const (
	// sharedPart is the part of the entry's places, as a share, up to which a
	// team may pass its fair share.
	sharedPart = 0.75
	// burstSeconds is the number of seconds of its rate that a team may use
	// at once.
	burstSeconds = 0.25
	// wantedFor is the time for which a team that was refused for lack of
	// places counts as one that wants its share.
	wantedFor = time.Second
)

// teams enforces the limits of teams at this entry, and shares the entry's
// places among them.
type teams struct {
	places int // requests at this entry at once

	mu    sync.Mutex
	total int
	byID  map[structs.TeamID]*teamState
}

type teamState struct {
	limits   structs.TeamLimits
	rate     *rate.Limiter
	inFlight int
	crowded  time.Time // last refusal for lack of places
}

func newTeams(places int) *teams {
	return &teams{places: places, byID: map[structs.TeamID]*teamState{}}
}

// enter admits a request of the team or refuses it. On success the caller must
// call leave.
func (t *teams) enter(id structs.TeamID, limits structs.TeamLimits, urgent bool) *refusal {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.state(id, limits)
	if limits.Concurrency > 0 && s.inFlight >= limits.Concurrency {
		return &refusal{structs.ReasonConcurrency, retryAfterMin}
	}
	if t.crowded(s, urgent) {
		s.crowded = time.Now()
		return &refusal{structs.ReasonQueueFull, retryAfterMin}
	}
	if wait := s.throttle(); wait > 0 {
		return &refusal{structs.ReasonRateLimit, max(wait, retryAfterMin)}
	}
	s.inFlight++
	t.total++
	return nil
}

func (t *teams) leave(id structs.TeamID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.byID[id]
	s.inFlight--
	t.total--
}

// state returns the team's state with its current limits.
func (t *teams) state(id structs.TeamID, limits structs.TeamLimits) *teamState {
	s, found := t.byID[id]
	if !found {
		s = &teamState{}
		t.byID[id] = s
	}
	if !found || s.limits != limits {
		s.limits = limits
		s.rate = newRate(limits.RequestsPerSecond)
	}
	return s
}

func newRate(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond*burstSeconds)))
}

// crowded reports whether the entry has no place for the team: it is full, or
// it fills up and the team has its fair share. Deferred requests leave the
// last quarter of the places to urgent ones.
func (t *teams) crowded(s *teamState, urgent bool) bool {
	if t.total >= t.places {
		return true
	}
	if float64(t.total) < sharedPart*float64(t.places) {
		return false
	}
	return !urgent || s.inFlight >= t.places/t.wanting(s)
}

// wanting counts the teams that have or want places, s among them.
func (t *teams) wanting(s *teamState) int {
	now := time.Now()
	count := 0
	for _, other := range t.byID {
		if other == s || other.inFlight > 0 || now.Sub(other.crowded) < wantedFor {
			count++
		}
	}
	return count
}

// throttle takes one request of the team's rate, or returns the wait until the
// next one.
func (s *teamState) throttle() time.Duration {
	r := s.rate.Reserve()
	wait := r.Delay()
	if wait > 0 {
		r.Cancel()
	}
	return wait
}
