package fleet

import (
	"cmp"
	"context"
	"math"
	"slices"
	"time"

	"go.uber.org/zap"

	"github.com/daisywall/daisywall/bootclock"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// Limits of the calls to the permit service.
const (
	maxWorkersPerPermitCall = 30                     // more workers would need a second call, and the objectives allow for one
	maxPermitMargin         = 500 * time.Millisecond // no start is ordered this long before a permit expires; a commit and an order take less
	permitMarginDivisor     = 4                      // a shorter validity is divided into margins and the time for starts
	permitCallMargin        = 2 * time.Second        // added to the answer time in the policy to get the timeout of a call
	maxDoubledTimeouts      = 3                      // how often permitCallMargin doubles after calls without an answer
	permitRetryDelay        = 300 * time.Millisecond // delay of the next call for a step after a failed one
	permitNeedGap           = time.Second            // a step that needs no call for so long begins to wait anew
)

// permitCalls is the state of the calls to the permit service. The service handles the calls
// of a host one after the other, so there is one at a time: a second one would wait for the first
// while the validity of its permits may already run.
type permitCalls struct {
	inFlight bool
	step     structs.StepID // of the call in flight
	timeouts int            // last calls in a row that had no answer in time
	waiting  int            // steps that need a call
	// excess is by how much recent calls took longer than the policy says. It halves with each
	// answer.
	excess time.Duration
}

// timeout returns how long the leader waits for the answer to a call. A call that is given up
// takes its turn at the service all the same, and delays the next one.
func (c *permitCalls) timeout(callTime time.Duration) time.Duration {
	return callTime + 2*c.excess + permitCallMargin<<min(c.timeouts, maxDoubledTimeouts)
}

// recordAnswer records how long a call took that the policy gives callTime for.
func (c *permitCalls) recordAnswer(took, callTime time.Duration) {
	c.timeouts, c.excess = 0, max(took-callTime, c.excess/2)
}

// permitWait is the wait of a step for the answer to its next call.
type permitWait struct {
	since      bootclock.Time // 0 before the first need
	neededAt   bootclock.Time // last time at which the step needed a call
	isReported bool
}

// permitRequest is a call that a step needs.
type permitRequest struct {
	step    structs.StepID
	queue   structs.Queue
	permits *stepPermits
	workers []*worker // workers to name
}

// permitShare counts the workers in the answers for the steps of a queue.
type permitShare struct{ named, permitted int }

// maxSharedAnswers limits the number of workers that a share remembers.
const maxSharedAnswers = 400

func (p *permits) shareOf(queue structs.QueueID) *permitShare {
	if p.shares[queue] == nil {
		p.shares[queue] = &permitShare{}
	}
	return p.shares[queue]
}

func (s *permitShare) record(named, permitted int) {
	if s.named += named; s.named > maxSharedAnswers {
		s.named, s.permitted = s.named/2, s.permitted/2
	}
	s.permitted += permitted
}

// workersFor returns how many workers a call has to name, so that the given number is
// permitted with high probability: the expected number and two standard deviations.
func (s *permitShare) workersFor(permitted int) int {
	if s.named == 0 {
		return maxWorkersPerPermitCall
	}
	p, n := min(1, float64(s.permitted+1)/float64(s.named+2)), float64(permitted)
	return int(math.Ceil((n + 2*math.Sqrt(n*(1-p))) / p))
}

// workersToName returns the workers that a call names for a step that lacks permits for the
// given number of workers. The decision on a worker does not change, so those whose
// permits have expired go first. The others are in order of preference.
func workersToName(expired, unknown []*worker, missing int, policy structs.PermitPolicy, share *permitShare) []*worker {
	limit := maxWorkersInTime(policy)
	named := slices.Clone(expired[:max(0, min(missing, limit, len(expired)))])
	if missing -= len(named); missing > 0 {
		more := min(share.workersFor(missing), limit-len(named), len(unknown))
		named = append(named, unknown[:more]...)
	}
	return named
}

// callTime returns how long the service takes for a call that names n workers.
func callTime(policy structs.PermitPolicy, n int) time.Duration {
	return policy.BaseLatency + time.Duration(n)*policy.PerWorker
}

// permitMargin returns how long before the end of their validity permits are used no more.
func permitMargin(validity time.Duration) time.Duration {
	return min(maxPermitMargin, validity/permitMarginDivisor)
}

// maxWorkersInTime returns how many workers a call names at most, so that its permits are still
// valid for a margin when they arrive, even if their validity begins with the call. If that
// holds for no number, it begins with the answer or the permits are of no use.
func maxWorkersInTime(policy structs.PermitPolicy) int {
	left := policy.Validity - 2*permitMargin(policy.Validity)
	if left < callTime(policy, 1) || policy.PerWorker <= 0 {
		return maxWorkersPerPermitCall
	}
	return int(min(maxWorkersPerPermitCall, (left-policy.BaseLatency)/policy.PerWorker))
}

// permitExpiry returns until when starts with permits may be ordered. Their validity begins between
// the call and its answer. If it would be over when it began with the call, the permits are
// presumed to be valid from the answer: the runner refuses a start otherwise.
func permitExpiry(sentAt, answeredAt bootclock.Time, validity time.Duration) (until bootclock.Time, isPresumed bool) {
	margin := permitMargin(validity)
	if until = sentAt.Add(validity - margin); until.Sub(answeredAt) >= margin {
		return until, false
	}
	return answeredAt.Add(validity - margin), true
}

// need records that the step needs a call.
func (w *permitWait) need(now bootclock.Time) {
	if w.since == 0 || now.Sub(w.neededAt) > permitNeedGap {
		*w = permitWait{since: now}
	}
	w.neededAt = now
}

// nextPermitRequest returns the request to send next, nil if all are delayed after a failure. Those that
// have waited for the limit go first, the longest wait before the others, so that none starves.
// The rest are in order of urgency.
func nextPermitRequest(requests []permitRequest, now bootclock.Time, limit time.Duration) *permitRequest {
	var next *permitRequest
	isOverdue := func(r *permitRequest) bool { return now.Sub(r.permits.wait.since) >= limit }
	for i := range requests {
		r := &requests[i]
		switch {
		case now < r.permits.retryAt:
		case next == nil, isOverdue(r) && (!isOverdue(next) || r.permits.wait.since < next.permits.wait.since):
			next = r
		}
	}
	return next
}

// requestPermits sends one of the requests in the background, unless a call is in flight. The most
// urgent ones come first.
func (l *leader) requestPermits(ctx context.Context, requests []permitRequest) {
	now := l.o.Clock()
	for _, r := range requests {
		r.permits.wait.need(now)
	}
	l.reportPermitWaits(requests, now)
	if l.permits.calls.inFlight {
		return
	}
	next := nextPermitRequest(requests, now, l.o.Timing.IdleLimit)
	switch {
	case next == nil:
	case l.o.Permits == nil:
		l.log.Error("step waits: no permit service is configured", zap.Stringer("step", next.step))
		next.permits.retryAt = now.Add(time.Minute)
	default:
		l.callPermitService(ctx, *next)
	}
}

// reportPermitWaits reports steps that have waited for permits for as long as a job may be idle.
func (l *leader) reportPermitWaits(requests []permitRequest, now bootclock.Time) {
	if l.permits.calls.waiting != len(requests) {
		l.permits.calls.waiting = len(requests)
		l.metrics.recordPermitWaits(len(requests))
	}
	for _, r := range requests {
		wait := &r.permits.wait
		if wait.isReported || now.Sub(wait.since) < l.o.Timing.IdleLimit {
			continue
		}
		wait.isReported = true
		l.log.Warn("step waits for permits", zap.Stringer("step", r.step), zap.Duration("waited", now.Sub(wait.since)), zap.Int("steps_waiting", len(requests)),
			zap.Int("to_name", len(r.workers)), zap.Duration("call_time", callTime(r.queue.Permits, len(r.workers))), zap.Duration("validity", r.queue.Permits.Validity),
			zap.Bool("call_in_flight", l.permits.calls.inFlight), zap.Stringer("for_step", l.permits.calls.step), zap.Int("timeouts", l.permits.calls.timeouts))
	}
}

// callPermitService makes the call of a request in the background.
func (l *leader) callPermitService(ctx context.Context, r permitRequest) {
	calls, sentAt := &l.permits.calls, l.o.Clock()
	calls.inFlight, calls.step = true, r.step
	runners := make([]string, len(r.workers))
	named := make([]calledRunner, len(r.workers))
	for i, w := range r.workers {
		runners[i], named[i] = w.runner, calledRunner{id: w.runner, incarnation: w.incarnation}
	}
	limit := calls.timeout(callTime(r.queue.Permits, len(runners)))
	go func() {
		call, cancel := context.WithTimeout(ctx, limit)
		answer, err := l.o.Permits.RequestPermits(call, r.step, runners)
		isTimeout := call.Err() != nil
		cancel()
		l.runInLoop(ctx, func() {
			calls.inFlight = false
			if err != nil {
				l.handlePermitFailure(r, sentAt, isTimeout, err)
				return
			}
			l.handlePermits(r, sentAt, named, answer)
		})
	}()
}

func (l *leader) handlePermitFailure(r permitRequest, sentAt bootclock.Time, isTimeout bool, err error) {
	now, outcome := l.o.Clock(), "failed"
	if isTimeout {
		outcome = "timeout"
		l.permits.calls.timeouts++
	}
	r.permits.retryAt = now.Add(permitRetryDelay)
	l.metrics.count(l.metrics.permitCalls, outcome)
	l.log.Warn("no permits", zap.Stringer("step", r.step), zap.Int("asked", len(r.workers)), zap.Duration("took", now.Sub(sentAt)),
		zap.Duration("waited", now.Sub(r.permits.wait.since)), zap.Error(err))
}

// handlePermits records the answer to a call that named the runners, one of each worker.
func (l *leader) handlePermits(r permitRequest, sentAt bootclock.Time, named []calledRunner, answer substrate.Permits) {
	now := l.o.Clock()
	validity := cmp.Or(answer.Validity, r.queue.Permits.Validity)
	until, isPresumed := permitExpiry(sentAt, now, validity)
	permitted := 0
	for i, w := range r.workers {
		p := permit{incarnation: named[i].incarnation, token: answer.Tokens[named[i].id], expiresAt: until}
		r.permits.workers[w.id] = p
		if !p.isDenial() {
			permitted++
		}
	}
	l.permits.calls.recordAnswer(now.Sub(sentAt), callTime(r.queue.Permits, len(named)))
	l.permits.shareOf(r.queue.ID).record(len(r.workers), permitted)
	waited := now.Sub(r.permits.wait.since)
	r.permits.wait = permitWait{}
	l.metrics.permitWaits.Record(context.Background(), waited.Seconds())
	l.metrics.count(l.metrics.permitCalls, permitOutcome(permitted, isPresumed))
	l.log.Info("permits", zap.Stringer("step", r.step), zap.Int("asked", len(r.workers)), zap.Int("given", permitted), zap.Duration("took", now.Sub(sentAt)),
		zap.Duration("waited", waited), zap.Duration("validity", validity), zap.Duration("usable", until.Sub(now)), zap.Bool("presumed", isPresumed))
}

// permitOutcome returns the label of an answer in the metrics.
func permitOutcome(permitted int, isPresumed bool) string {
	switch {
	case permitted == 0:
		return "denied"
	case isPresumed:
		return "late"
	default:
		return "permitted"
	}
}
