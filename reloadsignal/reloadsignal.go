// Package reloadsignal takes SIGHUP from the first moments of a process on.
// Until a program takes the signal, it ends the process, also while packages
// are initialized and after the services have stopped. Import it for its effect.
package reloadsignal

import (
	"os"
	"os/signal"
	"syscall"
)

//nolint:gochecknoinits // main runs too late
func init() { signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP) }
