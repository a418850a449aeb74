// Package burn measures the counters of the burn report: the size of a row, and
// the time to flush and to load rows.
// Run: go test ./bench/burn -run '^$' -bench .
package burn
