//go:build race

package cell

import "time"

// scenariosPerMix is the number of scenarios of each mix of faults under the
// race detector, which makes each of them several times slower.
const scenariosPerMix = "60"

// longestRideOut is the longest ride-out time whose downtimes are measured.
const longestRideOut = 10 * time.Second
