package standin

import (
	"context"
	"sync"
	"time"

	"github.com/daisywall/daisywall/structs"
)

// Program is code that a runtime can run as a task.
type Program interface {
	// Run works until done or until ctx ends. The returned bytes become the
	// object result/<job>/<index>.
	Run(ctx context.Context, in *Input) ([]byte, error)
}

// ProgramFunc is a Program made of one function.
type ProgramFunc func(ctx context.Context, in *Input) ([]byte, error)

// Run implements Program.
func (f ProgramFunc) Run(ctx context.Context, in *Input) ([]byte, error) { return f(ctx, in) }

// ProgramError reports that a program failed.
type ProgramError struct {
	Program string
	Detail  string
	Err     error // cause, may be nil
}

func (e *ProgramError) Error() string { return e.Program + ": " + e.Detail }

// Unwrap returns the cause.
func (e *ProgramError) Unwrap() error { return e.Err }

// Input is what a program gets, and its way to report.
type Input struct {
	Attempt structs.AttemptID
	Data    []byte // content of the input object, nil without one
	Resume  []byte // content of the checkpoint, nil for a fresh start

	mu       sync.Mutex
	state    []byte
	progress float64
	share    float64       // of the processor time
	changed  chan struct{} // closed when share changes
}

func newInput(attempt structs.AttemptID, data, resume []byte) *Input {
	return &Input{Attempt: attempt, Data: data, Resume: resume, state: resume, share: 1, changed: make(chan struct{})}
}

// Report sets the state that the next checkpoint saves, and the share of the
// work done, 0 to 1.
func (in *Input) Report(state []byte, progress float64) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.state = append([]byte{}, state...)
	in.progress = progress
}

func (in *Input) saved() ([]byte, float64) {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.state, in.progress
}

func (in *Input) throttle(share float64) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.share = share
	close(in.changed)
	in.changed = make(chan struct{})
}

func (in *Input) speed() (float64, chan struct{}) {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.share, in.changed
}

// Work uses up processor time d, which takes longer when the run is throttled.
// It returns early with the error of ctx.
func (in *Input) Work(ctx context.Context, d time.Duration) error {
	for d > 0 {
		share, changed := in.speed()
		var done <-chan time.Time
		if share > 0 {
			timer := time.NewTimer(time.Duration(float64(d) / share))
			defer timer.Stop()
			done = timer.C
		}
		begun := time.Now()
		select {
		case <-done:
			return ctx.Err()
		case <-changed:
			d -= time.Duration(float64(time.Since(begun)) * share)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return ctx.Err()
}
