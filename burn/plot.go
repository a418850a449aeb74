package burn

import (
	"fmt"
	"html/template"
	"math"
	"strings"
)

// Size of a plot in SVG units. The labels are drawn in the margins.
const (
	plotWidth    = 420
	plotHeight   = 130
	marginLeft   = 44
	marginRight  = 8
	marginTop    = 18
	marginBottom = 20
	innerWidth   = plotWidth - marginLeft - marginRight
	innerHeight  = plotHeight - marginTop - marginBottom
	timeTicks    = 3 // number of intervals between time labels, one per day of a series
)

// plot draws one series as inline SVG. Its text consists only of numbers, times
// and constants, so it needs no escaping.
type plot struct {
	b        strings.Builder
	points   []Point
	maxValue float64 // value at the upper edge of the plot
}

// renderPlot draws the values over time as bars. If the limit is above 0, it
// draws a dashed line at the limit.
func renderPlot(points []Point, title, unit string, value func(Point) float64, limit float64) template.HTML {
	p := &plot{points: points, maxValue: limit}
	for _, point := range points {
		p.maxValue = max(p.maxValue, value(point))
	}
	p.maxValue = niceCeiling(p.maxValue)
	p.printf(`<svg viewBox="0 0 %d %d" role="img" aria-label="%s">`, plotWidth, plotHeight, title)
	p.printf(`<text class="title" x="%d" y="12">%s</text>`, marginLeft, strings.TrimSpace(title+" "+unit))
	p.drawAxes()
	p.drawBars(value, limit)
	if limit > 0 {
		y := p.y(limit)
		p.printf(`<line class="limit" x1="%d" x2="%d" y1="%.1f" y2="%.1f"/>`, marginLeft, plotWidth-marginRight, y, y)
	}
	p.printf(`</svg>`)
	return template.HTML(p.b.String()) //nolint:gosec // numbers, times and fixed words only
}

func (p *plot) printf(format string, args ...any) { fmt.Fprintf(&p.b, format, args...) }

func (p *plot) y(value float64) float64 {
	return marginTop + innerHeight*(1-value/p.maxValue)
}

// drawAxes draws the grid lines with the labels of the values, and the labels
// of the times.
func (p *plot) drawAxes() {
	for _, value := range []float64{0, p.maxValue / 2, p.maxValue} {
		y := p.y(value)
		p.printf(`<line class="grid" x1="%d" x2="%d" y1="%.1f" y2="%.1f"/>`, marginLeft, plotWidth-marginRight, y, y)
		p.printf(`<text class="label" text-anchor="end" x="%d" y="%.1f">%s</text>`, marginLeft-4, y+3, formatNumber(value))
	}
	for i := range timeTicks + 1 {
		if len(p.points) == 0 {
			return
		}
		at := min(i*len(p.points)/timeTicks, len(p.points)-1)
		anchor := []string{"start", "middle", "middle", "end"}[i]
		p.printf(`<text class="label" text-anchor="%s" x="%.1f" y="%d">%s</text>`, anchor,
			marginLeft+innerWidth*float64(i)/timeTicks, plotHeight-6, p.points[at].At.Format("02 Jan 15:04"))
	}
}

// drawBars draws one bar per point and highlights the bars above the limit.
func (p *plot) drawBars(value func(Point) float64, limit float64) {
	width := float64(innerWidth) / float64(max(len(p.points), 1))
	for i, point := range p.points {
		v := value(point)
		if v <= 0 {
			continue
		}
		class := "bar"
		if limit > 0 && v > limit {
			class = "bar over"
		}
		p.printf(`<rect class="%s" x="%.1f" y="%.1f" width="%.1f" height="%.1f"><title>%s: %s</title></rect>`, class,
			marginLeft+float64(i)*width, p.y(v), max(width-1, 1), marginTop+innerHeight-p.y(v),
			point.At.Format("02 Jan 15:04"), formatNumber(v))
	}
}

// niceCeiling rounds up to 1, 2 or 5 times a power of ten.
func niceCeiling(v float64) float64 {
	if v <= 0 {
		return 1
	}
	unit := math.Pow(10, math.Floor(math.Log10(v)))
	for _, step := range []float64{1, 2, 5} {
		if v <= step*unit {
			return step * unit
		}
	}
	return 10 * unit
}

// formatNumber formats a value with few characters.
func formatNumber(v float64) string {
	switch {
	case v >= 10_000:
		return fmt.Sprintf("%.0fk", v/1000)
	case v == math.Trunc(v):
		return fmt.Sprintf("%.0f", v)
	default:
		return fmt.Sprintf("%.2g", v)
	}
}
