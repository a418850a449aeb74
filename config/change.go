package config

import (
	"errors"
	"slices"
	"strconv"
	"strings"

	"github.com/daisywall/daisywall/structs"
)

// Change is a requested change of the configuration: teams to add or replace,
// and teams to remove.
type Change struct {
	Put    []structs.TeamConfig `json:"put"`
	Remove []structs.TeamID     `json:"remove"`
}

// buildChange returns the change that turns current into desired.
func buildChange(current, desired *structs.Config) Change {
	change := Change{Put: desired.Teams}
	for _, team := range current.Teams {
		if _, err := desired.Team(team.ID); err != nil {
			change.Remove = append(change.Remove, team.ID)
		}
	}
	return change
}

// applyTo returns the configuration that results from applying the change to
// current. It checks the whole configuration and returns *structs.InvalidError
// with every fault.
func (c Change) applyTo(current *structs.Config) (*structs.Config, error) {
	next := &structs.Config{Revision: current.Revision + 1}
	replaced := map[structs.TeamID]bool{}
	for _, team := range c.Put {
		replaced[team.ID] = true
	}
	var faults []structs.Fault
	for _, id := range c.Remove {
		if _, err := current.Team(id); err != nil {
			faults = append(faults, structs.Fault{Path: "/remove", Value: string(id), Rule: "must name an existing team"})
		}
	}
	for _, team := range current.Teams {
		if !replaced[team.ID] && !slices.Contains(c.Remove, team.ID) {
			next.Teams = append(next.Teams, team)
		}
	}
	next.Teams = append(next.Teams, c.Put...)
	normalize(next)
	data, err := Encode(next)
	if err != nil {
		return nil, err
	}
	checked, err := Decode(data)
	replaceIndexesWithIDs(err, next.Teams)
	if err := mergeFaults("change of the configuration", err, faults); err != nil {
		return nil, err
	}
	return checked, nil
}

// replaceIndexesWithIDs replaces the list indexes of teams in the paths of
// faults by the IDs of the teams, because the operator does not see the
// indexes.
func replaceIndexesWithIDs(err error, teams []structs.TeamConfig) {
	var invalid *structs.InvalidError
	if !errors.As(err, &invalid) {
		return
	}
	for i, fault := range invalid.Faults {
		rest, found := strings.CutPrefix(fault.Path, "/teams/")
		indexText, field, _ := strings.Cut(rest, "/")
		index, err := strconv.Atoi(indexText)
		if found && err == nil && index < len(teams) {
			invalid.Faults[i].Path = "/teams/" + string(teams[index].ID) + "/" + field
		}
	}
}
