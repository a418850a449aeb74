// Package bootclock reads a monotonic clock that goes on while the machine is
// suspended. Leases are reckoned with it: the usual monotonic clock stands
// still during a suspension, and a lease would seem to last longer.
package bootclock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Time is a reading: the time since an arbitrary moment before the machine
// started. Readings of different machines cannot be compared.
type Time time.Duration

// Add returns the reading moved by d.
func (t Time) Add(d time.Duration) Time { return t + Time(d) }

// Sub returns the time from u to t.
func (t Time) Sub(u Time) time.Duration { return time.Duration(t - u) }

// Clock reads the time.
type Clock func() Time

// process is the fallback where the system has no such clock.
var process = time.Now()

// Now reads the clock of the system.
func Now() Time {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return Time(time.Since(process))
	}
	return Time(ts.Nano())
}
