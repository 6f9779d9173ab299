package main

import (
	"context"
	"fmt"
	"os"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"hickorypath/internal/operator/api"
	"hickorypath/internal/operator/client"
)

// noBase is the value of --base when the flag is not set.
const noBase = -1

func addApply(app *kingpin.Application) {
	var (
		file string
		base int64
		wait waitFlags
	)
	cmd := app.Command("apply", "Put a document in force in an environment. Exits with 3 for faults, 4 when another operator changed it first, 5 when the outcome is not known, 7 when --wait ran out of time.")
	cmd.Arg("file", "The document.").Required().StringVar(&file)
	cmd.Flag("base", "Revision from which the document was made; any later one is a conflict. Without it the newest is taken.").Default("-1").Int64Var(&base)
	wait.add(cmd)
	r := addRemoteFlags(cmd)
	cmd.Action(newAction(&r.json, func(ctx context.Context) error {
		doc, err := readDocument(file)
		if err != nil {
			return err
		}
		c := r.client()
		if base == noBase {
			current, err := c.DocumentOrEmpty(ctx)
			if err != nil {
				return err
			}
			base = int64(current.Revision())
		}
		rev, err := c.Put(ctx, client.DocumentChange{BaseRevision: uint64(base), Source: doc.Source(), File: file, Digest: doc.Digest()})
		if err != nil {
			return err
		}
		return finishApply(ctx, c, r.json, rev, wait)
	}))
}

// finishApply prints an accepted revision and, with --wait, waits until the revision is in force on all live hosts.
func finishApply(ctx context.Context, c *client.Client, jsonOutput bool, rev api.Revision, wait waitFlags) error {
	if !jsonOutput {
		fmt.Printf("revision %d accepted; digest %s, change %s\n", rev.Number, rev.Digest, rev.Change)
	}
	if wait.on {
		if err := wait.waitInForce(ctx, c, rev.Number); err != nil {
			return err
		}
	}
	if jsonOutput {
		return printJSON(rev)
	}
	return nil
}

// waitFlags holds the flags of commands that can wait until a revision is in force.
type waitFlags struct {
	on      bool
	timeout time.Duration
}

func (w *waitFlags) add(cmd *kingpin.CmdClause) {
	cmd.Flag("wait", "Wait until the revision is in force on all live hosts, and show how far it got.").BoolVar(&w.on)
	cmd.Flag("timeout", "How long to wait.").Default("30s").DurationVar(&w.timeout)
}

// statusPollInterval is the pause between two status requests while waiting for a revision.
const statusPollInterval = 250 * time.Millisecond

// waitInForce waits waitInForce the revision is in force on all live hosts. Progress is printed to standard error.
func (w waitFlags) waitInForce(ctx context.Context, c *client.Client, revision uint64) error {
	ctx, cancel := context.WithTimeout(ctx, w.timeout)
	defer cancel()
	shown := ""
	for {
		status, err := c.Status(ctx)
		if err == nil {
			have, want, behind := countInForce(status, revision)
			if line := fmt.Sprintf("revision %d is in force on %d of %d hosts", revision, have, want); line != shown {
				fmt.Fprintln(os.Stderr, line)
				shown = line
			}
			if want > 0 && have == want {
				return nil
			}
			if ctx.Err() != nil {
				return timeoutError(revision, behind)
			}
		}
		select {
		case <-ctx.Done():
			if shown == "" && err != nil {
				return &exitError{exitTimeout, fmt.Sprintf("revision %d was accepted, but the status of the hosts cannot be read: %v", revision, err)}
			}
			_, _, behind := countInForce(status, revision)
			return timeoutError(revision, behind)
		case <-time.After(statusPollInterval):
		}
	}
}

func timeoutError(revision uint64, behind []string) error {
	return &exitError{exitTimeout, fmt.Sprintf("revision %d was accepted, but is not yet in force on %v; these hosts apply it once they can be reached", revision, behind)}
}

// stateLive is the state in api.Host of a host that accepts requests.
const stateLive = "live"

// countInForce returns how many live hosts there are (want), how many of them have the revision or a later one (have),
// and the IDs of the other live hosts (behind).
func countInForce(s api.Status, revision uint64) (have, want int, behind []string) {
	for _, h := range s.Hosts {
		if h.State != stateLive {
			continue
		}
		want++
		if h.Revision >= revision {
			have++
		} else {
			behind = append(behind, h.ID)
		}
	}
	return have, want, behind
}
