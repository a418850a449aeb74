package config

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/daisywall/daisywall/structs"
)

// document is the JSON of one team in its stored and hashed form.
type document []byte

// snapshot is one immutable revision of the configuration. Snapshots share the
// documents and decoded teams that are equal.
type snapshot struct {
	revision  int64
	checksum  uint64 // hash of the revision and all documents, in the order of sortedIDs
	sortedIDs []structs.TeamID
	documents map[structs.TeamID]document
	config    *structs.Config
}

// encodeTeam returns the stored JSON of a team.
func encodeTeam(team structs.TeamConfig) (document, error) {
	normalizeTeam(&team)
	data, err := json.Marshal(team)
	if err != nil {
		return nil, fmt.Errorf("encode team %s: %w", team.ID, err)
	}
	return data, nil
}

// newSnapshot encodes the teams of a configuration into a snapshot.
func newSnapshot(config *structs.Config) (*snapshot, error) {
	documents := make(map[structs.TeamID]document, len(config.Teams))
	for _, team := range config.Teams {
		doc, err := encodeTeam(team)
		if err != nil {
			return nil, err
		}
		documents[team.ID] = doc
	}
	return buildSnapshot(config.Revision, documents, nil)
}

// buildSnapshot decodes the documents of a revision. Where a document equals
// that of base, it reuses the decoded team of base. Base may be nil.
func buildSnapshot(revision int64, documents map[structs.TeamID]document, base *snapshot) (*snapshot, error) {
	s := &snapshot{revision: revision, documents: documents, config: &structs.Config{Revision: revision}}
	for id := range documents {
		s.sortedIDs = append(s.sortedIDs, id)
	}
	slices.Sort(s.sortedIDs)
	baseTeams := map[structs.TeamID]structs.TeamConfig{}
	if base != nil {
		for _, team := range base.config.Teams {
			baseTeams[team.ID] = team
		}
	}
	hash := xxhash.New()
	_, _ = fmt.Fprintf(hash, "%d\n", revision)
	for _, id := range s.sortedIDs {
		doc := documents[id]
		_, _ = hash.Write(doc)
		team, found := baseTeams[id]
		if !found || string(base.documents[id]) != string(doc) {
			team = structs.TeamConfig{}
			if err := json.Unmarshal(doc, &team); err != nil {
				return nil, &CorruptError{Source: "team " + string(id), Detail: "not readable", Err: err}
			}
		}
		if team.ID != id {
			return nil, &CorruptError{Source: "team " + string(id), Detail: "holds team " + string(team.ID)}
		}
		s.config.Teams = append(s.config.Teams, team)
	}
	s.checksum = hash.Sum64()
	return s, nil
}

// changedTeams returns the teams whose documents differ from base, and the
// teams of base that s lacks.
func (s *snapshot) changedTeams(base *snapshot) (changed, removed []structs.TeamID) {
	for _, id := range s.sortedIDs {
		if string(base.documents[id]) != string(s.documents[id]) {
			changed = append(changed, id)
		}
	}
	for _, id := range base.sortedIDs {
		if _, found := s.documents[id]; !found {
			removed = append(removed, id)
		}
	}
	return changed, removed
}
