package standin

import (
	"context"
	"sync"
	"time"

	"github.com/daisywall/daisywall/structs"
)

// Program is code that a runtime can run as a task.
type Program interface {
	// Run works until the program has finished or ctx ends. The returned bytes
	// become the object result/<job>/<index>.
	Run(ctx context.Context, in *Input) ([]byte, error)
}

// ProgramFunc is a Program made of one function.
type ProgramFunc func(ctx context.Context, in *Input) ([]byte, error)

// Run implements Program.
func (f ProgramFunc) Run(ctx context.Context, in *Input) ([]byte, error) { return f(ctx, in) }

// ProgramError is the error of a program that failed.
type ProgramError struct {
	Program string
	Detail  string
	Err     error // cause, may be nil
}

func (e *ProgramError) Error() string { return e.Program + ": " + e.Detail }

// Unwrap returns the cause.
func (e *ProgramError) Unwrap() error { return e.Err }

// Input is the input of one run of a program. The program reports its state
// through it.
type Input struct {
	Attempt structs.AttemptID
	Data    []byte // input object, nil without one
	Resume  []byte // checkpoint object, nil for a run that starts from the beginning

	mu           sync.Mutex
	state        []byte
	progress     float64
	cpuShare     float64       // share of the processor time, 0 to 1
	shareChanged chan struct{} // closed when cpuShare changes
}

func newInput(attempt structs.AttemptID, data, resume []byte) *Input {
	return &Input{Attempt: attempt, Data: data, Resume: resume, state: resume, cpuShare: 1, shareChanged: make(chan struct{})}
}

// Report sets the state that the next checkpoint stores, and the completed
// share of the work, 0 to 1.
func (in *Input) Report(state []byte, progress float64) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.state = append([]byte{}, state...)
	in.progress = progress
}

func (in *Input) checkpointState() ([]byte, float64) {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.state, in.progress
}

func (in *Input) setCPUShare(share float64) {
	in.mu.Lock()
	defer in.mu.Unlock()
	in.cpuShare = share
	close(in.shareChanged)
	in.shareChanged = make(chan struct{})
}

func (in *Input) currentCPUShare() (float64, chan struct{}) {
	in.mu.Lock()
	defer in.mu.Unlock()
	return in.cpuShare, in.shareChanged
}

// Work uses up processor time d, which takes longer while the run is throttled.
// It returns the error of ctx as soon as ctx ends.
func (in *Input) Work(ctx context.Context, d time.Duration) error {
	for d > 0 {
		share, changed := in.currentCPUShare()
		var timerC <-chan time.Time
		if share > 0 {
			timer := time.NewTimer(time.Duration(float64(d) / share))
			defer timer.Stop()
			timerC = timer.C
		}
		started := time.Now()
		select {
		case <-timerC:
			return ctx.Err()
		case <-changed:
			d -= time.Duration(float64(time.Since(started)) * share)
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	return ctx.Err()
}
