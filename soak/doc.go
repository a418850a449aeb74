// Package soak runs the programs for the users' platform as separate processes
// on loopback, injects faults from outside them in random series that overlap,
// and checks what callers and runners see. It holds tests only.
//
//	go test ./soak                                  the seeds of CI and the regressions
//	go test ./soak -run Seeds -soak.first 100 -soak.seeds 50 -timeout 30m
package soak
