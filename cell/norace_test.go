//go:build !race

package cell

// interleavings is the number of scenarios of each kind of fault.
const interleavings = "1250"
