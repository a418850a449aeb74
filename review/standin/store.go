package main

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// Limits of the store, from the pages.
const (
	rowBytes     = 65536
	maxEntries   = 100
	maxCallBytes = 1 << 20
	pageRows     = 500
	answerDelay  = 4 * time.Millisecond
	txnDelay     = 8 * time.Millisecond
)

// row is a row of the store in the form of the pages.
type row struct {
	Table   string `json:"table"`
	Part    string `json:"part"`
	Key     string `json:"key"`
	Value   []byte `json:"value,omitempty"`
	Version int64  `json:"ver"`
	Removed bool   `json:"removed,omitempty"`
}

func (r row) name() rowName { return rowName{r.Table, r.Part, r.Key} }

type rowName struct{ table, part, key string }

type txn struct {
	Expected []row `json:"expected_rev"`
	Puts     []row `json:"puts"`
	Remove   []row `json:"remove"`
}

type storeAnswer struct {
	Rows    []row  `json:"rows"`
	More    bool   `json:"has_more"`
	Version int64  `json:"ver"`
	NowMS   int64  `json:"now_ms"`
	Error   string `json:"error,omitempty"`
}

// store is a stand-in of the platform's metadata store.
type store struct {
	rec   *record
	begun time.Time
	txnMu sync.Mutex // one transaction after the other

	mu      sync.Mutex
	rows    map[rowName]row
	history []row
	version int64
	changed chan struct{}
	up      chan struct{} // closed while the store answers
	refused int           // calls that broke a limit of the pages
}

func newStore(rec *record) *store {
	return &store{rec: rec, begun: time.Now(), rows: map[rowName]row{}, changed: make(chan struct{}), up: closedChannel()}
}

func closedChannel() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}

// setSilent begins or ends an outage, in which no call is carried out or answered.
func (s *store) setSilent(silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.rec.add("store: does not answer: %v", silent)
	if silent {
		s.up = make(chan struct{})
	} else {
		close(s.up)
	}
}

// awaitOutage waits for the end of an outage and reports whether there was one.
func (s *store) awaitOutage(ctx context.Context) bool {
	s.mu.Lock()
	up := s.up
	s.mu.Unlock()
	select {
	case <-up:
		return false
	default:
	}
	select {
	case <-up:
	case <-ctx.Done():
	}
	return true
}

// refusedCalls returns the number of calls that broke a limit of the pages.
func (s *store) refusedCalls() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.refused
}

// value returns the value of a row.
func (s *store) value(table, part, key string) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.rows[rowName{table, part, key}].Value
}

// write writes a row as the operator does.
func (s *store) write(table, key string, value any) error {
	data, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode %s/%s: %w", table, key, err)
	}
	s.apply(txn{Puts: []row{{Table: table, Key: key, Value: data}}})
	s.rec.add("operator: writes %s/%s", table, key)
	return nil
}

// ServeHTTP implements http.Handler.
func (s *store) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	time.Sleep(answerDelay)
	if s.awaitOutage(r.Context()) {
		panic(http.ErrAbortHandler) // the call was not carried out
	}
	switch r.Method + " " + r.URL.Path {
	case "POST /v1/rows-tx":
		s.transact(w, r)
	case "GET /v1/rows-get":
		s.list(w, r)
	case "GET /v1/rows-feed":
		s.feed(w, r)
	default:
		writeJSON(w, http.StatusNotFound, storeAnswer{Error: "no such call"})
	}
}

func (s *store) transact(w http.ResponseWriter, r *http.Request) {
	data, err := io.ReadAll(r.Body)
	if err != nil {
		return
	}
	var t txn
	if err := json.Unmarshal(data, &t); err != nil {
		writeJSON(w, http.StatusBadRequest, storeAnswer{Error: err.Error()})
		return
	}
	if fault := t.fault(len(data)); fault != "" {
		s.mu.Lock()
		s.refused++
		first := s.refused <= 20
		s.mu.Unlock()
		if first {
			s.rec.add("store: answers 400 to a transaction: %s", fault)
		}
		writeJSON(w, http.StatusBadRequest, storeAnswer{Error: fault})
		return
	}
	s.txnMu.Lock()
	defer s.txnMu.Unlock()
	time.Sleep(txnDelay)
	conflicting, ok := s.apply(t)
	status := http.StatusOK
	if !ok {
		status = http.StatusPreconditionFailed
	}
	writeJSON(w, status, storeAnswer{Rows: conflicting, Version: s.current(), NowMS: s.now()})
}

// fault returns the limit that the transaction breaks, empty if there is none.
func (t txn) fault(size int) string {
	if n := len(t.Expected) + len(t.Puts) + len(t.Remove); n > maxEntries {
		return fmt.Sprintf("%d entries, at most %d are allowed", n, maxEntries)
	}
	if size > maxCallBytes {
		return fmt.Sprintf("call of %d bytes, at most %d are allowed", size, maxCallBytes)
	}
	for _, p := range t.Puts {
		if len(p.Value) > rowBytes {
			return fmt.Sprintf("row %s/%s has %d bytes, row_bytes is %d", p.Table, p.Key, len(p.Value), rowBytes)
		}
	}
	return ""
}

// apply applies the transaction, or returns the rows of its conditions and false.
func (s *store) apply(t txn) ([]row, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	var found []row
	ok := true
	for _, e := range t.Expected {
		current, exists := s.rows[e.name()]
		if exists {
			found = append(found, current)
		}
		ok = ok && current.Version == e.Version
	}
	if !ok {
		return found, false
	}
	s.version++
	for _, p := range t.Puts {
		p.Version = s.version
		s.rows[p.name()] = p
		s.history = append(s.history, p)
	}
	for _, p := range t.Remove {
		if _, exists := s.rows[p.name()]; exists {
			delete(s.rows, p.name())
			s.history = append(s.history, row{Table: p.Table, Part: p.Part, Key: p.Key, Version: s.version, Removed: true})
		}
	}
	close(s.changed)
	s.changed = make(chan struct{})
	return nil, true
}

func (s *store) current() int64 {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.version
}

func (s *store) now() int64 { return time.Since(s.begun).Milliseconds() }

func (s *store) list(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	limit := pageRows
	if n, err := strconv.Atoi(q.Get("limit")); err == nil {
		limit = min(limit, n)
	}
	s.mu.Lock()
	var rows []row
	for name, found := range s.rows {
		if name.table == q.Get("table") && name.part == q.Get("part") && name.key >= q.Get("from") && (q.Get("to") == "" || name.key < q.Get("to")) {
			rows = append(rows, found)
		}
	}
	answer := storeAnswer{Version: s.version, NowMS: s.now()}
	s.mu.Unlock()
	slices.SortFunc(rows, func(a, b row) int { return strings.Compare(a.Key, b.Key) })
	size := 0
	for _, found := range rows {
		size += len(found.Value)
		if len(answer.Rows) == limit || size > maxCallBytes {
			answer.More = true
			break
		}
		answer.Rows = append(answer.Rows, found)
	}
	writeJSON(w, http.StatusOK, answer)
}

func (s *store) feed(w http.ResponseWriter, r *http.Request) {
	q := r.URL.Query()
	after, err := strconv.ParseInt(q.Get("after"), 10, 64)
	if err != nil {
		writeJSON(w, http.StatusBadRequest, storeAnswer{Error: err.Error()})
		return
	}
	wait, err := strconv.Atoi(q.Get("wait_ms"))
	if err != nil {
		wait = 0
	}
	ctx, cancel := context.WithTimeout(r.Context(), time.Duration(wait)*time.Millisecond)
	defer cancel()
	for {
		s.mu.Lock()
		answer := storeAnswer{Version: s.version, NowMS: s.now()}
		for _, change := range s.history {
			if change.Table == q.Get("table") && change.Version > after {
				answer.Rows = append(answer.Rows, change)
			}
		}
		changed := s.changed
		s.mu.Unlock()
		if len(answer.Rows) > 0 || ctx.Err() != nil {
			writeJSON(w, http.StatusOK, answer)
			return
		}
		select {
		case <-changed:
		case <-ctx.Done():
		}
	}
}

func writeJSON(w http.ResponseWriter, status int, body any) {
	data, err := json.Marshal(body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	w.Header().Set("Content-Length", strconv.Itoa(len(data)))
	w.WriteHeader(status)
	_, _ = w.Write(data) // an error means that the caller has gone
}
