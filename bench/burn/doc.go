// Package burn measures the counters of the burn report: bytes of a row, and
// the time to flush and to load them.
// Run: go test ./bench/burn -run '^$' -bench .
package burn
