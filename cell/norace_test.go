//go:build !race

package cell

import "time"

// scenariosPerMix is the number of scenarios of each mix of faults.
const scenariosPerMix = "1250"

// longestRideOut is the longest ride-out time whose downtimes are measured.
const longestRideOut = time.Hour
