// Package entryapi is the HTTP API of an entry: requests and jobs of callers,
// and the operators' commands. Every error is an RFC 9457 problem body, and a
// rejected call has changed nothing.
package entryapi

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"

	"go.opentelemetry.io/otel/metric"

	"github.com/daisywall/daisywall/client"
	"github.com/daisywall/daisywall/problem"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// Bounds of request bodies in bytes.
const (
	maxRequestBody = 4 << 20
	maxJobBody     = 16 << 20
	maxConfigBody  = 8 << 20
	maxChangeBody  = 64 << 10
)

// Options are the services that the API is made of.
type Options struct {
	Requests  Requests
	Jobs      Jobs
	Domains   Domains
	Config    Config
	Targets   func() []client.TargetStatus
	Observer  Observer
	Explain   Explainer
	Burn      BurnReports
	Objects   substrate.Objects
	Metrics   http.Handler
	Meter     metric.Meter
	Accepting func() bool // false once the balancer should send no more calls
}

// Server handles the API.
type Server struct {
	Options
	mux      *http.ServeMux
	inFlight atomic.Int64
	counters counters
}

// New returns the handler of the API.
func New(options Options) (*Server, error) {
	counters, err := newCounters(options.Meter)
	if err != nil {
		return nil, err
	}
	s := &Server{Options: options, mux: http.NewServeMux(), counters: counters}
	s.routes()
	return s, nil
}

func (s *Server) routes() {
	s.mux.HandleFunc("POST /v1/teams/{team}/requests/{kind}", s.request)
	s.handle("POST /v1/teams/{team}/jobs", s.submitJob)
	s.handle("GET /v1/teams/{team}/jobs", s.listJobs)
	s.handle("GET /v1/jobs/{id}", s.job)
	s.handle("DELETE /v1/jobs/{id}", s.cancelJob)
	s.handle("GET /v1/jobs/{id}/results/{index}", s.result)
	s.handle("GET /v1/domains", s.listDomains)
	s.handle("POST /v1/domains/{id}/{state}", s.setDomain)
	s.handle("GET /v1/config", s.config)
	s.handle("POST /v1/config", s.applyConfig)
	s.handle("GET /v1/config/diff", s.configDiff)
	s.handle("GET /v1/config/status", s.configStatus)
	s.handle("GET /v1/config/history", s.configHistory)
	s.handle("POST /v1/config/rollback", s.rollback)
	s.handle("GET /v1/explain/{subject}/{id...}", s.explain)
	s.handle("GET /v1/burn", s.burn)
	s.handle("GET /v1/targets", s.listTargets)
	s.mux.HandleFunc("GET /healthz", s.health)
	s.mux.Handle("GET /metrics", s.Metrics)
	s.handle("/", func(_ http.ResponseWriter, r *http.Request) error {
		return &structs.NotFoundError{Subject: "path", Name: r.Method + " " + r.URL.Path}
	})
}

// handle routes a pattern to a handler whose error becomes a problem body.
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

// InFlight is the number of calls that have no whole response yet.
func (s *Server) InFlight() int64 { return s.inFlight.Load() }

// health answers the balancer's check.
func (s *Server) health(w http.ResponseWriter, _ *http.Request) {
	if !s.Accepting() {
		problem.Write(w, &structs.NotRunError{Reason: structs.ReasonShuttingDown}, "")
		return
	}
	w.WriteHeader(http.StatusOK)
	_, _ = io.WriteString(w, "ok\n")
}

// readJSON decodes a bounded JSON body, refusing unknown fields.
func readJSON(w http.ResponseWriter, r *http.Request, subject string, limit int64, out any) error {
	decoder := json.NewDecoder(http.MaxBytesReader(w, r.Body, limit))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(out); err != nil {
		return bodyError(subject, err)
	}
	if decoder.More() {
		return &structs.InvalidError{Subject: subject, Faults: []structs.Fault{{Path: "/", Rule: "must be one JSON document"}}}
	}
	return nil
}

// bodyError keeps the type of an oversized body and makes the rest invalid.
func bodyError(subject string, err error) error {
	if problem.From(err).Type == problem.TypeTooLarge {
		return fmt.Errorf("%s: %w", subject, err)
	}
	return &structs.InvalidError{Subject: subject, Faults: []structs.Fault{{Path: "/", Rule: err.Error()}}}
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

// operator names who makes a change.
func operator(r *http.Request) string {
	if name := r.Header.Get(client.HeaderOperator); name != "" {
		return name
	}
	return "unknown"
}

// Explainer answers why a task, job or worker is where it is.
type Explainer interface {
	Explain(ctx context.Context, subject, id string) ([]byte, error)
}

// BurnReports renders the service-level burn report in a format: "text",
// "json" or "html".
type BurnReports interface {
	Render(ctx context.Context, format string) (body []byte, contentType string, err error)
}
