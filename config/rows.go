package config

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// Keys of the configuration rows in the table. The head row holds the current
// revision. Each team has one row, and each revision has one history row.
const (
	currentPrefix = "config/current/"
	headKey       = currentPrefix + "head"
	teamPrefix    = currentPrefix + "team/"
	historyPrefix = "config/history/"
)

// headRow is the small row that watchers poll.
type headRow struct {
	Revision int64 `json:"revision"`
}

// TeamChange is the change of one team's stored document. Before is empty if
// the team is added, After if it is removed.
type TeamChange struct {
	Team   structs.TeamID  `json:"team"`
	Before json.RawMessage `json:"before,omitempty"`
	After  json.RawMessage `json:"after,omitempty"`
}

// HistoryEntry is one accepted change with its author and time.
type HistoryEntry struct {
	Revision   int64        `json:"revision"`
	Operator   string       `json:"operator"`
	At         time.Time    `json:"at"` // wall clock time of the operator's machine, for display only
	RollbackTo int64        `json:"rollback_to,omitempty"`
	Changes    []TeamChange `json:"changes"`
}

func teamKey(id structs.TeamID) string { return teamPrefix + string(id) }

// historyKey returns a key that sorts in the order of the revisions.
func historyKey(revision int64) string { return fmt.Sprintf("%s%016d", historyPrefix, revision) }

func decodeHistoryEntry(row substrate.Row) (HistoryEntry, error) {
	var entry HistoryEntry
	if err := json.Unmarshal(row.Value, &entry); err != nil {
		return entry, &CorruptError{Source: row.Key, Detail: "not readable", Err: err}
	}
	return entry, nil
}

// applyRows returns the snapshot that results from base and the rows that
// Table.Changes returned for currentPrefix. Base may be nil.
func applyRows(base *snapshot, rows []substrate.Row) (*snapshot, error) {
	documents := map[structs.TeamID]document{}
	var revision int64
	if base != nil {
		revision = base.revision
		for id, doc := range base.documents {
			documents[id] = doc
		}
	}
	for _, row := range rows {
		id, isTeam := strings.CutPrefix(row.Key, teamPrefix)
		switch {
		case row.Key == headKey:
			var head headRow
			if err := json.Unmarshal(row.Value, &head); err != nil {
				return nil, &CorruptError{Source: row.Key, Detail: "not readable", Err: err}
			}
			revision = head.Revision
		case isTeam && row.Value == nil:
			delete(documents, structs.TeamID(id))
		case isTeam:
			documents[structs.TeamID(id)] = row.Value
		}
	}
	return buildSnapshot(revision, documents, base)
}
