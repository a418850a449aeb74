// Package problem writes and reads RFC 9457 problem details, which are the body
// of every HTTP error response, and maps the typed errors of package structs to
// them and back.
package problem

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"math"
	"net/http"
	"strconv"
	"time"

	"github.com/daisywall/daisywall/structs"
)

// ContentType is the media type of a problem body.
const ContentType = "application/problem+json"

// Values of the type member of a problem.
const (
	TypeInvalid        = "urn:daisywall:invalid"
	TypeNotFound       = "urn:daisywall:not-found"
	TypeConflict       = "urn:daisywall:conflict"
	TypeNotRun         = "urn:daisywall:not-run"
	TypeOutcomeUnknown = "urn:daisywall:outcome-unknown"
	TypeUnavailable    = "urn:daisywall:unavailable"
	TypeRefused        = "urn:daisywall:refused"
	TypeTooLarge       = "urn:daisywall:too-large"
	TypeInternal       = "urn:daisywall:internal"
)

// Error is the body of a problem response, and the error that a client returns
// for it.
type Error struct {
	Type      string          `json:"type"`
	Title     string          `json:"title"`
	Status    int             `json:"status"`
	Detail    string          `json:"detail,omitempty"`
	Reason    structs.Reason  `json:"reason,omitempty"`
	RequestID string          `json:"request_id,omitempty"`
	Faults    []structs.Fault `json:"faults,omitempty"`

	RetryAfter time.Duration `json:"-"`
}

// Error implements error.
func (e *Error) Error() string {
	return fmt.Sprintf("%s (%d): %s", e.Title, e.Status, e.Detail)
}

// FromError returns the problem for an error.
func FromError(err error) *Error {
	var details *Error
	if errors.As(err, &details) {
		return details
	}
	// An unknown outcome takes precedence over the error that it wraps. The
	// operation may have run, so "not run" would be wrong.
	var unknown *structs.UnknownOutcomeError
	if errors.As(err, &unknown) {
		return &Error{Type: TypeOutcomeUnknown, Title: "Outcome unknown", Status: http.StatusBadGateway, Detail: err.Error()}
	}
	var invalid *structs.InvalidError
	if errors.As(err, &invalid) {
		return &Error{Type: TypeInvalid, Title: "Invalid " + invalid.Subject, Status: http.StatusBadRequest, Detail: err.Error(), Faults: invalid.Faults}
	}
	var tooLarge *http.MaxBytesError
	if errors.As(err, &tooLarge) {
		return &Error{Type: TypeTooLarge, Title: "Body too large", Status: http.StatusRequestEntityTooLarge, Detail: fmt.Sprintf("the limit is %d bytes", tooLarge.Limit)}
	}
	var notFound *structs.NotFoundError
	if errors.As(err, &notFound) {
		return &Error{Type: TypeNotFound, Title: "Not found", Status: http.StatusNotFound, Detail: err.Error()}
	}
	return fromFailedOperation(err)
}

// fromFailedOperation returns the problem for an operation that was not run,
// was rejected or failed.
func fromFailedOperation(err error) *Error {
	var notRun *structs.NotRunError
	if errors.As(err, &notRun) {
		return &Error{Type: TypeNotRun, Title: "Not run", Status: notRunStatus(notRun.Reason), Detail: err.Error(), Reason: notRun.Reason, RetryAfter: notRun.RetryAfter}
	}
	var conflict *structs.ConflictError
	if errors.As(err, &conflict) {
		return &Error{Type: TypeConflict, Title: "Conflict", Status: http.StatusConflict, Detail: err.Error()}
	}
	var refused *structs.RefusedError
	if errors.As(err, &refused) {
		return &Error{Type: TypeRefused, Title: "Refused", Status: http.StatusUnprocessableEntity, Detail: err.Error(), Reason: refused.Reason}
	}
	var unavailable *structs.UnavailableError
	if errors.As(err, &unavailable) {
		return &Error{Type: TypeUnavailable, Title: "Unavailable", Status: http.StatusServiceUnavailable, Detail: err.Error(), RetryAfter: unavailable.RetryAfter}
	}
	if errors.Is(err, context.DeadlineExceeded) {
		return &Error{Type: TypeOutcomeUnknown, Title: "Outcome unknown", Status: http.StatusGatewayTimeout, Detail: err.Error()}
	}
	return &Error{Type: TypeInternal, Title: "Internal error", Status: http.StatusInternalServerError, Detail: err.Error()}
}

// notRunStatus returns 429 if the request exceeded a limit of its team, and 503
// if the system could not run it.
func notRunStatus(reason structs.Reason) int {
	if reason == structs.ReasonRateLimit || reason == structs.ReasonConcurrency {
		return http.StatusTooManyRequests
	}
	return http.StatusServiceUnavailable
}

// Write sends the problem of err as the response. If the error has a retry
// delay, the Retry-After header holds it in whole seconds, rounded up.
func Write(w http.ResponseWriter, err error, requestID structs.RequestID) {
	details := *FromError(err)
	details.RequestID = string(requestID)
	body, marshalErr := json.Marshal(&details)
	if marshalErr != nil {
		http.Error(w, marshalErr.Error(), http.StatusInternalServerError)
		return
	}
	header := w.Header()
	header.Set("Content-Type", ContentType)
	if details.RetryAfter > 0 {
		header.Set("Retry-After", strconv.Itoa(int(math.Ceil(details.RetryAfter.Seconds()))))
	}
	w.WriteHeader(details.Status)
	_, _ = w.Write(body)
}

// ReadResponse returns the problem in an HTTP response with an error status. If
// the body is not a problem document, the result has TypeInternal and the body
// as its detail.
func ReadResponse(response *http.Response) *Error {
	const maxProblemBytes = 1 << 20
	fallback := &Error{Type: TypeInternal, Title: http.StatusText(response.StatusCode), Status: response.StatusCode}
	body, err := io.ReadAll(io.LimitReader(response.Body, maxProblemBytes))
	if err != nil {
		return fallback
	}
	var details Error
	if json.Unmarshal(body, &details) != nil || details.Type == "" {
		fallback.Detail = string(body)
		return fallback
	}
	if seconds, err := strconv.Atoi(response.Header.Get("Retry-After")); err == nil {
		details.RetryAfter = time.Duration(seconds) * time.Second
	}
	return &details
}
