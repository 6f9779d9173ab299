package main

import (
	"context"
	"fmt"
	"runtime/debug"
	"strings"

	"github.com/alecthomas/kingpin/v2"
	"github.com/samber/lo"
)

// buildInfo describes how the program was built.
type buildInfo struct {
	Version  string `json:"version"`
	Go       string `json:"go"`
	Revision string `json:"revision,omitempty"`
	Modified bool   `json:"modified,omitempty"`
}

func addVersion(app *kingpin.Application) {
	var json bool
	cmd := app.Command("version", "Print the version.")
	addJSON(cmd, &json)
	cmd.Action(newAction(&json, func(context.Context) error {
		b := readBuildInfo()
		if json {
			return printJSON(b)
		}
		fmt.Println(strings.Join(lo.Compact([]string{"hickorypath", b.Version, shortDigest(b.Revision), b.Go}), " "))
		return nil
	}))
}

func readBuildInfo() buildInfo {
	b := buildInfo{Version: "(unknown)"}
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return b
	}
	b.Version, b.Go = info.Main.Version, info.GoVersion
	for _, s := range info.Settings {
		switch s.Key {
		case "vcs.revision":
			b.Revision = s.Value
		case "vcs.modified":
			b.Modified = s.Value == "true"
		}
	}
	return b
}
