// Command capacity writes docs/CAPACITY.md from the measured slopes in docs/capacity.json, or checks it.
package main

import (
	"bytes"
	"os"

	"github.com/alecthomas/kingpin/v2"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/host/capacity"
)

const pageMode = 0o644

func main() {
	app := kingpin.New("capacity", "Write the capacity page from measured slopes.")
	check := app.Flag("check", "Fail if the page differs from the data; write nothing.").Bool()
	data := app.Flag("data", "File with the measured slopes.").Default("docs/capacity.json").String()
	page := app.Flag("page", "File to write the page to, or to check.").Default("docs/CAPACITY.md").String()
	kingpin.MustParse(app.Parse(os.Args[1:]))
	app.FatalIfError(run(*data, *page, *check), "capacity")
}

func run(dataFile, pageFile string, check bool) error {
	data, err := os.ReadFile(dataFile)
	if err != nil {
		return err
	}
	m, err := capacity.New(data)
	if err != nil {
		return err
	}
	text, err := m.Page()
	if err != nil {
		return err
	}
	if !check {
		return os.WriteFile(pageFile, text, pageMode)
	}
	old, err := os.ReadFile(pageFile)
	if err != nil {
		return err
	}
	if !bytes.Equal(old, text) {
		return kind.New(kind.Document, "%s differs from %s; run go run ./cmd/capacity", pageFile, dataFile)
	}
	return nil
}
