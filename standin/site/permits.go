package site

import (
	"encoding/json"
	"net/http"
	"strconv"
	"strings"

	"github.com/daisywall/daisywall/standin"
	"github.com/daisywall/daisywall/structs"
)

type permitRequest struct {
	Step    string   `json:"step"`
	Workers []string `json:"workers"`
}

type permitResponse struct {
	Good    [][2]string `json:"good"`
	ValidMS int64       `json:"valid_ms"`
}

// Permits serves the permit service to one host.
func Permits(issuer *standin.PermitIssuer) http.Handler {
	client := issuer.Client()
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/advise", func(w http.ResponseWriter, r *http.Request) {
		var body permitRequest
		step, ok := structs.StepID{}, false
		if json.NewDecoder(r.Body).Decode(&body) == nil {
			step, ok = parseStep(body.Step)
		}
		if !ok {
			http.Error(w, "not a step", http.StatusBadRequest)
			return
		}
		permits, err := client.RequestPermits(r.Context(), step, body.Workers)
		if err != nil {
			http.Error(w, err.Error(), http.StatusTooManyRequests)
			return
		}
		response := permitResponse{ValidMS: permits.Validity.Milliseconds()}
		for runner, permit := range permits.Tokens {
			response.Good = append(response.Good, [2]string{runner, permit})
		}
		writeJSON(w, http.StatusOK, response)
	})
	return mux
}

// parseStep parses a step name of the form JOB.ROUND.STEP.
func parseStep(name string) (structs.StepID, bool) {
	parts := strings.Split(name, ".")
	if len(parts) != 3 {
		return structs.StepID{}, false
	}
	round, roundErr := strconv.ParseInt(parts[1], 10, 32)
	step, stepErr := strconv.ParseInt(parts[2], 10, 32)
	return structs.StepID{Job: structs.JobID(parts[0]), Round: int32(round), Step: int32(step)}, roundErr == nil && stepErr == nil
}
