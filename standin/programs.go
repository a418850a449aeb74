package standin

import (
	"context"
	"time"
)

// Programs returns the programs that are installed on every simulated worker,
// by name.
func Programs() map[string]Program {
	return map[string]Program{
		"pricing":     ProgramFunc(Pricing),
		"matching":    ProgramFunc(Matching),
		"watcher":     ProgramFunc(Watcher),
		"sleep":       ProgramFunc(Sleep),
		"fail-always": ProgramFunc(FailAlways),
	}
}

// defaultSleepTime is the processor time that Sleep uses without an input.
const defaultSleepTime = time.Second

// Sleep uses the processor time that its input gives, such as "1.5s". It
// reports the remaining time as its state, so that a resumed run continues from
// the checkpoint.
func Sleep(ctx context.Context, in *Input) ([]byte, error) {
	const step = 100 * time.Millisecond
	total, err := parseDuration(in.Data)
	if err != nil {
		return nil, &ProgramError{Program: "sleep", Detail: "bad input", Err: err}
	}
	remaining := total
	if len(in.Resume) > 0 {
		if remaining, err = parseDuration(in.Resume); err != nil {
			return nil, &ProgramError{Program: "sleep", Detail: "bad checkpoint", Err: err}
		}
	}
	for remaining > 0 {
		slice := min(step, remaining)
		if err := in.Work(ctx, slice); err != nil {
			return nil, err
		}
		remaining -= slice
		in.Report([]byte(remaining.String()), 1-float64(remaining)/float64(total))
	}
	return []byte(total.String()), nil
}

func parseDuration(data []byte) (time.Duration, error) {
	if len(data) == 0 {
		return defaultSleepTime, nil
	}
	return time.ParseDuration(string(data))
}

// FailAlways fails at once.
func FailAlways(context.Context, *Input) ([]byte, error) {
	return nil, &ProgramError{Program: "fail-always", Detail: "always fails"}
}
