// Package standin provides in-memory stand-ins for the platform, with fault
// switches: the table service, the object store, the worker runtime and sample
// targets. They wait on timers only, so that they work in synctest bubbles.
package standin
