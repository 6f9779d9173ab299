// Command hickorypath routes language-model traffic to upstreams under service levels.
package main

import (
	"fmt"
	"os"

	"github.com/alecthomas/kingpin/v2"
)

func main() {
	app := kingpin.New("hickorypath", "A router for language-model traffic with service levels and priorities.")
	app.HelpFlag.Short('h')
	addServe(app)
	addDemo(app)
	registerOperator(app)
	if _, err := app.Parse(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "hickorypath:", err)
		os.Exit(exitFailed)
	}
}
