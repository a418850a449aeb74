package standin

import (
	"context"
	"errors"
	"fmt"
	"time"

	"github.com/cenkalti/backoff/v5"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// Limits of a runtime's calls to the object store.
const (
	storeTimeout  = 5 * time.Second
	storeRetryMax = 2 * time.Second // longest backoff while the store is unavailable
)

// ResultKey returns the object key of the result of a task.
func ResultKey(task structs.TaskID) string {
	return fmt.Sprintf("result/%s/%d", task.Job, task.Index)
}

// run is one attempt inside a Runtime. The lock of the runtime guards it.
type run struct {
	spec        substrate.StartSpec
	record      substrate.Run
	startedAt   substrate.RuntimeClock
	endedAt     substrate.RuntimeClock
	leaseTimer  *time.Timer
	cancel      context.CancelFunc
	done        chan struct{} // closed when the goroutine of the run has ended
	input       *Input        // nil until the input has been read
	cpuShare    float64
	checkpoints int // number of checkpoints written so far
}

func newRun(spec substrate.StartSpec, now substrate.RuntimeClock) *run {
	return &run{
		spec: spec,
		record: substrate.Run{
			Attempt:    spec.Attempt,
			State:      substrate.RunRunning,
			Checkpoint: spec.Checkpoint,
			Resources:  spec.Resources,
			Class:      spec.Class,
			Kind:       spec.Kind,
			LeaseUntil: spec.LeaseUntil,
		},
		startedAt: now,
		done:      make(chan struct{}),
		cpuShare:  1,
	}
}

func (r *run) snapshot() substrate.Run {
	record := r.record
	if r.input != nil {
		_, record.Progress = r.input.checkpointState()
	}
	return record
}

func (r *run) setShare(share float64) {
	r.cpuShare = share
	r.record.State = substrate.RunThrottled
	if share == 1 {
		r.record.State = substrate.RunRunning
	}
	if r.input != nil {
		r.input.setCPUShare(share)
	}
}

// execute reads the input, runs the program, stores its result and ends the
// run.
func (r *Runtime) execute(ctx context.Context, run *run, program Program) {
	defer close(run.done)
	result, err := r.runProgram(ctx, run, program)
	key := ""
	if err == nil {
		key = ResultKey(run.spec.Attempt.Task)
		_, err = retryStoreCall(ctx, func(ctx context.Context) (struct{}, error) {
			return struct{}{}, r.options.Objects.Put(ctx, key, result)
		})
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if run.record.State.Final() || ctx.Err() != nil {
		return
	}
	if err != nil {
		run.record.Failed = true
		run.record.Detail = err.Error()
	} else {
		run.record.Result = key
	}
	r.endRunLocked(run, substrate.RunExited, EventExited)
}

func (r *Runtime) runProgram(ctx context.Context, run *run, program Program) ([]byte, error) {
	data, err := r.readObject(ctx, run.spec.Input)
	if err != nil {
		return nil, fmt.Errorf("read input: %w", err)
	}
	resume, err := r.readObject(ctx, run.spec.Checkpoint)
	if err != nil {
		return nil, fmt.Errorf("read checkpoint: %w", err)
	}
	in := newInput(run.spec.Attempt, data, resume)
	r.mu.Lock()
	run.input = in
	in.setCPUShare(run.cpuShare)
	r.mu.Unlock()
	return program.Run(ctx, in)
}

// readObject returns the object, or nil for an empty key. It retries while the
// object store is unavailable.
func (r *Runtime) readObject(ctx context.Context, key string) ([]byte, error) {
	if key == "" {
		return nil, nil
	}
	return retryStoreCall(ctx, func(ctx context.Context) ([]byte, error) { return r.options.Objects.Get(ctx, key) })
}

// retryStoreCall repeats a call while the object store is unavailable or leaves
// the outcome unknown, since an outage is no failure of the program.
func retryStoreCall[T any](ctx context.Context, call func(ctx context.Context) (T, error)) (T, error) {
	attempt := func() (T, error) {
		ctx, cancel := context.WithTimeout(ctx, storeTimeout)
		defer cancel()
		value, err := call(ctx)
		var unavailable *structs.UnavailableError
		var unknown *structs.UnknownOutcomeError
		if err != nil && !errors.As(err, &unavailable) && !errors.As(err, &unknown) {
			return value, backoff.Permanent(err)
		}
		return value, err
	}
	policy := backoff.NewExponentialBackOff()
	policy.MaxInterval = storeRetryMax
	return backoff.Retry(ctx, attempt, backoff.WithBackOff(policy), backoff.WithMaxElapsedTime(0))
}

// Checkpoint implements substrate.WorkerRuntime. Every checkpoint gets a new
// key.
func (r *Runtime) Checkpoint(ctx context.Context, attempt structs.AttemptID) (string, error) {
	type save struct {
		run   *run
		key   string
		state []byte
	}
	checkpoint, err := callLocked(ctx, r, "checkpoint", true, func() (save, error) {
		run, found := r.runs[attempt]
		if !found {
			return save{}, refusedError(structs.ReasonUnknownAttempt, "%s", attempt)
		}
		if run.record.State.Final() || run.input == nil {
			return save{key: run.record.Checkpoint}, nil
		}
		state, _ := run.input.checkpointState()
		run.checkpoints++
		key := fmt.Sprintf("checkpoint/%s/%d/%d/%s-%d", attempt.Task.Job, attempt.Task.Index, attempt.Number, r.incarnation, run.checkpoints)
		return save{run, key, state}, nil
	})
	if err != nil || checkpoint.run == nil {
		return checkpoint.key, err
	}
	if err := r.options.Objects.Put(ctx, checkpoint.key, checkpoint.state); err != nil {
		return "", &structs.UnavailableError{Dependency: "objects", Err: err}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if !checkpoint.run.record.State.Final() {
		checkpoint.run.record.Checkpoint = checkpoint.key
	}
	return checkpoint.run.record.Checkpoint, nil
}
