// Command hickorypath is a router for language-model traffic. It sends requests to upstreams according to service levels.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
)

func main() { run(os.Args[1:]) }

// run parses args and runs the command. A command that fails exits the process itself, so that an error returned by
// parsing always means wrong usage.
func run(args []string) {
	app := kingpin.New("hickorypath", "A router for language-model traffic with service levels and priorities.")
	app.HelpFlag.Short('h')
	app.UsageWriter(os.Stdout)
	addServe(app)
	addGateway(app)
	addDemo(app)
	addOperatorCommands(app)
	if _, err := app.Parse(args); err != nil {
		fmt.Fprintf(os.Stderr, "hickorypath: %v; see hickorypath --help\n", err)
		os.Exit(exitUsage)
	}
}
