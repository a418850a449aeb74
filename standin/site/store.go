// Package site speaks the HTTP protocols of the users' platform over the
// in-memory stand-ins, for tests without that platform.
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

func (r row) name() substrate.PartRow {
	return substrate.PartRow{Table: r.Table, Part: r.Part, Key: r.Key, Value: r.Value}
}

type txn struct {
	Expected []row `json:"expected_rev"`
	Puts     []row `json:"puts"`
	Remove   []row `json:"remove"`
}

type answer struct {
	Rows    []row `json:"rows,omitempty"`
	More    bool  `json:"has_more"`
	Version int64 `json:"ver,omitempty"`
}

func rowsOf(rows []substrate.PartRow) []row {
	list := make([]row, 0, len(rows))
	for _, r := range rows {
		list = append(list, row{Table: r.Table, Part: r.Part, Key: r.Key, Value: r.Value, Version: r.Version, Removed: r.Removed})
	}
	return list
}

// pageRows is the number of rows of one answer.
const pageRows = 500

// Store serves the metadata store to one host.
func Store(client substrate.PartStore) http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/rows-tx", func(w http.ResponseWriter, r *http.Request) { commit(w, r, client) })
	mux.HandleFunc("GET /v1/rows-get", func(w http.ResponseWriter, r *http.Request) { list(w, r, client) })
	mux.HandleFunc("GET /v1/rows-feed", func(w http.ResponseWriter, r *http.Request) { feed(w, r, client) })
	return mux
}

func commit(w http.ResponseWriter, r *http.Request, client substrate.PartStore) {
	var t txn
	if err := json.NewDecoder(r.Body).Decode(&t); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	var out substrate.PartTxn
	for _, e := range t.Expected {
		out.Expect = append(out.Expect, substrate.RowVersion{Table: e.Table, Part: e.Part, Key: e.Key, Version: e.Version})
	}
	for _, p := range t.Puts {
		out.Puts = append(out.Puts, p.name())
	}
	for _, d := range t.Remove {
		out.Remove = append(out.Remove, d.name())
	}
	version, err := client.Commit(r.Context(), out)
	var conflict *substrate.VersionConflictError
	if errors.As(err, &conflict) {
		reply(w, http.StatusPreconditionFailed, answer{Rows: rowsOf(conflict.Rows)})
		return
	}
	finish(w, answer{Version: version}, err)
}

func list(w http.ResponseWriter, r *http.Request, client substrate.PartStore) {
	query := r.URL.Query()
	rows, version, err := client.Rows(r.Context(), query.Get("table"), query.Get("part"))
	limit := pageRows
	if n, parseErr := strconv.Atoi(query.Get("limit")); parseErr == nil {
		limit = min(limit, n)
	}
	a := answer{Version: version}
	for _, found := range rowsOf(rows) {
		if found.Key < query.Get("from") {
			continue
		}
		if len(a.Rows) == limit {
			a.More = true
			break
		}
		a.Rows = append(a.Rows, found)
	}
	finish(w, a, err)
}

func feed(w http.ResponseWriter, r *http.Request, client substrate.PartStore) {
	query := r.URL.Query()
	after, err := strconv.ParseInt(query.Get("after"), 10, 64)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	wait, err := strconv.Atoi(query.Get("wait_ms"))
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	rows, version, err := client.Changes(r.Context(), query.Get("table"), after, time.Duration(wait)*time.Millisecond)
	finish(w, answer{Rows: rowsOf(rows), Version: version}, err)
}

// finish answers a call that succeeded, was refused, or gets no answer.
func finish(w http.ResponseWriter, a answer, err error) {
	var lost *substrate.HistoryLostError
	var unavailable *structs.UnavailableError
	switch {
	case err == nil:
		reply(w, http.StatusOK, a)
	case errors.As(err, &lost):
		reply(w, http.StatusGone, struct{}{})
	case errors.As(err, &unavailable) && unavailable.Err == nil:
		reply(w, http.StatusServiceUnavailable, struct{}{})
	default:
		panic(http.ErrAbortHandler) // the connection delivers nothing further
	}
}

func reply(w http.ResponseWriter, status int, body any) {
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	// A client that has gone away hears nothing, as it should.
	_ = json.NewEncoder(w).Encode(body)
}
