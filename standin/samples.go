package standin

import (
	"context"
	"embed"
	"encoding/json"
	"fmt"
	"time"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

//go:embed samples/*.json
var samples embed.FS

// SampleKey returns the object key of the sample input of a program.
func SampleKey(program string) string { return "sample/" + program + ".json" }

// Sample returns the sample input of a program.
func Sample(program string) ([]byte, error) {
	data, err := samples.ReadFile("samples/" + program + ".json")
	if err != nil {
		return nil, &structs.NotFoundError{Subject: "sample of program", Name: program}
	}
	return data, nil
}

// PutSamples stores the sample inputs of the programs "pricing", "matching" and
// "watcher" under their sample keys.
func PutSamples(ctx context.Context, objects substrate.Objects) error {
	for _, program := range []string{"pricing", "matching", "watcher"} {
		data, err := Sample(program)
		if err != nil {
			return err
		}
		if err := objects.Put(ctx, SampleKey(program), data); err != nil {
			return fmt.Errorf("store sample of %s: %w", program, err)
		}
	}
	return nil
}

// decodeInput decodes the input and, if there is one, the checkpoint of a
// program.
func decodeInput(program string, in *Input, input, checkpoint any) error {
	if err := json.Unmarshal(in.Data, input); err != nil {
		return &ProgramError{Program: program, Detail: "bad input: " + err.Error(), Err: err}
	}
	if len(in.Resume) == 0 {
		return nil
	}
	if err := json.Unmarshal(in.Resume, checkpoint); err != nil {
		return &ProgramError{Program: program, Detail: "bad checkpoint: " + err.Error(), Err: err}
	}
	return nil
}

// reportState reports the JSON of state as the content of the next checkpoint.
func reportState(program string, in *Input, state any, progress float64) error {
	data, err := json.Marshal(state)
	if err != nil {
		return &ProgramError{Program: program, Detail: "write checkpoint: " + err.Error(), Err: err}
	}
	in.Report(data, progress)
	return nil
}

// PricingInput is the input of the program "pricing".
type PricingInput struct {
	WorkMS    int64      `json:"work_ms"` // processor time of one contract
	Contracts []Contract `json:"contracts"`
}

// Contract is one delivery contract of a grower.
type Contract struct {
	ID              string `json:"id"`
	Grower          string `json:"grower"`
	Variety         string `json:"variety"`
	Kilograms       int64  `json:"kilograms"`
	CentsPerTon     int64  `json:"cents_per_ton"`
	SugarTenthsBrix int64  `json:"sugar_tenths_brix"`
}

// Price is the price of one contract.
type Price struct {
	ID    string `json:"id"`
	Cents int64  `json:"cents"`
}

// PricingResult is the result of the program "pricing", and its checkpoint.
type PricingResult struct {
	Prices     []Price `json:"prices"`
	TotalCents int64   `json:"total_cents"`
}

// Sugar above or below the standard content changes the price of a contract.
const (
	standardTenthsBrix   = 120
	perMillePerTenthBrix = 4
)

func (c Contract) price() int64 {
	perMille := 1000 + (c.SugarTenthsBrix-standardTenthsBrix)*perMillePerTenthBrix
	return c.Kilograms * c.CentsPerTon * perMille / (1000 * 1000)
}

// Pricing computes the prices of contracts, one after the other.
func Pricing(ctx context.Context, in *Input) ([]byte, error) {
	var input PricingInput
	var result PricingResult
	if err := decodeInput("pricing", in, &input, &result); err != nil {
		return nil, err
	}
	for i := len(result.Prices); i < len(input.Contracts); i++ {
		if err := in.Work(ctx, time.Duration(input.WorkMS)*time.Millisecond); err != nil {
			return nil, err
		}
		contract := input.Contracts[i]
		price := contract.price()
		result.Prices = append(result.Prices, Price{ID: contract.ID, Cents: price})
		result.TotalCents += price
		if err := reportState("pricing", in, result, float64(i+1)/float64(len(input.Contracts))); err != nil {
			return nil, err
		}
	}
	return json.Marshal(result)
}

// MatchingInput is the input of the program "matching".
type MatchingInput struct {
	WorkMS    int64    `json:"work_ms"` // processor time of one sighting
	Sightings []Animal `json:"sightings"`
	Intake    []Animal `json:"intake"`
}

// Animal is a sighting of a lost pet, or an animal that a shelter took in.
type Animal struct {
	ID       string   `json:"id"`
	Species  string   `json:"species"`
	Features []string `json:"features"`
	District string   `json:"district"`
}

// Match pairs a sighting with an animal of a shelter.
type Match struct {
	Sighting string  `json:"sighting"`
	Intake   string  `json:"intake"`
	Score    float64 `json:"score"` // 0 to 1
}

// MatchingResult is the result of the program "matching", and its checkpoint.
type MatchingResult struct {
	Seen    int     `json:"seen"` // number of sightings compared so far
	Matches []Match `json:"matches"`
}

// minMatchScore is the lowest score of a match.
const minMatchScore = 0.5

// score returns the number of common features divided by the number of distinct
// features of both animals, and 0 for animals of different species.
func score(a, b Animal) float64 {
	if a.Species != b.Species {
		return 0
	}
	all := map[string]int{}
	for _, f := range a.Features {
		all[f] = 1
	}
	common := 0
	for _, f := range b.Features {
		common += all[f]
		all[f] = 1
	}
	if len(all) == 0 {
		return 0
	}
	return float64(common) / float64(len(all))
}

// Matching compares every sighting with the animals in shelters.
func Matching(ctx context.Context, in *Input) ([]byte, error) {
	var input MatchingInput
	var result MatchingResult
	if err := decodeInput("matching", in, &input, &result); err != nil {
		return nil, err
	}
	for result.Seen < len(input.Sightings) {
		if err := in.Work(ctx, time.Duration(input.WorkMS)*time.Millisecond); err != nil {
			return nil, err
		}
		sighting := input.Sightings[result.Seen]
		for _, animal := range input.Intake {
			if s := score(sighting, animal); s >= minMatchScore {
				result.Matches = append(result.Matches, Match{Sighting: sighting.ID, Intake: animal.ID, Score: s})
			}
		}
		result.Seen++
		if err := reportState("matching", in, result, float64(result.Seen)/float64(len(input.Sightings))); err != nil {
			return nil, err
		}
	}
	return json.Marshal(result)
}

// WatcherInput is the input of the program "watcher".
type WatcherInput struct {
	IntervalMS int64    `json:"interval_ms"`
	Chips      []string `json:"chips"`
}

// WatcherState is the checkpoint of the program "watcher".
type WatcherState struct {
	Lookups int64 `json:"lookups"`
}

// Watcher looks up its chips once per interval until it is stopped. Without an
// input it uses the sample input.
func Watcher(ctx context.Context, in *Input) ([]byte, error) {
	var input WatcherInput
	var state WatcherState
	if in.Data == nil {
		data, err := Sample("watcher")
		if err != nil {
			return nil, err
		}
		in.Data = data
	}
	if err := decodeInput("watcher", in, &input, &state); err != nil {
		return nil, err
	}
	if input.IntervalMS <= 0 {
		return nil, &ProgramError{Program: "watcher", Detail: "interval_ms must be above 0"}
	}
	for {
		if err := in.Work(ctx, time.Duration(input.IntervalMS)*time.Millisecond); err != nil {
			return nil, err
		}
		state.Lookups += int64(len(input.Chips))
		if err := reportState("watcher", in, state, 0); err != nil {
			return nil, err
		}
	}
}
