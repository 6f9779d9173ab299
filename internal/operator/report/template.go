package report

import (
	"fmt"
	"html/template"
)

var pageTemplate = template.Must(template.New("burn").Funcs(template.FuncMap{
	"percent": func(v float64) string { return fmt.Sprintf("%.2f%%", 100*v) },
	"number":  func(v float64) string { return fmt.Sprintf("%.2f", v) },
	"below":   func(height int) int { return height - 8 },
	"edge":    func(b bar) int { return b.X + b.Width + 6 },
}).Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><meta http-equiv="refresh" content="30"><title>Service-level burn</title>
<style>
body{font:14px/1.5 sans-serif;max-width:72em;margin:2em auto;padding:0 1em;color:#222}
table{border-collapse:collapse;margin:.5em 0 1.5em}th,td{padding:.2em .8em;text-align:right;border-bottom:1px solid #ddd}
th:first-child,td:first-child{text-align:left}h2{font-size:1.1em;margin:1.5em 0 .3em}
.fast{color:#b3261e;font-weight:bold}.slow{color:#a86500;font-weight:bold}svg text{font:12px sans-serif}
.plots{display:flex;flex-wrap:wrap;gap:1.5em}
</style></head><body>
<h1>Service-level burn</h1>
<p>At {{.At.Format "2006-01-02 15:04:05"}} UTC. Objective: {{percent .Objective}} of calls meet all targets of their class.
Burn is the share of misses divided by the share allowed: at 1 the allowance lasts exactly; the axis is logarithmic.</p>
{{with .Worst}}<p>Worst-served customer of the last hour: <strong>{{.Customer}}</strong> in class {{.Class}},
{{percent (index .Windows 1).Attained}} of {{(index .Windows 1).Calls}} calls met.</p>{{end}}
{{if not .Classes}}<p>No calls ended in the last three days.</p>{{end}}
<div class="plots">
{{range .Plots}}{{$p := .}}<div><h2>{{.Title}}</h2>
<svg width="{{.Width}}" height="{{.Height}}" role="img" aria-label="{{.Title}}">
{{range .Marks}}<line x1="{{.X}}" x2="{{.X}}" y1="0" y2="{{$p.Height}}" stroke="#ccc"/><text x="{{.X}}" y="{{below $p.Height}}" text-anchor="middle" fill="#777">{{.Label}}</text>
{{end}}{{range .Bars}}<text x="0" y="{{.Text}}">{{.Label}}</text><rect x="{{.X}}" y="{{.Y}}" width="{{.Width}}" height="16" fill="{{.Color}}"/><text x="{{edge .}}" y="{{.Text}}">{{.Value}}</text>
{{end}}</svg></div>
{{end}}</div>
<h2>Classes</h2>
<table><tr><th>class</th><th>alert</th><th>window</th><th>calls</th><th>attained</th><th>burn</th><th>good tokens</th><th>delivered</th><th>wasted</th></tr>
{{range .Classes}}{{$r := .}}{{range .Windows}}<tr><td>{{$r.Class}}</td><td class="{{$r.Alert}}">{{$r.Alert}}</td><td>{{.Window}}</td><td>{{.Calls}}</td><td>{{percent .Attained}}</td><td>{{number .Burn}}</td><td>{{.Good}}</td><td>{{.Output}}</td><td>{{.Wasted}}</td></tr>
{{end}}{{end}}</table>
<h2>Customers, the worst served first</h2>
<table><tr><th>customer</th><th>class</th><th>alert</th>{{range .Windows}}<th>calls {{.}}</th><th>burn {{.}}</th>{{end}}</tr>
{{range .Customers}}<tr><td>{{.Customer}}</td><td>{{.Class}}</td><td class="{{.Alert}}">{{.Alert}}</td>{{range .Windows}}<td>{{.Calls}}</td><td>{{number .Burn}}</td>{{end}}</tr>
{{end}}</table>
<h2>Spend against service</h2>
<table><tr><th>pool</th><th>window</th><th>durable hours</th><th>reclaimable hours</th><th>met calls</th><th>good tokens</th><th>hours per million good tokens, or per thousand met calls</th></tr>
{{range .Pools}}{{$r := .}}{{range .Windows}}<tr><td>{{$r.Pool}}</td><td>{{.Window}}</td><td>{{number .Durable}}</td><td>{{number .Cheap}}</td><td>{{.Met}}</td><td>{{.Good}}</td><td>{{number .Cost}}</td></tr>
{{end}}{{end}}</table>
</body></html>
`))
