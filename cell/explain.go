package cell

import (
	"context"
	"encoding/json"
	"time"

	"github.com/daisywall/daisywall/api/daisywallpb"
	"github.com/daisywall/daisywall/structs"
)

// Report describes the state of a task, a job or a worker and the reason for
// that state.
type Report struct {
	Subject  string            `json:"subject"`
	ID       string            `json:"id"`
	Cell     structs.CellID    `json:"cell"`
	Epoch    int64             `json:"epoch"`
	Found    bool              `json:"found"`
	State    string            `json:"state,omitempty"`
	Worker   structs.WorkerID  `json:"worker,omitempty"`
	Attempt  int32             `json:"attempt,omitempty"`
	Waiting  float64           `json:"waiting_s,omitempty"`
	Reason   structs.Reason    `json:"reason,omitempty"`
	Detail   string            `json:"detail,omitempty"`
	FailedOn []string          `json:"failed_on,omitempty"`
	Crashes  int32             `json:"crashes,omitempty"` // runtimes in a row that ended soon after the task had started
	Status   *Status           `json:"status,omitempty"`
	Free     structs.Resources `json:"free"`
	Runs     []string          `json:"runs,omitempty"`
	// Decisions are the planner's records about the subject, if the planner
	// keeps any.
	Decisions any `json:"decisions,omitempty"`
}

// Explainer is a Planner that records its decisions.
type Explainer interface {
	// Explain returns the decisions about a task, a job or a worker as a value
	// that can be encoded as JSON, and whether there are any.
	Explain(subject, id string) (decisions any, found bool, err error)
}

// Subjects of Explain.
const (
	subjectTask   = "task"
	subjectJob    = "job"
	subjectWorker = "worker"
)

// Explain implements daisywallpb.CellServer.
func (n *Node) Explain(_ context.Context, req *daisywallpb.ExplainRequest) (*daisywallpb.ExplainResponse, error) {
	l := n.leader(structs.CellID(req.GetCell()))
	if l == nil {
		return nil, &structs.RefusedError{Subject: "explain", Reason: structs.ReasonNotLeader, Detail: req.GetCell()}
	}
	report, err := l.explain(req.GetSubject(), req.GetId(), time.Now())
	if err != nil {
		return nil, err
	}
	if explainer, explains := n.options.Planner.(Explainer); explains {
		decisions, found, err := explainer.Explain(req.GetSubject(), req.GetId())
		if err != nil {
			return nil, err
		}
		// The planner may still have decisions about a final task that the
		// cell no longer holds.
		report.Decisions, report.Found = decisions, report.Found || found
	}
	data, err := json.Marshal(report)
	if err != nil {
		return nil, err
	}
	return &daisywallpb.ExplainResponse{Report: data}, nil
}

func (l *leader) explain(subject, id string, now time.Time) (*Report, error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	r := &Report{Subject: subject, ID: id, Cell: l.cell, Epoch: l.epoch}
	switch subject {
	case subjectTask:
		task, err := structs.ParseTaskID(id)
		if err != nil {
			return nil, err
		}
		l.explainTask(r, task, now)
	case subjectJob:
		l.explainJob(r, structs.JobID(id))
	case subjectWorker:
		l.explainWorker(r, structs.WorkerID(id), now)
	default:
		return nil, &structs.NotFoundError{Subject: "subject", Name: subject}
	}
	return r, nil
}

func (l *leader) explainTask(r *Report, id structs.TaskID, now time.Time) {
	t := l.state.Task(id)
	if t == nil {
		return
	}
	r.Found, r.State, r.Worker, r.Attempt = true, string(t.State), t.Worker, t.Number
	r.Crashes = t.Crashes
	for _, w := range t.FailedOn {
		r.FailedOn = append(r.FailedOn, string(w))
	}
	if pendingSince, isPending := l.pendingSince[id]; isPending {
		r.Waiting = now.Sub(pendingSince).Seconds()
	}
	if unschedulable, found := l.unschedulable[id]; found {
		r.Reason, r.Detail = unschedulable.Reason, unschedulable.Detail
	}
}

func (l *leader) explainJob(r *Report, id structs.JobID) {
	job, found := l.state.Jobs[id]
	if !found {
		return
	}
	status := job.Status
	r.Found, r.Status = true, &status
	for _, t := range job.Tasks {
		if unschedulable, found := l.unschedulable[t.ID()]; found {
			r.Reason, r.Detail = unschedulable.Reason, unschedulable.Detail
			return
		}
	}
}

func (l *leader) explainWorker(r *Report, id structs.WorkerID, now time.Time) {
	session, found := l.sessions[id]
	if !found {
		return
	}
	view := l.workerView(session, nil, now)
	r.Found, r.Worker, r.Free = true, id, view.Free
	r.State = "placeable"
	if !view.Placeable {
		r.State = "not placeable"
	}
	for _, resident := range view.Residents {
		r.Runs = append(r.Runs, resident.Attempt.String())
	}
}
