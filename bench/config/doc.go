// Package config measures the propagation of configurations: sizes of updates,
// the time until the last daemon has a revision, and bytes for each daemon.
// Run: go test ./bench/config -run '^$' -bench . -benchtime 20x
package config
