package main

import (
	"context"
	"fmt"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"hickorypath/internal/operator/api"
)

func addUsage(app *kingpin.Application) {
	var q api.UsageQuery
	cmd := app.Command("usage", "Show the usage windows of the last hour, or of another time, by customer.")
	cmd.Flag("customer", "Show only this customer.").StringVar(&q.Customer)
	cmd.Flag("from", "Show windows that end after this time, such as 2026-03-01T12:00:00Z.").SetValue(&timeValue{&q.From})
	cmd.Flag("to", "Show windows that start before this time; the default is now.").SetValue(&timeValue{&q.To})
	r := addRemoteFlags(cmd)
	cmd.Action(newAction(&r.json, func(ctx context.Context) error {
		windows, err := r.client().Usage(ctx, q)
		if err != nil {
			return err
		}
		if r.json {
			return printJSON(windows)
		}
		return printUsage(windows)
	}))
}

// timeValue is the value of a flag that takes a time in RFC 3339 format.
type timeValue struct{ at *time.Time }

// Set implements kingpin.Value.
func (i *timeValue) Set(text string) (err error) {
	*i.at, err = time.Parse(time.RFC3339, text)
	if err != nil {
		return fmt.Errorf("%q is not a time such as 2026-03-01T12:00:00Z", text)
	}
	return nil
}

// String implements kingpin.Value.
func (i *timeValue) String() string {
	if i.at.IsZero() {
		return ""
	}
	return i.at.Format(time.RFC3339)
}

func printUsage(windows []api.Window) error {
	t := newTable("start", "end", "state", "customer", "class", "calls", "prompt", "output", "wasted")
	for _, w := range windows {
		if len(w.Rows) == 0 {
			t.row(formatTime(w.Start), formatTime(w.End), w.State, "", "", 0, 0, 0, 0)
		}
		for _, u := range w.Rows {
			t.row(formatTime(w.Start), formatTime(w.End), w.State, u.Customer, u.Class, u.Calls, u.Prompt, u.Output, u.Wasted)
		}
	}
	return t.print()
}
