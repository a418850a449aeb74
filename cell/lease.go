package cell

import (
	"time"

	"github.com/daisywall/daisywall/structs"
)

// lapseRule decides when an attempt on a silent worker is surely over. It is
// pure: all readings are of the leader's own monotonic clock.
type lapseRule struct {
	timing   Timing
	tookOver time.Time     // start of the leader's tenure
	ride     KindDurations // of the earlier leaders
	lease    KindDurations // longest lease that any of them granted
}

// lapsesAt returns the time after which no lease of the attempt can be in
// force. Granted is the last time at which this leader granted a lease to the
// worker, or zero. Committed is the time at which this leader committed the
// attempt, or zero if an earlier leader did.
//
// An earlier leader that can't reach the table renews for its ride after its
// last proof of leadership, which was before the takeover. The lease that it
// grants last runs for its term from a reading that the worker took before the
// heartbeat arrived.
func (r lapseRule) lapsesAt(kind structs.WorkKind, granted, committed time.Time) time.Time {
	last := r.tookOver.Add(r.timing.drifted(r.ride.Of(kind)))
	if granted.After(last) {
		last = granted
	}
	// An agent may start the attempt on the heartbeat before the commit.
	if start := committed.Add(r.timing.Grant); !committed.IsZero() && start.After(last) {
		last = start
	}
	return last.Add(r.timing.drifted(r.lease.Of(kind)))
}

// forJob is the rule for attempts of a job: its own ride takes the place of a
// longer one of the earlier leaders, which honoured it as this one does.
func (r lapseRule) forJob(job *structs.Job) lapseRule {
	r.ride.Batch = rideOf(job, r.ride.Batch)
	r.ride.Service = rideOf(job, r.ride.Service)
	return r
}

// rideOf is how long leases of the job are renewed without the table, within
// the leader's bound.
func rideOf(job *structs.Job, bound time.Duration) time.Duration {
	if job.RideOutage > 0 {
		return min(job.RideOutage, bound)
	}
	return bound
}

// startsUntil returns the time after which no agent can start an attempt that
// was committed at the time, or by an earlier leader if it is zero.
func (r lapseRule) startsUntil(committed time.Time) time.Time {
	if committed.IsZero() {
		committed = r.tookOver
	}
	return committed.Add(r.timing.drifted(r.timing.Grant))
}

// renewable reports whether a leader whose leadership was proved last at proof
// may still renew leases of the kind.
func renewable(timing Timing, kind structs.WorkKind, proof, now time.Time) bool {
	return now.Sub(proof) < timing.Ride.Of(kind)
}
