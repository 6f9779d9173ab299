package main

import (
	"context"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"hickorypath/internal/operator/api"
)

func addStatus(app *kingpin.Application) {
	var history int
	cmd := app.Command("status", "Show hosts, upstreams, leases and the last revisions.")
	cmd.Flag("history", "Maximum number of revisions to show.").Default("5").IntVar(&history)
	r := addRemoteFlags(cmd)
	cmd.Action(newAction(&r.json, func(ctx context.Context) error {
		c := r.client()
		s, err := c.Status(ctx)
		if err != nil {
			return err
		}
		revisions, err := c.History(ctx, 0, history)
		if err != nil { // the hosts are shown even while the store is down
			fmt.Fprintln(os.Stderr, "hickorypath: the history cannot be read:", err)
		}
		if r.json {
			return printJSON(struct {
				api.Status
				Revisions []api.Revision `json:"revisions"`
			}{s, revisions})
		}
		return printStatus(s, revisions)
	}))
}

func printStatus(s api.Status, revisions []api.Revision) error {
	fmt.Printf("host %s in zone %s; revision %d in force, digest %s\n\n", s.Host, s.Zone, s.Revision, shortDigest(s.Digest))
	hosts := newTable("host", "zone", "state", "revision")
	for _, h := range s.Hosts {
		hosts.row(h.ID, h.Zone, h.State, h.Revision)
	}
	upstreams := newTable("upstream", "pool", "zone", "state", "reclaimable", "running")
	for _, u := range s.Upstreams {
		upstreams.row(u.ID, u.Pool, u.Zone, u.State, u.Reclaimable, u.Running)
	}
	leases := newTable("lease", "holder", "fence")
	for _, l := range s.Leases {
		leases.row(l.Name, l.Holder, l.Fence)
	}
	history := newTable("revision", "at", "operator", "digest", "bytes", "change")
	for _, r := range revisions {
		history.row(r.Number, formatTime(r.At), r.Operator, shortDigest(r.Digest), r.Size, r.Change)
	}
	for i, t := range []*table{hosts, upstreams, leases, history} {
		if i > 0 {
			fmt.Println()
		}
		if err := t.print(); err != nil {
			return err
		}
	}
	return nil
}
