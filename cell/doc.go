// Package cell schedules the tasks of one cell: a group of workers inside one
// failure domain. One of the cell's agents leads it under a fenced leadership
// row. The leader groups every decision that waits into one log row, delivers
// committed assignments to the agents and commits a new attempt of a task only
// on proof that the old one is over.
//
// The entry side of the package submits, lists and cancels jobs (Jobs) and
// records the operators' decisions about failure domains (Domains).
package cell
