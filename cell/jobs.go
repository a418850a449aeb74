package cell

import (
	"context"
	"encoding/base32"
	"fmt"
	"strings"
	"time"

	"github.com/google/uuid"

	"github.com/daisywall/daisywall/structs"
	"github.com/daisywall/daisywall/substrate"
)

// Bounds of jobs.
const (
	// tasksPerCell is the number of batch tasks for which a job gets one more
	// cell, as long as there are further cells. A job with at most this many
	// tasks stays in one cell.
	tasksPerCell = 16
	// MaxTasks is the largest number of tasks of one job.
	MaxTasks = 100_000
	// jobPageRows is the number of rows that are read at a time.
	jobPageRows = 256
)

// Jobs submits jobs to the cells and returns their state. Any process with
// access to the table may use it.
type Jobs struct {
	client *tableClient
	notify func(cell structs.CellID)
}

// NewJobs returns the jobs in the table. callTimeout bounds each table call.
// notify requests that the leader of a cell reads its inbox. It may be nil, and
// its requests may be lost.
func NewJobs(table substrate.Table, callTimeout time.Duration, notify func(cell structs.CellID)) *Jobs {
	if notify == nil {
		notify = func(structs.CellID) {}
	}
	return &Jobs{client: newTableClient(table, callTimeout), notify: notify}
}

// JobStatus is the state of a job summed over all cells.
type JobStatus struct {
	Job             structs.Job      `json:"job"`
	CancelRequested bool             `json:"cancelled"` // a cancellation was requested
	Unaccepted      int32            `json:"waiting"`   // tasks that no cell has accepted yet
	Open            int32            `json:"open"`      // accepted tasks that are not reported as final
	Finished        int32            `json:"finished"`
	Failed          int32            `json:"failed"`
	Cancelled       int32            `json:"ended_by_cancellation"`
	Results         []TaskResult     `json:"results,omitempty"`
	Details         []TaskResult     `json:"details,omitempty"`
	Cells           []structs.CellID `json:"cells"`
}

// Done reports whether every task is final.
func (s *JobStatus) Done() bool { return s.Finished+s.Failed+s.Cancelled >= s.Job.Tasks }

// jobIDBytes is the number of bytes of a job ID before its encoding. It is
// small because every record of a task contains the ID.
const jobIDBytes = 10

// jobIDNamespace is the UUID namespace of job IDs.
var jobIDNamespace = uuid.MustParse("6f1c1f5e-7a0e-5d0b-9f0e-2d4f7b1c9a55")

// JobIDFor returns the ID of the job that the team submits under the
// idempotency key. The same team and key always give the same ID.
func JobIDFor(team structs.TeamID, key string) structs.JobID {
	id := uuid.NewSHA1(jobIDNamespace, []byte(string(team)+"\x00"+key))
	text := base32.HexEncoding.WithPadding(base32.NoPadding).EncodeToString(id[len(id)-jobIDBytes:])
	return structs.JobID(strings.ToLower(text))
}

// Submit assigns an ID to the job, distributes its tasks to the cells and
// returns the job. If the team has used the key before, Submit returns the job
// of the first submission. It returns *structs.RefusedError if no worker could
// ever run a task of the job.
func (j *Jobs) Submit(ctx context.Context, job structs.Job, key string) (structs.Job, error) {
	if err := validateJob(&job, key); err != nil {
		return structs.Job{}, err
	}
	job.ID = JobIDFor(job.Team, key)
	if job.Submitted.IsZero() {
		job.Submitted = time.Now()
	}
	if row, found, err := j.readJob(ctx, job.ID); err != nil || found {
		return row.Job, err
	}
	cells, err := j.chooseCells(ctx, &job)
	if err != nil {
		return structs.Job{}, err
	}
	txn := submissionTxn(&job, cells)
	_, _, err = j.client.commit(ctx, txn, jobKey(job.ID))
	if conflict := asConflict(err); conflict != nil {
		row, found, err := j.readJob(ctx, job.ID)
		if err == nil && !found {
			err = conflict
		}
		return row.Job, err
	}
	if err != nil {
		return structs.Job{}, err
	}
	for _, c := range cells {
		j.notify(c)
	}
	return job, nil
}

func validateJob(job *structs.Job, key string) error {
	var faults []structs.Fault
	check := func(path string, ok bool, value any, rule string) {
		if !ok {
			faults = append(faults, structs.Fault{Path: path, Value: fmt.Sprint(value), Rule: rule})
		}
	}
	check("idempotency_key", key != "", key, "is required")
	check("team", job.Team != "", job.Team, "is required")
	check("program", job.Program != "", job.Program, "is required")
	check("tasks", job.Tasks >= 1 && job.Tasks <= MaxTasks, job.Tasks, fmt.Sprintf("must be 1 to %d", MaxTasks))
	check("kind", job.Kind == structs.WorkBatch || job.Kind == structs.WorkService, job.Kind, "must be batch or service")
	r := job.Resources
	check("resources", r.MilliCPU >= 0 && r.MemoryMB >= 0 && r.Accelerators >= 0, r, "must not be negative")
	if faults != nil {
		return &structs.InvalidError{Subject: "job", Faults: faults}
	}
	return nil
}

// chooseCells returns the cells among which the tasks are divided, the least
// loaded first. Each cell has a large enough worker. Cells whose failure domain
// is out are used only if there are no others.
func (j *Jobs) chooseCells(ctx context.Context, job *structs.Job) ([]structs.CellID, error) {
	cells, err := listSummaries(ctx, j.client)
	if err != nil {
		return nil, err
	}
	if len(cells) == 0 {
		return nil, &structs.UnavailableError{Dependency: "cells", RetryAfter: summaryPeriod}
	}
	fitting := fittingCells(cells, job.Resources)
	if len(fitting) == 0 {
		return nil, &structs.RefusedError{
			Subject: "job", Reason: structs.ReasonUnschedulable,
			Detail: fmt.Sprintf("no worker has %+v for one task", job.Resources),
		}
	}
	domains, err := listDomains(ctx, j.client)
	if err != nil {
		return nil, err
	}
	return spreadTasks(fitting, domains, job), nil
}

// submissionTxn returns the transaction that writes the job and gives each
// cell an equal range of its tasks.
func submissionTxn(job *structs.Job, cells []structs.CellID) substrate.Txn {
	txn := substrate.Txn{
		ID:       newTxnID(),
		Compares: []substrate.Compare{{Key: jobKey(job.ID)}},
		Puts: []substrate.Put{
			{Key: jobKey(job.ID), Value: encode(jobRow{Job: *job, Cells: cells})},
			{Key: teamJobKey(job.Team, job.ID), Value: []byte{}},
		},
	}
	n := int32(len(cells))
	for i, c := range cells {
		first, end := job.Tasks*int32(i)/n, job.Tasks*(int32(i)+1)/n
		inbox := Inbox{Job: job.ID, Tasks: []Handoff{{First: first, Count: end - first}}}
		txn.Puts = append(txn.Puts, substrate.Put{Key: inboxKey(c, job.ID), Value: encode(inbox)})
	}
	return txn
}

func (j *Jobs) readJob(ctx context.Context, id structs.JobID) (jobRow, bool, error) {
	var job jobRow
	row, found, err := j.client.get(ctx, jobKey(id))
	if err != nil || !found {
		return job, found, err
	}
	return job, true, decode(row.Key, row.Value, &job)
}

// Status returns the state of a job, or *structs.NotFoundError.
func (j *Jobs) Status(ctx context.Context, id structs.JobID) (JobStatus, error) {
	job, found, err := j.readJob(ctx, id)
	if err != nil {
		return JobStatus{}, err
	}
	if !found {
		return JobStatus{}, &structs.NotFoundError{Subject: "job", Name: string(id)}
	}
	status := JobStatus{Job: job.Job, CancelRequested: job.CancelRequested}
	rows, err := j.client.list(ctx, statusPrefix(id), "", jobPageRows)
	if err != nil {
		return JobStatus{}, err
	}
	accepted := int32(0)
	for _, row := range rows {
		var part Status
		if err := decode(row.Key, row.Value, &part); err != nil {
			return JobStatus{}, err
		}
		accepted += part.Accepted
		status.Finished += part.Finished
		status.Failed += part.Failed
		status.Cancelled += part.Cancelled
		status.Results = append(status.Results, part.Results...)
		status.Details = append(status.Details, part.Details...)
		status.Cells = append(status.Cells, structs.CellID(strings.TrimPrefix(row.Key, statusPrefix(id))))
	}
	status.Unaccepted = max(0, job.Job.Tasks-accepted)
	status.Open = accepted - status.Finished - status.Failed - status.Cancelled
	return status, nil
}

// Cancel requests the cancellation of the job from every cell. A repeated call
// succeeds. Tasks that have finished stay finished.
func (j *Jobs) Cancel(ctx context.Context, id structs.JobID) error {
	if err := j.markCancelled(ctx, id); err != nil {
		return err
	}
	// A cell that accepts tasks from now on reads the cancellation mark in the
	// job's row. The cells that have accepted tasks before are listed now.
	rows, err := j.client.list(ctx, statusPrefix(id), "", jobPageRows)
	if err != nil {
		return err
	}
	for _, row := range rows {
		cell := structs.CellID(strings.TrimPrefix(row.Key, statusPrefix(id)))
		if err := j.sendCancel(ctx, id, cell); err != nil {
			return err
		}
		j.notify(cell)
	}
	return nil
}

// markCancelled writes the cancellation mark into the job's row.
func (j *Jobs) markCancelled(ctx context.Context, id structs.JobID) error {
	for {
		row, found, err := j.client.get(ctx, jobKey(id))
		if err != nil {
			return err
		}
		if !found {
			return &structs.NotFoundError{Subject: "job", Name: string(id)}
		}
		var job jobRow
		if err := decode(row.Key, row.Value, &job); err != nil || job.CancelRequested {
			return err
		}
		job.CancelRequested = true
		_, _, err = j.client.commit(ctx, substrate.Txn{
			ID:       newTxnID(),
			Compares: []substrate.Compare{{Key: row.Key, Revision: row.Revision}},
			Puts:     []substrate.Put{{Key: row.Key, Value: encode(job)}},
		}, row.Key)
		if asConflict(err) == nil {
			return err
		}
	}
}

// sendCancel writes the cancellation into the inbox of a cell, unless the
// inbox already has one.
func (j *Jobs) sendCancel(ctx context.Context, id structs.JobID, cell structs.CellID) error {
	key := cancelKey(cell, id)
	_, _, err := j.client.commit(ctx, substrate.Txn{
		ID:       newTxnID(),
		Compares: []substrate.Compare{{Key: key}},
		Puts:     []substrate.Put{{Key: key, Value: encode(Inbox{Job: id, Cancel: true})}},
	}, key)
	if asConflict(err) == nil {
		return err
	}
	return nil
}

// List returns up to limit jobs of a team whose IDs sort after the ID in
// after.
func (j *Jobs) List(ctx context.Context, team structs.TeamID, after structs.JobID, limit int) ([]structs.Job, error) {
	start := ""
	if after != "" {
		start = teamJobKey(team, after)
	}
	rows, err := j.client.list(ctx, jobsOfTeamPrefix(team), start, limit)
	if err != nil {
		return nil, err
	}
	list := make([]structs.Job, 0, len(rows))
	for _, row := range rows {
		id := structs.JobID(strings.TrimPrefix(row.Key, jobsOfTeamPrefix(team)))
		job, found, err := j.readJob(ctx, id)
		if err != nil {
			return nil, err
		}
		if found {
			list = append(list, job.Job)
		}
	}
	return list, nil
}
