// Package stepapi is the HTTP API that clients use to submit and observe jobs of
// steps.
//
//	PUT    /v1/queues/{queue}/jobs/{id}   submit a job; submissions with the same ID are one job
//	GET    /v1/queues/{queue}/jobs/{id}   get the phase of a job
//	DELETE /v1/queues/{queue}/jobs/{id}   cancel a job
//	GET    /v1/queues/{queue}             get the number of jobs that have not begun
//
// Bodies are JSON, and errors are RFC 9457 problem documents. The handler keeps
// no state and starts no goroutines.
package stepapi

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/daisywall/daisywall/boundedjson"
	"github.com/daisywall/daisywall/httplimit"
	"github.com/daisywall/daisywall/problem"
	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/workflow"
)

// maxBodyBytes limits the request body of a submission. The payload in it is
// limited to workflow.MaxPayloadBytes.
const maxBodyBytes = 256 << 10

// JobService executes the operations of the API. The errors of its methods are
// those of *fleet.Entry, which implements it.
type JobService interface {
	Submit(ctx context.Context, job *structs.StepJob, queue structs.Queue) error
	Cancel(ctx context.Context, id structs.JobID, queue structs.QueueID) error
	Phase(ctx context.Context, id structs.JobID, queue structs.QueueID) (structs.JobPhase, error)
	Waiting(ctx context.Context, queue structs.QueueID) (int64, error)
}

// QueueLookup returns the configuration of a queue, and false if there is no
// such queue.
type QueueLookup func(structs.QueueID) (structs.Queue, bool)

// Status is the response body about a job.
type Status struct {
	ID    structs.JobID    `json:"id"`
	Phase structs.JobPhase `json:"phase"`
}

// Backlog is the response body about a queue.
type Backlog struct {
	Waiting int64 `json:"waiting"`
}

type server struct {
	jobs   JobService
	queues QueueLookup
}

// New returns the handler.
func New(jobs JobService, queues QueueLookup) http.Handler {
	s := &server{jobs: jobs, queues: queues}
	mux := http.NewServeMux()
	mux.HandleFunc("PUT /v1/queues/{queue}/jobs/{id}", s.withQueue(s.submit))
	mux.HandleFunc("GET /v1/queues/{queue}/jobs/{id}", s.withQueue(s.status))
	mux.HandleFunc("DELETE /v1/queues/{queue}/jobs/{id}", s.withQueue(s.cancel))
	mux.HandleFunc("GET /v1/queues/{queue}", s.withQueue(s.backlog))
	return mux
}

// withQueue looks up the queue in the path and writes the result or the error
// of f.
func (s *server) withQueue(f func(w http.ResponseWriter, r *http.Request, queue structs.Queue) (any, error)) http.HandlerFunc {
	return func(w http.ResponseWriter, r *http.Request) {
		queue, found := s.queues(structs.QueueID(r.PathValue("queue")))
		if !found {
			problem.Write(w, &structs.NotFoundError{Subject: "queue", Name: r.PathValue("queue")}, "")
			return
		}
		body, err := f(w, r, queue)
		if err != nil {
			problem.Write(w, err, structs.RequestID(r.PathValue("id")))
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// A client that has gone away needs no response.
		_ = json.NewEncoder(w).Encode(body)
	}
}

func (s *server) submit(w http.ResponseWriter, r *http.Request, queue structs.Queue) (any, error) {
	body, err := httplimit.ReadBody(r.Context(), w, r, maxBodyBytes)
	if err != nil {
		return nil, fmt.Errorf("job: %w", err)
	}
	var job structs.StepJob
	err = httplimit.Decode(r.Context(), r, len(body), func() error { return decodeJob(body, &job) })
	if err != nil {
		return nil, err
	}
	job.ID, job.Queue = structs.JobID(r.PathValue("id")), queue.ID
	if err := workflow.Validate(&job); err != nil {
		return nil, err
	}
	if err := s.jobs.Submit(r.Context(), &job, queue); err != nil {
		return nil, fmt.Errorf("submit job %s: %w", job.ID, err)
	}
	return Status{ID: job.ID, Phase: structs.JobQueued}, nil
}

// decodeJob decodes a job if it does not have too many steps.
func decodeJob(body []byte, job *structs.StepJob) error {
	var shape struct {
		Steps stepBound `json:"steps"`
	}
	err := json.Unmarshal(body, &shape)
	if err == nil {
		decoder := json.NewDecoder(bytes.NewReader(body))
		decoder.DisallowUnknownFields()
		err = decoder.Decode(job)
	}
	if err != nil {
		return &structs.InvalidError{Subject: "job", Faults: []structs.Fault{structs.DecodeFault(err)}}
	}
	return nil
}

// stepBound is a list of steps of which only the length is checked.
type stepBound struct{}

// UnmarshalJSON implements json.Unmarshaler.
func (*stepBound) UnmarshalJSON(text []byte) error {
	_, err := boundedjson.List[struct{}](text, workflow.MaxSteps)
	return err
}

func (s *server) status(_ http.ResponseWriter, r *http.Request, queue structs.Queue) (any, error) {
	id := structs.JobID(r.PathValue("id"))
	phase, err := s.jobs.Phase(r.Context(), id, queue.ID)
	return Status{ID: id, Phase: phase}, err
}

func (s *server) cancel(_ http.ResponseWriter, r *http.Request, queue structs.Queue) (any, error) {
	id := structs.JobID(r.PathValue("id"))
	return Status{ID: id, Phase: structs.JobCancelled}, s.jobs.Cancel(r.Context(), id, queue.ID)
}

func (s *server) backlog(_ http.ResponseWriter, r *http.Request, queue structs.Queue) (any, error) {
	waiting, err := s.jobs.Waiting(r.Context(), queue.ID)
	return Backlog{Waiting: waiting}, err
}
