package request

import (
	"sync"
	"time"

	"golang.org/x/time/rate"

	"github.com/daisywall/daisywall/structs"
)

const (
	// fairShareThreshold is the share of the entry's maximum of requests from
	// which each team is held to its fair share and deferred requests are
	// refused.
	fairShareThreshold = 0.75
	// burstSeconds is the size of a team's burst in seconds of its rate limit.
	burstSeconds = 0.25
	// contentionWindow is the time for which a team that was refused for lack
	// of room counts as contending for a fair share.
	contentionWindow = time.Second
)

// teamLimiter enforces the rate and concurrency limits of teams at this entry,
// and divides the entry's concurrency fairly among them.
type teamLimiter struct {
	maxInFlight int // maximum number of requests at this entry

	mu       sync.Mutex
	inFlight int
	byID     map[structs.TeamID]*teamState
}

type teamState struct {
	limits          structs.TeamLimits
	rate            *rate.Limiter
	inFlight        int
	lastFullRefusal time.Time // last refusal for lack of room at the entry, zero if none
}

func newTeamLimiter(maxInFlight int) *teamLimiter {
	return &teamLimiter{maxInFlight: maxInFlight, byID: map[structs.TeamID]*teamState{}}
}

// acquire admits a request of the team or returns a refusal. On success the
// caller must call release.
func (t *teamLimiter) acquire(id structs.TeamID, limits structs.TeamLimits, urgent bool) *refusal {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.stateOf(id, limits)
	if limits.Concurrency > 0 && s.inFlight >= limits.Concurrency {
		return &refusal{structs.ReasonConcurrency, minRetryAfter}
	}
	if t.isFullFor(s, urgent) {
		s.lastFullRefusal = time.Now()
		return &refusal{structs.ReasonQueueFull, minRetryAfter}
	}
	if wait := s.takeRateToken(); wait > 0 {
		return &refusal{structs.ReasonRateLimit, max(wait, minRetryAfter)}
	}
	s.inFlight++
	t.inFlight++
	return nil
}

func (t *teamLimiter) release(id structs.TeamID) {
	t.mu.Lock()
	defer t.mu.Unlock()
	s := t.byID[id]
	s.inFlight--
	t.inFlight--
}

// stateOf returns the team's state and applies changed limits. The caller holds
// the lock.
func (t *teamLimiter) stateOf(id structs.TeamID, limits structs.TeamLimits) *teamState {
	s, found := t.byID[id]
	if !found {
		s = &teamState{}
		t.byID[id] = s
	}
	if !found || s.limits != limits {
		s.limits = limits
		s.rate = newRateLimiter(limits.RequestsPerSecond)
	}
	return s
}

func newRateLimiter(perSecond float64) *rate.Limiter {
	if perSecond <= 0 {
		return rate.NewLimiter(rate.Inf, 0)
	}
	return rate.NewLimiter(rate.Limit(perSecond), max(1, int(perSecond*burstSeconds)))
}

// isFullFor reports whether the entry has no room for a request of the team.
// There is no room when the entry is full. From fairShareThreshold on, there is
// also no room for deferred requests, which leave the rest to urgent ones, and
// for teams that have their fair share. The caller holds the lock.
func (t *teamLimiter) isFullFor(s *teamState, urgent bool) bool {
	if t.inFlight >= t.maxInFlight {
		return true
	}
	if float64(t.inFlight) < fairShareThreshold*float64(t.maxInFlight) {
		return false
	}
	return !urgent || s.inFlight >= t.maxInFlight/t.contendingTeams(s)
}

// contendingTeams counts the teams with requests in flight or a recent refusal
// for lack of room, and s in any case. The caller holds the lock.
func (t *teamLimiter) contendingTeams(s *teamState) int {
	now := time.Now()
	count := 0
	for _, other := range t.byID {
		if other == s || other.inFlight > 0 || now.Sub(other.lastFullRefusal) < contentionWindow {
			count++
		}
	}
	return count
}

// takeRateToken takes one token of the team's rate limit and returns 0, or
// takes none and returns the time until the next token is available.
func (s *teamState) takeRateToken() time.Duration {
	reservation := s.rate.Reserve()
	wait := reservation.Delay()
	if wait > 0 {
		reservation.Cancel()
	}
	return wait
}
