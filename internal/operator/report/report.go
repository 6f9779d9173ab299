// Package report renders the report of service-level burn rates as an HTML page.
//
// The page is self-contained: it loads no other resources, and its plots are inline SVG.
package report

import (
	"bytes"
	"fmt"
	"math"

	"hickorypath/internal/policy/burn"
)

// Dimensions of a plot, in SVG units.
const (
	barHeight  = 16
	barGap     = 6
	labelWidth = 150
	plotWidth  = 420
	valueWidth = 70

	maxPlotCustomers = 20
)

// axisMarks are the tick marks of the burn-rate axis. The axis is logarithmic, so that both 1 and 20 are readable.
var axisMarks = []float64{0.1, 1, 6, 14.4}

const (
	minBurn = 0.1
	maxBurn = 20
)

// HTML returns the HTML page of the report r.
func HTML(r burn.Report) []byte {
	var b bytes.Buffer
	if err := pageTemplate.Execute(&b, newView(r)); err != nil {
		panic("report: " + err.Error()) // the template is constant and fits the type of its data
	}
	return b.Bytes()
}

// view is the data of the page template.
type view struct {
	burn.Report
	Plots   []plot
	Windows []string
}

// plot is a bar chart of burn rates with one bar for each row of the report.
type plot struct {
	Title  string
	Width  int
	Height int
	Bars   []bar
	Marks  []mark
}

type bar struct {
	Label string
	Value string
	X, Y  int
	Width int
	Text  int // y coordinate of the label and value
	Color string
}

type mark struct {
	X     int
	Label string
}

func newView(r burn.Report) view {
	v := view{Report: r}
	if len(r.Classes) == 0 {
		return v
	}
	for i, w := range r.Classes[0].Windows {
		v.Windows = append(v.Windows, w.Window)
		v.Plots = append(v.Plots, newPlot("Burn by class, "+w.Window, r.Classes, i))
	}
	if len(r.Customers) > 0 {
		v.Plots = append(v.Plots, newPlot("Burn by customer, 1h, the worst served first", r.Customers[:min(len(r.Customers), maxPlotCustomers)], 1))
	}
	return v
}

func newPlot(title string, rows []burn.Row, window int) plot {
	p := plot{Title: title, Width: labelWidth + plotWidth + valueWidth, Height: len(rows)*(barHeight+barGap) + 24}
	for i, row := range rows {
		y := i * (barHeight + barGap)
		f := row.Windows[window]
		p.Bars = append(p.Bars, bar{
			Label: label(row), Value: fmt.Sprintf("%.2f", f.Burn),
			X: labelWidth, Y: y, Width: barLength(f.Burn), Text: y + barHeight - 4, Color: color(f.Burn),
		})
	}
	for _, m := range axisMarks {
		p.Marks = append(p.Marks, mark{X: labelWidth + barLength(m), Label: fmt.Sprintf("%g", m)})
	}
	return p
}

func label(r burn.Row) string {
	if r.Customer == "" {
		return r.Class
	}
	return r.Customer + " / " + r.Class
}

// barLength returns the length of the bar for a burn rate on the logarithmic axis, in SVG units.
func barLength(v float64) int {
	if v <= minBurn {
		return 0
	}
	share := math.Log(v/minBurn) / math.Log(maxBurn/minBurn)
	return int(math.Round(math.Min(share, 1) * plotWidth))
}

func color(v float64) string {
	switch {
	case v >= 14.4:
		return "#b3261e"
	case v >= 1:
		return "#e08a00"
	}
	return "#3a7d44"
}
