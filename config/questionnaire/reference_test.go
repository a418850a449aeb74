package questionnaire

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/config"
)

const referencePage = "../../docs/CONFIGURATION.md"

// schemaNode is the part of a JSON Schema that the page shows.
type schemaNode struct {
	Ref              string                `json:"$ref"`
	Type             string                `json:"type"`
	Description      string                `json:"description"`
	Enum             []string              `json:"enum"`
	Pattern          string                `json:"pattern"`
	Minimum          *float64              `json:"minimum"`
	ExclusiveMinimum *float64              `json:"exclusiveMinimum"`
	Maximum          *float64              `json:"maximum"`
	ExclusiveMaximum *float64              `json:"exclusiveMaximum"`
	Required         []string              `json:"required"`
	Properties       map[string]schemaNode `json:"properties"`
	Items            *schemaNode           `json:"items"`
	Defs             map[string]schemaNode `json:"$defs"`
}

// resolve replaces a reference by the schema that it points to. A description
// and a minimum beside the reference override those of that schema.
func (n schemaNode) resolve(root schemaNode) schemaNode {
	name, found := strings.CutPrefix(n.Ref, "#/$defs/")
	if !found {
		return n
	}
	target := root.Defs[name]
	if n.Description != "" {
		target.Description = n.Description
	}
	if n.Minimum != nil {
		target.Minimum = n.Minimum
	}
	return target
}

func (n schemaNode) typeText(root schemaNode) string {
	resolved := n.resolve(root)
	switch {
	case resolved.Type == "object":
		return "[" + strings.TrimPrefix(n.Ref, "#/$defs/") + "](#" + strings.TrimPrefix(n.Ref, "#/$defs/") + ")"
	case resolved.Items != nil:
		return "list of " + resolved.Items.typeText(root)
	case resolved.Enum != nil:
		return strings.Join(resolved.Enum, ", ")
	default:
		return resolved.Type
	}
}

func (n schemaNode) bounds(root schemaNode) string {
	r := n.resolve(root)
	var parts []string
	for _, limit := range []struct {
		word  string
		value *float64
	}{{"at least", r.Minimum}, {"above", r.ExclusiveMinimum}, {"at most", r.Maximum}, {"below", r.ExclusiveMaximum}} {
		if limit.value != nil {
			parts = append(parts, fmt.Sprintf("%s %.0f", limit.word, *limit.value))
		}
	}
	if r.Pattern != "" {
		parts = append(parts, "`"+r.Pattern+"`")
	}
	return strings.Join(parts, ", ")
}

func writeObject(b *strings.Builder, root, n schemaNode) {
	fmt.Fprintf(b, "%s\n\n| field | type | bounds | meaning |\n|---|---|---|---|\n", n.Description)
	for _, name := range n.Required {
		field := n.Properties[name]
		fmt.Fprintf(b, "| `%s` | %s | %s | %s |\n", name, field.typeText(root), field.bounds(root), field.resolve(root).Description)
	}
	b.WriteString("\n")
}

const referenceHead = `# Configuration

This page is generated from the schema and the questionnaire
(` + "`go test ./config/questionnaire -update`" + `); a test checks that it is current.

## How a change is made

1. ` + "`daisywall questionnaire`" + ` asks about a team's work and writes the answers and the
   team's configuration, with the reason of each field. An answers file gives the
   same configuration every time; samples are in ` + "`examples/jabuka`" + ` and ` + "`examples/graz`" + `.
2. ` + "`daisywall config diff`" + ` shows the fields that would change.
3. ` + "`daisywall config apply`" + ` makes the change against the revision that the operator saw.
   A malformed change is refused whole, with path, value and rule of every fault.
   When another change came first, it is refused with the difference.
4. ` + "`daisywall config status`" + ` shows the revision in force and the daemons that lag.
   ` + "`daisywall config history`" + ` lists changes; ` + "`daisywall config rollback`" + ` makes an earlier
   content the next revision. The history reaches back 1,024 revisions.

A revision never goes back: every daemon takes only higher ones.

## Fields

`

const referenceRules = `## Rules across fields

- IDs of teams, and names of requests, services and batch classes within a team, are unique.
- ` + "`objective.latency_ms`" + ` of a request is above 0 and does not exceed its ` + "`deadline_ms`" + `.
- ` + "`minimum`" + ` of a service does not exceed its ` + "`instances`" + `.
- ` + "`run_time_ms`" + ` and ` + "`objective.latency_ms`" + ` of a batch class do not exceed its ` + "`deadline_ms`" + `.
- All instances of all services together fit the quota, and so does one task of each batch class.

`

// referenceText returns the generated configuration reference page.
func referenceText(t *testing.T) string {
	t.Helper()
	data, err := os.ReadFile("../schema.json")
	is.New(t).NoErr(err)
	var root schemaNode
	is.New(t).NoErr(json.Unmarshal(data, &root))
	var b strings.Builder
	b.WriteString(referenceHead)
	b.WriteString("### configuration\n\n")
	writeObject(&b, root, root)
	for _, name := range []string{"team", "limits", "request", "objective", "service", "batch", "resources"} {
		fmt.Fprintf(&b, "### %s\n\n", name)
		writeObject(&b, root, root.Defs[name])
	}
	b.WriteString(referenceRules)
	b.WriteString("## Questions\n\n")
	for _, section := range Sections() {
		writeSection(&b, section)
	}
	result, err := Generate(readExampleAnswers(t, "jabuka"))
	is.New(t).NoErr(err)
	fmt.Fprintf(&b, "## What the answers of `examples/jabuka` lead to\n\n| field | value | reason |\n|---|---|---|\n")
	for _, e := range result.Explanations {
		fmt.Fprintf(&b, "| `%s` | %s | %s |\n", e.Path, e.Value, e.Reason)
	}
	return b.String()
}

func writeSection(b *strings.Builder, section Section) {
	fmt.Fprintf(b, "### %s\n\n", section.Title)
	if section.Key != "" {
		fmt.Fprintf(b, "List `%s` of the answers file, one item for each %s.\n\n", section.Key, section.Item)
	}
	b.WriteString("| key | question | answer | default |\n|---|---|---|---|\n")
	for _, q := range section.Questions {
		var choices []string
		for _, c := range q.Choices {
			choices = append(choices, fmt.Sprintf("`%s`: %s", c.Value, c.Text))
		}
		answer := strings.Join(choices, "; ")
		if answer == "" {
			answer = strings.TrimSpace(string(q.Kind) + " " + q.Unit)
		}
		if q.Max > 0 {
			answer += fmt.Sprintf(", %v to %.0f", q.Min, q.Max)
		}
		fmt.Fprintf(b, "| `%s` | %s | %s | %s |\n", q.Key, q.Text, answer, q.Default)
	}
	b.WriteString("\n")
}

func TestConfigurationPageIsCurrent(t *testing.T) {
	checkCurrent(t, referencePage, []byte(referenceText(t)))
}

func TestConfigurationPageNamesEveryField(t *testing.T) {
	is := is.New(t)
	page := referenceText(t)
	is.Equal(missingFields(t, page), nil)
	is.Equal(missingFields(t, strings.ReplaceAll(page, "`ride_outage_ms`", "")), []string{"ride_outage_ms", "ride_outage_ms"})
}

// missingFields returns the fields of a complete team that the page does not
// name.
func missingFields(t *testing.T, page string) []string {
	t.Helper()
	result, err := Generate(readExampleAnswers(t, "jabuka"))
	is.New(t).NoErr(err)
	data, err := config.EncodeTeam(result.Team)
	is.New(t).NoErr(err)
	var document any
	is.New(t).NoErr(json.Unmarshal(data, &document))
	var missing []string
	var walk func(value any)
	walk = func(value any) {
		switch v := value.(type) {
		case map[string]any:
			for name, item := range v {
				if !strings.Contains(page, "| `"+name+"` |") {
					missing = append(missing, name)
				}
				walk(item)
			}
		case []any:
			for _, item := range v {
				walk(item)
			}
		}
	}
	walk(document)
	return missing
}
