package config

import (
	"slices"

	"github.com/daisywall/daisywall/structs"
)

// Change is what an operator asks for: teams to add or replace, and teams to
// remove.
type Change struct {
	Put    []structs.TeamConfig `json:"put"`
	Remove []structs.TeamID     `json:"remove"`
}

// ReplaceAll is the change that turns current into wanted.
func ReplaceAll(current, wanted *structs.Config) Change {
	change := Change{Put: wanted.Teams}
	for _, team := range current.Teams {
		if _, err := wanted.Team(team.ID); err != nil {
			change.Remove = append(change.Remove, team.ID)
		}
	}
	return change
}

// applyTo returns the configuration after the change, checked as a whole. It
// returns *structs.InvalidError with every fault.
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
	data, err := Encode(next)
	if err != nil {
		return nil, err
	}
	checked, err := Decode(data)
	if err := merge("change of the configuration", err, faults); err != nil {
		return nil, err
	}
	return checked, nil
}
