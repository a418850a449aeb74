// Package membership keeps the lists of targets, agents and entries without a
// central directory. Targets announce themselves to the agent of their host
// (LocalTargets). Agents register with every entry that they find (Announcer).
// Entries hold a registration until it expires by their own monotonic clock
// (Registry) and write their addresses into the table (EntryDirectory).
//
// Membership survives an outage of the table: registrations do not use the table,
// and each entry returns the addresses of the others.
//
// Every type guards its state with a mutex of its own. Run of each type does its
// periodic work until its context ends, and Announcer.Run waits for the goroutines
// that register with the entries.
package membership

import "time"

const (
	// TargetTTL is the time after which a target that stopped announcing
	// itself is removed. It is also the longest time for which a target that
	// ended without leaving can still be sent new requests.
	TargetTTL = 3 * time.Second
	// maxSlots bounds the slots that a target may declare.
	maxSlots = 4096
	// maxConnections bounds the connections that a target may declare.
	maxConnections = 4096
	// maxAnnouncementBytes bounds the body of an announcement.
	maxAnnouncementBytes = 64 << 10
)
