package steps

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"

	"github.com/daisywall/daisywall/structs"
)

// Limits of the rate of work of a pool. It is measured only while the pool is
// full; with room left, the rate is that of the arrivals.
const (
	rateSeconds    = 10              // seconds that are kept
	minMeasured    = 4 * time.Second // time with a full pool before which no end is predicted
	minRate        = 1e-3            // processors, avoids a division by zero
	sizeClasses    = 32              // classes of jobs by work, each of twice the size of the one before
	smallestSize   = -6              // logarithm of the work of the smallest class, in processor seconds
	certainShare   = 0.75            // share of the predicted wait that counts as certain; tasks that run are counted with all of their work
	hopelessFactor = 3               // a job is worth nothing after this multiple of its objective
)

// Limits of the return times of refused jobs.
const (
	maxRetryAfter = 2 * time.Minute
	returnGrace   = 5 * time.Second // how long a return time is valid; Retry-After is in whole seconds
	returnEarly   = time.Second     // a caller may be this much early
	maxReturns    = 4096            // return times that are kept; later ones are not reserved
	returnShare   = 0.25            // share of the pool's rate that refused jobs get when they return
)

// JobLoad is the work of a job for its pool.
type JobLoad struct {
	Pool     structs.PoolID
	Priority int
	Work     float64 // declared work of the job, in processor seconds
	Fills    bool    // the job's tasks fill
	// CriticalPath is the longest chain of declared run times.
	CriticalPath time.Duration
	Objective    time.Duration // time that the job may take, 0 if it has none
	// HasReturned is set for a job that is accepted at its return time. It goes
	// before the other filling jobs of its priority, see Demand.HasReturned.
	HasReturned bool
}

// sizeClass returns the class of the job by its work.
func (j *JobLoad) sizeClass() int {
	if j.HasReturned || !(j.Work > 0) {
		return 0
	}
	return int(min(max(math.Log2(j.Work)-smallestSize, 0), sizeClasses-1))
}

// Backlog holds, by pool and priority, the accepted work that is not done, and by
// pool the work that is done per second. Predictions and changes cost the same
// with any number of open jobs. It follows the order of Sort: a late job does not
// delay one that can still be in time, and a filling job is not delayed by larger
// ones. Times are on one monotonic clock. It is not safe for concurrent use.
type Backlog struct {
	pools   map[structs.PoolID]*poolBacklog
	returns map[structs.JobID]*returnTime
	order   []*returnTime // of all pools, in the order of the refusals
}

type poolBacklog struct {
	priorities []*priorityBacklog // by priority, the highest first
	isFull     bool
	processors float64 // declared by the tasks that run and end by themselves
	observedAt time.Duration
	seconds    [rateSeconds]rateSecond
}

// rateSecond is the work of one second of the clock.
type rateSecond struct {
	second int64
	done   float64       // while the pool was full, in processor seconds
	full   time.Duration // time in which the pool was full
}

// priorityBacklog is the work that is not done, in processor seconds.
type priorityBacklog struct {
	priority   int
	reserved   [2]float64              // of jobs that don't fill: in time, late
	fills      [2][sizeClasses]float64 // of filling jobs: in time, late
	nextReturn time.Duration           // earliest return time of the next job that is refused
}

// returnTime is the time at which a refused job is accepted.
type returnTime struct {
	job  structs.JobID
	load JobLoad
	at   time.Duration
}

// NewBacklog returns an empty backlog.
func NewBacklog() *Backlog {
	return &Backlog{pools: map[structs.PoolID]*poolBacklog{}, returns: map[structs.JobID]*returnTime{}}
}

// Pools returns the pools that have had jobs.
func (b *Backlog) Pools() []structs.PoolID { return slices.Collect(maps.Keys(b.pools)) }

func (b *Backlog) pool(id structs.PoolID) *poolBacklog {
	p := b.pools[id]
	if p == nil {
		p = &poolBacklog{}
		b.pools[id] = p
	}
	return p
}

func (p *poolBacklog) priority(priority int) *priorityBacklog {
	i, found := slices.BinarySearchFunc(p.priorities, priority, func(b *priorityBacklog, wanted int) int { return cmp.Compare(b.priority, wanted) })
	if !found {
		p.priorities = slices.Insert(p.priorities, i, &priorityBacklog{priority: priority})
	}
	return p.priorities[i]
}

// Accept adds the work of an accepted job.
func (b *Backlog) Accept(load JobLoad) { b.add(load, load.Work, false) }

// MarkLate records that the job, of which some work is left, has become late.
func (b *Backlog) MarkLate(load JobLoad, left float64) {
	b.add(load, -left, false)
	b.add(load, left, true)
}

// Finish subtracts work of the job that is done.
func (b *Backlog) Finish(load JobLoad, work float64, isLate bool, now time.Duration) {
	b.add(load, -work, isLate)
	if p := b.pool(load.Pool); p.isFull {
		p.at(now).done += work
	}
}

// Withdraw subtracts work of the job that will not be done.
func (b *Backlog) Withdraw(load JobLoad, work float64, isLate bool) { b.add(load, -work, isLate) }

func (b *Backlog) add(load JobLoad, work float64, isLate bool) {
	p, late := b.pool(load.Pool).priority(load.Priority), 0
	if isLate {
		late = 1
	}
	sum := &p.reserved[late]
	if load.Fills {
		sum = &p.fills[late][load.sizeClass()]
	}
	*sum = max(0, *sum+work) // sums of fractions may end slightly below zero
}

// at returns the entry of the second.
func (p *poolBacklog) at(now time.Duration) *rateSecond {
	second := int64(now / time.Second)
	entry := &p.seconds[second%rateSeconds]
	if entry.second != second {
		*entry = rateSecond{second: second}
	}
	return entry
}

// Observe records whether the pool is full, so that tasks are pending, and the
// processors that the tasks have declared that run and end by themselves.
func (b *Backlog) Observe(pool structs.PoolID, isFull bool, processors float64, now time.Duration) {
	p := b.pool(pool)
	if p.isFull {
		p.at(now).full += min(now-p.observedAt, time.Second)
	}
	p.isFull, p.processors, p.observedAt = isFull, processors, now
}

// rate returns the work done per second while the pool was full, in processors,
// and false if that was too short to tell.
func (p *poolBacklog) rate(now time.Duration) (float64, bool) {
	done, full := 0.0, time.Duration(0)
	for _, s := range p.seconds {
		if int64(now/time.Second)-s.second < rateSeconds {
			done, full = done+s.done, full+s.full
		}
	}
	if full < minMeasured {
		return 0, false
	}
	return max(minRate, done/full.Seconds()), true
}

// Prediction is the predicted time from the submission of a job to its end.
type Prediction struct {
	End      time.Duration
	Earliest time.Duration // the job certainly takes this long
	Rate     float64       // work that the pool does per second, in processors; 0 if the pool has room
}

// IsHopeless reports whether the job is certainly worth nothing at its end.
func (p Prediction) IsHopeless(load JobLoad) bool {
	return load.Objective > 0 && p.Earliest > hopelessFactor*load.Objective
}

// Predict predicts the end of a new job. It returns false if the pool is full and
// its rate is not known yet.
func (b *Backlog) Predict(load JobLoad, now time.Duration) (Prediction, bool) {
	p := b.pool(load.Pool)
	if !p.isFull {
		return Prediction{End: load.CriticalPath, Earliest: load.CriticalPath}, true
	}
	rate, known := p.rate(now)
	if !known {
		return Prediction{}, false
	}
	fastest := max(rate, p.processors) // the declared run times may be too short
	inTime, late := p.workBefore(load)
	wait := func(rate, share float64) time.Duration {
		before := share * inTime
		if seconds(before/rate)+load.CriticalPath > load.Objective {
			before += share * late // it will be late, and not go before these
		}
		return seconds(before / rate)
	}
	return Prediction{
		End:      wait(rate, 1) + max(load.CriticalPath, seconds(load.Work/rate)),
		Earliest: wait(fastest, certainShare) + load.CriticalPath,
		Rate:     rate,
	}, true
}

// seconds converts without an overflow.
func seconds(s float64) time.Duration {
	return time.Duration(min(s, float64(math.MaxInt64/4)/float64(time.Second)) * float64(time.Second))
}

// WorkBefore returns the work that goes before a new job, including late jobs.
func (b *Backlog) WorkBefore(load JobLoad) float64 {
	inTime, late := b.pool(load.Pool).workBefore(load)
	return inTime + late
}

// workBefore returns the work that goes before a new job while the job is in
// time, and the work that goes before it in addition once it is late.
func (p *poolBacklog) workBefore(load JobLoad) (inTime, late float64) {
	for _, b := range p.priorities {
		switch {
		case b.priority < load.Priority:
			inTime += b.work(0, sizeClasses) + b.work(1, sizeClasses)
		case b.priority == load.Priority && load.Fills:
			inTime, late = inTime+b.work(0, load.sizeClass()+1), late+b.work(1, load.sizeClass()+1)
		case b.priority == load.Priority:
			inTime, late = inTime+b.reserved[0], late+b.reserved[1]
		}
	}
	return inTime, late
}

// work returns the work of the jobs that don't fill and of the filling ones in the
// first size classes.
func (b *priorityBacklog) work(late, classes int) float64 {
	sum := b.reserved[late]
	for _, work := range b.fills[late][:classes] {
		sum += work
	}
	return sum
}

// Refuse decides whether a new job is refused because it would be worth nothing at
// its end, and returns after which time its caller should come back. hasRoom
// reports whether a task of the job could start now; it is called only for a job
// that would be refused otherwise. A job of priority 0 is not refused.
//
// The work of a refused job is kept in the backlog until its return time has
// passed, so that later jobs don't take its place. The return times follow each
// other by the time that a share of the pool takes for the jobs, in the order of
// the refusals. A job that returns at its time is accepted, and hasReturned is set:
// it goes before the others of its priority. A time after maxRetryAfter is cut off
// and not reserved.
func (b *Backlog) Refuse(id structs.JobID, load JobLoad, now time.Duration, hasRoom func() bool) (retryAfter time.Duration, refused, hasReturned bool) {
	b.expireReturns(now)
	if r := b.returns[id]; r != nil {
		if now < r.at-returnEarly && !hasRoom() {
			return r.at - now, true, false
		}
		b.drop(r)
		return 0, false, true
	}
	if load.Priority <= 0 {
		return 0, false, false
	}
	prediction, known := b.Predict(load, now)
	if !known || !prediction.IsHopeless(load) || hasRoom() {
		return 0, false, false
	}
	p := b.pool(load.Pool).priority(load.Priority)
	at := max(now+max(returnEarly, prediction.End-load.Objective), p.nextReturn)
	if at > now+maxRetryAfter || len(b.returns) >= maxReturns {
		return maxRetryAfter, true, false
	}
	p.nextReturn = at + seconds(load.Work/(returnShare*prediction.Rate))
	load.HasReturned = true
	r := &returnTime{id, load, at}
	b.returns[id], b.order = r, append(b.order, r)
	b.Accept(load)
	return at - now, true, false
}

// expireReturns drops the return times that have passed. A refusal of another pool
// may hold the first place for longer, at most maxRetryAfter and returnGrace.
func (b *Backlog) expireReturns(now time.Duration) {
	for len(b.order) > 0 && (b.returns[b.order[0].job] != b.order[0] || now > b.order[0].at+returnGrace) {
		if r := b.order[0]; b.returns[r.job] == r {
			b.drop(r)
		}
		b.order = b.order[1:]
	}
}

// drop removes the return time and the work that was kept for it.
func (b *Backlog) drop(r *returnTime) {
	delete(b.returns, r.job)
	b.Withdraw(r.load, r.load.Work, false)
}
