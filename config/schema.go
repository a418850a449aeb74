package config

import (
	_ "embed" // schema.json
	"encoding/json"
	"errors"
	"fmt"
	"slices"
	"strings"

	"github.com/daisywall/daisywall/settings"
	"github.com/daisywall/daisywall/structs"
)

//go:embed schema.json
var schemaJSON []byte

// Schema validates whole configurations (structs.Config as JSON).
var Schema = settings.MustCompile("configuration", schemaJSON)

// teamSchema validates the configuration of one team (structs.TeamConfig as
// JSON).
var teamSchema = settings.MustCompile("team", teamSchemaJSON())

// teamSchemaJSON derives the schema of one team from the definitions in the
// schema of the whole configuration.
func teamSchemaJSON() []byte {
	var whole struct {
		Defs json.RawMessage `json:"$defs"`
	}
	if err := json.Unmarshal(schemaJSON, &whole); err != nil {
		panic(fmt.Errorf("embedded schema: %w", err))
	}
	return []byte(`{"$ref": "#/$defs/team", "$defs": ` + string(whole.Defs) + `}`)
}

// Decode reads a whole configuration. It returns *structs.InvalidError with
// every violation of the schema and of the rules that span several fields.
func Decode(data []byte) (*structs.Config, error) {
	config := &structs.Config{}
	err := Schema.Decode(data, config)
	if !decodeDespiteFaults(data, config, err) {
		return nil, err
	}
	if err := mergeFaults("configuration", err, checkConfig(config)); err != nil {
		return nil, err
	}
	normalize(config)
	return config, nil
}

// DecodeTeam reads the configuration of one team. It returns
// *structs.InvalidError with every violation of the schema and of the rules
// that span several fields.
func DecodeTeam(data []byte) (structs.TeamConfig, error) {
	var team structs.TeamConfig
	err := teamSchema.Decode(data, &team)
	if !decodeDespiteFaults(data, &team, err) {
		return structs.TeamConfig{}, err
	}
	if err := mergeFaults("team", err, checkTeam(&team, "")); err != nil {
		return structs.TeamConfig{}, err
	}
	normalizeTeam(&team)
	return team, nil
}

// decodeDespiteFaults reports whether out holds enough fields for the rules
// that span several fields. After a schema fault it decodes data again as far
// as the types allow.
func decodeDespiteFaults(data []byte, out any, schemaErr error) bool {
	if schemaErr == nil {
		return true
	}
	err := json.Unmarshal(data, out)
	var wrongType *json.UnmarshalTypeError
	return err == nil || errors.As(err, &wrongType)
}

// mergeFaults joins the faults of the schema and those of the rules that span
// several fields, ordered by path.
func mergeFaults(subject string, schemaErr error, fieldFaults []structs.Fault) error {
	var invalid *structs.InvalidError
	if schemaErr != nil && !errors.As(schemaErr, &invalid) {
		return schemaErr
	}
	var faults []structs.Fault
	if invalid != nil {
		faults = append(faults, invalid.Faults...)
	}
	faults = append(faults, fieldFaults...)
	if len(faults) == 0 {
		return nil
	}
	slices.SortStableFunc(faults, func(a, b structs.Fault) int { return strings.Compare(a.Path, b.Path) })
	return &structs.InvalidError{Subject: subject, Faults: faults}
}

// Encode returns the indented JSON form of a configuration.
func Encode(config *structs.Config) ([]byte, error) {
	c := *config
	c.Teams = slices.Clone(config.Teams)
	normalize(&c)
	return marshalIndented("configuration", c)
}

// EncodeTeam returns the indented JSON form of the configuration of one team.
func EncodeTeam(team structs.TeamConfig) ([]byte, error) {
	normalizeTeam(&team)
	return marshalIndented("team", team)
}

func marshalIndented(subject string, value any) ([]byte, error) {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", subject, err)
	}
	return append(data, '\n'), nil
}

// normalize sorts the teams and replaces nil lists by empty ones, so that equal
// configurations have equal JSON.
func normalize(config *structs.Config) {
	if config.Teams == nil {
		config.Teams = []structs.TeamConfig{}
	}
	for i := range config.Teams {
		normalizeTeam(&config.Teams[i])
	}
	slices.SortFunc(config.Teams, func(a, b structs.TeamConfig) int {
		return strings.Compare(string(a.ID), string(b.ID))
	})
}

func normalizeTeam(team *structs.TeamConfig) {
	if team.Requests == nil {
		team.Requests = []structs.RequestKind{}
	}
	if team.Services == nil {
		team.Services = []structs.ServiceConfig{}
	}
	if team.Batch == nil {
		team.Batch = []structs.BatchConfig{}
	}
}
