package config

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// Rows of the configuration in the table. The head names the revision in
// force; each team has one row; each revision has one history row.
const (
	currentPrefix = "config/current/"
	headKey       = currentPrefix + "head"
	teamPrefix    = currentPrefix + "team/"
	historyPrefix = "config/history/"
)

// headRow is the small row that daemons poll.
type headRow struct {
	Revision int64 `json:"revision"`
}

// TeamChange is the change of one team. A document is empty where the team is
// absent.
type TeamChange struct {
	Team   structs.TeamID  `json:"team"`
	Before json.RawMessage `json:"before,omitempty"`
	After  json.RawMessage `json:"after,omitempty"`
}

// HistoryEntry is one accepted change.
type HistoryEntry struct {
	Revision   int64        `json:"revision"`
	Operator   string       `json:"operator"`
	At         time.Time    `json:"at"` // the operator's wall clock, for display only
	RollbackTo int64        `json:"rollback_to,omitempty"`
	Changes    []TeamChange `json:"changes"`
}

func teamKey(id structs.TeamID) string { return teamPrefix + string(id) }

// historyKey sorts like the revision.
func historyKey(revision int64) string { return fmt.Sprintf("%s%016d", historyPrefix, revision) }

func decodeHistory(row substrate.Row) (HistoryEntry, error) {
	var entry HistoryEntry
	if err := json.Unmarshal(row.Value, &entry); err != nil {
		return entry, &CorruptError{Source: row.Key, Detail: "not readable", Err: err}
	}
	return entry, nil
}

// applyRows returns the snapshot after the rows of Table.Changes below
// currentPrefix. Base may be nil.
func applyRows(base *snapshot, rows []substrate.Row) (*snapshot, error) {
	teams := map[structs.TeamID]document{}
	var revision int64
	if base != nil {
		revision = base.revision
		for id, doc := range base.teams {
			teams[id] = doc
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
			delete(teams, structs.TeamID(id))
		case isTeam:
			teams[structs.TeamID(id)] = row.Value
		}
	}
	return buildSnapshot(revision, teams, base)
}
