// Package synctestmain sets up test processes that use testing/synctest.
package synctestmain

import "runtime"

// LimitProcs makes the process run Go code on one processor if it was built
// with the race detector. A TestMain of a package that uses testing/synctest
// calls it before it runs the tests.
//
// A timer of a synctest bubble that is due at once fires in the goroutine
// that sets or reads it. All of them share the race context of the bubble,
// which the runtime of Go 1.26.8 does not lock: two at the same time corrupt
// it, and the detector ends the process with a SIGSEGV or a failed check of
// its own. On one processor no two fire at the same time. The detector finds
// races by their missing synchronization, not by their timing.
func LimitProcs() {
	if raceEnabled {
		runtime.GOMAXPROCS(1)
	}
}
