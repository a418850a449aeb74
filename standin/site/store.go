// Package site serves the in-memory stand-ins over the HTTP protocols of the
// users' platform, for tests without that platform.
package site

import (
	"encoding/json"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value"`
	Version int64  `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

func (r row) toPartRow() substrate.PartRow {
	return substrate.PartRow{Table: r.Table, Part: r.Part, Key: r.Key, Value: r.Value}
}

type txn struct {
	Expected []row `json:"expected_rev"`
	Puts     []row `json:"puts"`
	Remove   []row `json:"remove"`
}

type storeResponse struct {
	Rows    []row `json:"rows,omitempty"`
	More    bool  `json:"has_more"`
	Version int64 `json:"ver,omitempty"`
}

func fromPartRows(rows []substrate.PartRow) []row {
	result := make([]row, 0, len(rows))
	for _, r := range rows {
		result = append(result, row{Table: r.Table, Part: r.Part, Key: r.Key, Value: r.Value, Version: r.Version, Removed: r.Removed})
	}
	return result
}

// pageRows is the largest number of rows of one response.
const pageRows = 500

// Store returns a handler that serves the API of the metadata store. It sends
// all requests to client, which also injects the faults.
func Store(client substrate.PartStore) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", func(w http.ResponseWriter, r *http.Request) { commit(w, r, client) })
	mux.HandleFunc("GET /v1/rows-get", func(w http.ResponseWriter, r *http.Request) { listRows(w, r, client) })
	mux.HandleFunc("GET /v1/rows-feed", func(w http.ResponseWriter, r *http.Request) { listChanges(w, r, client) })
	return mux
}

func commit(w http.ResponseWriter, r *http.Request, client substrate.PartStore) {
	var body txn
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var request substrate.PartTxn
	for _, e := range body.Expected {
		request.Expect = append(request.Expect, substrate.RowVersion{Table: e.Table, Part: e.Part, Key: e.Key, Version: e.Version})
	}
	for _, p := range body.Puts {
		request.Puts = append(request.Puts, p.toPartRow())
	}
	for _, d := range body.Remove {
		request.Remove = append(request.Remove, d.toPartRow())
	}
	version, err := client.Commit(r.Context(), request)
	var conflict *substrate.VersionConflictError
	if errors.As(err, &conflict) {
		writeJSON(w, http.StatusPreconditionFailed, storeResponse{Rows: fromPartRows(conflict.Rows)})
		return
	}
	writeResult(w, storeResponse{Version: version}, err)
}

func listRows(w http.ResponseWriter, r *http.Request, client substrate.PartStore) {
	query := r.URL.Query()
	rows, version, err := client.Rows(r.Context(), query.Get("table"), query.Get("part"))
	limit := pageRows
	if n, parseErr := strconv.Atoi(query.Get("limit")); parseErr == nil {
		limit = min(limit, n)
	}
	response := storeResponse{Version: version}
	for _, row := range fromPartRows(rows) {
		if row.Key < query.Get("from") {
			continue
		}
		if len(response.Rows) == limit {
			response.More = true
			break
		}
		response.Rows = append(response.Rows, row)
	}
	writeResult(w, response, err)
}

func listChanges(w http.ResponseWriter, r *http.Request, client substrate.PartStore) {
	query := r.URL.Query()
	after, err := strconv.ParseInt(query.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	waitMS, err := strconv.Atoi(query.Get("wait_ms"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	rows, version, err := client.Changes(r.Context(), query.Get("table"), after, time.Duration(waitMS)*time.Millisecond)
	writeResult(w, storeResponse{Rows: fromPartRows(rows), Version: version}, err)
}

// writeResult writes the response to a call that succeeded or was refused. It
// aborts the connection if the call has no known outcome.
func writeResult(w http.ResponseWriter, a storeResponse, err error) {
	var historyLost *substrate.HistoryLostError
	var refused *substrate.TxnRefusedError
	var unavailable *structs.UnavailableError
	switch {
	case err == nil:
		writeJSON(w, http.StatusOK, a)
	case errors.As(err, &refused):
		http.Error(w, refused.Reason, http.StatusBadRequest)
	case errors.As(err, &historyLost):
		writeJSON(w, http.StatusGone, struct{}{})
	case errors.As(err, &unavailable) && unavailable.Err == nil:
		writeJSON(w, http.StatusServiceUnavailable, struct{}{})
	default:
		panic(http.ErrAbortHandler) // closes the connection without a response
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// An error means that the client has closed the connection.
	_ = json.NewEncoder(w).Encode(body)
}
