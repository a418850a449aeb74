// Package fleet runs jobs of steps on the workers of several failure domains.
//
// Every agent is a Node. One node leads: it alone accepts jobs, decides what
// starts where and commits that to the store before anything is told to a
// client or a worker. Each commit compares and rewrites the leadership row, so
// that a leader that was replaced can commit nothing. The other nodes attend to
// the leader: they report what their host's runner runs and carry out orders.
//
// Two rules keep a task from running twice. A new run is committed only when
// the one before is surely over: its end was reported, its runner's incarnation
// is gone, or its lease has lapsed. And orders carry a fencing token of the
// session between leader and agent, so that whatever was sent earlier and
// arrives later does nothing.
package fleet
