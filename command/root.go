// Package command implements the command line for operators on top of package
// client.
package command

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"time"

	"github.com/alecthomas/kong"
	"github.com/willabides/kongplete"

	"github.com/daisywall/daisywall/client"
	"github.com/daisywall/daisywall/problem"
	"github.com/daisywall/daisywall/structs"
)

// Exit codes of the command line.
const (
	ExitOK          = 0
	ExitFailure     = 1 // a failure without an exit code of its own
	ExitUsage       = 2 // the command line or an input document is invalid
	ExitNotFound    = 3
	ExitConflict    = 4 // another change came first
	ExitNotRun      = 5 // rejected, and guaranteed not to have run
	ExitUnknown     = 6 // the outcome is unknown
	ExitUnavailable = 7 // the entry or the platform is unreachable
)

// Root is the root of the command line, with the global flags and all commands.
type Root struct {
	Entry    string        `help:"URL of an entry, or of the load balancer in front of the entries." default:"http://127.0.0.1:8080" env:"DAISYWALL_ENTRY"`
	Operator string        `help:"Operator name to record in the history of changes." env:"USER" default:"operator"`
	Output   string        `help:"Output format: text or json." enum:"text,json" default:"text" short:"o"`
	Timeout  time.Duration `help:"Timeout of the command." default:"10s"`

	Dev           DevCommand                   `cmd:"" help:"Run a whole system in one process, with a simulated platform and the sample input of two deployments."`
	Questionnaire QuestionnaireCommand         `cmd:"" help:"Generate a team's configuration from a questionnaire about its work."`
	Config        ConfigCommands               `cmd:"" help:"Show and change the configuration."`
	Domain        DomainCommands               `cmd:"" help:"Take failure domains out of service and bring them back."`
	Jobs          JobCommands                  `cmd:"" help:"Submit, inspect and cancel jobs."`
	Steps         StepsCommands                `cmd:"" help:"Submit, inspect and cancel jobs of steps."`
	Request       RequestCommand               `cmd:"" help:"Send a request and print the response."`
	Targets       TargetsCommand               `cmd:"" help:"List the registered targets."`
	Explain       ExplainCommands              `cmd:"" help:"Explain the state of a task, job or worker, or from logs a request or where the time of jobs went."`
	Burn          BurnCommand                  `cmd:"" help:"Print the service-level burn report."`
	Completion    kongplete.InstallCompletions `cmd:"" help:"Print the commands that install shell completion."`
}

const description = `Schedules latency-critical and batch work on shared hosts.

Exit codes: 0 success, 1 failure, 2 invalid input, 3 not found, 4 conflict with
another change, 5 rejected and not run, 6 outcome unknown, 7 entry or platform
unavailable.`

// Env is the environment of a command.
type Env struct {
	Context context.Context
	In      io.Reader
	Out     io.Writer
	Err     io.Writer
}

// Run parses the arguments, runs the command and returns its exit code.
func Run(env Env, args []string) int {
	var root Root
	exit := -1
	parser, err := kong.New(&root,
		kong.Name("daisywall"),
		kong.Description(description),
		kong.UsageOnError(),
		kong.Writers(env.Out, env.Err),
		kong.Exit(func(code int) { exit = code }),
		kong.Bind(&root),
		kong.Bind(env),
	)
	if err != nil {
		fmt.Fprintln(env.Err, err)
		return ExitFailure
	}
	kongplete.Complete(parser)
	kongCtx, err := parser.Parse(args)
	if exit >= 0 {
		return exit // kong has printed the help text
	}
	if err != nil {
		fmt.Fprintln(env.Err, "daisywall:", err)
		return ExitUsage
	}
	if err := kongCtx.Run(); err != nil {
		printError(env.Err, err)
		return exitCode(err)
	}
	return ExitOK
}

// printError prints an error with all its faults.
func printError(w io.Writer, err error) {
	fmt.Fprintln(w, "daisywall:", err)
	details := problem.FromError(err)
	for _, fault := range details.Faults {
		fmt.Fprintf(w, "  %s: %s (got %s)\n", fault.Path, fault.Rule, fault.Value)
	}
	if details.RetryAfter > 0 {
		fmt.Fprintf(w, "  try again after %s\n", details.RetryAfter)
	}
}

// exitCode maps an error to its documented exit code.
func exitCode(err error) int {
	var details *problem.Error
	if !errors.As(err, &details) {
		details = problem.FromError(err)
	}
	switch details.Type {
	case problem.TypeInvalid, problem.TypeTooLarge:
		return ExitUsage
	case problem.TypeNotFound:
		return ExitNotFound
	case problem.TypeConflict:
		return ExitConflict
	case problem.TypeNotRun, problem.TypeRefused:
		return ExitNotRun
	case problem.TypeOutcomeUnknown:
		return ExitUnknown
	case problem.TypeUnavailable:
		return ExitUnavailable
	}
	return ExitFailure
}

// newClient returns a client for the entry that the flags name and a context
// with the timeout of the flags.
func (r *Root) newClient(env Env) (*client.Client, context.Context, context.CancelFunc) {
	ctx, cancel := context.WithTimeout(env.Context, r.Timeout)
	return client.New(r.Entry, r.Operator, &http.Client{}), ctx, cancel
}

// print prints data as JSON, or calls writeText to print it as text.
func (r *Root) print(env Env, data any, writeText func(w io.Writer)) error {
	if r.Output != "json" {
		writeText(env.Out)
		return nil
	}
	encoder := json.NewEncoder(env.Out)
	encoder.SetIndent("", "  ")
	if err := encoder.Encode(data); err != nil {
		return fmt.Errorf("encode output: %w", err)
	}
	return nil
}

// invalidInput returns an error for one invalid value of the command line.
func invalidInput(subject, path, value, rule string) error {
	return &structs.InvalidError{Subject: subject, Faults: []structs.Fault{{Path: path, Value: value, Rule: rule}}}
}
