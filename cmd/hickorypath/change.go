package main

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"
)

func addChange(app *kingpin.Application) {
	var id string
	cmd := app.Command("change", "Show whether a change with an unknown outcome was applied.")
	cmd.Arg("id", "Id of the change.").Required().StringVar(&id)
	r := addRemoteFlags(cmd)
	cmd.Action(newAction(&r.json, func(ctx context.Context) error {
		out, err := r.client().Outcome(ctx, id)
		if err != nil {
			return err
		}
		if r.json {
			return printJSON(out)
		}
		switch {
		case out.Revision == nil:
			fmt.Printf("change %s is open: it was not seen so far, and may still take effect until another revision is accepted\n", id)
		case out.State == "applied":
			fmt.Printf("change %s was applied as revision %d\n", id, out.Revision.Number)
		default:
			fmt.Printf("change %s was refused: revision %d is change %s by %s\n", id, out.Revision.Number, out.Revision.Change, out.Revision.Operator)
		}
		return nil
	}))
}
