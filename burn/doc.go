// Package burn stores service-level counters in the platform's table and
// reports how fast each team uses up its error budgets.
//
// Entries and cell leaders count events in a Recorder. A Flusher writes these
// counts to rows of its own daemon, so that they survive the loss of a host. A
// Folder merges older rows into hour rows and day rows. The daemons run the
// loops of Flusher and Folder. Each daemon uses its own wall clock for the
// windows. A wrong clock only shifts its counts to other windows, since no
// decision depends on them.
package burn
