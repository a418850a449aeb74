package command

import (
	"encoding/json"
	"fmt"
	"io"
	"os"

	"github.com/daisywall/daisywall/cell"
	"github.com/daisywall/daisywall/explain"
	"github.com/daisywall/daisywall/structs"
)

// ExplainCommand prints the state and placement of a task, job or worker with
// their reasons, or the event timeline of a request from the daemons' logs.
type ExplainCommand struct {
	Subject string   `arg:"" enum:"task,job,worker,request" help:"Kind of object: task, job, worker or request."`
	ID      string   `arg:"" help:"ID of the object. A task is JOB/INDEX."`
	Log     []string `type:"existingfile" help:"Log file of a daemon, for a request. May be repeated. Defaults to standard input."`
}

// explanation is the response of a cell's leader with the decisions of the
// planner.
type explanation struct {
	cell.Report
	Decisions explain.Report `json:"decisions"`
}

// Run prints the explanation.
func (c *ExplainCommand) Run(root *Root, env Env) error {
	if c.Subject == "request" {
		return c.printTimeline(root, env)
	}
	api, ctx, cancel := root.newClient(env)
	defer cancel()
	document, err := api.Raw(ctx, nil, "v1", "explain", c.Subject, c.ID)
	if err != nil {
		return err
	}
	var e explanation
	if err := json.Unmarshal(document, &e); err != nil {
		return fmt.Errorf("decode explanation: %w", err)
	}
	var textErr error
	err = root.print(env, e, func(w io.Writer) { textErr = e.writeText(w) })
	if err != nil {
		return err
	}
	return textErr
}

// printTimeline prints the event timeline of a request from the logs.
func (c *ExplainCommand) printTimeline(root *Root, env Env) error {
	logs := []io.Reader{env.In}
	if len(c.Log) > 0 {
		logs = nil
	}
	for _, path := range c.Log {
		file, err := os.Open(path)
		if err != nil {
			return fmt.Errorf("open log: %w", err)
		}
		defer file.Close()
		logs = append(logs, file)
	}
	events, err := explain.Timeline(io.MultiReader(logs...), c.ID)
	if err != nil {
		return err
	}
	if len(events) == 0 {
		return &structs.NotFoundError{Subject: "request", Name: c.ID}
	}
	var textErr error
	err = root.print(env, events, func(w io.Writer) { textErr = explain.WriteTimeline(w, events) })
	if err != nil {
		return err
	}
	return textErr
}

// writeText writes the explanation as text and leaves out empty values.
func (e *explanation) writeText(w io.Writer) error {
	fmt.Fprintf(w, "%s %s in cell %s, led in epoch %d\n", e.Subject, e.ID, e.Cell, e.Epoch)
	printField := func(name string, value any, isSet bool) {
		if isSet {
			fmt.Fprintf(w, "  %-9s %v\n", name, value)
		}
	}
	printField("state", e.State, e.State != "")
	printField("worker", e.Worker, e.Worker != "" && e.Subject != "worker")
	printField("attempt", e.Attempt, e.Attempt > 0)
	printField("waiting", fmt.Sprintf("%.1f s", e.Waiting), e.Waiting > 0)
	printField("reason", fmt.Sprintf("%s: %s", e.Reason, e.Detail), e.Reason != "")
	printField("failed on", e.FailedOn, len(e.FailedOn) > 0)
	if e.Status != nil {
		printField("tasks", fmt.Sprintf("%d accepted, %d finished, %d failed, %d cancelled",
			e.Status.Accepted, e.Status.Finished, e.Status.Failed, e.Status.Cancelled), true)
	}
	printField("free", fmt.Sprintf("%d milli-CPU, %d MB, %d accelerators", e.Free.MilliCPU, e.Free.MemoryMB, e.Free.Accelerators), e.Subject == "worker")
	printField("runs", e.Runs, len(e.Runs) > 0)
	return e.Decisions.WriteText(w)
}
