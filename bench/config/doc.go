// Package config measures the propagation of configurations: the size of
// updates, the time until every daemon has a revision, and the bytes per
// daemon.
// Run: go test ./bench/config -run '^$' -bench . -benchtime 20x
package config
