// Command hickorypath routes language-model traffic to upstreams under service levels.
package main

import (
	"fmt"
	"os"
)

func main() {
	fmt.Fprintln(os.Stderr, "hickorypath: no command given")
	os.Exit(2)
}
