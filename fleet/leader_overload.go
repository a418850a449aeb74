package fleet

import (
	"time"

	"go.uber.org/zap"

	"github.com/daisywall/daisywall/bootclock"
)

const (
	// cycleBudget is the time that one scheduling cycle of an overloaded leader may spend on placements.
	// Cycles of 1,000 workers take a few milliseconds. Messages wait during a cycle,
	// so that it has to be short compared with the interval of reports (0.4 s).
	cycleBudget = 50 * time.Millisecond
	// drainBudget is the time that the loop may spend on waiting messages before it
	// sends the orders, which extend the leases. At a tenth of its usual speed, the
	// loop reads about 200 reports in it.
	drainBudget = 100 * time.Millisecond
	// overloadWait is the wait of a message from which on the leader is overloaded.
	// Urgent work starts within 1.4 s, which takes up to four messages one after the
	// other.
	overloadWait = 250 * time.Millisecond
	// calmWait is the wait from which on the overload goes on. Cycles that spend their
	// budget alone cause shorter waits.
	calmWait = 100 * time.Millisecond
	// calmTime is the time without waits of calmWait after which the leader takes up
	// one level of reduced work again.
	calmTime = 3 * time.Second
	// escalationTime is the shortest time between two levels of reduced work, so that
	// the effect of one shows before the next. Messages that already wait when a level
	// is entered are read within it.
	escalationTime = 500 * time.Millisecond
	// reducedWorkFactor is the multiple of its usual interval at which work is done
	// that is reduced. Work that stopped entirely would leave a leader that is always
	// overloaded without models.
	reducedWorkFactor = 10
)

// workLevel says how much of its work the leader reduces. Each level contains those
// below it.
type workLevel int

const (
	allWork          workLevel = iota
	reducedReadings            // fewer readings for the interference model
	reducedSearches            // fewer searches for copies, stragglers and moves
	reducedSnapshots           // fewer writes of the models
)

// overloadDetector finds out from the waits of messages whether the leader is
// overloaded, and how much of its work it reduces.
type overloadDetector struct {
	level     workLevel
	changedAt bootclock.Time // when the level last changed
	calmSince bootclock.Time // when a message last had a wait of calmWait or more
}

// observe records the wait of the message that was the oldest unread one until now,
// 0 if no message waits. The leader is overloaded while level is not allWork.
func (d *overloadDetector) observe(wait time.Duration, now bootclock.Time) {
	if wait >= calmWait {
		d.calmSince = now
	}
	switch {
	case wait > overloadWait && d.level < reducedSnapshots && (d.level == allWork || now.Sub(d.changedAt) >= escalationTime):
		d.level++
		d.changedAt = now
	case d.level > allWork && now.Sub(d.calmSince) >= calmTime:
		d.level--
		d.changedAt, d.calmSince = now, now
	}
}

// loopMessage is a call that waits for the leader's loop.
type loopMessage struct {
	handle func()
	sentAt bootclock.Time
}

// loopLoad is the load of the leader's loop.
type loopLoad struct {
	detector overloadDetector
	// oldestWait is the longest wait of a message since the last record of the metrics.
	oldestWait time.Duration
	lastCycle  time.Duration // time of the last scheduling cycle

	// Figures of the current overload.
	begunAt      bootclock.Time
	highestLevel workLevel
	longestWait  time.Duration
	longestCycle time.Duration
	unreached    int // demands that cycles did not reach
}

// handleMessage runs a call in the loop.
func (l *leader) handleMessage(m loopMessage) {
	l.unread.Add(-1)
	now := l.o.Clock()
	l.observeWait(now.Sub(m.sentAt), now)
	m.handle()
	l.simulateWork()
}

// observeWait passes the wait of the oldest unread message to the detector, and logs
// when an overload begins and ends.
func (l *leader) observeWait(wait time.Duration, now bootclock.Time) {
	load := &l.load
	load.oldestWait = max(load.oldestWait, wait)
	load.longestWait = max(load.longestWait, wait)
	before := load.detector.level
	load.detector.observe(wait, now)
	level := load.detector.level
	load.highestLevel = max(load.highestLevel, level)
	switch {
	case before == allWork && level != allWork:
		load.begunAt, load.longestWait, load.longestCycle, load.unreached = now, wait, load.lastCycle, l.continuation.Unreached()
		l.log.Warn("leader is overloaded", zap.Duration("oldest_message", wait), zap.Int64("unread", l.unread.Load()),
			zap.Duration("cycle", load.lastCycle), zap.Int("demands_not_reached", load.unreached), zap.Int("workers", len(l.workers)), zap.Int("open_jobs", len(l.openJobs)))
	case before != allWork && level == allWork:
		l.log.Info("leader is no longer overloaded", zap.Duration("took", now.Sub(load.begunAt)), zap.Duration("oldest_message", load.longestWait),
			zap.Duration("cycle", load.longestCycle), zap.Int("demands_not_reached", load.unreached), zap.Int("level", int(load.highestLevel)))
		load.highestLevel = allWork
	}
}

// recordLoad records the metrics of the messages. While no message is unread, it
// tells the detector so: without messages, an overload would not end.
func (l *leader) recordLoad(now bootclock.Time) {
	unread := l.unread.Load()
	if unread == 0 {
		l.observeWait(0, now)
	}
	l.metrics.recordLoad(unread, l.load.oldestWait, l.load.detector.level)
	l.load.oldestWait = 0
}

// recordCycle records a scheduling cycle that has planned.
func (l *leader) recordCycle(took time.Duration) {
	load, unreached := &l.load, l.continuation.Unreached()
	load.lastCycle, load.longestCycle = took, max(load.longestCycle, took)
	load.unreached += unreached
	l.metrics.recordCycle(took, unreached)
}

// newCycleBudget returns a function that reports whether the budget of the cycle that
// begins now is spent. It is called after each demand. Without overload, the budget is
// the wait with which an overload begins, so that the order of demands is the usual one.
func (l *leader) newCycleBudget() (isSpent func() bool) {
	begun, budget := l.o.Clock(), overloadWait
	if l.load.detector.level != allWork {
		budget = cycleBudget
	}
	return func() bool {
		l.simulateWork()
		return l.o.Clock().Sub(begun) >= budget
	}
}

// workInterval returns the interval of work that is reduced from a level on.
func (l *leader) workInterval(usual time.Duration, reducedFrom workLevel) time.Duration {
	if l.load.detector.level >= reducedFrom {
		return reducedWorkFactor * usual
	}
	return usual
}

// simulateWork delays the loop in tests of a slow leader.
func (l *leader) simulateWork() {
	if l.o.simulateWork != nil {
		l.o.simulateWork()
	}
}
