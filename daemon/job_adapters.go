package daemon

import (
	"context"

	"github.com/daisywall/daisywall/cell"
	"github.com/daisywall/daisywall/client"
	"github.com/daisywall/daisywall/structs"
)

// maxListedJobs bounds the jobs that the API lists.
const maxListedJobs = 100

// jobsAdapter implements entryapi.JobStore with the jobs of the cells.
type jobsAdapter struct {
	jobs *cell.Jobs
}

// Submit implements entryapi.JobStore.
func (j jobsAdapter) Submit(ctx context.Context, job structs.Job, key string) (structs.Job, error) {
	return j.jobs.Submit(ctx, job, key)
}

// Status implements entryapi.JobStore.
func (j jobsAdapter) Status(ctx context.Context, id structs.JobID) (client.JobStatus, error) {
	status, err := j.jobs.Status(ctx, id)
	if err != nil {
		return client.JobStatus{}, err
	}
	return jobStatus(status), nil
}

// Cancel implements entryapi.JobStore.
func (j jobsAdapter) Cancel(ctx context.Context, id structs.JobID) error {
	return j.jobs.Cancel(ctx, id)
}

// List implements entryapi.JobStore.
func (j jobsAdapter) List(ctx context.Context, team structs.TeamID) ([]client.JobStatus, error) {
	list := []client.JobStatus{}
	all, err := j.jobs.List(ctx, team, "", maxListedJobs)
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

// jobStatus converts the status of a job to the form of the HTTP API.
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
	case !s.Done() && s.Unaccepted == s.Job.Tasks:
		return string(structs.TaskPending)
	case !s.Done():
		return "running"
	case s.Failed > 0:
		return string(structs.TaskFailed)
	case s.Cancelled > 0:
		return string(structs.TaskCancelled)
	}
	return string(structs.TaskFinished)
}

// domainsAdapter implements entryapi.Domains with the failure domains of the
// cells.
type domainsAdapter struct {
	domains *cell.Domains
}

// List implements entryapi.Domains.
func (d domainsAdapter) List(ctx context.Context) ([]structs.FailureDomain, error) {
	rows, err := d.domains.List(ctx)
	if err != nil {
		return nil, err
	}
	list := make([]structs.FailureDomain, 0, len(rows))
	for _, row := range rows {
		list = append(list, row.FailureDomain)
	}
	return list, nil
}

// Set implements entryapi.Domains. It returns a *structs.ConflictError if
// another operator changes the failure domain at the same time.
func (d domainsAdapter) Set(ctx context.Context, id structs.FailureDomainID, state structs.DomainState, reason, by string) error {
	current, err := d.domains.Get(ctx, id)
	if err != nil {
		return err
	}
	if state == structs.DomainOut {
		_, err = d.domains.TakeOutOfService(ctx, id, current.Revision, by, reason)
	} else {
		_, err = d.domains.ReturnToService(ctx, id, current.Revision, by, reason)
	}
	return err
}
