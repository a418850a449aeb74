package client

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"

	"github.com/daisywall/daisywall/problem"
	"github.com/daisywall/daisywall/structs"
)

// maxResponseBytes bounds what the client reads of a response.
const maxResponseBytes = 64 << 20

// Client calls one entry, or the balancer before them. Errors of the API are
// *problem.Error.
type Client struct {
	base     string
	operator string
	http     *http.Client
}

// New returns a client of the entry at base, such as http://127.0.0.1:8080.
// The operator's name goes into the history of changes.
func New(base, operator string, httpClient *http.Client) *Client {
	return &Client{base: base, operator: operator, http: httpClient}
}

// Answer is the whole answer to a request.
type Answer struct {
	Status    int
	Header    http.Header
	Body      []byte
	RequestID structs.RequestID
}

// Request sends one request of the kind. An empty key lets the entry choose
// the request's ID.
func (c *Client) Request(ctx context.Context, team structs.TeamID, kind, key string, body []byte) (Answer, error) {
	return c.RequestTry(ctx, team, kind, key, 0, body)
}

// RequestTry is Request for a caller that numbers its sends of a key from 1,
// and makes each at most once.
func (c *Client) RequestTry(ctx context.Context, team structs.TeamID, kind, key string, try int, body []byte) (Answer, error) {
	header := http.Header{"Content-Type": {"application/json"}}
	if key != "" {
		header.Set(HeaderIdempotencyKey, key)
	}
	if try > 0 {
		header.Set(HeaderTry, strconv.Itoa(try))
	}
	return c.do(ctx, http.MethodPost, path("v1", "teams", string(team), "requests", kind), header, body)
}

// SubmitJob submits a job. Submissions with the same key are one job.
func (c *Client) SubmitJob(ctx context.Context, team structs.TeamID, key string, job JobRequest) (JobAccepted, error) {
	header := http.Header{}
	if key != "" {
		header.Set(HeaderIdempotencyKey, key)
	}
	var accepted JobAccepted
	err := c.json(ctx, http.MethodPost, path("v1", "teams", string(team), "jobs"), header, job, &accepted)
	return accepted, err
}

// Jobs lists the jobs of a team.
func (c *Client) Jobs(ctx context.Context, team structs.TeamID) ([]JobStatus, error) {
	var jobs []JobStatus
	err := c.json(ctx, http.MethodGet, path("v1", "teams", string(team), "jobs"), nil, nil, &jobs)
	return jobs, err
}

// Job returns the status of a job.
func (c *Client) Job(ctx context.Context, id structs.JobID) (JobStatus, error) {
	var status JobStatus
	err := c.json(ctx, http.MethodGet, path("v1", "jobs", string(id)), nil, nil, &status)
	return status, err
}

// CancelJob cancels what has not finished of a job.
func (c *Client) CancelJob(ctx context.Context, id structs.JobID) error {
	return c.json(ctx, http.MethodDelete, path("v1", "jobs", string(id)), nil, nil, nil)
}

// Result returns the result of a finished task.
func (c *Client) Result(ctx context.Context, task structs.TaskID) ([]byte, error) {
	answer, err := c.do(ctx, http.MethodGet, path("v1", "jobs", string(task.Job), "results", strconv.Itoa(int(task.Index))), nil, nil)
	return answer.Body, err
}

// Domains lists the failure domains.
func (c *Client) Domains(ctx context.Context) ([]structs.FailureDomain, error) {
	var domains []structs.FailureDomain
	err := c.json(ctx, http.MethodGet, path("v1", "domains"), nil, nil, &domains)
	return domains, err
}

// SetDomain takes a failure domain out or brings it back in.
func (c *Client) SetDomain(ctx context.Context, id structs.FailureDomainID, state structs.DomainState, reason string) error {
	return c.json(ctx, http.MethodPost, path("v1", "domains", string(id), string(state)), nil, DomainChange{Reason: reason}, nil)
}

// Config returns the configuration that the platform holds.
func (c *Client) Config(ctx context.Context) (structs.Config, error) {
	var config structs.Config
	err := c.json(ctx, http.MethodGet, path("v1", "config"), nil, nil, &config)
	return config, err
}

// ApplyConfig makes a change to the configuration whose revision is expected
// and returns the new revision.
func (c *Client) ApplyConfig(ctx context.Context, expected int64, change ConfigChange) (int64, error) {
	header := http.Header{"If-Match": {strconv.FormatInt(expected, 10)}}
	var applied ConfigRevision
	err := c.json(ctx, http.MethodPost, path("v1", "config"), header, change, &applied)
	return applied.Revision, err
}

// ConfigStatus says which revision is in force where.
func (c *Client) ConfigStatus(ctx context.Context) (ConfigStatus, error) {
	var status ConfigStatus
	err := c.json(ctx, http.MethodGet, path("v1", "config", "status"), nil, nil, &status)
	return status, err
}

// Raw returns the body of a GET of an API path, for documents that are printed
// as they are.
func (c *Client) Raw(ctx context.Context, query url.Values, parts ...string) ([]byte, error) {
	target := path(parts...)
	if len(query) > 0 {
		target += "?" + query.Encode()
	}
	answer, err := c.do(ctx, http.MethodGet, target, nil, nil)
	return answer.Body, err
}

// Rollback makes the content of an earlier revision the newest one and returns
// the new revision.
func (c *Client) Rollback(ctx context.Context, to int64) (int64, error) {
	var applied ConfigRevision
	err := c.json(ctx, http.MethodPost, path("v1", "config", "rollback"), nil, RollbackRequest{To: to}, &applied)
	return applied.Revision, err
}

// Targets lists the targets that the answering entry knows.
func (c *Client) Targets(ctx context.Context) ([]TargetStatus, error) {
	var targets []TargetStatus
	err := c.json(ctx, http.MethodGet, path("v1", "targets"), nil, nil, &targets)
	return targets, err
}

// path joins escaped path segments.
func path(parts ...string) string {
	joined := ""
	for _, part := range parts {
		joined += "/" + url.PathEscape(part)
	}
	return joined
}

// json sends in as JSON, if any, and decodes the response into out, if any.
func (c *Client) json(ctx context.Context, method, target string, header http.Header, in, out any) error {
	var body []byte
	if in != nil {
		encoded, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("encode request: %w", err)
		}
		body = encoded
	}
	answer, err := c.do(ctx, method, target, header, body)
	if err != nil || out == nil {
		return err
	}
	return decode(answer.Body, out)
}

func decode(body []byte, out any) error {
	if err := json.Unmarshal(body, out); err != nil {
		return fmt.Errorf("decode response: %w", err)
	}
	return nil
}

func (c *Client) do(ctx context.Context, method, target string, header http.Header, body []byte) (Answer, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.base+target, bytes.NewReader(body))
	if err != nil {
		return Answer{}, fmt.Errorf("build request: %w", err)
	}
	for name, values := range header {
		request.Header[name] = values
	}
	if c.operator != "" {
		request.Header.Set(HeaderOperator, c.operator)
	}
	response, err := c.http.Do(request)
	if err != nil {
		return Answer{}, fmt.Errorf("%s %s: %w", method, target, err)
	}
	defer response.Body.Close()
	if response.Header.Get("Content-Type") == problem.ContentType {
		return Answer{}, problem.Read(response)
	}
	content, err := io.ReadAll(io.LimitReader(response.Body, maxResponseBytes))
	if err != nil {
		return Answer{}, fmt.Errorf("read response: %w", err)
	}
	return Answer{
		Status:    response.StatusCode,
		Header:    response.Header,
		Body:      content,
		RequestID: structs.RequestID(response.Header.Get(HeaderRequestID)),
	}, nil
}
