// Package bootclock reads a monotonic clock that also advances while the
// machine is suspended. Leases are measured with it. The monotonic clock of
// package time stops during a suspension, so a lease would appear to be valid
// for too long.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Time is a clock reading, as the time since an arbitrary fixed moment.
// Readings of different machines cannot be compared.
type Time time.Duration

// Add returns the reading t+d.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the duration t-u.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// Clock returns the current reading.
type Clock func() Time

// processStart is the origin of the fallback clock, for systems without
// CLOCK_BOOTTIME.
var processStart = time.Now()

// Now returns the current reading of the system's clock.
func Now() Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return Time(time.Since(processStart))
	}
	return Time(ts.Nano())
}
