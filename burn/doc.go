// Package burn keeps service-level counters in the platform's table and
// reports how fast each team burns its error budgets.
//
// Entries and cell leaders count into a Recorder, which a Flusher writes to
// rows of their own, so that the counters survive the replacement of any host.
// A Folder packs older rows into hours and days. The windows are those of each
// daemon's wall clock: a clock that is wrong shifts its counts, and nothing is
// decided by them.
package burn
