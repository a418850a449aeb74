// Package settings validates JSON documents against JSON Schemas and decodes
// them. It serves the settings of the daemons and every other JSON input that
// has a schema. A document is accepted as a whole or rejected with all its
// faults.
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

// maxFaultValueBytes is the number of bytes of an invalid value that a fault
// shows.
const maxFaultValueBytes = 80

// Schema is a JSON Schema for one kind of document. Subject names that kind in
// errors.
type Schema struct {
	subject  string
	compiled func() *jsonschema.Schema
}

// Compile compiles the JSON Schema for documents called subject.
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

// MustCompile returns a schema that is part of the program. It is compiled at
// its first use, because compilation takes several milliseconds and few
// programs need every schema. That use panics if the schema is invalid.
func MustCompile(subject string, schema []byte) *Schema {
	return &Schema{subject: subject, compiled: sync.OnceValue(func() *jsonschema.Schema {
		compiled, err := compile(subject, schema)
		if err != nil {
			panic(err)
		}
		return compiled
	})}
}

// Decode validates data against the schema and decodes it into out. It returns
// *structs.InvalidError with every fault.
func (s *Schema) Decode(data []byte, out any) error {
	document, err := jsonschema.UnmarshalJSON(bytes.NewReader(data))
	if err != nil {
		return s.invalidError(structs.Fault{Path: "/", Value: truncate(string(data)), Rule: "must be one JSON document: " + err.Error()})
	}
	if faults := oversizedNumbers(nil, document); len(faults) > 0 {
		return s.invalidError(faults...)
	}
	if err := s.compiled().Validate(document); err != nil {
		return s.invalidError(validationFaults(err, document)...)
	}
	if err := json.Unmarshal(data, out); err != nil {
		return s.invalidError(structs.Fault{Path: "/", Value: truncate(string(data)), Rule: err.Error()})
	}
	return nil
}

// ReadFile reads the file at path and decodes it into out.
func (s *Schema) ReadFile(path string, out any) error {
	data, err := os.ReadFile(path)
	if err != nil {
		return fmt.Errorf("read %s: %w", s.subject, err)
	}
	return s.Decode(data, out)
}

func (s *Schema) invalidError(faults ...structs.Fault) error {
	return &structs.InvalidError{Subject: s.subject, Faults: faults}
}

// validationFaults flattens a validation error into one fault for each broken
// rule, ordered by path.
func validationFaults(err error, document any) []structs.Fault {
	//nolint:errorlint // Validate returns the concrete type.
	validation, ok := err.(*jsonschema.ValidationError)
	if !ok {
		return []structs.Fault{{Path: "/", Rule: err.Error()}}
	}
	printer := message.NewPrinter(language.English)
	var faults []structs.Fault
	var walk func(e *jsonschema.ValidationError)
	walk = func(e *jsonschema.ValidationError) {
		if len(e.Causes) == 0 {
			faults = append(faults, structs.Fault{
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
	sortFaults(faults)
	return faults
}

// sortFaults orders faults by path, so that reports are deterministic.
func sortFaults(faults []structs.Fault) {
	sort.SliceStable(faults, func(i, j int) bool { return faults[i].Path < faults[j].Path })
}

// valueAt returns the truncated JSON text of the value at the location.
func valueAt(document any, location []string) string {
	value := document
	for _, segment := range location {
		switch v := value.(type) {
		case map[string]any:
			value = v[segment]
		case []any:
			var index int
			if _, err := fmt.Sscanf(segment, "%d", &index); err != nil || index >= len(v) {
				return ""
			}
			value = v[index]
		}
	}
	text, err := json.Marshal(value)
	if err != nil {
		return ""
	}
	return truncate(string(text))
}

func truncate(s string) string {
	if len(s) <= maxFaultValueBytes {
		return s
	}
	return s[:maxFaultValueBytes] + "…"
}
