// Package membership keeps the lists of targets, agents and entries without a
// central directory. Targets announce themselves to the agent of their host
// (LocalTargets); agents register with every entry they know (Announcer);
// entries hold what was registered until it ends by their own monotonic clock
// (Registry) and write themselves into the table (EntryRows).
//
// A table outage blinds nobody: registrations do not touch the table, and each
// entry hands out the addresses of the others.
package membership

import "time"

const (
	// TargetTTL is the time after which a target that stopped announcing
	// itself is gone. It is also the longest time for which a target that
	// left without a word can still be sent new work.
	TargetTTL = 3 * time.Second
	// maxSlots bounds the slots that a target may declare.
	maxSlots = 4096
	// maxConnections bounds the connections that a target may declare.
	maxConnections = 4096
	// maxAnnouncementBytes bounds the body of an announcement.
	maxAnnouncementBytes = 64 << 10
)
