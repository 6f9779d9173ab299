package document

import (
	"fmt"
	"slices"
)

// Difference is one object in which two documents differ.
type Difference struct {
	list string
	name string
	old  string
	now  string
}

// List returns the list that holds the object: customers, classes, pools or routes.
func (d Difference) List() string { return d.list }

// Name returns the object's name.
func (d Difference) Name() string { return d.name }

// Old returns the canonical form of the object before, empty for one that was added.
func (d Difference) Old() string { return d.old }

// New returns the canonical form of the object after, empty for one that was removed.
func (d Difference) New() string { return d.now }

// String returns the difference as lines that begin with - and +.
func (d Difference) String() string {
	switch {
	case d.old == "":
		return fmt.Sprintf("+ %s: %s", d.list, d.now)
	case d.now == "":
		return fmt.Sprintf("- %s: %s", d.list, d.old)
	}
	return fmt.Sprintf("- %s: %s\n+ %s: %s", d.list, d.old, d.list, d.now)
}

// Diff returns the objects in which the documents differ in meaning; a nil old document is an empty one.
// Comments, the order of names and defaults that are written out make no difference.
func Diff(old, now *Document) []Difference {
	if old == nil {
		old = &Document{}
	}
	found := make([]Difference, 0, 8)
	before, after := old.sections(), now.sections()
	for i := range after {
		found = append(found, diffSection(before[i], after[i])...)
	}
	return found
}

func diffSection(old, now section) []Difference {
	lines := make(map[string]string, len(old.names))
	for i, name := range old.names {
		lines[name] = old.lines[i]
	}
	var found []Difference
	for i, name := range now.names {
		if lines[name] != now.lines[i] {
			found = append(found, Difference{list: now.name, name: name, old: lines[name], now: now.lines[i]})
		}
		delete(lines, name)
	}
	for i, name := range old.names {
		if _, gone := lines[name]; gone {
			found = append(found, Difference{list: old.name, name: name, old: old.lines[i]})
		}
	}
	if len(found) == 0 && !slices.Equal(old.names, now.names) {
		found = append(found, Difference{list: now.name, name: "(order)", old: fmt.Sprint(old.names), now: fmt.Sprint(now.names)})
	}
	return found
}
