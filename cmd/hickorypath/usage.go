package main

import (
	"context"

	"github.com/alecthomas/kingpin/v2"

	"hickorypath/internal/operator/api"
)

func addUsage(app *kingpin.Application) {
	var customer string
	cmd := app.Command("usage", "Show the usage windows by customer.")
	cmd.Flag("customer", "Show only this customer.").StringVar(&customer)
	r := addRemote(cmd)
	cmd.Action(action(&r.json, func(ctx context.Context) error {
		windows, err := r.client().Usage(ctx, customer)
		if err != nil {
			return err
		}
		if r.json {
			return printJSON(windows)
		}
		return printUsage(windows)
	}))
}

func printUsage(windows []api.Window) error {
	t := newTable("start", "end", "state", "customer", "class", "calls", "prompt", "output", "wasted")
	for _, w := range windows {
		if len(w.Rows) == 0 {
			t.row(stamp(w.Start), stamp(w.End), w.State, "", "", 0, 0, 0, 0)
		}
		for _, u := range w.Rows {
			t.row(stamp(w.Start), stamp(w.End), w.State, u.Customer, u.Class, u.Calls, u.Prompt, u.Output, u.Wasted)
		}
	}
	return t.print()
}
