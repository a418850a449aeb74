// Package fleet runs jobs of steps on workers in several failure domains.
//
// Each agent runs a Node. One node leads the fleet. The leader accepts jobs and
// assigns their tasks to workers, and it commits each decision to the store
// before it reports the decision to a client or a worker. Each commit compares
// and rewrites the leadership row, so a leader that was replaced can commit
// nothing. The other nodes keep a session with the leader. They report the runs
// of their host's runner and execute the leader's orders. An Entry forwards the
// requests of clients to the leader.
//
// Two rules prevent a task from running twice. The leader commits a new run
// only after the previous one is over: its end was reported, its runner's
// incarnation has ended, or its lease has lapsed. And each order carries the
// fencing token of the session between leader and agent, so orders of earlier
// sessions that arrive late have no effect.
//
// A leader's state belongs to the goroutine of leader.run, and an agent's side
// of a session to that of agentSession.run. Other goroutines pass functions to
// these loops. Node, host and Entry have locks of their own.
package fleet
