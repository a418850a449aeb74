package daemon

import (
	"context"
	"fmt"
	"io"
	"os"
	"os/signal"
	"syscall"

	"github.com/alecthomas/kong"
)

// Arguments is the command line of every daemon.
type Arguments struct {
	Settings string `arg:"" type:"existingfile" help:"JSON file with the settings."`
	Check    bool   `help:"Check the settings and exit: 0 when they are valid, 2 when not."`
}

// Exit codes of the daemons.
const (
	exitOK      = 0
	exitFailure = 1
	exitInvalid = 2
)

// Main is the main function of a daemon. It reads the settings file that the
// arguments name and runs the daemon until SIGTERM or SIGINT, which stop it
// gracefully. It returns the exit code.
func Main[S any](name, description string, decode func([]byte) (S, error), run func(context.Context, S) error) int {
	var arguments Arguments
	kong.Parse(&arguments, kong.Name(name), kong.Description(description+" Exit codes: 0 stopped on request, 1 failed, 2 invalid settings."))
	data, err := os.ReadFile(arguments.Settings)
	if err != nil {
		return reportError(os.Stderr, name, err, exitFailure)
	}
	decoded, err := decode(data)
	if err != nil {
		return reportError(os.Stderr, name, err, exitInvalid)
	}
	if arguments.Check {
		return exitOK
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	defer stop()
	if err := run(ctx, decoded); err != nil {
		return reportError(os.Stderr, name, err, exitFailure)
	}
	return exitOK
}

func reportError(w io.Writer, name string, err error, code int) int {
	fmt.Fprintf(w, "%s: %v\n", name, err)
	return code
}
