package config

import (
	"encoding/json"
	"fmt"
	"slices"
	"strings"

	"github.com/daisywall/daisywall/structs"
)

// FieldChange is one field that differs between two revisions. The value of an
// absent field is empty.
type FieldChange struct {
	Path   string `json:"path"`   // for example /teams/jabuka/requests/slot-check/deadline_ms
	Before string `json:"before"` // JSON text
	After  string `json:"after"`  // JSON text
}

// Difference lists the fields that differ, ordered by path.
type Difference []FieldChange

// String renders one line for each field.
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

// Diff compares two configurations field by field. It matches list items by
// name instead of by index and ignores the revisions.
func Diff(before, after *structs.Config) Difference {
	oldValues, newValues := map[string]string{}, map[string]string{}
	flattenTeams(oldValues, before)
	flattenTeams(newValues, after)
	var d Difference
	for path, value := range oldValues {
		if newValues[path] != value {
			d = append(d, FieldChange{Path: path, Before: value, After: newValues[path]})
		}
	}
	for path, value := range newValues {
		if _, found := oldValues[path]; !found {
			d = append(d, FieldChange{Path: path, After: value})
		}
	}
	slices.SortFunc(d, func(a, b FieldChange) int { return strings.Compare(a.Path, b.Path) })
	return d
}

func flattenTeams(leaves map[string]string, config *structs.Config) {
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
			flatten(leaves, "/teams/"+string(team.ID), value)
		}
	}
}

// flatten writes the leaves of a JSON value into leaves, keyed by their paths.
func flatten(leaves map[string]string, path string, value any) {
	switch v := value.(type) {
	case map[string]any:
		for name, item := range v {
			flatten(leaves, path+"/"+name, item)
		}
	case []any:
		for i, item := range v {
			flatten(leaves, path+"/"+itemKey(item, i), item)
		}
	default:
		text, err := json.Marshal(v)
		if err == nil {
			leaves[path] = string(text)
		}
	}
}

// itemKey returns the name of a list item, or its index if it has none.
func itemKey(item any, index int) string {
	if fields, ok := item.(map[string]any); ok {
		for _, key := range []string{"name", "class", "id"} {
			if name, ok := fields[key].(string); ok {
				return name
			}
		}
	}
	return fmt.Sprint(index)
}
