// Package settings reads and checks JSON documents: the settings of the daemons
// and every other JSON input that has a schema. A document is taken whole or
// rejected with all its faults.
package settings

import (
	"bytes"
	"encoding/json"
	"fmt"
	"os"
	"sort"
	"strings"
	"sync"

	"github.com/santhosh-tekuri/jsonschema/v6"
	"golang.org/x/text/language"
	"golang.org/x/text/message"

	"github.com/daisywall/daisywall/structs"
)

// maxFaultValue is the number of bytes of an offending value that a fault
// shows.
const maxFaultValue = 80

// Schema is a compiled JSON Schema for documents called subject.
type Schema struct {
	subject  string
	compiled func() *jsonschema.Schema
}

// Compile compiles a JSON Schema.
func Compile(subject string, schema []byte) (*Schema, error) {
	compiled, err := compile(subject, schema)
	if err != nil {
		return nil, err
	}
	return &Schema{subject: subject, compiled: func() *jsonschema.Schema { return compiled }}, nil
}

func compile(subject string, schema []byte) (*jsonschema.Schema, error) {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(schema))
	if err != nil {
		return nil, fmt.Errorf("schema of %s: %w", subject, err)
	}
	compiler := jsonschema.NewCompiler()
	if err := compiler.AddResource(subject, document); err != nil {
		return nil, fmt.Errorf("schema of %s: %w", subject, err)
	}
	compiled, err := compiler.Compile(subject)
	if err != nil {
		return nil, fmt.Errorf("schema of %s: %w", subject, err)
	}
	return compiled, nil
}

// MustCompile is Compile for schemas that are part of the program. They are
// compiled at their first use, since that takes several milliseconds each and
// few programs need them all.
func MustCompile(subject string, schema []byte) *Schema {
	return &Schema{subject: subject, compiled: sync.OnceValue(func() *jsonschema.Schema {
		compiled, err := compile(subject, schema)
		if err != nil {
			panic(err)
		}
		return compiled
	})}
}

// Decode checks data against the schema and decodes it into out. It returns
// *structs.InvalidError with every fault.
func (s *Schema) Decode(data []byte, out any) error {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return s.invalid(structs.Fault{Path: "/", Value: shorten(string(data)), Rule: "must be one JSON document: " + err.Error()})
	}
	if list := oversized(nil, document); len(list) > 0 {
		return s.invalid(list...)
	}
	if err := s.compiled().Validate(document); err != nil {
		return s.invalid(faults(err, document)...)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return s.invalid(structs.Fault{Path: "/", Value: shorten(string(data)), Rule: err.Error()})
	}
	return nil
}

// ReadFile decodes the file at path into out.
func (s *Schema) ReadFile(path string, out any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read %s: %w", s.subject, err)
	}
	return s.Decode(data, out)
}

func (s *Schema) invalid(list ...structs.Fault) error {
	return &structs.InvalidError{Subject: s.subject, Faults: list}
}

// faults flattens a validation error into one fault for each broken rule,
// ordered by path.
func faults(err error, document any) []structs.Fault {
	//nolint:errorlint // Validate returns the concrete type.
	validation, ok := err.(*jsonschema.ValidationError)
	if !ok {
		return []structs.Fault{{Path: "/", Rule: err.Error()}}
	}
	printer := message.NewPrinter(language.English)
	var list []structs.Fault
	var walk func(e *jsonschema.ValidationError)
	walk = func(e *jsonschema.ValidationError) {
		if len(e.Causes) == 0 {
			list = append(list, structs.Fault{
				Path:  "/" + strings.Join(e.InstanceLocation, "/"),
				Value: valueAt(document, e.InstanceLocation),
				Rule:  e.ErrorKind.LocalizedString(printer),
			})
		}
		for _, cause := range e.Causes {
			walk(cause)
		}
	}
	walk(validation)
	sortFaults(list)
	return list
}

// sortFaults orders faults by path, so that a report is the same every time.
func sortFaults(list []structs.Fault) {
	sort.SliceStable(list, func(i, j int) bool { return list[i].Path < list[j].Path })
}

// valueAt returns the JSON text of the value at the location, shortened.
func valueAt(document any, location []string) string {
	value := document
	for _, step := range location {
		switch v := value.(type) {
		case map[string]any:
			value = v[step]
		case []any:
			var index int
			if _, err := fmt.Sscanf(step, "%d", &index); err != nil || index >= len(v) {
				return ""
			}
			value = v[index]
		}
	}
	text, err := json.Marshal(value)
	if err != nil {
		return ""
	}
	return shorten(string(text))
}

func shorten(s string) string {
	if len(s) <= maxFaultValue {
		return s
	}
	return s[:maxFaultValue] + "…"
}
