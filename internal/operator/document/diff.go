package document

import (
	"fmt"
	"slices"
)

// Difference is an object that was added, removed or changed between two documents.
type Difference struct {
	list    string
	name    string
	old     string
	updated string
}

// List returns the name of the list that holds the object: customers, classes, pools or routes.
func (d Difference) List() string { return d.list }

// Name returns the name of the object, or "(order)" if only the order of the list differs.
func (d Difference) Name() string { return d.name }

// Old returns the canonical form of the object in the old document, empty if the object was added.
func (d Difference) Old() string { return d.old }

// New returns the canonical form of the object in the new document, empty if the object was removed.
func (d Difference) New() string { return d.updated }

// String formats the difference as a line that begins with - for the old object and one with + for the new object.
func (d Difference) String() string {
	switch {
	case d.old == "":
		return fmt.Sprintf("+ %s: %s", d.list, d.updated)
	case d.updated == "":
		return fmt.Sprintf("- %s: %s", d.list, d.old)
	}
	return fmt.Sprintf("- %s: %s\n+ %s: %s", d.list, d.old, d.list, d.updated)
}

// Diff returns the objects whose canonical forms differ between the two documents. A nil old document counts as an
// empty document. Comments, the order of customers, classes and pools, and defaults that are written out are no
// difference.
func Diff(old, updated *Document) []Difference {
	if old == nil {
		old = &Document{}
	}
	found := make([]Difference, 0, 8)
	before, after := old.sections(), updated.sections()
	for i := range after {
		found = append(found, diffSection(before[i], after[i])...)
	}
	return found
}

func diffSection(old, updated section) []Difference {
	lines := make(map[string]string, len(old.names))
	for i, name := range old.names {
		lines[name] = old.lines[i]
	}
	var found []Difference
	for i, name := range updated.names {
		if lines[name] != updated.lines[i] {
			found = append(found, Difference{list: updated.name, name: name, old: lines[name], updated: updated.lines[i]})
		}
		delete(lines, name)
	}
	for i, name := range old.names {
		if _, gone := lines[name]; gone {
			found = append(found, Difference{list: old.name, name: name, old: old.lines[i]})
		}
	}
	if len(found) == 0 && !slices.Equal(old.names, updated.names) {
		found = append(found, Difference{list: updated.name, name: "(order)", old: fmt.Sprint(old.names), updated: fmt.Sprint(updated.names)})
	}
	return found
}
