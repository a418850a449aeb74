package standin

import (
	"cmp"
	"context"
	"fmt"
	"slices"
	"sync"
	"time"

	"github.com/google/uuid"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// RuntimeOptions configures a Runtime.
type RuntimeOptions struct {
	Worker   structs.WorkerID
	Capacity structs.Resources
	Objects  substrate.Objects
	Programs map[string]Program
	History  *History // shared with other runtimes, nil for a separate one
}

// Measure returns the resources that a run uses, and its tail latency in
// milliseconds.
type Measure func(substrate.Run) (structs.Resources, float64)

// Runtime is an in-memory substrate.WorkerRuntime of one worker. It enforces
// leases on its own monotonic clock. It does not refuse runs beyond its
// capacity, but records a violation in its history.
type Runtime struct {
	Faults Faults

	options RuntimeOptions
	history *History

	mu               sync.Mutex
	incarnation      string
	incarnationStart time.Time
	runs             map[structs.AttemptID]*run
	usageLag         time.Duration
	measure          Measure
}

var _ substrate.WorkerRuntime = (*Runtime)(nil)

// NewRuntime returns a runtime without runs.
func NewRuntime(options RuntimeOptions) *Runtime {
	r := &Runtime{options: options, history: options.History}
	if r.history == nil {
		r.history = NewHistory()
	}
	r.startIncarnation()
	return r
}

// startIncarnation begins a new incarnation without runs.
func (r *Runtime) startIncarnation() {
	r.incarnation = uuid.NewString()
	r.incarnationStart = time.Now()
	r.runs = map[structs.AttemptID]*run{}
}

// History returns the history of starts and ends.
func (r *Runtime) History() *History { return r.history }

// Worker returns the worker that the runtime belongs to.
func (r *Runtime) Worker() structs.WorkerID { return r.options.Worker }

// Restart ends every run as lost and begins a new incarnation.
func (r *Runtime) Restart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, run := range r.sortedRunsLocked() {
		if !run.record.State.Final() {
			r.endRunLocked(run, "", EventLost)
		}
	}
	r.startIncarnation()
}

// Close stops every run and waits for its goroutine.
func (r *Runtime) Close() {
	r.mu.Lock()
	var done []chan struct{}
	for _, run := range r.sortedRunsLocked() {
		if !run.record.State.Final() {
			r.endRunLocked(run, substrate.RunStopped, EventStopped)
		}
		done = append(done, run.done)
	}
	r.mu.Unlock()
	for _, runDone := range done {
		<-runDone
	}
}

func (r *Runtime) clockLocked() substrate.RuntimeClock {
	return substrate.RuntimeClock(time.Since(r.incarnationStart))
}

// sortedRunsLocked returns the runs in the order of job, index and attempt
// number. The caller holds the lock.
func (r *Runtime) sortedRunsLocked() []*run {
	list := make([]*run, 0, len(r.runs))
	for _, run := range r.runs {
		list = append(list, run)
	}
	slices.SortFunc(list, func(a, b *run) int {
		return cmp.Or(
			cmp.Compare(a.record.Attempt.Task.Job, b.record.Attempt.Task.Job),
			cmp.Compare(a.record.Attempt.Task.Index, b.record.Attempt.Task.Index),
			cmp.Compare(a.record.Attempt.Number, b.record.Attempt.Number),
		)
	})
	return list
}

func refusedError(reason structs.Reason, format string, args ...any) error {
	return &structs.RefusedError{Subject: "runtime", Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

// callLocked runs apply under the fault switches, with the lock of the runtime
// held.
func callLocked[T any](ctx context.Context, r *Runtime, operation string, write bool, apply func() (T, error)) (T, error) {
	return withFaults(ctx, &r.Faults, callInfo{"runtime", operation, write}, func() (T, error) {
		r.mu.Lock()
		defer r.mu.Unlock()
		return apply()
	})
}

// Snapshot implements substrate.WorkerRuntime.
func (r *Runtime) Snapshot(ctx context.Context) (substrate.Snapshot, error) {
	return callLocked(ctx, r, "snapshot", false, func() (substrate.Snapshot, error) {
		s := substrate.Snapshot{Incarnation: r.incarnation, Now: r.clockLocked()}
		for _, run := range r.sortedRunsLocked() {
			s.Runs = append(s.Runs, run.snapshot())
		}
		return s, nil
	})
}

// Start implements substrate.WorkerRuntime.
func (r *Runtime) Start(ctx context.Context, spec substrate.StartSpec) error {
	_, err := callLocked(ctx, r, "start", true, func() (struct{}, error) {
		return struct{}{}, r.startLocked(spec)
	})
	return err
}

func (r *Runtime) startLocked(spec substrate.StartSpec) error {
	now := r.clockLocked()
	if spec.Incarnation != r.incarnation {
		return refusedError(structs.ReasonIncarnation, "incarnation is %s", r.incarnation)
	}
	if _, found := r.runs[spec.Attempt]; found {
		return nil
	}
	if now > spec.NotAfter {
		return refusedError(structs.ReasonStaleGrant, "grant ended %s ago", time.Duration(now-spec.NotAfter))
	}
	if now >= spec.LeaseUntil {
		return refusedError(structs.ReasonStaleGrant, "lease ended %s ago", time.Duration(now-spec.LeaseUntil))
	}
	program, found := r.options.Programs[spec.Program]
	if !found {
		return refusedError(structs.ReasonNotInstalled, "program %q", spec.Program)
	}
	run := newRun(spec, now)
	r.runs[spec.Attempt] = run
	event := r.newEventLocked(run, EventStarted)
	event.NotAfter = spec.NotAfter
	event.Checkpoint = spec.Checkpoint
	event = r.history.append(event)
	r.checkCapacityLocked(event)
	run.leaseTimer = time.AfterFunc(time.Duration(spec.LeaseUntil-now), func() { r.expireLease(run) })
	ctx, cancel := context.WithCancel(context.Background())
	run.cancel = cancel
	go r.execute(ctx, run, program)
	return nil
}

func (r *Runtime) checkCapacityLocked(e Event) {
	var sum structs.Resources
	for _, run := range r.runs {
		if !run.record.State.Final() {
			sum = sum.Add(run.record.Resources)
		}
	}
	if !sum.Fits(r.options.Capacity) {
		detail := fmt.Sprintf("runs of %+v on %+v", sum, r.options.Capacity)
		r.history.addViolation(&Violation{Rule: "capacity", Event: e, Detail: detail})
	}
}

// expireLease ends a run whose lease has expired. It resets the timer if the
// lease was renewed.
func (r *Runtime) expireLease(run *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if run.record.State.Final() || r.runs[run.record.Attempt] != run {
		return
	}
	if remaining := run.record.LeaseUntil - r.clockLocked(); remaining > 0 {
		run.leaseTimer.Reset(time.Duration(remaining))
		return
	}
	r.endRunLocked(run, substrate.RunLapsed, EventLapsed)
}

// endRunLocked moves a run to a terminal state, cancels its program and records
// the event. The caller holds the lock.
func (r *Runtime) endRunLocked(run *run, state substrate.RunState, kind EventKind) {
	run.record.State = state
	run.endedAt = r.clockLocked()
	run.leaseTimer.Stop()
	run.cancel()
	r.history.append(r.newEventLocked(run, kind))
}

func (r *Runtime) newEventLocked(run *run, kind EventKind) Event {
	return Event{
		Clock:       r.clockLocked(),
		Kind:        kind,
		Worker:      r.options.Worker,
		Incarnation: r.incarnation,
		Attempt:     run.record.Attempt,
		Class:       run.record.Class,
		Program:     run.spec.Program,
		Resources:   run.record.Resources,
		Checkpoint:  run.record.Checkpoint,
	}
}

// Renew implements substrate.WorkerRuntime.
func (r *Runtime) Renew(ctx context.Context, incarnation string, leases map[structs.AttemptID]substrate.RuntimeClock) error {
	_, err := callLocked(ctx, r, "renew", true, func() (struct{}, error) {
		if incarnation != r.incarnation {
			return struct{}{}, refusedError(structs.ReasonIncarnation, "incarnation is %s", r.incarnation)
		}
		for attempt, until := range leases {
			run, found := r.runs[attempt]
			if !found || run.record.State.Final() {
				continue
			}
			run.record.LeaseUntil = max(run.record.LeaseUntil, until)
		}
		return struct{}{}, nil
	})
	return err
}

// Stop implements substrate.WorkerRuntime.
func (r *Runtime) Stop(ctx context.Context, attempt structs.AttemptID) (substrate.Run, error) {
	return callLocked(ctx, r, "stop", true, func() (substrate.Run, error) {
		run, found := r.runs[attempt]
		if !found {
			return substrate.Run{}, refusedError(structs.ReasonUnknownAttempt, "%s", attempt)
		}
		if !run.record.State.Final() {
			r.endRunLocked(run, substrate.RunStopped, EventStopped)
		}
		return run.snapshot(), nil
	})
}

// Throttle implements substrate.WorkerRuntime.
func (r *Runtime) Throttle(ctx context.Context, attempt structs.AttemptID, share float64) error {
	_, err := callLocked(ctx, r, "throttle", true, func() (struct{}, error) {
		run, found := r.runs[attempt]
		if !found {
			return struct{}{}, refusedError(structs.ReasonUnknownAttempt, "%s", attempt)
		}
		if run.record.State.Final() {
			return struct{}{}, nil
		}
		run.setShare(min(max(share, 0), 1))
		return struct{}{}, nil
	})
	return err
}

// DropRecords implements substrate.WorkerRuntime. It keeps the records of runs
// that have not ended.
func (r *Runtime) DropRecords(ctx context.Context, attempts []structs.AttemptID) error {
	_, err := callLocked(ctx, r, "forget", true, func() (struct{}, error) {
		for _, attempt := range attempts {
			if run, found := r.runs[attempt]; found && run.record.State.Final() {
				delete(r.runs, attempt)
			}
		}
		return struct{}{}, nil
	})
	return err
}

// SetUsage sets the age of the measurements that Usage returns, and the
// function that takes them. A nil function reports the declared resources.
func (r *Runtime) SetUsage(lag time.Duration, measure Measure) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.usageLag = lag
	r.measure = measure
}

// Usage implements substrate.WorkerRuntime. It reports the runs that started at
// least the configured lag ago.
func (r *Runtime) Usage(ctx context.Context) ([]substrate.Usage, error) {
	return callLocked(ctx, r, "usage", false, func() ([]substrate.Usage, error) {
		var list []substrate.Usage
		for _, run := range r.sortedRunsLocked() {
			if run.record.State.Final() || r.clockLocked()-run.startedAt < substrate.RuntimeClock(r.usageLag) {
				continue
			}
			list = append(list, r.usageLocked(run))
		}
		return list, nil
	})
}

func (r *Runtime) usageLocked(run *run) substrate.Usage {
	record := run.snapshot()
	usage := substrate.Usage{Attempt: record.Attempt, Class: record.Class, Resources: record.Resources, Age: r.usageLag}
	if r.measure != nil {
		usage.Resources, usage.LatencyMS = r.measure(record)
	}
	return usage
}
