package command

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"
	"time"

	"github.com/daisywall/daisywall/client"
	"github.com/daisywall/daisywall/structs"
)

// pollInterval is how often a command that waits polls the state of a job.
const pollInterval = 250 * time.Millisecond

// JobCommands groups the commands for jobs.
type JobCommands struct {
	Submit JobSubmitCommand `cmd:"" help:"Submit a job."`
	Status JobStatusCommand `cmd:"" help:"Show the state of a job."`
	List   JobListCommand   `cmd:"" help:"List the jobs of a team."`
	Cancel JobCancelCommand `cmd:"" help:"Cancel the unfinished tasks of a job."`
	Result JobResultCommand `cmd:"" help:"Print the result of a finished task."`
}

// JobSubmitCommand submits a job.
type JobSubmitCommand struct {
	Team     string        `arg:"" help:"Team that owns the job."`
	Class    string        `arg:"" help:"Batch class of the team's configuration."`
	Input    string        `help:"JSON file with the input, or - for standard input." short:"i"`
	Tasks    int32         `help:"Number of tasks." default:"1"`
	Deadline time.Duration `help:"Time until the job must be finished. Defaults to the deadline of the class."`
	Key      string        `help:"Idempotency key. Submissions with the same key create one job."`
	Wait     bool          `help:"Wait until the job has ended or the timeout expires."`
}

// Run submits the job and prints its ID, or its final state if the command
// waits.
func (c *JobSubmitCommand) Run(root *Root, env Env) error {
	input, err := readInput(env, c.Input)
	if err != nil {
		return err
	}
	api, ctx, cancel := root.newClient(env)
	defer cancel()
	accepted, err := api.SubmitJob(ctx, structs.TeamID(c.Team), c.Key, client.JobRequest{
		Class: c.Class, Tasks: c.Tasks, Input: input, DeadlineMS: c.Deadline.Milliseconds(),
	})
	if err != nil {
		return err
	}
	if !c.Wait {
		return root.print(env, accepted, func(w io.Writer) { fmt.Fprintln(w, accepted.ID) })
	}
	for {
		status, err := api.Job(ctx, accepted.ID)
		if err != nil {
			return err
		}
		if status.Final() {
			return printJobs(root, env, status)
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-time.After(pollInterval):
		}
	}
}

// readInput reads a JSON document from a file or standard input.
func readInput(env Env, name string) (json.RawMessage, error) {
	if name == "" {
		return nil, nil
	}
	var content []byte
	var err error
	if name == "-" {
		content, err = io.ReadAll(env.In)
	} else {
		content, err = os.ReadFile(name)
	}
	if err != nil {
		return nil, fmt.Errorf("read input: %w", err)
	}
	if !json.Valid(content) {
		return nil, invalidInput("job input", "--input", name, "must be a JSON document")
	}
	return content, nil
}

// JobStatusCommand shows the state of a job.
type JobStatusCommand struct {
	ID string `arg:"" help:"ID of the job."`
}

// Run shows the state of the job.
func (c *JobStatusCommand) Run(root *Root, env Env) error {
	api, ctx, cancel := root.newClient(env)
	defer cancel()
	status, err := api.Job(ctx, structs.JobID(c.ID))
	if err != nil {
		return err
	}
	return printJobs(root, env, status)
}

// JobListCommand lists the jobs of a team.
type JobListCommand struct {
	Team string `arg:"" help:"Team."`
}

// Run lists the jobs.
func (c *JobListCommand) Run(root *Root, env Env) error {
	api, ctx, cancel := root.newClient(env)
	defer cancel()
	jobs, err := api.Jobs(ctx, structs.TeamID(c.Team))
	if err != nil {
		return err
	}
	return printJobs(root, env, jobs...)
}

func printJobs(root *Root, env Env, jobs ...client.JobStatus) error {
	return root.print(env, jobs, func(w io.Writer) {
		table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		fmt.Fprintln(table, "JOB\tTEAM\tCLASS\tSTATE\tTASKS\tFINISHED\tFAILED\tDETAIL")
		for _, j := range jobs {
			fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%d\t%d\t%d\t%s\n", j.ID, j.Team, j.Class, j.State, j.Tasks, j.Finished, j.Failed, j.Detail)
		}
		_ = table.Flush()
	})
}

// JobCancelCommand cancels a job.
type JobCancelCommand struct {
	ID string `arg:"" help:"ID of the job."`
}

// Run cancels the job.
func (c *JobCancelCommand) Run(root *Root, env Env) error {
	api, ctx, cancel := root.newClient(env)
	defer cancel()
	return api.CancelJob(ctx, structs.JobID(c.ID))
}

// JobResultCommand prints the result of a task.
type JobResultCommand struct {
	ID    string `arg:"" help:"ID of the job."`
	Index int32  `arg:"" optional:"" help:"Index of the task, starting at 0."`
}

// Run prints the result.
func (c *JobResultCommand) Run(root *Root, env Env) error {
	api, ctx, cancel := root.newClient(env)
	defer cancel()
	result, err := api.Result(ctx, structs.TaskID{Job: structs.JobID(c.ID), Index: c.Index})
	if err != nil {
		return err
	}
	fmt.Fprintln(env.Out, string(result))
	return nil
}
