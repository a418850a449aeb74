package client

import (
	"context"
	"net/http"

	"github.com/daisywall/daisywall/stepapi"
	"github.com/daisywall/daisywall/structs"
)

// SubmitSteps submits a job of steps. Repeated submissions with the same ID
// create only one job.
func (c *Client) SubmitSteps(ctx context.Context, queue structs.QueueID, id structs.JobID, steps []structs.Step, payload string) (stepapi.Status, error) {
	var status stepapi.Status
	body := struct {
		Steps   []structs.Step `json:"steps"`
		Payload string         `json:"payload,omitempty"`
	}{steps, payload}
	err := c.json(ctx, http.MethodPut, stepsPath(queue, id), nil, body, &status)
	return status, err
}

// StepsStatus returns the status of a job of steps.
func (c *Client) StepsStatus(ctx context.Context, queue structs.QueueID, id structs.JobID) (stepapi.Status, error) {
	var status stepapi.Status
	err := c.json(ctx, http.MethodGet, stepsPath(queue, id), nil, nil, &status)
	return status, err
}

// CancelSteps cancels a job of steps.
func (c *Client) CancelSteps(ctx context.Context, queue structs.QueueID, id structs.JobID) (stepapi.Status, error) {
	var status stepapi.Status
	err := c.json(ctx, http.MethodDelete, stepsPath(queue, id), nil, nil, &status)
	return status, err
}

// QueueBacklog returns the number of jobs in the queue that have not started.
func (c *Client) QueueBacklog(ctx context.Context, queue structs.QueueID) (stepapi.Backlog, error) {
	var backlog stepapi.Backlog
	err := c.json(ctx, http.MethodGet, path("v1", "queues", string(queue)), nil, nil, &backlog)
	return backlog, err
}

func stepsPath(queue structs.QueueID, id structs.JobID) string {
	return path("v1", "queues", string(queue), "jobs", string(id))
}
