package main

import (
	"context"
	"encoding/json"
	"fmt"
	"math"
	"net/http"
	"net/url"
	"os"
	"slices"
	"strconv"
	"strings"

	"github.com/alecthomas/kingpin/v2"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/gateway/exchange"
	"hickorypath/internal/operator/api"
	"hickorypath/internal/operator/client"
	"hickorypath/internal/policy/place"
)

// explainParam is a query parameter of explanations and a flag of the command.
type explainParam struct {
	name, help string
	required   bool
}

// explainParams are the query parameters of explanations and the flags of the command.
var explainParams = []explainParam{
	{"virtual-host", "Virtual host of the request.", true},
	{"path", "Path of the request.", true},
	{"customer", "Name of the customer, never a key.", false},
	{"service", "One of the route's services; the one with the highest weight by default.", false},
	{"prompt", "Number of prompt tokens; that of the parts by default.", false},
	{"output", "Maximum number of output tokens.", false},
	{"parts", "Parts of the prompt as ID:TOKENS,..., with the ID in hexadecimal.", false},
}

func addExplain(app *kingpin.Application) {
	cmd := app.Command("explain", "Show where a request would go now from a gateway host, and why, without sending it.")
	var host string
	var isJSON bool
	cmd.Flag("host", "Address of the host for metrics, such as http://10.0.0.7:9600.").Required().SetValue((*addressValue)(&host))
	values := make([]string, len(explainParams))
	for n, p := range explainParams {
		f := cmd.Flag(p.name, p.help)
		if p.required {
			f = f.Required()
		}
		f.StringVar(&values[n])
	}
	addJSON(cmd, &isJSON)
	cmd.Action(newAction(&isJSON, func(ctx context.Context) error {
		query := url.Values{}
		for n, p := range explainParams {
			if values[n] != "" {
				query.Set(p.name, values[n])
			}
		}
		if _, err := parseExplainQuery(query); err != nil {
			return &exitError{exitUsage, "hickorypath: " + kind.From(err).Message()}
		}
		data, err := client.New(client.Options{URL: host}).Explain(ctx, query)
		if err != nil {
			return err
		}
		if isJSON {
			return printJSON(data)
		}
		var e exchange.Explanation
		if err := json.Unmarshal(data, &e); err != nil {
			return kind.Wrap(err, kind.Lost, "cannot decode the response of %s", host)
		}
		return printExplanation(e)
	}))
}

// parseExplainQuery returns the request that query parameters describe. The error is of kind Invalid.
func parseExplainQuery(values url.Values) (q exchange.Query, err error) {
	for name := range values {
		if !slices.ContainsFunc(explainParams, func(p explainParam) bool { return p.name == name }) {
			return q, kind.New(kind.Invalid, "unknown parameter %q", name)
		}
	}
	q = exchange.Query{Host: values.Get("virtual-host"), Path: values.Get("path"), Customer: values.Get("customer"), Service: values.Get("service")}
	if q.Host == "" || q.Path == "" {
		return q, kind.New(kind.Invalid, "virtual-host and path are required")
	}
	sum := 0
	for part := range strings.SplitSeq(values.Get("parts"), ",") {
		if part == "" {
			continue
		}
		id, tokens, _ := strings.Cut(strings.TrimSpace(part), ":")
		p := place.PromptPart{}
		if p.ID, err = strconv.ParseUint(id, 16, 64); err != nil {
			return q, kind.New(kind.Invalid, "%q is not a part of a prompt, such as 5c1e07a2:800", part)
		}
		if p.Tokens, err = parseTokens("parts", tokens); err != nil {
			return q, err
		}
		q.Parts = append(q.Parts, p)
		sum += p.Tokens
	}
	q.PromptTokens = sum
	if text := values.Get("prompt"); text != "" {
		if q.PromptTokens, err = parseTokens("prompt", text); err != nil {
			return q, err
		}
	}
	if text := values.Get("output"); text != "" {
		q.MaxOutputTokens, err = parseTokens("output", text)
	}
	return q, err
}

// parseTokens parses a number of tokens within the range of the request's header fields.
func parseTokens(name, text string) (int, error) {
	n, err := strconv.Atoi(text)
	if err != nil || n < 0 || n > math.MaxInt32 {
		return 0, kind.New(kind.Invalid, "%s: %q is not a number of tokens", name, text)
	}
	return n, nil
}

// serveExplanation answers with the explanation of the request that the query parameters describe.
func (g *gateway) serveExplanation(w http.ResponseWriter, r *http.Request) {
	var e exchange.Explanation
	q, err := parseExplainQuery(r.URL.Query())
	if err == nil {
		e, err = g.exchange.Explain(q)
	}
	w.Header().Set("Content-Type", "application/json")
	var body any = e
	if err != nil {
		body = map[string]api.Detail{"error": errorDetail(err)}
		w.WriteHeader(kind.Of(err).Response().Status())
	}
	_ = json.NewEncoder(w).Encode(body) // fails if the client has gone
}

func printExplanation(e exchange.Explanation) error {
	fmt.Fprintf(os.Stdout, "%s: route %s, service %s (%.0f%% of the requests), configuration %d, zone %s\n", e.Outcome, e.Route, e.Service, 100*e.Shares[e.Service], e.Version, e.Zone)
	if e.Reason != "" {
		fmt.Fprintln(os.Stdout, "reason:", e.Reason)
	}
	fmt.Fprintf(os.Stdout, "rank %d, %d requests ahead, expected wait %.0f ms of at most %.0f ms\n\n", e.Rank, e.Ahead, e.WaitMs, e.MaxWaitMs)
	t := newTable("upstream", "zone", "status", "verdict", "cost", "wait", "prefill", "copy", "running", "slowdown", "memory", "slots", "reserved", "cross-zone", "cold", "other", "cached", "age ms")
	for _, u := range e.Upstreams {
		verdict, age := u.Verdict, ""
		if u.Rule != "" {
			verdict = "out: " + string(u.Rule)
		}
		if u.AgeMs != nil {
			age = formatMs(*u.AgeMs)
		}
		p := u.Parts
		t.row(u.ID, u.Zone, u.Status, verdict, formatMs(u.Cost), formatMs(p.Wait), formatMs(p.Prefill), formatMs(p.Copy), formatMs(p.Running), formatMs(p.Slowdown), formatMs(p.Memory),
			formatMs(p.Slots), formatMs(p.Reserved), formatMs(p.Zone), formatMs(p.Cold), formatMs(p.Unconfirmed+p.Home), u.Cached, age)
	}
	if err := t.print(); err != nil || e.Source == "" {
		return err
	}
	_, err := fmt.Printf("\n%s copies the beginning of the prompt from %s\n", e.Chosen, e.Source)
	return err
}

// formatMs formats a time in milliseconds for tables.
func formatMs(v float64) string {
	return strconv.FormatFloat(math.Round(v)+0, 'f', 0, 64) // adding 0 turns -0 into 0
}
