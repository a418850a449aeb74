// Package worker is the part of an agent that runs tasks. It has the final word
// on what starts on its worker: it admits assignments of the cell's leader into
// the worker's capacity, starts them through the worker runtime, renews their
// leases with every answered heartbeat and reports how they end.
package worker
