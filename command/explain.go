package command

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"strings"

	"github.com/daisywall/daisywall/cell"
	"github.com/daisywall/daisywall/explain"
	"github.com/daisywall/daisywall/structs"
)

// ExplainCommands are the commands that explain the state of the system.
type ExplainCommands struct {
	Task    ExplainTaskCommand    `cmd:"" help:"Explain the state and placement of a task."`
	Job     ExplainJobCommand     `cmd:"" help:"Explain the state and placement of a job."`
	Worker  ExplainWorkerCommand  `cmd:"" help:"Explain the state of a worker."`
	Request ExplainRequestCommand `cmd:"" help:"Show the timeline of a request from the daemons' logs."`
	Losses  ExplainLossesCommand  `cmd:"" help:"Show from the daemons' logs where the time of jobs of steps went, by queue."`
}

// ExplainTaskCommand prints the state and placement of a task with the reasons.
type ExplainTaskCommand struct {
	ID string `arg:"" help:"ID of the task, JOB/INDEX."`
}

// Run prints the explanation.
func (c *ExplainTaskCommand) Run(root *Root, env Env) error {
	return printExplanation(root, env, explain.SubjectTask, c.ID)
}

// ExplainJobCommand prints the state and placement of a job with the reasons.
type ExplainJobCommand struct {
	ID string `arg:"" help:"ID of the job."`
}

// Run prints the explanation.
func (c *ExplainJobCommand) Run(root *Root, env Env) error {
	return printExplanation(root, env, explain.SubjectJob, c.ID)
}

// ExplainWorkerCommand prints the state of a worker with the reasons.
type ExplainWorkerCommand struct {
	ID string `arg:"" help:"ID of the worker."`
}

// Run prints the explanation.
func (c *ExplainWorkerCommand) Run(root *Root, env Env) error {
	return printExplanation(root, env, explain.SubjectWorker, c.ID)
}

// ExplainRequestCommand prints the event timeline of a request from the daemons'
// logs.
type ExplainRequestCommand struct {
	ID  string   `arg:"" help:"ID of the request."`
	Log []string `type:"existingfile" help:"Log file of a daemon. May be repeated. Defaults to standard input."`
}

// ExplainLossesCommand prints from the daemons' logs where the time of jobs of
// steps went.
type ExplainLossesCommand struct {
	Files []string `arg:"" optional:"" type:"existingfile" help:"More log files."`
	Log   []string `type:"existingfile" help:"Log file of a daemon. May be repeated. Defaults to standard input."`
	Queue string   `help:"Only this queue."`
	JSON  bool     `name:"json" help:"Print JSON, as --output json does."`
}

// Run prints the losses.
func (c *ExplainLossesCommand) Run(root *Root, env Env) error {
	logs, closeLogs, err := openLogs(env, append(c.Log, c.Files...))
	if err != nil {
		return err
	}
	defer closeLogs()
	losses, err := explain.ReadLosses(logs, c.Queue)
	if err != nil {
		return err
	}
	if c.JSON {
		root.Output = "json"
	}
	var textErr error
	err = root.print(env, losses, func(w io.Writer) { textErr = losses.WriteText(w) })
	if err != nil {
		return err
	}
	return textErr
}

// openLogs returns a reader of the log files one after the other, or of the
// standard input if there are none.
func openLogs(env Env, paths []string) (logs io.Reader, closeLogs func(), err error) {
	if len(paths) == 0 {
		return env.In, func() {}, nil
	}
	var files []*os.File
	closeLogs = func() {
		for _, file := range files {
			file.Close()
		}
	}
	var readers []io.Reader
	for _, path := range paths {
		file, err := os.Open(path)
		if err != nil {
			closeLogs()
			return nil, nil, fmt.Errorf("open log: %w", err)
		}
		files = append(files, file)
		// The last line of a log that was cut off must not join the first of the next.
		readers = append(readers, file, strings.NewReader("\n"))
	}
	return io.MultiReader(readers...), closeLogs, nil
}

// explanation is the response of a cell's leader with the decisions of the
// planner.
type explanation struct {
	cell.Report
	Decisions explain.Report `json:"decisions"`
}

// printExplanation prints what the leader of the subject's cell knows about it.
func printExplanation(root *Root, env Env, subject explain.Subject, id string) error {
	api, ctx, cancel := root.newClient(env)
	defer cancel()
	document, err := api.Raw(ctx, nil, "v1", "explain", string(subject), id)
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

// Run prints the timeline.
func (c *ExplainRequestCommand) Run(root *Root, env Env) error {
	logs, closeLogs, err := openLogs(env, c.Log)
	if err != nil {
		return err
	}
	defer closeLogs()
	events, err := explain.Timeline(logs, c.ID)
	if err != nil {
		return err
	}
	if len(events) == 0 {
		return &structs.NotFoundError{Subject: "request", Name: c.ID}
	}
	var textErr error
	err = root.print(env, events, func(w io.Writer) {
		if textErr = explain.WriteTimeline(w, events); textErr == nil {
			fmt.Fprintln(w, "summary:", explain.Summary(events, c.ID))
		}
	})
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
