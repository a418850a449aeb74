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

// Schema checks whole configurations (structs.Config as JSON).
var Schema = settings.MustCompile("configuration", schemaJSON)

// teamSchema checks the place of one team (structs.TeamConfig as JSON).
var teamSchema = settings.MustCompile("team", teamSchemaJSON())

// teamSchemaJSON derives the schema of one team from the definitions of the
// whole schema.
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
// every fault, of the schema and across fields.
func Decode(data []byte) (*structs.Config, error) {
	config := &structs.Config{}
	err := Schema.Decode(data, config)
	if !readable(data, config, err) {
		return nil, err
	}
	if err := merge("configuration", err, checkConfig(config)); err != nil {
		return nil, err
	}
	normalize(config)
	return config, nil
}

// DecodeTeam reads the place of one team. It returns *structs.InvalidError
// with every fault, of the schema and across fields.
func DecodeTeam(data []byte) (structs.TeamConfig, error) {
	var team structs.TeamConfig
	err := teamSchema.Decode(data, &team)
	if !readable(data, &team, err) {
		return structs.TeamConfig{}, err
	}
	if err := merge("team", err, checkTeam(&team, "")); err != nil {
		return structs.TeamConfig{}, err
	}
	normalizeTeam(&team)
	return team, nil
}

// readable reports whether the fields of out can be checked against each
// other. After a schema fault it decodes data again, as far as types allow.
func readable(data []byte, out any, schemaErr error) bool {
	if schemaErr == nil {
		return true
	}
	err := json.Unmarshal(data, out)
	var wrongType *json.UnmarshalTypeError
	return err == nil || errors.As(err, &wrongType)
}

// merge joins the faults of the schema and those across fields, by path.
func merge(subject string, schemaErr error, more []structs.Fault) error {
	var invalid *structs.InvalidError
	if schemaErr != nil && !errors.As(schemaErr, &invalid) {
		return schemaErr
	}
	var faults []structs.Fault
	if invalid != nil {
		faults = append(faults, invalid.Faults...)
	}
	faults = append(faults, more...)
	if len(faults) == 0 {
		return nil
	}
	slices.SortStableFunc(faults, func(a, b structs.Fault) int { return strings.Compare(a.Path, b.Path) })
	return &structs.InvalidError{Subject: subject, Faults: faults}
}

// Encode writes the readable JSON form of a configuration.
func Encode(config *structs.Config) ([]byte, error) {
	c := *config
	c.Teams = slices.Clone(config.Teams)
	normalize(&c)
	return indent("configuration", c)
}

// EncodeTeam writes the readable JSON form of the place of one team.
func EncodeTeam(team structs.TeamConfig) ([]byte, error) {
	normalizeTeam(&team)
	return indent("team", team)
}

func indent(subject string, value any) ([]byte, error) {
	data, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode %s: %w", subject, err)
	}
	return append(data, '\n'), nil
}

// normalize sorts the teams and replaces absent lists by empty ones, so that
// equal configurations have equal JSON.
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
