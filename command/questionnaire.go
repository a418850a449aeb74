package command

import (
	"encoding/json"
	"fmt"
	"io"
	"os"
	"text/tabwriter"

	"github.com/daisywall/daisywall/config"
	"github.com/daisywall/daisywall/config/questionnaire"
)

// fileMode is the permission mode of files that commands write.
const fileMode = 0o644

// QuestionnaireCommand generates a team's configuration from answers.
type QuestionnaireCommand struct {
	Answers     string `help:"File with the answers. Defaults to prompting in the terminal."`
	SaveAnswers string `help:"Write the answers to this file, for use with --answers."`
	Out         string `help:"Write the configuration to this file instead of printing it."`
	Explain     bool   `help:"Print the reason for the value of each field."`
}

// Run prompts for the answers or reads them from a file, and writes the
// configuration.
func (c *QuestionnaireCommand) Run(env Env) error {
	answers, err := c.loadAnswers(env)
	if err != nil {
		return err
	}
	if c.SaveAnswers != "" {
		if err := saveAnswers(c.SaveAnswers, answers); err != nil {
			return err
		}
	}
	result, err := questionnaire.Generate(answers)
	if err != nil {
		return err
	}
	document, err := config.EncodeTeam(result.Team)
	if err != nil {
		return err
	}
	if c.Explain {
		printExplanations(env.Err, result.Explanations)
	}
	if c.Out == "" {
		_, err := env.Out.Write(document)
		return err
	}
	if err := os.WriteFile(c.Out, document, fileMode); err != nil {
		return fmt.Errorf("write configuration: %w", err)
	}
	return nil
}

func (c *QuestionnaireCommand) loadAnswers(env Env) (*questionnaire.Answers, error) {
	if c.Answers == "" {
		return questionnaire.Ask(env.In, env.Err)
	}
	document, err := os.ReadFile(c.Answers)
	if err != nil {
		return nil, fmt.Errorf("read answers: %w", err)
	}
	return questionnaire.Decode(document)
}

func saveAnswers(file string, value any) error {
	document, err := json.MarshalIndent(value, "", "  ")
	if err != nil {
		return fmt.Errorf("encode answers: %w", err)
	}
	if err := os.WriteFile(file, append(document, '\n'), fileMode); err != nil {
		return fmt.Errorf("write answers: %w", err)
	}
	return nil
}

func printExplanations(w io.Writer, explanations []questionnaire.Explanation) {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintln(table, "FIELD\tVALUE\tWHY")
	for _, e := range explanations {
		fmt.Fprintf(table, "%s\t%s\t%s\n", e.Path, e.Value, e.Reason)
	}
	_ = table.Flush()
}
