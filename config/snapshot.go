package config

import (
	"encoding/json"
	"fmt"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/daisywall/daisywall/structs"
)

// document is the JSON of one team as it is stored and hashed.
type document []byte

// snapshot is one immutable revision. Snapshots share the documents and team
// structures that did not change between them.
type snapshot struct {
	revision int64
	sum      uint64 // of the revision and every document, in order of team IDs
	order    []structs.TeamID
	teams    map[structs.TeamID]document
	config   *structs.Config
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

// newSnapshot encodes a configuration.
func newSnapshot(config *structs.Config) (*snapshot, error) {
	teams := make(map[structs.TeamID]document, len(config.Teams))
	for _, team := range config.Teams {
		doc, err := encodeTeam(team)
		if err != nil {
			return nil, err
		}
		teams[team.ID] = doc
	}
	return buildSnapshot(config.Revision, teams, nil)
}

// buildSnapshot decodes the documents of a revision, reusing the decoded teams
// of base where the document is the same. Base may be nil.
func buildSnapshot(revision int64, teams map[structs.TeamID]document, base *snapshot) (*snapshot, error) {
	s := &snapshot{revision: revision, teams: teams, config: &structs.Config{Revision: revision}}
	for id := range teams {
		s.order = append(s.order, id)
	}
	slices.Sort(s.order)
	known := map[structs.TeamID]structs.TeamConfig{}
	if base != nil {
		for _, team := range base.config.Teams {
			known[team.ID] = team
		}
	}
	hash := xxhash.New()
	_, _ = fmt.Fprintf(hash, "%d\n", revision)
	for _, id := range s.order {
		doc := teams[id]
		_, _ = hash.Write(doc)
		team, found := known[id]
		if !found || string(base.teams[id]) != string(doc) {
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
	s.sum = hash.Sum64()
	return s, nil
}

// changedFrom returns the teams whose documents differ from base, and those
// that base has and s has not.
func (s *snapshot) changedFrom(base *snapshot) (changed, removed []structs.TeamID) {
	for _, id := range s.order {
		if string(base.teams[id]) != string(s.teams[id]) {
			changed = append(changed, id)
		}
	}
	for _, id := range base.order {
		if _, kept := s.teams[id]; !kept {
			removed = append(removed, id)
		}
	}
	return changed, removed
}
