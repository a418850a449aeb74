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

// maxResponseBytes bounds the size of a response that the client reads.
const maxResponseBytes = 64 << 20

// Client calls one entry or the load balancer in front of the entries. It
// returns errors of the API as *problem.Error.
type Client struct {
	baseURL  string
	operator string
	http     *http.Client
}

// New returns a client for the entry at baseURL, for example
// http://127.0.0.1:8080. The server records the operator's name in the history
// of changes.
func New(baseURL, operator string, httpClient *http.Client) *Client {
	return &Client{baseURL: baseURL, operator: operator, http: httpClient}
}

// Answer is the complete response to a request.
type Answer struct {
	Status    int
	Header    http.Header
	Body      []byte
	RequestID structs.RequestID
}

// Request sends one request of the given kind. If the key is empty, the entry
// chooses the ID of the request.
func (c *Client) Request(ctx context.Context, team structs.TeamID, kind, key string, body []byte) (Answer, error) {
	return c.RequestAttempt(ctx, team, kind, key, 0, body)
}

// RequestAttempt is like Request, but also sends the number of the caller's
// attempt with the key. Attempts are numbered from 1, and the caller must send
// each attempt at most once. With attempt 0 it sends no number.
func (c *Client) RequestAttempt(ctx context.Context, team structs.TeamID, kind, key string, attempt int, body []byte) (Answer, error) {
	header := http.Header{"Content-Type": {"application/json"}}
	if key != "" {
		header.Set(HeaderIdempotencyKey, key)
	}
	if attempt > 0 {
		header.Set(HeaderAttempt, strconv.Itoa(attempt))
	}
	return c.do(ctx, http.MethodPost, path("v1", "teams", string(team), "requests", kind), header, body)
}

// SubmitJob submits a job. Repeated submissions with the same key create only
// one job.
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

// CancelJob cancels the tasks of a job that have not finished.
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

// SetDomain takes a failure domain out of service or brings it back.
func (c *Client) SetDomain(ctx context.Context, id structs.FailureDomainID, state structs.DomainState, reason string) error {
	return c.json(ctx, http.MethodPost, path("v1", "domains", string(id), string(state)), nil, DomainChange{Reason: reason}, nil)
}

// Config returns the committed configuration.
func (c *Client) Config(ctx context.Context) (structs.Config, error) {
	var config structs.Config
	err := c.json(ctx, http.MethodGet, path("v1", "config"), nil, nil, &config)
	return config, err
}

// ApplyConfig applies a change to the configuration and returns the new
// revision. It fails if the current revision is not the expected one.
func (c *Client) ApplyConfig(ctx context.Context, expected int64, change ConfigChange) (int64, error) {
	header := http.Header{"If-Match": {strconv.FormatInt(expected, 10)}}
	var applied ConfigRevision
	err := c.json(ctx, http.MethodPost, path("v1", "config"), header, change, &applied)
	return applied.Revision, err
}

// ConfigStatus returns the configuration revision of the platform, the entry
// and each worker.
func (c *Client) ConfigStatus(ctx context.Context) (ConfigStatus, error) {
	var status ConfigStatus
	err := c.json(ctx, http.MethodGet, path("v1", "config", "status"), nil, nil, &status)
	return status, err
}

// Raw returns the body of a GET request for an API path, for documents that are
// printed unchanged.
func (c *Client) Raw(ctx context.Context, query url.Values, parts ...string) ([]byte, error) {
	apiPath := path(parts...)
	if len(query) > 0 {
		apiPath += "?" + query.Encode()
	}
	answer, err := c.do(ctx, http.MethodGet, apiPath, nil, nil)
	return answer.Body, err
}

// Rollback commits the content of an earlier revision as a new revision and
// returns the new revision.
func (c *Client) Rollback(ctx context.Context, to int64) (int64, error) {
	var applied ConfigRevision
	err := c.json(ctx, http.MethodPost, path("v1", "config", "rollback"), nil, RollbackRequest{To: to}, &applied)
	return applied.Revision, err
}

// Targets lists the targets that are registered at the answering entry.
func (c *Client) Targets(ctx context.Context) ([]TargetStatus, error) {
	var targets []TargetStatus
	err := c.json(ctx, http.MethodGet, path("v1", "targets"), nil, nil, &targets)
	return targets, err
}

// path joins path segments and escapes them.
func path(parts ...string) string {
	joined := ""
	for _, part := range parts {
		joined += "/" + url.PathEscape(part)
	}
	return joined
}

// json sends in as JSON unless it is nil, and decodes the response into out
// unless that is nil.
func (c *Client) json(ctx context.Context, method, apiPath string, header http.Header, in, out any) error {
	var body []byte
	if in != nil {
		encoded, err := json.Marshal(in)
		if err != nil {
			return fmt.Errorf("encode request: %w", err)
		}
		body = encoded
	}
	answer, err := c.do(ctx, method, apiPath, header, body)
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

func (c *Client) do(ctx context.Context, method, apiPath string, header http.Header, body []byte) (Answer, error) {
	request, err := http.NewRequestWithContext(ctx, method, c.baseURL+apiPath, bytes.NewReader(body))
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
		return Answer{}, fmt.Errorf("%s %s: %w", method, apiPath, err)
	}
	defer response.Body.Close()
	if response.Header.Get("Content-Type") == problem.ContentType {
		return Answer{}, problem.ReadResponse(response)
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
