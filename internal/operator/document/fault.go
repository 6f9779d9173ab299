package document

import (
	"cmp"
	"fmt"
	"slices"
	"sort"
	"strings"
	"unicode/utf8"

	"hickorypath/internal/core/kind"
)

// maxFaults is the maximum number of faults that a Parse call collects.
const maxFaults = 1000

// Fault is a validation error of a document, with its position and a remedy.
type Fault struct {
	file   string
	line   int
	column int
	text   string
	remedy string
}

// File returns the name of the document's file.
func (f Fault) File() string { return f.file }

// Line returns the line number, starting at 1.
func (f Fault) Line() int { return f.line }

// Column returns the column in characters, starting at 1.
func (f Fault) Column() int { return f.column }

// Text describes the fault.
func (f Fault) Text() string { return f.text }

// Remedy says how to correct the fault.
func (f Fault) Remedy() string { return f.remedy }

// String formats the fault as a single line: file:line:column: text; remedy.
func (f Fault) String() string {
	return fmt.Sprintf("%s:%d:%d: %s; %s", f.file, f.line, f.column, f.text, f.remedy)
}

// Faults is the error that Parse returns for an invalid document. Its error kind is kind.Document.
type Faults struct { //nolint:errname // a list of faults, named after its elements
	list []Fault
}

// List returns the faults sorted by position.
func (f *Faults) List() []Fault { return f.list }

// Error returns all faults, one per line.
func (f *Faults) Error() string {
	lines := make([]string, len(f.list))
	for i, fault := range f.list {
		lines[i] = fault.String()
	}
	return strings.Join(lines, "\n")
}

// Unwrap returns an error of kind kind.Document that gives the number of faults and the first fault.
func (f *Faults) Unwrap() error {
	if len(f.list) == 1 {
		return kind.New(kind.Document, "%s", f.list[0])
	}
	return kind.New(kind.Document, "the document has %d faults, the first: %s", len(f.list), f.list[0])
}

// locator converts byte offsets in a source text into lines and columns.
type locator struct {
	file   string
	data   []byte
	starts []int
}

func newLocator(file string, data []byte) *locator {
	starts := []int{0}
	for i, b := range data {
		if b == '\n' {
			starts = append(starts, i+1)
		}
	}
	return &locator{file: file, data: data, starts: starts}
}

func (l *locator) position(offset int) (line, column int) {
	offset = min(offset, len(l.data))
	line = sort.Search(len(l.starts), func(i int) bool { return l.starts[i] > offset })
	start := l.starts[line-1]
	return line, utf8.RuneCount(l.data[start:offset]) + 1
}

func (l *locator) fault(offset int, text, remedy string) Fault {
	line, column := l.position(offset)
	return Fault{file: l.file, line: line, column: column, text: text, remedy: remedy}
}

func sortFaults(list []Fault) {
	slices.SortStableFunc(list, func(a, b Fault) int {
		return cmp.Or(cmp.Compare(a.line, b.line), cmp.Compare(a.column, b.column))
	})
}
