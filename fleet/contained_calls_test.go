package fleet

import (
	"context"
	"errors"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.uber.org/zap"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

func TestPanicInACallToTheRunnerEndsNoProcess(t *testing.T) {
	runInFleet(t, 3, func(f *simulatedFleet) {
		is := is.New(f.t)
		f.waitReady()
		for _, h := range f.hosts {
			h.setCallFaults(func(context.Context) error { panic("injected") }, nil)
		}
		e := f.newEntry()
		defer e.Close()
		is.NoErr(f.submit(e, testJob("a", 4)))
		time.Sleep(time.Second)
		for _, h := range f.hosts {
			h.setCallFaults(nil, nil)
		}
		f.waitUntil("completed", 10*time.Second, func() bool { return f.phase(e, "a") == structs.JobCompleted })
	})
}

func TestPanicInACallIsAnUnknownOutcome(t *testing.T) {
	// Both panic with a nil dereference in each call.
	runner, permits := containedRunner{nil, zap.NewNop()}, containedPermits{nil, zap.NewNop()}
	ctx := context.Background()
	for name, call := range map[string]func() error{
		"start":   func() error { _, err := runner.Start(ctx, 1, substrate.TaskStart{}, 0); return err },
		"stop":    func() error { return runner.Stop(ctx, 1, structs.RunID{}) },
		"poll":    func() error { _, err := runner.PollRuns(ctx, 1, 0, 0, 0); return err },
		"pace":    func() error { return runner.SetPace(ctx, 1, structs.RunID{}, 100) },
		"permits": func() error { _, err := permits.RequestPermits(ctx, structs.StepID{}, nil); return err },
	} {
		var unknown *structs.UnknownOutcomeError
		var panicked *structs.PanicError
		err := call()
		if !errors.As(err, &unknown) || !errors.As(err, &panicked) {
			t.Errorf("%s: %v", name, err)
		}
	}
}
