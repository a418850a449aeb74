package entryapi

import (
	"context"
	"fmt"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/daisywall/daisywall/client"
	"github.com/daisywall/daisywall/structs"
)

// Defaults, limits and object key prefixes of jobs.
const (
	defaultTasks       = 1
	maxTasks           = 100_000
	defaultMaxAttempts = 5
	resultPrefix       = "result/"
	inputPrefix        = "input/"
)

// JobStore submits jobs to the cells and returns their status.
type JobStore interface {
	// Submit stores a job and returns it. If the team has already submitted a
	// job with the same idempotency key, it returns that job instead.
	Submit(ctx context.Context, job structs.Job, key string) (structs.Job, error)
	Status(ctx context.Context, id structs.JobID) (client.JobStatus, error)
	Cancel(ctx context.Context, id structs.JobID) error
	List(ctx context.Context, team structs.TeamID) ([]client.JobStatus, error)
}

func (s *Server) submitJob(w http.ResponseWriter, r *http.Request) error {
	var submitted client.JobRequest
	if err := readJSON(w, r, "job", maxJobBody, &submitted); err != nil {
		return err
	}
	key := r.Header.Get(client.HeaderIdempotencyKey)
	if key == "" {
		key = uuid.NewString()
	}
	job, err := s.newJob(structs.TeamID(r.PathValue("team")), submitted)
	if err != nil {
		return err
	}
	if len(submitted.Input) > 0 {
		job.Input = inputPrefix + uuid.NewString()
		if err := s.Objects.Put(r.Context(), job.Input, submitted.Input); err != nil {
			return err
		}
	}
	accepted, err := s.Jobs.Submit(r.Context(), job, key)
	if err != nil {
		return err
	}
	s.instruments.jobs.Add(r.Context(), 1)
	return writeJSON(w, http.StatusAccepted, client.JobAccepted{ID: accepted.ID, Deadline: accepted.Deadline})
}

// newJob validates a submission against the team's configuration and fills in
// the defaults.
func (s *Server) newJob(team structs.TeamID, submitted client.JobRequest) (structs.Job, error) {
	teamConfig, err := s.Config.Current().Team(team)
	if err != nil {
		return structs.Job{}, err
	}
	class, err := teamConfig.BatchClass(submitted.Class)
	if err != nil {
		return structs.Job{}, err
	}
	if err := validateJob(submitted); err != nil {
		return structs.Job{}, err
	}
	now := time.Now()
	job := structs.Job{
		Team:        team,
		Class:       class.Class,
		Kind:        structs.WorkBatch,
		Program:     class.Program,
		Tasks:       submitted.Tasks,
		Resources:   class.Resources,
		RunTime:     time.Duration(class.RunTimeMS) * time.Millisecond,
		Deadline:    now.Add(time.Duration(class.DeadlineMS) * time.Millisecond),
		Submitted:   now,
		MaxAttempts: class.MaxAttempts,
		RideOut:     time.Duration(class.RideOutMS) * time.Millisecond,
	}
	if job.Tasks == 0 {
		job.Tasks = defaultTasks
	}
	if job.MaxAttempts == 0 {
		job.MaxAttempts = defaultMaxAttempts
	}
	if submitted.Resources != nil {
		job.Resources = *submitted.Resources
	}
	if !job.Resources.Fits(teamConfig.Quota) {
		return structs.Job{}, &structs.RefusedError{
			Subject: "job", Reason: structs.ReasonQuota,
			Detail: fmt.Sprintf("one task needs %+v, the team's whole quota is %+v", job.Resources, teamConfig.Quota),
		}
	}
	if submitted.DeadlineMS > 0 {
		job.Deadline = now.Add(time.Duration(submitted.DeadlineMS) * time.Millisecond)
	}
	if submitted.RunTimeMS > 0 {
		job.RunTime = time.Duration(submitted.RunTimeMS) * time.Millisecond
	}
	return job, nil
}

// validateJob returns an error that lists every invalid field of a submission.
func validateJob(submitted client.JobRequest) error {
	var faults []structs.Fault
	check := func(ok bool, path string, value int64, rule string) {
		if !ok {
			faults = append(faults, structs.Fault{Path: path, Value: strconv.FormatInt(value, 10), Rule: rule})
		}
	}
	check(submitted.Tasks >= 0 && submitted.Tasks <= maxTasks, "/tasks", int64(submitted.Tasks), "must be 1 to 100000, or absent")
	check(submitted.DeadlineMS >= 0, "/deadline_ms", submitted.DeadlineMS, "must not be negative")
	check(submitted.RunTimeMS >= 0, "/run_time_ms", submitted.RunTimeMS, "must not be negative")
	if r := submitted.Resources; r != nil {
		check(r.MilliCPU > 0, "/resources/milli_cpu", r.MilliCPU, "must be above 0")
		check(r.MemoryMB > 0, "/resources/memory_mb", r.MemoryMB, "must be above 0")
		check(r.Accelerators >= 0, "/resources/accelerators", r.Accelerators, "must not be negative")
	}
	if len(faults) > 0 {
		return &structs.InvalidError{Subject: "job", Faults: faults}
	}
	return nil
}

func (s *Server) listJobs(w http.ResponseWriter, r *http.Request) error {
	team := structs.TeamID(r.PathValue("team"))
	if _, err := s.Config.Current().Team(team); err != nil {
		return err
	}
	jobs, err := s.Jobs.List(r.Context(), team)
	if err != nil {
		return err
	}
	return writeJSON(w, http.StatusOK, jobs)
}

func (s *Server) getJob(w http.ResponseWriter, r *http.Request) error {
	status, err := s.Jobs.Status(r.Context(), structs.JobID(r.PathValue("id")))
	if err != nil {
		return err
	}
	return writeJSON(w, http.StatusOK, status)
}

func (s *Server) cancelJob(w http.ResponseWriter, r *http.Request) error {
	if err := s.Jobs.Cancel(r.Context(), structs.JobID(r.PathValue("id"))); err != nil {
		return err
	}
	w.WriteHeader(http.StatusNoContent)
	return nil
}

func (s *Server) getResult(w http.ResponseWriter, r *http.Request) error {
	task, err := structs.ParseTaskID(r.PathValue("id") + "/" + r.PathValue("index"))
	if err != nil {
		return err
	}
	content, err := s.Objects.Get(r.Context(), resultPrefix+task.String())
	if err != nil {
		return err
	}
	w.Header().Set("Content-Type", "application/json")
	_, _ = w.Write(content)
	return nil
}
