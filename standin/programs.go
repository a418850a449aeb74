package standin

import (
	"context"
	"time"
)

// Programs returns the programs that every stand-in worker has installed, by
// name.
func Programs() map[string]Program {
	return map[string]Program{
		"pricing":     ProgramFunc(Pricing),
		"matching":    ProgramFunc(Matching),
		"watcher":     ProgramFunc(Watcher),
		"sleep":       ProgramFunc(Sleep),
		"fail-always": ProgramFunc(FailAlways),
	}
}

// sleepDefault is how long Sleep works without an input.
const sleepDefault = time.Second

// Sleep works for the duration that its input gives, such as "1.5s", and
// reports the processor time that is left, so that it resumes where it was.
func Sleep(ctx context.Context, in *Input) ([]byte, error) {
	const step = 100 * time.Millisecond
	total, err := duration(in.Data)
	if err != nil {
		return nil, &ProgramError{Program: "sleep", Detail: "bad input", Err: err}
	}
	left := total
	if len(in.Resume) > 0 {
		if left, err = duration(in.Resume); err != nil {
			return nil, &ProgramError{Program: "sleep", Detail: "bad checkpoint", Err: err}
		}
	}
	for left > 0 {
		d := min(step, left)
		if err := in.Work(ctx, d); err != nil {
			return nil, err
		}
		left -= d
		in.Report([]byte(left.String()), 1-float64(left)/float64(total))
	}
	return []byte(total.String()), nil
}

func duration(data []byte) (time.Duration, error) {
	if len(data) == 0 {
		return sleepDefault, nil
	}
	return time.ParseDuration(string(data))
}

// FailAlways fails at once.
func FailAlways(context.Context, *Input) ([]byte, error) {
	return nil, &ProgramError{Program: "fail-always", Detail: "always fails"}
}
