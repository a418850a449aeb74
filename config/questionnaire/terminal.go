package questionnaire

import (
	"bufio"
	"encoding/json"
	"fmt"
	"io"
	"regexp"
	"strconv"
	"strings"
)

// IncompleteError reports that the input ended before every question was
// answered.
type IncompleteError struct {
	Question string
	Err      error // cause, nil if there is none
}

func (e *IncompleteError) Error() string {
	if e.Err != nil {
		return fmt.Sprintf("questionnaire ended at %q: %v", e.Question, e.Err)
	}
	return fmt.Sprintf("questionnaire ended at %q", e.Question)
}

// Unwrap returns the cause.
func (e *IncompleteError) Unwrap() error { return e.Err }

var namePattern = regexp.MustCompile(nameExpression)

// prompter asks questions on a terminal.
type prompter struct {
	in  *bufio.Scanner
	out io.Writer
}

// Ask asks the whole questionnaire. After an invalid answer it prints the
// broken rule and asks the question again. It returns *IncompleteError if the
// input ends too early and *structs.InvalidError if answers contradict each
// other.
func Ask(in io.Reader, out io.Writer) (*Answers, error) {
	p := &prompter{in: bufio.NewScanner(in), out: out}
	document := jsonObject{}
	for _, section := range Sections() {
		fmt.Fprintf(out, "\n%s\n", section.Title)
		if section.Key == "" {
			if err := p.askSection(document, section); err != nil {
				return nil, err
			}
			continue
		}
		items, err := p.askItems(section)
		if err != nil {
			return nil, err
		}
		document[section.Key] = items
	}
	data, err := json.Marshal(document)
	if err != nil {
		return nil, fmt.Errorf("encode answers: %w", err)
	}
	return Decode(data)
}

// askItems asks for the items of a section until there are no more.
func (p *prompter) askItems(section Section) ([]jsonObject, error) {
	items := []jsonObject{}
	for {
		addItem := Question{
			Text: fmt.Sprintf("Add a %s (%d so far)?", section.Item, len(items)), Kind: KindChoice, Default: "no",
			Choices: []Choice{{"yes", "describe one"}, {"no", "go on"}},
		}
		answer, err := p.askQuestion(addItem)
		if err != nil {
			return nil, err
		}
		if answer == "no" {
			return items, nil
		}
		item := jsonObject{}
		if err := p.askSection(item, section); err != nil {
			return nil, err
		}
		items = append(items, item)
	}
}

func (p *prompter) askSection(answers jsonObject, section Section) error {
	for _, q := range section.Questions {
		answer, err := p.askQuestion(q)
		if err != nil {
			return err
		}
		answers[q.Key] = answer
	}
	return nil
}

// askQuestion repeats the question until the answer is valid.
func (p *prompter) askQuestion(q Question) (any, error) {
	for {
		p.printPrompt(q)
		if !p.in.Scan() {
			return nil, &IncompleteError{Question: q.Text, Err: p.in.Err()}
		}
		text := strings.TrimSpace(p.in.Text())
		if text == "" {
			text = q.Default
		}
		value, rule := q.parse(text)
		if rule == "" {
			return value, nil
		}
		fmt.Fprintf(p.out, "  %q: %s\n", text, rule)
	}
}

func (p *prompter) printPrompt(q Question) {
	fmt.Fprintln(p.out, q.Text)
	for i, c := range q.Choices {
		fmt.Fprintf(p.out, "  %d. %s: %s\n", i+1, c.Value, c.Text)
	}
	hint := q.Unit
	if q.Default != "" {
		hint = strings.TrimSpace(hint + " [" + q.Default + "]")
	}
	if hint != "" {
		hint += " "
	}
	fmt.Fprintf(p.out, "  %s> ", hint)
}

// parse converts an answer to its type. It returns the broken rule, or "" for a
// valid answer.
func (q Question) parse(text string) (value any, rule string) {
	switch q.Kind {
	case KindChoice:
		return q.parseChoice(text)
	case KindCount:
		n, err := strconv.ParseInt(text, 10, 64)
		return n, q.checkRange(float64(n), err, "a whole number")
	case KindAmount:
		n, err := strconv.ParseFloat(text, 64)
		return n, q.checkRange(n, err, "a number")
	default:
		if !namePattern.MatchString(text) {
			return nil, "must be lower case letters, digits and hyphens, at most 63"
		}
		return text, ""
	}
}

func (q Question) checkRange(n float64, err error, expected string) string {
	if err != nil || !(n >= q.Min && n <= q.Max) {
		return fmt.Sprintf("must be %s from %v to %v", expected, q.Min, q.Max)
	}
	return ""
}

// parseChoice accepts the value or the number of a choice.
func (q Question) parseChoice(text string) (value any, rule string) {
	var values []string
	for i, c := range q.Choices {
		if text == c.Value || text == strconv.Itoa(i+1) {
			return c.Value, ""
		}
		values = append(values, c.Value)
	}
	return nil, "must be one of " + strings.Join(values, ", ")
}
