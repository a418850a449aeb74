package burn

import (
	"bytes"
	_ "embed" // report.html
	"fmt"
	"html/template"
	"strings"
)

//go:embed report.html
var pageSource string

var pageTemplate = template.Must(template.New("report").Funcs(template.FuncMap{
	"percent": formatPercent,
	"burnPlot": func(points []Point) template.HTML {
		return renderPlot(points, "burn rate", "", burnRateOf, slowBurnRate)
	},
	"latencyPlot": func(q RequestReport) template.HTML {
		return renderPlot(q.Series, "p99", "ms", latencyOf, float64(q.Status.Objective.LatencyMS))
	},
	"tasksPlot":    func(points []Point) template.HTML { return renderPlot(points, "tasks an hour", "", tasksOf, 0) },
	"evictionPlot": func(points []Point) template.HTML { return renderPlot(points, "evictions an hour", "", evictionsOf, 0) },
	"class":        func(s State) string { return strings.ReplaceAll(string(s), " ", "-") },
	"width":        func(share float64) int { return int(min(max(share, 0), 1) * 100) },
}).Parse(pageSource))

func burnRateOf(p Point) float64  { return p.BurnRate }
func latencyOf(p Point) float64   { return float64(p.P99MS) }
func tasksOf(p Point) float64     { return float64(p.Tasks) }
func evictionsOf(p Point) float64 { return float64(p.Evictions) }

// HTML renders the report as one self-contained page.
func (r *Report) HTML() ([]byte, error) {
	var b bytes.Buffer
	if err := pageTemplate.Execute(&b, r); err != nil {
		return nil, fmt.Errorf("render burn report: %w", err)
	}
	return b.Bytes(), nil
}
