package explain

import (
	"fmt"
	"io"
	"time"

	"github.com/daisywall/daisywall/placement"
	"github.com/daisywall/daisywall/structs"
)

// Report is the explanation of one subject. The Explain call of a cell returns
// it as JSON.
type Report struct {
	Subject   Subject    `json:"subject"`
	ID        string     `json:"id"`
	Decisions []Decision `json:"decisions"` // newest first
	Dropped   int64      `json:"dropped"`   // number of decisions that were not recorded, about any subject
}

// Decision is one recorded decision with the alternatives that were considered.
type Decision struct {
	AgeMS        int64                   `json:"age_ms"`       // time since the decision was last made
	FirstAgeMS   int64                   `json:"first_age_ms"` // time since the decision was first made
	Count        int                     `json:"count"`        // number of times that the decision was made in a row
	Action       placement.Action        `json:"action"`
	Task         string                  `json:"task,omitempty"`
	Worker       structs.WorkerID        `json:"worker,omitempty"`
	Reason       structs.Reason          `json:"reason,omitempty"`
	Subject      string                  `json:"subject,omitempty"` // the other object that the decision involves
	Detail       string                  `json:"detail,omitempty"`
	Harm         float64                 `json:"harm,omitempty"` // relative growth of a service's tail latency
	Score        float64                 `json:"score,omitempty"`
	SlackMS      int64                   `json:"slack_ms,omitempty"`
	Rejected     []placement.Rejection   `json:"rejected,omitempty"`
	Alternatives []placement.Alternative `json:"alternatives,omitempty"`
}

func (r *record) report(now time.Duration) Decision {
	d := &r.decision
	out := Decision{
		AgeMS:        (now - d.At).Milliseconds(),
		FirstAgeMS:   (now - r.firstAt).Milliseconds(),
		Count:        r.count,
		Action:       d.Action,
		Worker:       d.Worker,
		Reason:       d.Reason,
		Subject:      d.Subject,
		Detail:       d.Detail,
		Harm:         d.Harm,
		Score:        d.Score,
		SlackMS:      d.Slack.Milliseconds(),
		Rejected:     d.Rejected,
		Alternatives: d.Alternatives,
	}
	if d.Task != (structs.TaskID{}) {
		out.Task = d.Task.String()
	}
	return out
}

// WriteText writes the report as text.
func (r *Report) WriteText(w io.Writer) error {
	if _, err := fmt.Fprintf(w, "%s %s: %d decisions\n", r.Subject, r.ID, len(r.Decisions)); err != nil {
		return err
	}
	for i := range r.Decisions {
		if err := r.Decisions[i].writeText(w); err != nil {
			return err
		}
	}
	if r.Dropped > 0 {
		_, err := fmt.Fprintf(w, "%d decisions were not recorded\n", r.Dropped)
		return err
	}
	return nil
}

func (d *Decision) writeText(w io.Writer) error {
	line := fmt.Sprintf("%s ago: %s", roundedAge(d.AgeMS), d.Action)
	if d.Task != "" {
		line += " task " + d.Task
	}
	if d.Worker != "" {
		line += " worker " + string(d.Worker)
	}
	if d.Reason != "" {
		line += " because " + string(d.Reason)
	}
	if d.Count > 1 {
		line += fmt.Sprintf(" (%d times since %s ago)", d.Count, roundedAge(d.FirstAgeMS))
	}
	if _, err := fmt.Fprintln(w, line); err != nil {
		return err
	}
	return d.writeDetails(w)
}

func (d *Decision) writeDetails(w io.Writer) error {
	var lines []string
	if d.Detail != "" {
		lines = append(lines, d.Detail)
	}
	if d.Subject != "" {
		lines = append(lines, "for "+d.Subject)
	}
	if d.Harm != 0 {
		lines = append(lines, fmt.Sprintf("growth of tail latency %.0f%%", 100*d.Harm))
	}
	for _, rejection := range d.Rejected {
		lines = append(lines, fmt.Sprintf("%d workers rejected by %s: %s, such as %s", rejection.Workers, rejection.Filter, rejection.Reason, rejection.Example))
	}
	for _, alternative := range d.Alternatives {
		lines = append(lines, fmt.Sprintf("%s lost by %s: score %.1f against %.1f, predicted harm %.0f%%", alternative.Worker, alternative.DecidingScorer, alternative.Score, d.Score, 100*alternative.Harm))
	}
	for _, line := range lines {
		if _, err := fmt.Fprintln(w, "  "+line); err != nil {
			return err
		}
	}
	return nil
}

func roundedAge(ms int64) time.Duration {
	return (time.Duration(ms) * time.Millisecond).Round(time.Second / 10)
}
