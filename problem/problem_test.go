package problem

import (
	"fmt"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/structs"
)

func TestTypedErrorsKeepTheirMeaningOverHTTP(t *testing.T) {
	cases := []struct {
		name        string
		err         error
		status      int
		problemType string
		retryAfter  string
	}{
		{"a full queue gives 503 with Retry-After", &structs.NotRunError{Reason: structs.ReasonQueueFull, RetryAfter: 1200 * time.Millisecond}, 503, TypeNotRun, "2"},
		{"a rate limit gives 429", &structs.NotRunError{Reason: structs.ReasonRateLimit, RetryAfter: time.Second}, 429, TypeNotRun, "1"},
		{"an unknown outcome takes precedence over a wrapped not-run error", &structs.UnknownOutcomeError{Operation: "alert", Err: &structs.NotRunError{Reason: structs.ReasonFenced}}, 502, TypeOutcomeUnknown, ""},
		{"a wrapped conflict gives 409", fmt.Errorf("apply: %w", &structs.ConflictError{Key: "config/current"}), 409, TypeConflict, ""},
		{"an unavailable platform gives 503", &structs.UnavailableError{Dependency: "table"}, 503, TypeUnavailable, ""},
		{"an oversized body gives 413", &http.MaxBytesError{Limit: 5}, 413, TypeTooLarge, ""},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			recorder := httptest.NewRecorder()
			Write(recorder, c.err, "r1")
			is.Equal(recorder.Code, c.status)
			is.Equal(recorder.Header().Get("Retry-After"), c.retryAfter)
			read := ReadResponse(recorder.Result())
			is.Equal(read.Type, c.problemType)
			is.Equal(read.RequestID, "r1")
		})
	}
}
