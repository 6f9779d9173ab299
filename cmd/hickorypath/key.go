package main

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"hickorypath/internal/operator/api"
)

func addKey(app *kingpin.Application) {
	cmd := app.Command("key", "Issue, list and withdraw customers' keys.")
	addKeyIssue(cmd)
	addKeyList(cmd)
	addKeyWithdraw(cmd)
}

func addKeyIssue(parent *kingpin.CmdClause) {
	var customer string
	cmd := parent.Command("issue", "Issue a key. It is shown once and cannot be read again.")
	cmd.Flag("customer", "Customer of the document in force.").Required().StringVar(&customer)
	r := addRemoteFlags(cmd)
	cmd.Action(newAction(&r.json, func(ctx context.Context) error {
		k, err := r.client().Issue(ctx, customer)
		if err != nil {
			return err
		}
		if r.json {
			return printJSON(k)
		}
		fmt.Printf("key %s of customer %s; it is shown only now:\n%s\n", k.ID, k.Customer, k.Clear)
		return nil
	}))
}

func addKeyList(parent *kingpin.CmdClause) {
	var customer string
	cmd := parent.Command("list", "List the keys; the keys themselves cannot be read again.")
	cmd.Flag("customer", "List only the keys of this customer.").StringVar(&customer)
	r := addRemoteFlags(cmd)
	cmd.Action(newAction(&r.json, func(ctx context.Context) error {
		list, err := r.client().Keys(ctx, customer)
		if err != nil {
			return err
		}
		if r.json {
			return printJSON(list)
		}
		return printKeys(list)
	}))
}

func printKeys(list []api.Key) error {
	t := newTable("id", "customer", "issued", "withdrawn")
	for _, k := range list {
		withdrawn := ""
		if k.Withdrawn != nil {
			withdrawn = formatTime(*k.Withdrawn)
		}
		t.row(k.ID, k.Customer, formatTime(k.Issued), withdrawn)
	}
	return t.print()
}

func addKeyWithdraw(parent *kingpin.CmdClause) {
	var id string
	cmd := parent.Command("withdraw", "Withdraw a key on all hosts and end its running calls.")
	cmd.Arg("id", "Id of the key, as list shows it.").Required().StringVar(&id)
	r := addRemoteFlags(cmd)
	cmd.Action(newAction(&r.json, func(ctx context.Context) error {
		k, err := r.client().Withdraw(ctx, id)
		if err != nil {
			return err
		}
		if r.json {
			return printJSON(k)
		}
		fmt.Printf("key %s of customer %s is withdrawn since %s\n", k.ID, k.Customer, formatTime(*k.Withdrawn))
		return nil
	}))
}
