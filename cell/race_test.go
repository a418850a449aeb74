//go:build race

package cell

import "time"

// scenariosPerMix is the number of scenarios for each mix of faults. It is
// small because the race detector makes a scenario several times slower.
const scenariosPerMix = "60"

// longestRideOut is the longest ride-out time whose downtimes are measured.
const longestRideOut = 10 * time.Second
