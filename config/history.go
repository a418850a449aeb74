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
	current, err := s.readCurrent(ctx)
	if err != nil {
		return nil, err
	}
	entries, err := s.readHistory(ctx, max(current.revision-int64(limit), 0), current.revision)
	if err != nil {
		return nil, err
	}
	slices.Reverse(entries)
	return entries, nil
}

// readHistory returns the changes after the revision since up to and including
// the revision through, oldest first. It omits changes that the history no
// longer holds.
func (s *Store) readHistory(ctx context.Context, since, through int64) ([]HistoryEntry, error) {
	var entries []HistoryEntry
	after := historyKey(since)
	for {
		rows, err := s.table.List(ctx, historyPrefix, after, historyPageRows)
		if err != nil {
			return nil, fmt.Errorf("read configuration history: %w", err)
		}
		for _, row := range rows {
			entry, err := decodeHistoryEntry(row)
			if err != nil {
				return nil, err
			}
			if entry.Revision <= through {
				entries = append(entries, entry)
			}
			after = row.Key
		}
		if len(rows) < historyPageRows {
			return entries, nil
		}
	}
}

// snapshotAt reconstructs an earlier revision by undoing the later changes.
func (s *Store) snapshotAt(ctx context.Context, current storedConfig, revision int64) (*snapshot, error) {
	if revision < 0 || revision > current.revision {
		return nil, revisionNotFound(revision)
	}
	entries, err := s.readHistory(ctx, revision, current.revision)
	if err != nil {
		return nil, err
	}
	if int64(len(entries)) != current.revision-revision {
		return nil, revisionNotFound(revision)
	}
	documents := maps.Clone(current.documents)
	for _, entry := range slices.Backward(entries) {
		for _, change := range entry.Changes {
			undoChange(documents, change)
		}
	}
	return buildSnapshot(revision, documents, current.snapshot)
}

func undoChange(documents map[structs.TeamID]document, change TeamChange) {
	if len(change.Before) == 0 {
		delete(documents, change.Team)
		return
	}
	documents[change.Team] = document(change.Before)
}
