package cell

import (
	"time"

	"github.com/daisywall/daisywall/structs"
)

// leaseExpiryRule determines when the lease of an attempt can no longer be in
// force, without contact to its worker. It is pure. All times are readings of
// the leader's own monotonic clock.
type leaseExpiryRule struct {
	timing         Timing
	acquiredAt     time.Time     // start of this leadership
	earlierRideOut KindDurations // longest ride-out time of the earlier leaders
	longestLease   KindDurations // longest lease that this or an earlier leader grants
}

// expiresAt returns the time after which no lease of the attempt can be in
// force. Granted is the last time at which this leader granted a lease to the
// worker, or zero. Committed is the time at which this leader committed the
// attempt, or zero if an earlier leader did.
//
// An earlier leader that can't reach the table renews leases for its ride-out
// time after its last proof of leadership. That proof was before the start of
// this leadership. The last lease that it grants runs from a clock reading
// that the worker took before the heartbeat arrived.
func (r leaseExpiryRule) expiresAt(kind structs.WorkKind, granted, committed time.Time) time.Time {
	last := r.acquiredAt.Add(r.timing.withClockDrift(r.earlierRideOut.Of(kind)))
	if granted.After(last) {
		last = granted
	}
	// The first lease of the attempt starts at a heartbeat that the agent sent
	// before the commit. The agent starts the attempt within Timing.StartGrant
	// after that heartbeat.
	if start := committed.Add(r.timing.StartGrant); !committed.IsZero() && start.After(last) {
		last = start
	}
	return last.Add(r.timing.withClockDrift(r.longestLease.Of(kind)))
}

// forJob returns the rule for the attempts of a job. A shorter ride-out time
// of the job replaces that of the earlier leaders, because they applied it as
// well.
func (r leaseExpiryRule) forJob(job *structs.Job) leaseExpiryRule {
	r.earlierRideOut.Batch = rideOutOf(job, r.earlierRideOut.Batch)
	r.earlierRideOut.Service = rideOutOf(job, r.earlierRideOut.Service)
	return r
}

// rideOutOf returns how long leases of the job are renewed without the table.
// The leader's own ride-out time is the upper bound.
func rideOutOf(job *structs.Job, bound time.Duration) time.Duration {
	if job.RideOut > 0 {
		return min(job.RideOut, bound)
	}
	return bound
}

// startDeadline returns the time after which no agent can start an attempt.
// Committed is the time at which this leader committed the attempt, or zero if
// an earlier leader did.
func (r leaseExpiryRule) startDeadline(committed time.Time) time.Time {
	if committed.IsZero() {
		committed = r.acquiredAt
	}
	return committed.Add(r.timing.withClockDrift(r.timing.StartGrant))
}

// mayRenew reports whether a leader may still renew leases of the kind.
// ProvedAt is the time of its last proof of leadership.
func mayRenew(timing Timing, kind structs.WorkKind, provedAt, now time.Time) bool {
	return now.Sub(provedAt) < timing.RideOut.Of(kind)
}
