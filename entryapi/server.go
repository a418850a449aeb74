// Package entryapi serves the HTTP API of an entry: requests and jobs of
// callers, and the operations of operators. Every error response is an RFC 9457
// problem body, and a rejected call has no effect.
package entryapi

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"

	"go.opentelemetry.io/otel/metric"

	"github.com/daisywall/daisywall/client"
	"github.com/daisywall/daisywall/httplimit"
	"github.com/daisywall/daisywall/problem"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// Limits of request bodies, in bytes.
const (
	maxRequestBody = 4 << 20
	maxJobBody     = 16 << 20
	maxConfigBody  = 8 << 20
	maxChangeBody  = 64 << 10
)

// Options are the dependencies of the API.
type Options struct {
	Requests  RequestRouter
	Jobs      JobStore
	Domains   Domains
	Config    Config
	Targets   func() []client.TargetStatus
	Observer  Observer
	Explain   Explainer
	Burn      BurnReports
	Objects   substrate.Objects
	Metrics   http.Handler
	Meter     metric.Meter
	Accepting func() bool // reports whether the load balancer should send calls to this entry
}

// Server is the HTTP handler of the API.
type Server struct {
	Options
	mux         *http.ServeMux
	inFlight    atomic.Int64
	instruments instruments
}

// New returns the handler of the API.
func New(options Options) (*Server, error) {
	instruments, err := newInstruments(options.Meter)
	if err != nil {
		return nil, err
	}
	s := &Server{Options: options, mux: http.NewServeMux(), instruments: instruments}
	s.routes()
	return s, nil
}

func (s *Server) routes() {
	s.mux.HandleFunc("POST /v1/teams/{team}/requests/{kind}", s.handleRequest)
	s.handle("POST /v1/teams/{team}/jobs", s.submitJob)
	s.handle("GET /v1/teams/{team}/jobs", s.listJobs)
	s.handle("GET /v1/jobs/{id}", s.getJob)
	s.handle("DELETE /v1/jobs/{id}", s.cancelJob)
	s.handle("GET /v1/jobs/{id}/results/{index}", s.getResult)
	s.handle("GET /v1/domains", s.listDomains)
	s.handle("POST /v1/domains/{id}/{state}", s.setDomain)
	s.handle("GET /v1/config", s.getConfig)
	s.handle("POST /v1/config", s.applyConfig)
	s.handle("GET /v1/config/diff", s.configDiff)
	s.handle("GET /v1/config/status", s.configStatus)
	s.handle("GET /v1/config/history", s.configHistory)
	s.handle("POST /v1/config/rollback", s.rollbackConfig)
	s.handle("GET /v1/explain/{subject}/{id...}", s.explain)
	s.handle("GET /v1/burn", s.renderBurnReport)
	s.handle("GET /v1/targets", s.listTargets)
	s.mux.HandleFunc("GET /healthz", s.health)
	s.mux.Handle("GET /metrics", s.Metrics)
	s.handle("/", func(_ http.ResponseWriter, r *http.Request) error {
		return &structs.NotFoundError{Subject: "path", Name: r.Method + " " + r.URL.Path}
	})
}

// handle registers a handler for a pattern and writes its error as a problem
// body.
func (s *Server) handle(pattern string, handler func(http.ResponseWriter, *http.Request) error) {
	s.mux.HandleFunc(pattern, func(w http.ResponseWriter, r *http.Request) {
		if err := handler(w, r); err != nil {
			problem.Write(w, err, "")
		}
	})
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	s.inFlight.Add(1)
	defer s.inFlight.Add(-1)
	s.mux.ServeHTTP(w, r)
}

// InFlight returns the number of calls whose handler has not returned yet.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// health serves the health check of the load balancer.
func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	if !s.Accepting() {
		problem.Write(w, &structs.NotRunError{Reason: structs.ReasonShuttingDown}, "")
		return
	}
	w.WriteHeader(http.StatusOK)
	_, _ = io.WriteString(w, "ok\n")
}

// readJSON decodes a JSON body of limited size and rejects unknown fields.
func readJSON(w http.ResponseWriter, r *http.Request, subject string, limit int64, out any) error {
	body, err := httplimit.ReadBody(r.Context(), w, r, limit)
	if err != nil {
		return bodyError(subject, err)
	}
	return httplimit.Decode(r.Context(), r, len(body), func() error { return decodeJSON(body, subject, out) })
}

func decodeJSON(body []byte, subject string, out any) error {
	decoder := json.NewDecoder(bytes.NewReader(body))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(out); err != nil {
		return bodyError(subject, err)
	}
	if decoder.More() {
		return &structs.InvalidError{Subject: subject, Faults: []structs.Fault{{Path: "/", Rule: "must be one JSON document"}}}
	}
	return nil
}

// bodyError keeps the error type of an oversized or refused body and reports
// every other error as invalid input.
func bodyError(subject string, err error) error {
	if kind := problem.FromError(err).Type; kind == problem.TypeTooLarge || kind == problem.TypeNotRun {
		return fmt.Errorf("%s: %w", subject, err)
	}
	return &structs.InvalidError{Subject: subject, Faults: []structs.Fault{structs.DecodeFault(err)}}
}

func writeJSON(w http.ResponseWriter, status int, value any) error {
	body, err := json.Marshal(value)
	if err != nil {
		return fmt.Errorf("encode response: %w", err)
	}
	w.Header().Set("Content-Type", "application/json")
	w.WriteHeader(status)
	_, _ = w.Write(append(body, '\n'))
	return nil
}

// operatorName returns the name of the operator who makes a change.
func operatorName(r *http.Request) string {
	if name := r.Header.Get(client.HeaderOperator); name != "" {
		return name
	}
	return "unknown"
}

// Explainer returns a JSON report on why a task, job or worker is in its
// current state and place.
type Explainer interface {
	Explain(ctx context.Context, subject, id string) ([]byte, error)
}

// BurnReports renders the service-level burn report as "text", "json" or
// "html".
type BurnReports interface {
	Render(ctx context.Context, format string) (body []byte, contentType string, err error)
}
