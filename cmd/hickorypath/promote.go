package main

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"hickorypath/internal/operator/client"
)

// promoteFlags holds the flags of the command promote.
type promoteFlags struct {
	from      string
	to        string
	fromToken string
	token     string
	digest    string
	wait      waitFlags
	json      bool
}

func addPromote(app *kingpin.Application) {
	p := &promoteFlags{}
	cmd := app.Command("promote", "Copy the document that one environment accepted to another, byte for byte. Exits like apply.")
	cmd.Flag("from", "Admin address in the environment that has the document.").Required().SetValue((*addressValue)(&p.from))
	cmd.Flag("to", "Admin address in the environment that gets the document.").Required().SetValue((*addressValue)(&p.to))
	cmd.Flag("digest", "Digest of the document; without it, the newest document of the first environment.").StringVar(&p.digest)
	cmd.Flag("from-token", "Operator's token in the first environment; without it, the token of the second environment.").Envar("HICKORYPATH_FROM_TOKEN").StringVar(&p.fromToken)
	cmd.Flag("token", "Operator's token in the second environment.").Envar("HICKORYPATH_TOKEN").StringVar(&p.token)
	p.wait.add(cmd)
	addJSON(cmd, &p.json)
	cmd.Action(newAction(&p.json, p.run))
}

func (p *promoteFlags) run(ctx context.Context) error {
	if p.fromToken == "" {
		p.fromToken = p.token
	}
	from := client.New(client.Options{URL: p.from, Token: p.fromToken})
	to := client.New(client.Options{URL: p.to, Token: p.token})
	tried, err := p.sourceDocument(ctx, from)
	if err != nil {
		return err
	}
	base, err := to.DocumentOrEmpty(ctx)
	if err != nil {
		return err
	}
	p.printf("revision %d of %s has digest %s", tried.Revision(), p.from, tried.Digest())
	if base.Revision() == 0 {
		p.printf("%s has no document yet", p.to)
	} else {
		p.printf("revision %d of %s has digest %s", base.Revision(), p.to, base.Digest())
	}
	rev, err := to.Put(ctx, client.DocumentChange{BaseRevision: base.Revision(), Source: tried.Source(), Digest: tried.Digest(), File: p.from})
	if err != nil {
		return err
	}
	return finishApply(ctx, to, p.json, rev, p.wait)
}

func (p *promoteFlags) sourceDocument(ctx context.Context, from *client.Client) (client.Document, error) {
	if p.digest != "" {
		return from.DocumentByDigest(ctx, p.digest)
	}
	return from.Document(ctx)
}

func (p *promoteFlags) printf(format string, args ...any) {
	if !p.json {
		fmt.Printf(format+"\n", args...)
	}
}
