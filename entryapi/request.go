package entryapi

import (
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/client"
	"github.com/daisywall/daisywall/httplimit"
	"github.com/daisywall/daisywall/problem"
	"github.com/daisywall/daisywall/request"
	"github.com/daisywall/daisywall/structs"
)

// maxKeyBytes bounds the length of an idempotency key.
const maxKeyBytes = 256

// Outcomes of requests in metrics and in the burn report.
const (
	OutcomeAnswered = "answered"
	OutcomeFailed   = "target_error" // the target answered with a 5xx status
	OutcomeNotRun   = "not_run"
	OutcomeUnknown  = "unknown"
	OutcomeInvalid  = "invalid"
	OutcomeCanceled = "canceled" // the caller closed the connection before the response
)

// RequestRouter sends requests to targets.
type RequestRouter interface {
	Do(ctx context.Context, call request.Call) (request.Answer, error)
}

// Observer is notified of the outcome of every request of a configured kind.
type Observer interface {
	RequestEnded(team structs.TeamID, kind, outcome string, latency time.Duration)
}

// forwardedHeaders are the headers that an entry passes from the caller to the
// target.
var forwardedHeaders = []string{"Content-Type", "Accept", "Accept-Language", "Traceparent", "Tracestate"}

// handleRequest handles POST /v1/teams/{team}/requests/{kind}.
func (s *Server) handleRequest(w http.ResponseWriter, r *http.Request) {
	start := time.Now()
	team, kind := structs.TeamID(r.PathValue("team")), r.PathValue("kind")
	call, err := parseCall(w, r, team, kind)
	if err != nil {
		s.recordOutcome(r.Context(), team, kind, OutcomeInvalid, time.Since(start))
		problem.Write(w, err, "")
		return
	}
	answer, err := s.Requests.Do(r.Context(), call)
	outcome := classifyOutcome(r.Context(), answer, err)
	s.recordOutcome(r.Context(), team, kind, outcome, time.Since(start))
	if err != nil {
		problem.Write(w, err, call.ID)
		return
	}
	writeAnswer(w, answer)
}

// recordOutcome counts a request only if its team and kind are configured, so
// that callers cannot create new time series.
func (s *Server) recordOutcome(ctx context.Context, team structs.TeamID, kind, outcome string, latency time.Duration) {
	teamConfig, err := s.Config.Current().Team(team)
	if err != nil {
		return
	}
	if _, err := teamConfig.Request(kind); err != nil {
		return
	}
	s.instruments.recordRequest(ctx, team, kind, outcome, latency)
	s.Observer.RequestEnded(team, kind, outcome, latency)
}

// parseCall validates the headers and the body of a request.
func parseCall(w http.ResponseWriter, r *http.Request, team structs.TeamID, kind string) (request.Call, error) {
	timeout, err := parsePositiveHeader(r, client.HeaderTimeoutMS)
	if err != nil {
		return request.Call{}, err
	}
	attempt, err := parsePositiveHeader(r, client.HeaderAttempt)
	if err != nil {
		return request.Call{}, err
	}
	key := r.Header.Get(client.HeaderIdempotencyKey)
	if len(key) > maxKeyBytes {
		return request.Call{}, headerError(client.HeaderIdempotencyKey, key[:32]+"…", "must have at most "+strconv.Itoa(maxKeyBytes)+" bytes")
	}
	body, err := httplimit.ReadBody(r.Context(), w, r, maxRequestBody)
	if err != nil {
		return request.Call{}, bodyError("request", err)
	}
	call := request.Call{
		Team:          team,
		Kind:          kind,
		Key:           key,
		Method:        http.MethodPost,
		Path:          "/v1/" + kind,
		Body:          body,
		Timeout:       time.Duration(timeout) * time.Millisecond,
		CallerAttempt: int(attempt),
	}
	if r.URL.RawQuery != "" {
		call.Path += "?" + r.URL.RawQuery
	}
	for _, name := range forwardedHeaders {
		if value := r.Header.Get(name); value != "" {
			call.Headers = append(call.Headers, &daisywallpb.Header{Name: name, Value: value})
		}
	}
	return call, nil
}

// parsePositiveHeader parses a header whose value must be a number above 0. It
// returns 0 when the header is absent.
func parsePositiveHeader(r *http.Request, name string) (int64, error) {
	text := r.Header.Get(name)
	if text == "" {
		return 0, nil
	}
	number, err := strconv.ParseInt(text, 10, 32)
	if err != nil || number <= 0 {
		return 0, headerError(name, text, "must be a number above 0")
	}
	return number, nil
}

func headerError(name, value, rule string) error {
	return &structs.InvalidError{Subject: "request", Faults: []structs.Fault{{Path: name, Value: value, Rule: rule}}}
}

// classifyOutcome returns the outcome of a request for metrics and the burn
// report.
func classifyOutcome(ctx context.Context, answer request.Answer, err error) string {
	var notRun *structs.NotRunError
	var unavailable *structs.UnavailableError
	switch {
	case err == nil && answer.Status >= http.StatusInternalServerError:
		return OutcomeFailed
	case err == nil:
		return OutcomeAnswered
	case ctx.Err() != nil:
		return OutcomeCanceled
	case errors.As(err, &notRun), errors.As(err, &unavailable):
		return OutcomeNotRun
	}
	return OutcomeUnknown
}

// writeAnswer sends the target's response unchanged.
func writeAnswer(w http.ResponseWriter, answer request.Answer) {
	header := w.Header()
	for _, h := range answer.Headers {
		header.Add(h.GetName(), h.GetValue())
	}
	header.Set(client.HeaderRequestID, string(answer.ID))
	header.Set("Content-Length", strconv.Itoa(len(answer.Body)))
	w.WriteHeader(answer.Status)
	_, _ = w.Write(answer.Body)
}
