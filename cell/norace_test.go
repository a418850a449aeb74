//go:build !race

package cell

import "time"

// interleavings is the number of scenarios of each kind of fault.
const interleavings = "1250"

// longestRide is the longest ride whose downtimes are measured.
const longestRide = time.Hour
