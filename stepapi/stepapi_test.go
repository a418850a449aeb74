package stepapi

import (
	"context"
	"net/http/httptest"
	"strings"
	"testing"

	"github.com/matryer/is"

	"github.com/daisywall/daisywall/structs"
)

// stubJobs returns the same error from each call.
type stubJobs struct{ err error }

func (c stubJobs) Submit(context.Context, *structs.StepJob, structs.Queue) error { return c.err }

func (c stubJobs) Cancel(context.Context, structs.JobID, structs.QueueID) error { return c.err }

func (c stubJobs) Waiting(context.Context, structs.QueueID) (int64, error) { return 3, c.err }

func (c stubJobs) Phase(context.Context, structs.JobID, structs.QueueID) (structs.JobPhase, error) {
	return structs.JobRunning, c.err
}

func TestHandlerStatusAndBody(t *testing.T) {
	queues := func(id structs.QueueID) (structs.Queue, bool) { return structs.Queue{ID: id}, id == "q" }
	for _, c := range []struct {
		method, path, body string
		err                error
		status             int
		contains           string
	}{
		{"PUT", "/v1/queues/q/jobs/a", `{"steps":[{"tasks":2},{"tasks":1,"after":[0]}]}`, nil, 200, `"queued"`},
		{"PUT", "/v1/queues/q/jobs/a", `{"steps":[{"tasks":0}]}`, nil, 400, "/steps/0/count"},
		{"PUT", "/v1/queues/q/jobs/a", `{"steps":[{"tasks":1}],"unknown":1}`, nil, 400, "unknown"},
		{"PUT", "/v1/queues/q/jobs/a", `{`, nil, 400, ""},
		{"PUT", "/v1/queues/none/jobs/a", `{}`, nil, 404, "none"},
		{"GET", "/v1/queues/q/jobs/a", "", nil, 200, `"running"`},
		{"GET", "/v1/queues/q/jobs/a", "", &structs.NotFoundError{Subject: "job", Name: "a"}, 404, ""},
		{"DELETE", "/v1/queues/q/jobs/a", "", nil, 200, `"cancelled"`},
		{"GET", "/v1/queues/q", "", nil, 200, `"waiting":3`},
		{"PUT", "/v1/queues/q/jobs/a", `{"steps":[{"tasks":1}]}`, &structs.NotRunError{Reason: structs.ReasonNotLeader}, 503, "not_leader"},
	} {
		is := is.New(t)
		w := httptest.NewRecorder()
		New(stubJobs{c.err}, queues).ServeHTTP(w, httptest.NewRequest(c.method, c.path, strings.NewReader(c.body)))
		is.Equal(w.Code, c.status)
		is.True(strings.Contains(w.Body.String(), c.contains))
	}
}

func TestJobWithTooManyStepsIsNotDecoded(t *testing.T) {
	body := []byte(`{"steps":[` + strings.Repeat(`{},`, 80_000) + `{}]}`)
	result := testing.Benchmark(func(b *testing.B) {
		b.ReportAllocs()
		for range b.N {
			var job structs.StepJob
			if err := decodeJob(body, &job); err == nil {
				b.Fatal("the job was not refused")
			}
		}
	})
	if perCall := result.AllocedBytesPerOp(); perCall > int64(4*len(body)) {
		t.Errorf("%d bytes for a body of %d", perCall, len(body))
	}
}
