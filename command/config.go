package command

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/url"
	"os"
	"sort"
	"strconv"
	"text/tabwriter"

	"github.com/daisywall/daisywall/client"
	"github.com/daisywall/daisywall/config"
	"github.com/daisywall/daisywall/structs"
)

// ConfigCommands groups the commands for the configuration.
type ConfigCommands struct {
	Show     ConfigShowCommand     `cmd:"" help:"Print the committed configuration."`
	Validate ConfigValidateCommand `cmd:"" help:"Validate a configuration file without applying it."`
	Apply    ConfigApplyCommand    `cmd:"" help:"Add or replace the teams in a file."`
	Remove   ConfigRemoveCommand   `cmd:"" help:"Remove a team."`
	Status   ConfigStatusCommand   `cmd:"" help:"Show the configuration revision of the platform, the entry and each worker."`
	Diff     ConfigDiffCommand     `cmd:"" help:"Compare two revisions, or a file with the current configuration."`
	History  ConfigHistoryCommand  `cmd:"" help:"List the changes of the configuration."`
	Rollback ConfigRollbackCommand `cmd:"" help:"Roll back to an earlier revision."`
}

// ConfigShowCommand prints the configuration.
type ConfigShowCommand struct{}

// Run prints the configuration.
func (c *ConfigShowCommand) Run(root *Root, env Env) error {
	api, ctx, cancel := root.newClient(env)
	defer cancel()
	current, err := api.Config(ctx)
	if err != nil {
		return err
	}
	document, err := config.Encode(&current)
	if err != nil {
		return err
	}
	_, err = env.Out.Write(document)
	return err
}

// ConfigValidateCommand validates a file.
type ConfigValidateCommand struct {
	File string `arg:"" help:"Configuration file."`
}

// Run validates the file and prints the number of its teams.
func (c *ConfigValidateCommand) Run(env Env) error {
	parsed, err := readConfig(c.File)
	if err != nil {
		return err
	}
	fmt.Fprintf(env.Out, "%s: %d teams, no faults\n", c.File, len(parsed.Teams))
	return nil
}

// readConfig reads a file that holds either a whole configuration or, as the
// questionnaire writes it, one team.
func readConfig(file string) (*structs.Config, error) {
	document, err := os.ReadFile(file)
	if err != nil {
		return nil, fmt.Errorf("read configuration: %w", err)
	}
	var shape struct {
		Teams *json.RawMessage `json:"teams"`
	}
	// Anything but a JSON object goes to the team decoder, which reports its
	// faults.
	if json.Unmarshal(document, &shape) == nil && shape.Teams != nil {
		return config.Decode(document)
	}
	team, err := config.DecodeTeam(document)
	if err != nil {
		return nil, err
	}
	return &structs.Config{Teams: []structs.TeamConfig{team}}, nil
}

// ConfigApplyCommand applies the teams of a file.
type ConfigApplyCommand struct {
	File   string `arg:"" help:"Configuration file. Teams that are not in the file do not change."`
	Expect int64  `help:"Revision that the change is based on. Defaults to the current revision." default:"-1"`
}

// Run applies the teams of the file and prints the new revision.
func (c *ConfigApplyCommand) Run(root *Root, env Env) error {
	parsed, err := readConfig(c.File)
	if err != nil {
		return err
	}
	return applyChange(root, env, c.Expect, client.ConfigChange{Put: parsed.Teams})
}

// ConfigRemoveCommand removes a team.
type ConfigRemoveCommand struct {
	Team   string `arg:"" help:"Team."`
	Expect int64  `help:"Revision that the change is based on. Defaults to the current revision." default:"-1"`
}

// Run removes the team and prints the new revision.
func (c *ConfigRemoveCommand) Run(root *Root, env Env) error {
	return applyChange(root, env, c.Expect, client.ConfigChange{Remove: []structs.TeamID{structs.TeamID(c.Team)}})
}

func applyChange(root *Root, env Env, expected int64, change client.ConfigChange) error {
	api, ctx, cancel := root.newClient(env)
	defer cancel()
	if expected < 0 {
		current, err := api.Config(ctx)
		if err != nil {
			return err
		}
		expected = current.Revision
	}
	revision, err := api.ApplyConfig(ctx, expected, change)
	if err != nil {
		return err
	}
	return printRevision(root, env, revision)
}

func printRevision(root *Root, env Env, revision int64) error {
	return root.print(env, client.ConfigRevision{Revision: revision}, func(w io.Writer) { fmt.Fprintf(w, "revision %d\n", revision) })
}

// ConfigStatusCommand shows the configuration revision of the platform, the
// entry and each worker.
type ConfigStatusCommand struct{}

// Run shows the revisions.
func (c *ConfigStatusCommand) Run(root *Root, env Env) error {
	api, ctx, cancel := root.newClient(env)
	defer cancel()
	status, err := api.ConfigStatus(ctx)
	if err != nil {
		return err
	}
	return root.print(env, status, func(w io.Writer) {
		fmt.Fprintf(w, "committed revision %d, in force at this entry %d\n", status.Committed, status.Entry)
		workers := make([]string, 0, len(status.Workers))
		for worker := range status.Workers {
			workers = append(workers, worker)
		}
		sort.Strings(workers)
		table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
		fmt.Fprintln(table, "WORKER\tREVISION")
		for _, worker := range workers {
			fmt.Fprintf(table, "%s\t%d\n", worker, status.Workers[worker])
		}
		_ = table.Flush()
	})
}

// ConfigDiffCommand compares two revisions, or the current configuration with
// the result of applying a file.
type ConfigDiffCommand struct {
	From int64  `help:"Earlier revision. Defaults to the revision before --to." default:"-1"`
	To   int64  `help:"Later revision. Defaults to the current revision." default:"-1"`
	File string `help:"Show what applying this file would change, instead of comparing revisions."`
}

// Run prints the differences.
func (c *ConfigDiffCommand) Run(root *Root, env Env) error {
	api, ctx, cancel := root.newClient(env)
	defer cancel()
	current, err := api.Config(ctx)
	if err != nil {
		return err
	}
	if c.File != "" {
		parsed, err := readConfig(c.File)
		if err != nil {
			return err
		}
		return printDiff(root, env, config.Diff(&current, overlayTeams(current, parsed)))
	}
	from, to := c.From, c.To
	if to < 0 {
		to = current.Revision
	}
	if from < 0 {
		from = max(to-1, 0)
	}
	query := url.Values{"from": {strconv.FormatInt(from, 10)}, "to": {strconv.FormatInt(to, 10)}}
	body, err := api.Raw(ctx, query, "v1", "config", "diff")
	if err != nil {
		return err
	}
	var diff config.Difference
	if err := json.Unmarshal(body, &diff); err != nil {
		return fmt.Errorf("decode difference: %w", err)
	}
	return printDiff(root, env, diff)
}

// overlayTeams returns the current configuration with the teams of changes added
// or replaced.
func overlayTeams(current structs.Config, changes *structs.Config) *structs.Config {
	next := &structs.Config{Teams: append([]structs.TeamConfig{}, changes.Teams...)}
	for _, team := range current.Teams {
		if _, err := changes.Team(team.ID); err != nil {
			next.Teams = append(next.Teams, team)
		}
	}
	return next
}

func printDiff(root *Root, env Env, diff config.Difference) error {
	return root.print(env, diff, func(w io.Writer) { fmt.Fprint(w, diff) })
}

// ConfigHistoryCommand lists the changes of the configuration.
type ConfigHistoryCommand struct{}

// Run lists the changes.
func (c *ConfigHistoryCommand) Run(root *Root, env Env) error {
	api, ctx, cancel := root.newClient(env)
	defer cancel()
	body, err := api.Raw(ctx, nil, "v1", "config", "history")
	if err != nil {
		return err
	}
	if root.Output == "json" {
		var indented bytes.Buffer
		if err := json.Indent(&indented, body, "", "  "); err != nil {
			return fmt.Errorf("format history: %w", err)
		}
		_, err = indented.WriteTo(env.Out)
		return err
	}
	var entries []config.HistoryEntry
	if err := json.Unmarshal(body, &entries); err != nil {
		return fmt.Errorf("decode history: %w", err)
	}
	table := tabwriter.NewWriter(env.Out, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "REVISION\tTIME\tOPERATOR\tTEAMS\tROLLBACK TO")
	for _, e := range entries {
		teams := make([]structs.TeamID, 0, len(e.Changes))
		for _, change := range e.Changes {
			teams = append(teams, change.Team)
		}
		fmt.Fprintf(table, "%d\t%s\t%s\t%v\t%d\n", e.Revision, e.At.Format("2006-01-02 15:04:05"), e.Operator, teams, e.RollbackTo)
	}
	return table.Flush()
}

// ConfigRollbackCommand rolls the configuration back to an earlier revision.
type ConfigRollbackCommand struct {
	To int64 `arg:"" help:"Revision to roll back to."`
}

// Run rolls back and prints the new revision.
func (c *ConfigRollbackCommand) Run(root *Root, env Env) error {
	api, ctx, cancel := root.newClient(env)
	defer cancel()
	revision, err := api.Rollback(ctx, c.To)
	if err != nil {
		return err
	}
	return printRevision(root, env, revision)
}
