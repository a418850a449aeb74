// Package reloadsignal keeps SIGHUP from terminating the process. It registers
// for the signal during package initialization and never unregisters, because
// SIGHUP terminates a process that is not registered for it. This covers the
// time while packages are initialized and the time after the services have
// stopped. Import it for this side effect.
package reloadsignal

import (
	"os"
	"os/signal"
	"syscall"
)

//nolint:gochecknoinits // main runs too late
func init() { signal.Notify(make(chan os.Signal, 1), syscall.SIGHUP) }
