package site

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/daisywall/daisywall/standin"
	"github.com/daisywall/daisywall/structs"
)

type permitCall struct {
	Step    string   `json:"step"`
	Workers []string `json:"workers"`
}

type permitAnswer struct {
	Good    [][2]string `json:"good"`
	ValidMS int64       `json:"valid_ms"`
}

// Permits serves the service that decides on permits.
func Permits(issuer *standin.PermitIssuer) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/advise", func(w http.ResponseWriter, r *http.Request) {
		var c permitCall
		step, ok := structs.StepID{}, false
		if json.NewDecoder(r.Body).Decode(&c) == nil {
			step, ok = stepOf(c.Step)
		}
		if !ok {
			http.Error(w, "not a step", http.StatusBadRequest)
			return
		}
		given, err := issuer.Permits(r.Context(), step, c.Workers)
		if err != nil {
			http.Error(w, err.Error(), http.StatusTooManyRequests)
			return
		}
		a := permitAnswer{ValidMS: issuer.Policy.Valid.Milliseconds()}
		for runner, ticket := range given {
			a.Good = append(a.Good, [2]string{runner, ticket})
		}
		reply(w, http.StatusOK, a)
	})
	return mux
}

// stepOf reads JOB.ROUND.STEP.
func stepOf(name string) (structs.StepID, bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 3 {
		return structs.StepID{}, false
	}
	round, roundErr := strconv.ParseInt(parts[1], 10, 32)
	step, stepErr := strconv.ParseInt(parts[2], 10, 32)
	return structs.StepID{Job: structs.JobID(parts[0]), Round: int32(round), Step: int32(step)}, roundErr == nil && stepErr == nil
}
