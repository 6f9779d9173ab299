package admin

import (
	"cmp"
	"fmt"
	"html/template"
	"net/http"
	"slices"

	"github.com/danielgtaylor/huma/v2"

	"hickorypath/internal/operator/report"
)

// maxBurnPageCustomers is the number of customers that the burn page lists.
const maxBurnPageCustomers = 50

func (srv *Server) registerPages(h huma.API) {
	srv.mux.HandleFunc("GET /healthz", func(w http.ResponseWriter, _ *http.Request) { fmt.Fprintln(w, "ok") })
	srv.mux.HandleFunc("GET /readyz", srv.serveReady)
	if srv.backend.Metrics != nil {
		srv.mux.HandleFunc("GET /metrics", srv.backend.Metrics)
	}
	srv.mux.HandleFunc("GET /burn", srv.serveBurn)
	srv.mux.HandleFunc("GET /docs", serveDocs(h.OpenAPI()))
	srv.mux.Handle("GET /{$}", http.RedirectHandler("/docs", http.StatusFound))
}

func (srv *Server) serveReady(w http.ResponseWriter, _ *http.Request) {
	if srv.backend.Ready != nil {
		if err := srv.backend.Ready(); err != nil {
			http.Error(w, err.Error(), http.StatusServiceUnavailable)
			return
		}
	}
	fmt.Fprintln(w, "ready")
}

func (srv *Server) serveBurn(w http.ResponseWriter, r *http.Request) {
	if srv.backend.Burn == nil {
		writeError(w, notServed("burn"))
		return
	}
	b, err := srv.backend.Burn(r.Context(), maxBurnPageCustomers)
	if err != nil {
		writeError(w, err)
		return
	}
	w.Header().Set("Content-Type", "text/html; charset=utf-8")
	_, _ = w.Write(report.HTML(b))
}

// operation is one API operation on the documentation page.
type operation struct {
	Method, Path, Summary, ID string
	Params                    []*huma.Param
}

var docsPage = template.Must(template.New("docs").Parse(`<!doctype html>
<html lang="en"><head><meta charset="utf-8"><title>{{.Title}}</title>
<style>body{font:15px/1.5 sans-serif;max-width:60em;margin:2em auto;padding:0 1em}code{background:#eee;padding:.1em .3em}
h2{font-size:1.05em;margin:1.6em 0 .2em}td{padding:.1em 1em .1em 0;vertical-align:top}</style></head><body>
<h1>{{.Title}}</h1>
<p>The whole description is at <a href="/openapi.json">/openapi.json</a> and <a href="/openapi.yaml">/openapi.yaml</a>.
The burn report is at <a href="/burn">/burn</a>.</p>
{{range .Operations}}<h2 id="{{.ID}}"><code>{{.Method}} {{.Path}}</code></h2><p>{{.Summary}}</p>
{{if .Params}}<table>{{range .Params}}<tr><td><code>{{.Name}}</code></td><td>{{.In}}</td><td>{{.Description}}</td></tr>{{end}}</table>{{end}}
{{end}}</body></html>
`))

// serveDocs returns a handler for a page that lists all API operations and loads nothing from external sites.
func serveDocs(spec *huma.OpenAPI) http.HandlerFunc {
	return func(w http.ResponseWriter, _ *http.Request) {
		w.Header().Set("Content-Type", "text/html; charset=utf-8")
		_ = docsPage.Execute(w, struct {
			Title      string
			Operations []operation
		}{spec.Info.Title, operations(spec)})
	}
}

func operations(spec *huma.OpenAPI) []operation {
	var list []operation
	for path, item := range spec.Paths {
		for _, op := range []*huma.Operation{item.Get, item.Put, item.Post, item.Delete} {
			if op != nil {
				list = append(list, operation{op.Method, path, op.Summary, op.OperationID, op.Parameters})
			}
		}
	}
	slices.SortFunc(list, func(x, y operation) int {
		return cmp.Or(cmp.Compare(x.Path, y.Path), cmp.Compare(x.Method, y.Method))
	})
	return list
}
