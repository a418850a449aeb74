package command

import (
	"encoding/json"
	"fmt"
	"io"

	"github.com/daisywall/daisywall/stepapi"
	"github.com/daisywall/daisywall/structs"
)

// StepsCommands groups the commands for jobs of steps.
type StepsCommands struct {
	Submit  StepsSubmitCommand  `cmd:"" help:"Submit a job of steps. Submissions with the same ID create one job."`
	Status  StepsStatusCommand  `cmd:"" help:"Show the status of a job."`
	Cancel  StepsCancelCommand  `cmd:"" help:"Cancel a job."`
	Waiting StepsWaitingCommand `cmd:"" help:"Count the jobs of a queue that have not started."`
}

// StepsSubmitCommand submits a job of steps.
type StepsSubmitCommand struct {
	Queue string `arg:"" help:"Queue of the job."`
	ID    string `arg:"" help:"ID of the job, chosen by the caller."`
	Steps string `help:"JSON file with the list of steps, or - for standard input." short:"s" default:"-"`
}

// Run submits the job and prints its status.
func (c *StepsSubmitCommand) Run(root *Root, env Env) error {
	document, err := readInput(env, c.Steps)
	if err != nil {
		return err
	}
	var steps []structs.Step
	if err := json.Unmarshal(document, &steps); err != nil {
		return &structs.InvalidError{Subject: "steps", Faults: []structs.Fault{{Path: "/", Rule: err.Error()}}}
	}
	api, ctx, cancel := root.newClient(env)
	defer cancel()
	status, err := api.SubmitSteps(ctx, structs.QueueID(c.Queue), structs.JobID(c.ID), steps, "")
	return printStatus(root, env, status, err)
}

// StepsStatusCommand shows the status of a job of steps.
type StepsStatusCommand struct {
	Queue string `arg:"" help:"Queue of the job."`
	ID    string `arg:"" help:"ID of the job."`
}

// Run shows the status of the job.
func (c *StepsStatusCommand) Run(root *Root, env Env) error {
	api, ctx, cancel := root.newClient(env)
	defer cancel()
	status, err := api.StepsStatus(ctx, structs.QueueID(c.Queue), structs.JobID(c.ID))
	return printStatus(root, env, status, err)
}

// StepsCancelCommand cancels a job of steps.
type StepsCancelCommand struct {
	Queue string `arg:"" help:"Queue of the job."`
	ID    string `arg:"" help:"ID of the job."`
}

// Run cancels the job and prints its status.
func (c *StepsCancelCommand) Run(root *Root, env Env) error {
	api, ctx, cancel := root.newClient(env)
	defer cancel()
	status, err := api.CancelSteps(ctx, structs.QueueID(c.Queue), structs.JobID(c.ID))
	return printStatus(root, env, status, err)
}

// StepsWaitingCommand counts the jobs of a queue that have not started.
type StepsWaitingCommand struct {
	Queue string `arg:"" help:"ID of the queue."`
}

// Run counts the jobs.
func (c *StepsWaitingCommand) Run(root *Root, env Env) error {
	api, ctx, cancel := root.newClient(env)
	defer cancel()
	backlog, err := api.QueueBacklog(ctx, structs.QueueID(c.Queue))
	if err != nil {
		return err
	}
	return root.print(env, backlog, func(w io.Writer) { fmt.Fprintln(w, backlog.Waiting) })
}

// printStatus prints the status of a job unless err is set, and returns err.
func printStatus(root *Root, env Env, status stepapi.Status, err error) error {
	if err != nil {
		return err
	}
	return root.print(env, status, func(w io.Writer) { fmt.Fprintln(w, status.ID, status.Phase) })
}
