// Package cell schedules the tasks of one cell, which is a group of workers
// inside one failure domain. One of the cell's agents leads the cell under a
// fenced leadership row. The leader groups all waiting decisions into one log
// row and delivers committed assignments to the agents. It commits a new
// attempt of a task only on proof that the previous attempt is over.
//
// Each Node runs the candidate of one agent. A leader's loop is the only
// writer of the rows of its cell. Heartbeats and the polling of the table run
// on other goroutines, share the leader's state under its mutex and only queue
// work for the loop.
//
// Callers outside the cells submit, list and cancel jobs through Jobs and
// record the operators' decisions about failure domains through Domains.
package cell
