package main

import (
	"context"
	"fmt"

	"github.com/alecthomas/kingpin/v2"

	"hickorypath/internal/operator/client"
	"hickorypath/internal/operator/document"
)

// difference is the JSON form of a document.Difference.
type difference struct {
	List string `json:"list"`
	Name string `json:"name"`
	Old  string `json:"old,omitempty"`
	New  string `json:"new,omitempty"`
}

func addDiff(app *kingpin.Application) {
	var file, against string
	cmd := app.Command("diff", "Show what a document would change in an environment, or against another file. Exits with 8 when the documents differ in meaning.")
	cmd.Arg("file", "The document.").Required().StringVar(&file)
	cmd.Flag("against", "Compare with this file in place of the environment.").StringVar(&against)
	r := addRemoteFlags(cmd)
	cmd.Action(newAction(&r.json, func(ctx context.Context) error {
		now, err := readDocument(file)
		if err != nil {
			return err
		}
		old, name, err := readBaseDocument(ctx, r, against)
		if err != nil {
			return err
		}
		return printDiff(r.json, document.Diff(old, now), name, file)
	}))
}

// readBaseDocument returns the document to compare with and a name for it in the output. The document is nil when the
// environment has none yet.
func readBaseDocument(ctx context.Context, r *remoteFlags, against string) (*document.Document, string, error) {
	if against != "" {
		doc, err := readDocument(against)
		return doc, against, err
	}
	base, err := r.client().DocumentOrEmpty(ctx)
	if err != nil {
		return nil, "", err
	}
	doc, err := parseBase(base, r.url)
	return doc, fmt.Sprintf("revision %d of %s", base.Revision(), r.url), err
}

func parseBase(base client.Document, url string) (*document.Document, error) {
	if base.Revision() == 0 {
		return nil, nil
	}
	return document.Parse(base.Source(), url)
}

func printDiff(jsonOutput bool, found []document.Difference, old, now string) error {
	if jsonOutput {
		forms := make([]difference, len(found))
		for i, d := range found {
			forms[i] = difference{List: d.List(), Name: d.Name(), Old: d.Old(), New: d.New()}
		}
		if err := printJSON(forms); err != nil {
			return err
		}
	} else {
		fmt.Printf("--- %s\n+++ %s\n", old, now)
		for _, d := range found {
			fmt.Println(d)
		}
		fmt.Printf("%d differences in meaning\n", len(found))
	}
	if len(found) > 0 {
		return &exitError{code: exitDiffers}
	}
	return nil
}
