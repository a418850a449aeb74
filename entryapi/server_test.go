package entryapi

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/matryer/is"
	"go.opentelemetry.io/otel/metric/noop"

	"github.com/daisywall/daisywall/client"
	"github.com/daisywall/daisywall/problem"
	"github.com/daisywall/daisywall/request"
	"github.com/daisywall/daisywall/standin"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// fakeBackend implements RequestRouter and JobStore and counts every call that
// changes state.
type fakeBackend struct{ changes int }

func (c *fakeBackend) Do(_ context.Context, call request.Call) (request.Answer, error) {
	c.changes++
	return request.Answer{ID: "r1", Status: http.StatusOK, Body: call.Body}, nil
}
func (c *fakeBackend) Submit(_ context.Context, job structs.Job, _ string) (structs.Job, error) {
	c.changes++
	return job, nil
}
func (c *fakeBackend) Status(context.Context, structs.JobID) (client.JobStatus, error) {
	return client.JobStatus{}, &structs.NotFoundError{Subject: "job", Name: "x"}
}
func (c *fakeBackend) Cancel(context.Context, structs.JobID) error { c.changes++; return nil }
func (c *fakeBackend) List(context.Context, structs.TeamID) ([]client.JobStatus, error) {
	return nil, nil
}

type fakeDomains struct{ backend *fakeBackend }

func (d fakeDomains) List(context.Context) ([]structs.FailureDomain, error) { return nil, nil }
func (d fakeDomains) Set(context.Context, structs.FailureDomainID, structs.DomainState, string, string) error {
	d.backend.changes++
	return nil
}

type fakeConfig struct{ backend *fakeBackend }

func (c fakeConfig) Current() *structs.Config {
	return &structs.Config{Revision: 1, Teams: []structs.TeamConfig{{
		ID:       "jabuka",
		Quota:    structs.Resources{MilliCPU: 1000, MemoryMB: 1000},
		Requests: []structs.RequestKind{{Name: "slot-check", DeadlineMS: 800}},
		Batch:    []structs.BatchConfig{{Class: "pricing", Program: "pricing"}},
	}}}
}
func (c fakeConfig) Committed(context.Context) (structs.Config, error) { return *c.Current(), nil }
func (c fakeConfig) Apply(context.Context, int64, client.ConfigChange, string) (int64, error) {
	c.backend.changes++
	return 2, nil
}
func (c fakeConfig) History(context.Context) (any, error)            { return nil, nil }
func (c fakeConfig) Diff(context.Context, int64, int64) (any, error) { return nil, nil }
func (c fakeConfig) Rollback(context.Context, int64, string) (int64, error) {
	c.backend.changes++
	return 2, nil
}
func (c fakeConfig) Workers() map[string]int64 { return nil }

// fakeReports implements Observer, Explainer and BurnReports.
type fakeReports struct{}

func (fakeReports) RequestEnded(structs.TeamID, string, string, time.Duration) {}
func (fakeReports) Explain(context.Context, string, string) ([]byte, error) {
	return nil, &structs.NotFoundError{Subject: "task", Name: "x"}
}
func (fakeReports) Render(context.Context, string) ([]byte, string, error) {
	return nil, "", &structs.InvalidError{Subject: "query"}
}

func newTestServer(t testing.TB, objects substrate.Objects) (*Server, *fakeBackend) {
	t.Helper()
	c := &fakeBackend{}
	server, err := New(Options{
		Requests: c, Observer: fakeReports{}, Jobs: c, Domains: fakeDomains{c}, Config: fakeConfig{c},
		Targets: func() []client.TargetStatus { return nil }, Explain: fakeReports{}, Burn: fakeReports{}, Objects: objects,
		Metrics: http.NotFoundHandler(), Meter: noop.NewMeterProvider().Meter(""), Accepting: func() bool { return true },
	})
	if err != nil {
		t.Fatal(err)
	}
	return server, c
}

func TestInvalidInputReturnsProblemAndChangesNothing(t *testing.T) {
	longKey := strings.Repeat("k", maxKeyBytes+1)
	cases := []struct {
		name, method, path, body string
		header                   http.Header
		status                   int
		problemType              string
	}{
		{"unknown path", "GET", "/v2", "", nil, 404, problem.TypeNotFound},
		{"timeout that is not a number", http.MethodPost, "/v1/teams/jabuka/requests/slot-check", "{}", http.Header{client.HeaderTimeoutMS: {"soon"}}, 400, problem.TypeInvalid},
		{"timeout below zero", http.MethodPost, "/v1/teams/jabuka/requests/slot-check", "{}", http.Header{client.HeaderTimeoutMS: {"-5"}}, 400, problem.TypeInvalid},
		{"attempt that is not a number", "POST", "/v1/teams/jabuka/requests/slot-check", "{}", http.Header{client.HeaderAttempt: {"first"}}, 400, problem.TypeInvalid},
		{"idempotency key that is too long", http.MethodPost, "/v1/teams/jabuka/requests/slot-check", "{}", http.Header{client.HeaderIdempotencyKey: {longKey}}, 400, problem.TypeInvalid},
		{"request body that is too large", http.MethodPost, "/v1/teams/jabuka/requests/slot-check", strings.Repeat("x", maxRequestBody+1), nil, 413, problem.TypeTooLarge},
		{"job of an unknown team", http.MethodPost, "/v1/teams/nobody/jobs", `{"class":"pricing"}`, nil, 404, problem.TypeNotFound},
		{"job of an unknown class", http.MethodPost, "/v1/teams/jabuka/jobs", `{"class":"unknown"}`, nil, 404, problem.TypeNotFound},
		{"job that is not JSON", http.MethodPost, "/v1/teams/jabuka/jobs", `{"class":`, nil, 400, problem.TypeInvalid},
		{"job with an unknown field", http.MethodPost, "/v1/teams/jabuka/jobs", `{"class":"pricing","taks":2}`, nil, 400, problem.TypeInvalid},
		{"job with two JSON documents", http.MethodPost, "/v1/teams/jabuka/jobs", `{"class":"pricing"}{}`, nil, 400, problem.TypeInvalid},
		{"job with a negative size", http.MethodPost, "/v1/teams/jabuka/jobs", `{"class":"pricing","tasks":-1,"deadline_ms":-2,"resources":{"milli_cpu":0,"memory_mb":1,"accelerators":0}}`, nil, 400, problem.TypeInvalid},
		{"job that is larger than the team's quota", "POST", "/v1/teams/jabuka/jobs", `{"class":"pricing","resources":{"milli_cpu":1001,"memory_mb":1,"accelerators":0}}`, nil, 422, problem.TypeRefused},
		{"result of a task index that is not a number", "GET", "/v1/jobs/j/results/first", "", nil, 400, problem.TypeInvalid},
		{"unknown state of a failure domain", "POST", "/v1/domains/kordun/away", "", nil, 400, problem.TypeInvalid},
		{"configuration change without the revision", "POST", "/v1/config", `{}`, nil, 400, problem.TypeInvalid},
		{"configuration change that is too large", "POST", "/v1/config", `{"remove":["` + strings.Repeat("x", maxConfigBody) + `"]}`, http.Header{"If-Match": {"1"}}, 413, problem.TypeTooLarge},
		{"rollback without a body", "POST", "/v1/config/rollback", "", nil, 400, problem.TypeInvalid},
		{"diff from an invalid revision", "GET", "/v1/config/diff?from=a&to=2", "", nil, 400, problem.TypeInvalid},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			is := is.New(t)
			objects := standin.NewObjects()
			server, backend := newTestServer(t, objects)
			r := httptest.NewRequest(c.method, c.path, strings.NewReader(c.body))
			for name, values := range c.header {
				r.Header[name] = values
			}
			w := httptest.NewRecorder()
			server.ServeHTTP(w, r)
			is.Equal(w.Code, c.status)
			is.Equal(w.Header().Get("Content-Type"), problem.ContentType)
			is.Equal(problem.ReadResponse(w.Result()).Type, c.problemType)
			is.Equal(backend.changes, 0)
			stored, err := objects.List(context.Background(), "")
			is.NoErr(err)
			is.Equal(len(stored), 0)
		})
	}
}

func TestInvalidJobListsEveryFault(t *testing.T) {
	is := is.New(t)
	server, _ := newTestServer(t, standin.NewObjects())
	w := httptest.NewRecorder()
	body := `{"class":"pricing","tasks":-1,"deadline_ms":-2,"resources":{"milli_cpu":0,"memory_mb":0,"accelerators":-1}}`
	server.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/teams/jabuka/jobs", strings.NewReader(body)))
	is.Equal(len(problem.ReadResponse(w.Result()).Faults), 5)
}

func FuzzJobSubmission(f *testing.F) {
	f.Add(`{"class":"pricing","tasks":2}`)
	f.Add(`{"class":"pricing","input":{"a":[1,2]},"resources":{"milli_cpu":1}}`)
	f.Add(`[`)
	f.Fuzz(func(t *testing.T, body string) {
		server, _ := newTestServer(t, standin.NewObjects())
		w := httptest.NewRecorder()
		server.ServeHTTP(w, httptest.NewRequest(http.MethodPost, "/v1/teams/jabuka/jobs", strings.NewReader(body)))
		if w.Code >= http.StatusInternalServerError {
			t.Fatalf("status %d for %q: %s", w.Code, body, w.Body)
		}
	})
}

// TestRefusalDoesNotRepeatTheBody sends a body with a number of legal size, which the error of the
// decoder repeats in full.
func TestRefusalDoesNotRepeatTheBody(t *testing.T) {
	is := is.New(t)
	var submitted client.JobRequest
	body := `{"tasks":` + strings.Repeat("1", 1<<20) + `}`
	r := httptest.NewRequest(http.MethodPost, "/v1/teams/a/jobs", strings.NewReader(body))
	w := httptest.NewRecorder()
	problem.Write(w, readJSON(w, r, "job", maxJobBody, &submitted), "")
	is.Equal(w.Code, http.StatusBadRequest)
	is.True(w.Body.Len() < 2000)
}
