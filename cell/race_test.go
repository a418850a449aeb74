//go:build race

package cell

// interleavings is the number of scenarios of each kind of fault under the
// race detector, which makes each of them several times slower.
const interleavings = "60"
