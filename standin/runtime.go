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
	History  *History // shared with other runtimes; nil for one of its own
}

// Measure returns what a running run uses and its tail latency in
// milliseconds.
type Measure func(substrate.Run) (structs.Resources, float64)

// Runtime is an in-memory substrate.WorkerRuntime of one worker. It enforces
// leases on its own monotonic clock. It starts runs beyond its capacity, and
// records a violation in its history.
type Runtime struct {
	Faults Faults

	options RuntimeOptions
	history *History

	mu          sync.Mutex
	incarnation string
	booted      time.Time
	runs        map[structs.AttemptID]*run
	usageLag    time.Duration
	measure     Measure
}

var _ substrate.WorkerRuntime = (*Runtime)(nil)

// NewRuntime returns a running runtime without runs.
func NewRuntime(options RuntimeOptions) *Runtime {
	r := &Runtime{options: options, history: options.History}
	if r.history == nil {
		r.history = NewHistory()
	}
	r.boot()
	return r
}

// boot begins a new incarnation without runs.
func (r *Runtime) boot() {
	r.incarnation = uuid.NewString()
	r.booted = time.Now()
	r.runs = map[structs.AttemptID]*run{}
}

// History returns the record of starts and ends.
func (r *Runtime) History() *History { return r.history }

// Worker returns the worker that the runtime belongs to.
func (r *Runtime) Worker() structs.WorkerID { return r.options.Worker }

// Restart loses every run and begins a new incarnation.
func (r *Runtime) Restart() {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, run := range r.sorted() {
		if !run.record.State.Over() {
			r.end(run, "", EventLost)
		}
	}
	r.boot()
}

// Close stops every run, so that no goroutine stays behind.
func (r *Runtime) Close() {
	r.mu.Lock()
	var done []chan struct{}
	for _, run := range r.sorted() {
		if !run.record.State.Over() {
			r.end(run, substrate.RunStopped, EventStopped)
		}
		done = append(done, run.done)
	}
	r.mu.Unlock()
	for _, d := range done {
		<-d
	}
}

func (r *Runtime) now() substrate.RuntimeClock {
	return substrate.RuntimeClock(time.Since(r.booted))
}

// sorted returns the runs in the order of their attempts.
func (r *Runtime) sorted() []*run {
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

func refused(reason structs.Reason, format string, args ...any) error {
	return &structs.RefusedError{Subject: "runtime", Reason: reason, Detail: fmt.Sprintf(format, args...)}
}

// locked runs apply under the lock of the runtime and its fault switches.
func locked[T any](ctx context.Context, r *Runtime, operation string, write bool, apply func() (T, error)) (T, error) {
	return withFaults(ctx, &r.Faults, call{"runtime", operation, write}, func() (T, error) {
		r.mu.Lock()
		defer r.mu.Unlock()
		return apply()
	})
}

// Snapshot implements substrate.WorkerRuntime.
func (r *Runtime) Snapshot(ctx context.Context) (substrate.Snapshot, error) {
	return locked(ctx, r, "snapshot", false, func() (substrate.Snapshot, error) {
		s := substrate.Snapshot{Incarnation: r.incarnation, Now: r.now()}
		for _, run := range r.sorted() {
			s.Runs = append(s.Runs, run.snapshot())
		}
		return s, nil
	})
}

// Start implements substrate.WorkerRuntime.
func (r *Runtime) Start(ctx context.Context, spec substrate.StartSpec) error {
	_, err := locked(ctx, r, "start", true, func() (struct{}, error) {
		return struct{}{}, r.start(spec)
	})
	return err
}

func (r *Runtime) start(spec substrate.StartSpec) error {
	now := r.now()
	if spec.Incarnation != r.incarnation {
		return refused(structs.ReasonIncarnation, "incarnation is %s", r.incarnation)
	}
	if _, found := r.runs[spec.Attempt]; found {
		return nil
	}
	if now > spec.NotAfter {
		return refused(structs.ReasonStaleGrant, "grant ended %s ago", time.Duration(now-spec.NotAfter))
	}
	if now >= spec.LeaseUntil {
		return refused(structs.ReasonStaleGrant, "lease ended %s ago", time.Duration(now-spec.LeaseUntil))
	}
	program, found := r.options.Programs[spec.Program]
	if !found {
		return refused(structs.ReasonNotInstalled, "program %q", spec.Program)
	}
	run := newRun(spec, now)
	r.runs[spec.Attempt] = run
	event := r.event(run, EventStarted)
	event.NotAfter = spec.NotAfter
	event.Checkpoint = spec.Checkpoint
	event = r.history.append(event)
	r.checkCapacity(event)
	run.lease = time.AfterFunc(time.Duration(spec.LeaseUntil-now), func() { r.lapse(run) })
	ctx, cancel := context.WithCancel(context.Background())
	run.cancel = cancel
	go r.execute(ctx, run, program)
	return nil
}

func (r *Runtime) checkCapacity(e Event) {
	var sum structs.Resources
	for _, run := range r.runs {
		if !run.record.State.Over() {
			sum = sum.Add(run.record.Resources)
		}
	}
	if !sum.Fits(r.options.Capacity) {
		detail := fmt.Sprintf("runs of %+v on %+v", sum, r.options.Capacity)
		r.history.violate(&Violation{Rule: "capacity", Event: e, Detail: detail})
	}
}

// lapse stops a run whose lease has passed, and waits on when it was renewed.
func (r *Runtime) lapse(run *run) {
	r.mu.Lock()
	defer r.mu.Unlock()
	if run.record.State.Over() || r.runs[run.record.Attempt] != run {
		return
	}
	if left := run.record.LeaseUntil - r.now(); left > 0 {
		run.lease.Reset(time.Duration(left))
		return
	}
	r.end(run, substrate.RunLapsed, EventLapsed)
}

// end closes a run for good.
func (r *Runtime) end(run *run, state substrate.RunState, kind EventKind) {
	run.record.State = state
	run.ended = r.now()
	run.lease.Stop()
	run.cancel()
	r.history.append(r.event(run, kind))
}

func (r *Runtime) event(run *run, kind EventKind) Event {
	return Event{
		Clock:       r.now(),
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
	_, err := locked(ctx, r, "renew", true, func() (struct{}, error) {
		if incarnation != r.incarnation {
			return struct{}{}, refused(structs.ReasonIncarnation, "incarnation is %s", r.incarnation)
		}
		for attempt, until := range leases {
			run, found := r.runs[attempt]
			if !found || run.record.State.Over() {
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
	return locked(ctx, r, "stop", true, func() (substrate.Run, error) {
		run, found := r.runs[attempt]
		if !found {
			return substrate.Run{}, refused(structs.ReasonUnknownAttempt, "%s", attempt)
		}
		if !run.record.State.Over() {
			r.end(run, substrate.RunStopped, EventStopped)
		}
		return run.snapshot(), nil
	})
}

// Throttle implements substrate.WorkerRuntime.
func (r *Runtime) Throttle(ctx context.Context, attempt structs.AttemptID, share float64) error {
	_, err := locked(ctx, r, "throttle", true, func() (struct{}, error) {
		run, found := r.runs[attempt]
		if !found {
			return struct{}{}, refused(structs.ReasonUnknownAttempt, "%s", attempt)
		}
		if run.record.State.Over() {
			return struct{}{}, nil
		}
		run.setShare(min(max(share, 0), 1))
		return struct{}{}, nil
	})
	return err
}

// Forget implements substrate.WorkerRuntime. Runs that are not over stay.
func (r *Runtime) Forget(ctx context.Context, attempts []structs.AttemptID) error {
	_, err := locked(ctx, r, "forget", true, func() (struct{}, error) {
		for _, attempt := range attempts {
			if run, found := r.runs[attempt]; found && run.record.State.Over() {
				delete(r.runs, attempt)
			}
		}
		return struct{}{}, nil
	})
	return err
}

// SetUsage sets the age of the measurements that Usage returns, and what they
// measure: the declared resources when measure is nil.
func (r *Runtime) SetUsage(lag time.Duration, measure Measure) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.usageLag = lag
	r.measure = measure
}

// Usage implements substrate.WorkerRuntime. It reports the runs that have run
// for longer than the lag.
func (r *Runtime) Usage(ctx context.Context) ([]substrate.Usage, error) {
	return locked(ctx, r, "usage", false, func() ([]substrate.Usage, error) {
		var list []substrate.Usage
		for _, run := range r.sorted() {
			if run.record.State.Over() || r.now()-run.started < substrate.RuntimeClock(r.usageLag) {
				continue
			}
			list = append(list, r.usage(run))
		}
		return list, nil
	})
}

func (r *Runtime) usage(run *run) substrate.Usage {
	record := run.snapshot()
	usage := substrate.Usage{Attempt: record.Attempt, Class: record.Class, Resources: record.Resources, Age: r.usageLag}
	if r.measure != nil {
		usage.Resources, usage.LatencyMS = r.measure(record)
	}
	return usage
}
