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

// Times of the services' jobs.
const (
	serviceCheck       = 2 * time.Second // until a failed submission is tried again
	serviceCallTimeout = 5 * time.Second
)

// serviceMaxAttempts lets a service be started again practically for ever.
const serviceMaxAttempts = 1 << 30

// serviceJobs keeps a job in the cells for every service of the configuration.
// Every entry does so: the job's idempotency key is made of the service, so
// that all of them mean the same job.
type serviceJobs struct {
	jobs   *cell.Jobs
	holder *config.Holder
	log    *zap.Logger
}

// run submits the jobs of new services and cancels those of removed ones until
// ctx ends.
func (s *serviceJobs) run(ctx context.Context) error {
	kept := map[structs.JobID]bool{}
	for {
		changed := s.holder.Changed()
		wanted := serviceJobsOf(s.holder.Current())
		var retry <-chan time.Time
		if !s.settle(ctx, wanted, kept) {
			retry = time.After(serviceCheck)
		}
		select {
		case <-ctx.Done():
			return nil
		case <-changed:
		case <-retry:
		}
	}
}

// settle brings the jobs in line with the configuration and reports whether
// all of them are.
func (s *serviceJobs) settle(ctx context.Context, wanted []wantedJob, kept map[structs.JobID]bool) bool {
	settled := true
	current := map[structs.JobID]bool{}
	for _, w := range wanted {
		id := cell.JobIDFor(w.job.Team, w.key)
		current[id] = true
		if kept[id] {
			continue
		}
		if err := s.submit(ctx, w.job, w.key); err != nil {
			s.log.Debug("service is not submitted yet", zap.String("service", w.key), zap.Error(err))
			settled = false
			continue
		}
		kept[id] = true
	}
	for id := range kept {
		if current[id] {
			continue
		}
		if err := s.cancel(ctx, id); err != nil {
			settled = false
			continue
		}
		delete(kept, id)
	}
	return settled
}

func (s *serviceJobs) submit(ctx context.Context, job structs.Job, key string) error {
	ctx, cancel := context.WithTimeout(ctx, serviceCallTimeout)
	defer cancel()
	job.Submitted = time.Now()
	_, err := s.jobs.Submit(ctx, job, key)
	return err
}

func (s *serviceJobs) cancel(ctx context.Context, id structs.JobID) error {
	ctx, cancel := context.WithTimeout(ctx, serviceCallTimeout)
	defer cancel()
	return s.jobs.Cancel(ctx, id)
}

// wantedJob is the job of a service with its idempotency key.
type wantedJob struct {
	key string
	job structs.Job
}

// serviceJobsOf returns the jobs of all services. A service whose program, size,
// number or lease trade-off changes is a new job.
func serviceJobsOf(c *structs.Config) []wantedJob {
	var wanted []wantedJob
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
				RideOutage:  time.Duration(service.RideOutageMS) * time.Millisecond,
			}
			wanted = append(wanted, wantedJob{key: serviceKey(service), job: job})
		}
	}
	return wanted
}

// serviceKey is the idempotency key of a service's job.
func serviceKey(service structs.ServiceConfig) string {
	identity, err := json.Marshal(struct {
		Program   string
		Instances int32
		Resources structs.Resources
		Ride      int64
	}{service.Program, service.Instances, service.Resources, service.RideOutageMS})
	if err != nil {
		return service.Name // plain numbers and strings always encode
	}
	return fmt.Sprintf("service/%s/%016x", service.Name, xxhash.Sum64(identity))
}
