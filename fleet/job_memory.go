package fleet

import (
	"context"
	"time"

	"go.uber.org/zap"

	"github.com/daisywall/daisywall/api/fleetpb"
	"github.com/daisywall/daisywall/structs"
)

// Estimates of the memory that a leader uses for a job.
const (
	bytesPerJob  = 1000
	bytesPerStep = 250
	bytesPerTask = 160
)

// submissionRetryAfter is the delay after which a caller should come back if too
// many submissions are being handled.
const submissionRetryAfter = time.Second

// memoryRetryAfter is the delay after which a caller should come back if the
// leader has no memory for a job.
const memoryRetryAfter = 5 * time.Second

// jobBytes returns an estimate of the memory that a leader uses for a job.
func jobBytes(spec *structs.StepJob) int64 {
	size := bytesPerJob + spec.TextBytes() + len(spec.Steps)*bytesPerStep
	tasks := 0
	for i := range spec.Steps {
		tasks += int(spec.Steps[i].Tasks)
	}
	return int64(size) + int64(tasks)*int64(spec.RoundCount())*bytesPerTask
}

// largeTextBytes is the size of the texts of a job above which it is large. The
// tasks of a job do not make it large.
const largeTextBytes = 8 << 10

// hasMemoryFor reports whether the leader may accept a job. Large jobs may take half of
// the memory, so that others are accepted beside many of them. Jobs that the leader has
// read from the store count, but are never refused.
func (l *leader) hasMemoryFor(spec *structs.StepJob) bool {
	limit := l.o.JobBytes
	if spec.TextBytes() > largeTextBytes {
		limit /= 2
	}
	if l.o.JobBytes <= 0 || l.jobMemory+jobBytes(spec) <= limit {
		return true
	}
	l.metrics.count(l.metrics.refusedJobs, "memory")
	if now := l.o.Clock(); l.memoryLoggedAt == 0 || now.Sub(l.memoryLoggedAt) >= memoryLogInterval {
		l.memoryLoggedAt = now
		l.log.Warn("jobs refused: no memory", zap.Int("jobs", len(l.jobs)), zap.Int64("bytes", l.jobMemory), zap.Int64("limit", limit))
	}
	return false
}

// memoryLogInterval is the time between two lines about refusals for want of
// memory.
const memoryLogInterval = 10 * time.Second

// submissionShare is the part of the memory for jobs that submissions which are
// being handled may take.
const submissionShare = 8

// refuseSubmission answers a submission for which there is no memory. This node
// has not decided on it.
func (n *Node) refuseSubmission(ctx context.Context, token string) (*fleetpb.SubmitResponse, error) {
	n.refused.add(token)
	n.metrics.count(n.metrics.refusedJobs, "submissions")
	if err := describeRefusal(ctx, token, submissionRetryAfter); err != nil {
		n.o.Log.Debug("refusal not described", zap.Error(err))
	}
	return &fleetpb.SubmitResponse{Outcome: fleetpb.Outcome_REFUSED}, nil
}

// forgetJob removes a job from those that the leader knows.
func (l *leader) forgetJob(j *job) {
	if l.jobs[j.Spec.ID] == j {
		l.jobMemory -= jobBytes(&j.Spec)
	}
	delete(l.jobs, j.Spec.ID)
}
