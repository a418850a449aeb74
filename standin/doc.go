// Package standin implements the outer services in memory for tests and
// development: the table service, the object store, the worker runtimes, the
// task runners, the permit service and sample targets.
//
// Fault switches make a service refuse, delay or drop calls. Checkers record
// the starts and ends of tasks and report violated guarantees.
//
// Methods are safe for concurrent use unless their comment says otherwise. The
// services wait on timers only, so that they work in synctest bubbles. A
// runtime owns one goroutine for each run, which Close stops.
package standin
