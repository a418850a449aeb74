package config

import (
	"context"
	"fmt"
	"maps"
	"slices"

	"github.com/daisywall/daisywall/structs"
)

// History returns the latest changes, newest first, at most limit of them.
func (s *Store) History(ctx context.Context, limit int) ([]HistoryEntry, error) {
	at, err := s.position(ctx)
	if err != nil {
		return nil, err
	}
	entries, err := s.entries(ctx, max(at.revision-int64(limit), 0), at.revision)
	if err != nil {
		return nil, err
	}
	slices.Reverse(entries)
	return entries, nil
}

// entries returns the changes after the revision since up to through, oldest
// first. Those that the history no longer holds are left out.
func (s *Store) entries(ctx context.Context, since, through int64) ([]HistoryEntry, error) {
	var entries []HistoryEntry
	after := historyKey(since)
	for {
		rows, err := s.table.List(ctx, historyPrefix, after, historyPage)
		if err != nil {
			return nil, fmt.Errorf("read configuration history: %w", err)
		}
		for _, row := range rows {
			entry, err := decodeHistory(row)
			if err != nil {
				return nil, err
			}
			if entry.Revision <= through {
				entries = append(entries, entry)
			}
			after = row.Key
		}
		if len(rows) < historyPage {
			return entries, nil
		}
	}
}

// rewind undoes changes until the configuration is that of the revision to.
func (s *Store) rewind(ctx context.Context, at position, to int64) (*snapshot, error) {
	if to < 0 || to > at.revision {
		return nil, revisionNotFound(to)
	}
	entries, err := s.entries(ctx, to, at.revision)
	if err != nil {
		return nil, err
	}
	if int64(len(entries)) != at.revision-to {
		return nil, revisionNotFound(to)
	}
	teams := maps.Clone(at.teams)
	for _, entry := range slices.Backward(entries) {
		for _, change := range entry.Changes {
			undo(teams, change)
		}
	}
	return buildSnapshot(to, teams, at.snapshot)
}

func undo(teams map[structs.TeamID]document, change TeamChange) {
	if len(change.Before) == 0 {
		delete(teams, change.Team)
		return
	}
	teams[change.Team] = document(change.Before)
}
