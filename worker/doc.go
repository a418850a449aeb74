// Package worker is the part of an agent that runs tasks on one worker. It
// admits the assignments of the cell's leader into the worker's capacity, starts
// them through the worker runtime, renews their leases after every answered
// heartbeat and reports how they end. It makes the final decision on what starts
// on the worker.
//
// Agent.Run owns the heartbeat loop. Before it returns, it waits for the
// goroutines that evict and cancel runs. Agent.mu guards the ledger and all other
// state that changes. It is not held during calls to the runtime or the leader.
package worker
