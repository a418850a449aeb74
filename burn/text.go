package burn

import (
	"encoding/json"
	"fmt"
	"strings"
	"text/tabwriter"
)

// JSON renders the report as one JSON document.
func (r *Report) JSON() ([]byte, error) {
	data, err := json.MarshalIndent(r, "", "  ")
	if err != nil {
		return nil, fmt.Errorf("encode burn report: %w", err)
	}
	return append(data, '\n'), nil
}

// Text renders the report as tables.
func (r *Report) Text() string {
	var b strings.Builder
	fmt.Fprintf(&b, "Service-level burn at %s, configuration revision %d\n\n", r.At.Format("2006-01-02 15:04 MST"), r.ConfigRevision)
	w := tabwriter.NewWriter(&b, 0, 0, 2, ' ', 0)
	fmt.Fprintln(w, "REQUESTS\tOBJECTIVE\tSTATE\tBUDGET LEFT\tBURN 5m\t1h\t6h\t3d\tGOOD\tBAD\tP50\tP99")
	for _, q := range r.Requests {
		fmt.Fprintf(w, "%s/%s\t%s in %d ms\t%s\t%d\t%d\t%d ms\t%d ms\n", q.Team, q.Kind,
			formatPercent(q.Status.Objective.Ratio), q.Status.Objective.LatencyMS, q.Status.columns(), q.Status.Good, q.Status.Bad, q.P50MS, q.P99MS)
	}
	fmt.Fprintln(w, "\nBATCH\tOBJECTIVE\tSTATE\tBUDGET LEFT\tBURN 5m\t1h\t6h\t3d\tON TIME\tLATE\tTASKS\tEVICTIONS")
	for _, c := range r.Batch {
		fmt.Fprintf(w, "%s/%s\t%s by deadline\t%s\t%d\t%d\t%d\t%d\n", c.Team, c.Class,
			formatPercent(c.Status.Objective.Ratio), c.Status.columns(), c.Status.Good, c.Status.Bad, c.Tasks, c.Evictions)
	}
	fmt.Fprintln(w, "\nWHILE OUT\tTASKS\tREQUESTS")
	for _, d := range r.Domains {
		fmt.Fprintf(w, "%s\t%d\t%d\n", d.Domain, d.Tasks, d.Requests)
	}
	_ = w.Flush() // writing to a strings.Builder cannot fail
	return b.String()
}

// columns formats the state, the budget and the burn rates, separated by tabs.
func (s Status) columns() string {
	return fmt.Sprintf("%s\t%s\t%.1f\t%.1f\t%.1f\t%.1f", s.State, formatPercent(s.BudgetLeft),
		s.Burn.Minutes5, s.Burn.Hour1, s.Burn.Hours6, s.Burn.Days3)
}

// formatPercent formats a fraction as a percentage with at most 3 decimals.
func formatPercent(share float64) string {
	text := fmt.Sprintf("%.3f", share*100)
	return strings.TrimRight(strings.TrimRight(text, "0"), ".") + "%"
}
