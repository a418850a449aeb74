// Package soak holds only tests. They run the programs for the users' platform
// as separate processes on loopback, inject overlapping random faults from
// outside the processes, and check what callers and runners observe.
//
//	go test ./soak                                  the seeds of CI and the regressions
//	go test ./soak -run Seeds -soak.first 100 -soak.seeds 50 -timeout 30m
package soak
