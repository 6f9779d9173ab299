package main

import (
	"encoding/json"
	"fmt"
	"os"
	"strings"
	"text/tabwriter"
	"time"
)

// printJSON prints v as indented JSON to standard output.
func printJSON(v any) error {
	enc := json.NewEncoder(os.Stdout)
	enc.SetIndent("", "  ")
	return enc.Encode(v)
}

// table prints rows with aligned columns to standard output.
type table struct {
	w *tabwriter.Writer
}

func newTable(columns ...string) *table {
	t := &table{w: tabwriter.NewWriter(os.Stdout, 0, 0, 2, ' ', 0)}
	fmt.Fprintln(t.w, strings.ToUpper(strings.Join(columns, "\t")))
	return t
}

func (t *table) row(values ...any) {
	cells := make([]string, len(values))
	for i, v := range values {
		cells[i] = fmt.Sprint(v)
		if cells[i] == "" {
			cells[i] = "-"
		}
	}
	fmt.Fprintln(t.w, strings.Join(cells, "\t"))
}

func (t *table) print() error { return t.w.Flush() }

// formatTime formats a time in UTC for tables. The zero time gives an empty text.
func formatTime(t time.Time) string {
	if t.IsZero() {
		return ""
	}
	return t.UTC().Format("2006-01-02 15:04:05")
}

// digestWidth is the number of leading hex digits of a digest that tables show.
const digestWidth = 12

func shortDigest(d string) string { return d[:min(len(d), digestWidth)] }
