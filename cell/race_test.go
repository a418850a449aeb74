//go:build race

package cell

import "time"

// interleavings is the number of scenarios of each kind of fault under the
// race detector, which makes each of them several times slower.
const interleavings = "60"

// longestRide is the longest ride whose downtimes are measured.
const longestRide = 10 * time.Second
