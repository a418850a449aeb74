package daemon

import (
	"context"
	"encoding/json"
	"fmt"
	"time"

	"github.com/cespare/xxhash/v2"
	"go.uber.org/zap"

	"github.com/daisywall/daisywall/cell"
	"github.com/daisywall/daisywall/config"
	"github.com/daisywall/daisywall/structs"
)

// Delays and timeouts of the jobs of services.
const (
	serviceRetryDelay  = 2 * time.Second // delay before a failed submission or cancellation is retried
	serviceCallTimeout = 5 * time.Second
)

// serviceMaxAttempts is high enough that a service is restarted practically
// without limit.
const serviceMaxAttempts = 1 << 30

// serviceJobReconciler submits one job to the cells for every service of the
// configuration and cancels the jobs of removed services. It runs on every
// entry. The idempotency key of a job is derived from the service, so that all
// entries submit the same job.
type serviceJobReconciler struct {
	jobs   *cell.Jobs
	holder *config.Holder
	log    *zap.Logger
}

// run submits the jobs of new services and cancels the jobs of removed services
// until ctx ends.
func (s *serviceJobReconciler) run(ctx context.Context) error {
	submitted := map[structs.JobID]bool{}
	for {
		changed := s.holder.Changed()
		desired := desiredServiceJobs(s.holder.Current())
		var retry <-chan time.Time
		if !s.reconcile(ctx, desired, submitted) {
			retry = time.After(serviceRetryDelay)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-retry:
		}
	}
}

// reconcile tries once to submit the missing jobs and to cancel the submitted
// jobs that are no longer configured. It reports whether all submissions and
// cancellations succeeded.
func (s *serviceJobReconciler) reconcile(ctx context.Context, desired []desiredJob, submitted map[structs.JobID]bool) bool {
	reconciled := true
	inConfig := map[structs.JobID]bool{}
	for _, d := range desired {
		id := cell.JobIDFor(d.job.Team, d.key)
		inConfig[id] = true
		if submitted[id] {
			continue
		}
		if err := s.submit(ctx, d.job, d.key); err != nil {
			s.log.Debug("submitting service job failed, will retry", zap.String("service", d.key), zap.Error(err))
			reconciled = false
			continue
		}
		submitted[id] = true
	}
	for id := range submitted {
		if inConfig[id] {
			continue
		}
		if err := s.cancel(ctx, id); err != nil {
			reconciled = false
			continue
		}
		delete(submitted, id)
	}
	return reconciled
}

func (s *serviceJobReconciler) submit(ctx context.Context, job structs.Job, key string) error {
	ctx, cancel := context.WithTimeout(ctx, serviceCallTimeout)
	defer cancel()
	job.Submitted = time.Now()
	_, err := s.jobs.Submit(ctx, job, key)
	return err
}

func (s *serviceJobReconciler) cancel(ctx context.Context, id structs.JobID) error {
	ctx, cancel := context.WithTimeout(ctx, serviceCallTimeout)
	defer cancel()
	return s.jobs.Cancel(ctx, id)
}

// desiredJob is the job of a service with its idempotency key.
type desiredJob struct {
	key string
	job structs.Job
}

// desiredServiceJobs returns the jobs of all services. A service becomes a new
// job when its program, its resources, its number of instances or its lease
// time during an outage changes.
func desiredServiceJobs(c *structs.Config) []desiredJob {
	var desired []desiredJob
	for _, team := range c.Teams {
		for _, service := range team.Services {
			job := structs.Job{
				Team:        team.ID,
				Class:       service.Name,
				Kind:        structs.WorkService,
				Program:     service.Program,
				Tasks:       service.Instances,
				Resources:   service.Resources,
				MaxAttempts: serviceMaxAttempts,
				RideOut:     time.Duration(service.RideOutMS) * time.Millisecond,
			}
			desired = append(desired, desiredJob{key: serviceKey(service), job: job})
		}
	}
	return desired
}

// serviceKey is the idempotency key of a service's job.
func serviceKey(service structs.ServiceConfig) string {
	identity, err := json.Marshal(struct {
		Program   string
		Instances int32
		Resources structs.Resources
		Ride      int64
	}{service.Program, service.Instances, service.Resources, service.RideOutMS})
	if err != nil {
		return service.Name // unreachable: plain numbers and strings always encode
	}
	return fmt.Sprintf("service/%s/%016x", service.Name, xxhash.Sum64(identity))
}
