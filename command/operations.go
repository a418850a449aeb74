package command

import (
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"os"
	"text/tabwriter"

	"github.com/daisywall/daisywall/structs"
)

// DomainCommands groups the commands for failure domains.
type DomainCommands struct {
	Out  DomainOutCommand  `cmd:"" help:"Take a failure domain out of service and evacuate its work."`
	In   DomainInCommand   `cmd:"" help:"Bring a failure domain back into service."`
	List DomainListCommand `cmd:"" help:"List the failure domains."`
}

// DomainOutCommand takes a failure domain out of service.
type DomainOutCommand struct {
	ID     string `arg:"" help:"ID of the failure domain."`
	Reason string `help:"Reason to record for other operators."`
}

// Run takes the failure domain out of service.
func (c *DomainOutCommand) Run(root *Root, env Env) error {
	return setDomain(root, env, c.ID, structs.DomainOut, c.Reason)
}

// DomainInCommand brings a failure domain back into service.
type DomainInCommand struct {
	ID     string `arg:"" help:"ID of the failure domain."`
	Reason string `help:"Reason to record for other operators."`
}

// Run brings the failure domain back into service.
func (c *DomainInCommand) Run(root *Root, env Env) error {
	return setDomain(root, env, c.ID, structs.DomainIn, c.Reason)
}

func setDomain(root *Root, env Env, id string, state structs.DomainState, reason string) error {
	api, ctx, cancel := root.newClient(env)
	defer cancel()
	return api.SetDomain(ctx, structs.FailureDomainID(id), state, reason)
}

// DomainListCommand lists the failure domains.
type DomainListCommand struct{}

// Run lists the failure domains.
func (c *DomainListCommand) Run(root *Root, env Env) error {
	api, ctx, cancel := root.newClient(env)
	defer cancel()
	domains, err := api.Domains(ctx)
	if err != nil {
		return err
	}
	return root.print(env, domains, func(w io.Writer) {
		table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		fmt.Fprintln(table, "FAILURE DOMAIN\tSTATE\tBY\tREASON")
		for _, d := range domains {
			fmt.Fprintf(table, "%s\t%s\t%s\t%s\n", d.ID, d.State, d.SetBy, d.Reason)
		}
		_ = table.Flush()
	})
}

// TargetsCommand lists the registered targets.
type TargetsCommand struct{}

// Run lists the targets.
func (c *TargetsCommand) Run(root *Root, env Env) error {
	api, ctx, cancel := root.newClient(env)
	defer cancel()
	targets, err := api.Targets(ctx)
	if err != nil {
		return err
	}
	return root.print(env, targets, func(w io.Writer) {
		table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		fmt.Fprintln(table, "TARGET\tWORKER\tFAILURE DOMAIN\tTEAM\tKINDS\tSLOTS")
		for _, t := range targets {
			fmt.Fprintf(table, "%s\t%s\t%s\t%s\t%v\t%d\n", t.ID, t.Worker, t.FailureDomain, t.Team, t.Kinds, t.Slots)
		}
		_ = table.Flush()
	})
}

// RequestCommand sends one request.
type RequestCommand struct {
	Team string `arg:"" help:"Team."`
	Kind string `arg:"" help:"Request kind of the team's configuration."`
	Body string `arg:"" optional:"" help:"JSON body of the request." default:"{}"`
	Key  string `help:"Idempotency key. Requests with the same key run at most once."`
	Try  int    `help:"Number of this attempt with the key, starting at 1. A first attempt is accepted even while the table is unavailable."`
}

// Run sends the request and prints the response body.
func (c *RequestCommand) Run(root *Root, env Env) error {
	if !json.Valid([]byte(c.Body)) {
		return invalidInput("request", "body", c.Body, "must be a JSON document")
	}
	api, ctx, cancel := root.newClient(env)
	defer cancel()
	answer, err := api.RequestAttempt(ctx, structs.TeamID(c.Team), c.Kind, c.Key, c.Try, []byte(c.Body))
	if err != nil {
		return err
	}
	fmt.Fprintln(env.Out, string(answer.Body))
	return nil
}

// BurnCommand prints the service-level burn report.
type BurnCommand struct {
	HTML string `help:"Write the report to this file as an HTML page."`
}

// Run prints the report or writes it to a file as an HTML page.
func (c *BurnCommand) Run(root *Root, env Env) error {
	api, ctx, cancel := root.newClient(env)
	defer cancel()
	format := root.Output
	if c.HTML != "" {
		format = "html"
	}
	report, err := api.Raw(ctx, url.Values{"format": {format}}, "v1", "burn")
	if err != nil {
		return err
	}
	if c.HTML == "" {
		fmt.Fprint(env.Out, string(report))
		return nil
	}
	const pageMode = 0o644
	if err := os.WriteFile(c.HTML, report, pageMode); err != nil {
		return fmt.Errorf("write report: %w", err)
	}
	return nil
}
