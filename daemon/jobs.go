package daemon

import (
	"context"

	"github.com/daisywall/daisywall/cell"
	"github.com/daisywall/daisywall/client"
	"github.com/daisywall/daisywall/structs"
)

// maxListedJobs bounds the answer to a listing.
const maxListedJobs = 100

// jobs adapts the jobs of the cells to the HTTP API.
type jobs struct {
	cells *cell.Jobs
}

// Submit implements entryapi.Jobs.
func (j jobs) Submit(ctx context.Context, job structs.Job, key string) (structs.Job, error) {
	return j.cells.Submit(ctx, job, key)
}

// Status implements entryapi.Jobs.
func (j jobs) Status(ctx context.Context, id structs.JobID) (client.JobStatus, error) {
	status, err := j.cells.Status(ctx, id)
	if err != nil {
		return client.JobStatus{}, err
	}
	return jobStatus(status), nil
}

// Cancel implements entryapi.Jobs.
func (j jobs) Cancel(ctx context.Context, id structs.JobID) error {
	return j.cells.Cancel(ctx, id)
}

// List implements entryapi.Jobs.
func (j jobs) List(ctx context.Context, team structs.TeamID) ([]client.JobStatus, error) {
	list := []client.JobStatus{}
	all, err := j.cells.List(ctx, team, "", maxListedJobs)
	if err != nil {
		return nil, err
	}
	for _, job := range all {
		status, err := j.Status(ctx, job.ID)
		if err != nil {
			return nil, err
		}
		list = append(list, status)
	}
	return list, nil
}

// jobStatus is the state of a job as the HTTP API shows it.
func jobStatus(s cell.JobStatus) client.JobStatus {
	status := client.JobStatus{
		ID: s.Job.ID, Team: s.Job.Team, Class: s.Job.Class, Kind: s.Job.Kind, Deadline: s.Job.Deadline,
		Tasks: s.Job.Tasks, Finished: s.Finished, Failed: s.Failed, State: jobState(s),
	}
	if len(s.Details) > 0 {
		status.Detail = s.Details[0].Value
	}
	return status
}

func jobState(s cell.JobStatus) string {
	switch {
	case !s.Done() && s.Waiting == s.Job.Tasks:
		return string(structs.TaskPending)
	case !s.Done():
		return "running"
	case s.Failed > 0:
		return string(structs.TaskFailed)
	case s.Ended > 0:
		return string(structs.TaskCancelled)
	}
	return string(structs.TaskFinished)
}

// domains adapts the failure domains to the HTTP API.
type domains struct {
	cells *cell.Domains
}

// List implements entryapi.Domains.
func (d domains) List(ctx context.Context) ([]structs.FailureDomain, error) {
	rows, err := d.cells.List(ctx)
	if err != nil {
		return nil, err
	}
	list := make([]structs.FailureDomain, 0, len(rows))
	for _, row := range rows {
		list = append(list, row.FailureDomain)
	}
	return list, nil
}

// Set implements entryapi.Domains. A decision that another operator makes in
// between gives *structs.ConflictError.
func (d domains) Set(ctx context.Context, id structs.FailureDomainID, state structs.DomainState, reason, by string) error {
	now, err := d.cells.Get(ctx, id)
	if err != nil {
		return err
	}
	if state == structs.DomainOut {
		_, err = d.cells.Out(ctx, id, now.Revision, by, reason)
	} else {
		_, err = d.cells.In(ctx, id, now.Revision, by, reason)
	}
	return err
}
