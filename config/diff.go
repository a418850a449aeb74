package config

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/daisywall/daisywall/structs"
)

// FieldChange is one field that differs between two revisions. An absent field
// has an empty value.
type FieldChange struct {
	Path   string `json:"path"`   // such as /teams/jabuka/requests/slot-check/deadline_ms
	Before string `json:"before"` // JSON text
	After  string `json:"after"`  // JSON text
}

// Difference lists the fields that differ, in order of their paths.
type Difference []FieldChange

// String renders one line a field.
func (d Difference) String() string {
	var b strings.Builder
	for _, f := range d {
		fmt.Fprintf(&b, "%s: %s -> %s\n", f.Path, orAbsent(f.Before), orAbsent(f.After))
	}
	return b.String()
}

func orAbsent(value string) string {
	if value == "" {
		return "(absent)"
	}
	return value
}

// Diff compares two configurations field by field. Items of lists are matched
// by their names, not by their places. Revisions are left out.
func Diff(before, after *structs.Config) Difference {
	old, changed := map[string]string{}, map[string]string{}
	flattenTeams(old, before)
	flattenTeams(changed, after)
	var d Difference
	for path, value := range old {
		if changed[path] != value {
			d = append(d, FieldChange{Path: path, Before: value, After: changed[path]})
		}
	}
	for path, value := range changed {
		if _, found := old[path]; !found {
			d = append(d, FieldChange{Path: path, After: value})
		}
	}
	slices.SortFunc(d, func(a, b FieldChange) int { return strings.Compare(a.Path, b.Path) })
	return d
}

func flattenTeams(into map[string]string, config *structs.Config) {
	if config == nil {
		return
	}
	for _, team := range config.Teams {
		doc, err := encodeTeam(team)
		if err != nil {
			continue // a team always encodes: it holds numbers and strings only
		}
		var value any
		if err := json.Unmarshal(doc, &value); err == nil {
			flatten(into, "/teams/"+string(team.ID), value)
		}
	}
}

// flatten writes the leaves of a JSON value under their paths.
func flatten(into map[string]string, path string, value any) {
	switch v := value.(type) {
	case map[string]any:
		for name, item := range v {
			flatten(into, path+"/"+name, item)
		}
	case []any:
		for i, item := range v {
			flatten(into, path+"/"+itemName(item, i), item)
		}
	default:
		text, err := json.Marshal(v)
		if err == nil {
			into[path] = string(text)
		}
	}
}

// itemName is the name of a list item, or its place when it has none.
func itemName(item any, place int) string {
	if fields, ok := item.(map[string]any); ok {
		for _, key := range []string{"name", "class", "id"} {
			if name, ok := fields[key].(string); ok {
				return name
			}
		}
	}
	return fmt.Sprint(place)
}
