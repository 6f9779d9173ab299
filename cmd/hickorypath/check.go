package main

import (
	"context"
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/operator/api"
	"hickorypath/internal/operator/document"
)

func addCheck(app *kingpin.Application) {
	var (
		file string
		json bool
	)
	cmd := app.Command("check", "Check a document and list all its faults with place and remedy. Needs no host. Exits with 3 when it has any.")
	cmd.Arg("file", "The document.").Required().StringVar(&file)
	addJSON(cmd, &json)
	cmd.Action(newAction(&json, func(context.Context) error {
		doc, err := readDocument(file)
		if err != nil {
			return err
		}
		if json {
			return printJSON(newCheck(doc))
		}
		fmt.Printf("%s: no faults; %d customers, %d classes, %d pools, %d routes; digest %s\n", file,
			len(doc.Customers()), len(doc.Classes()), len(doc.Pools()), len(doc.Routes()), doc.Digest())
		return nil
	}))
}

func newCheck(doc *document.Document) api.Check {
	return api.Check{
		Digest: doc.Digest(), Customers: len(doc.Customers()), Classes: len(doc.Classes()),
		Pools: len(doc.Pools()), Routes: len(doc.Routes()),
	}
}

// readDocument reads a document from a file and validates it.
func readDocument(file string) (*document.Document, error) {
	data, err := os.ReadFile(file)
	if err != nil {
		return nil, kind.Wrap(err, kind.Missing, "the document cannot be read")
	}
	return document.Parse(data, file)
}
