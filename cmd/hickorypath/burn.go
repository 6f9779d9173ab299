package main

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"hickorypath/internal/policy/burn"
)

func addBurn(app *kingpin.Application) {
	var limit int
	cmd := app.Command("burn", "Show the service-level burn by class and customer, goodput, wasted work and spend. The admin address serves the same as a page under /burn.")
	cmd.Flag("limit", "Maximum number of customers to show, the worst served first.").Default("20").IntVar(&limit)
	r := addRemoteFlags(cmd)
	cmd.Action(newAction(&r.json, func(ctx context.Context) error {
		report, err := r.client().Burn(ctx, limit)
		if err != nil {
			return err
		}
		if r.json {
			return printJSON(report)
		}
		return printBurn(report)
	}))
}

func printBurn(r burn.Report) error {
	fmt.Printf("at %s UTC; objective %.1f%%; burn 1 uses the allowance exactly\n\n", formatTime(r.At), 100*r.Objective)
	t := newTable("class", "alert", "window", "calls", "attained", "burn", "good", "delivered", "wasted")
	for _, row := range r.Classes {
		for _, w := range row.Windows {
			t.row(row.Class, row.Alert, w.Window, w.Calls, percent(w.Attained), decimals(w.Burn), w.Good, w.Output, w.Wasted)
		}
	}
	if err := t.print(); err != nil {
		return err
	}
	fmt.Println()
	if err := printCustomers(r); err != nil {
		return err
	}
	fmt.Println()
	return printSpend(r.Pools)
}

func printCustomers(r burn.Report) error {
	if r.Worst != nil {
		fmt.Printf("worst served in the last hour: %s in class %s\n", r.Worst.Customer, r.Worst.Class)
	}
	t := newTable("customer", "class", "alert", "calls 1h", "attained 1h", "burn 5m", "burn 1h", "burn 6h", "burn 3d")
	for _, row := range r.Customers {
		w := row.Windows
		t.row(row.Customer, row.Class, row.Alert, w[1].Calls, percent(w[1].Attained),
			decimals(w[0].Burn), decimals(w[1].Burn), decimals(w[2].Burn), decimals(w[3].Burn))
	}
	return t.print()
}

func printSpend(pools []burn.Pool) error {
	t := newTable("pool", "window", "durable hours", "reclaimable hours", "met", "good", "cost")
	for _, p := range pools {
		for _, w := range p.Windows {
			t.row(p.Pool, w.Window, decimals(w.Durable), decimals(w.Cheap), w.Met, w.Good, decimals(w.Cost))
		}
	}
	return t.print()
}

func percent(v float64) string { return fmt.Sprintf("%.2f%%", 100*v) }

func decimals(v float64) string { return fmt.Sprintf("%.2f", v) }
