package main

import (
	"context"
	"fmt"
	"os"
	"testing"

	"github.com/alecthomas/kingpin/v2"
	"github.com/rogpeppe/go-internal/testscript"
)

func TestMain(m *testing.M) {
	if path := os.Getenv(serveVariable); path != "" {
		if err := runServe(context.Background(), path); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(1)
		}
		return
	}
	testscript.Main(m, map[string]func(){"hickorypath": runOperator})
}

// runOperator runs the operators' commands alone.
func runOperator() {
	app := kingpin.New("hickorypath", "A router for language-model traffic.")
	registerOperator(app)
	kingpin.MustParse(app.Parse(os.Args[1:]))
}

func TestScripts(t *testing.T) {
	testscript.Run(t, testscript.Params{
		Dir: "testdata/script", RequireExplicitExec: true,
		Setup: func(e *testscript.Env) error {
			e.Setenv("GORACE", "atexit_sleep_ms=0")
			return nil
		},
	})
}
