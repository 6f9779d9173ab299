package document

import (
	"fmt"
	"strings"

	"github.com/tailscale/hujson"
)

// reader converts the syntax tree of a document into its objects and collects the faults.
type reader struct {
	locator *locator
	spans   spans
	base    int // offset in the document of the object being read if it was parsed on its own, else 0
	prior   *Document
	faults  []Fault
}

// pos returns the offset of v in the document.
func (r *reader) pos(v *hujson.Value) int { return r.base + v.StartOffset }

func (r *reader) fault(offset int, remedy, format string, args ...any) {
	switch {
	case len(r.faults) < maxFaults:
		r.faults = append(r.faults, r.locator.fault(offset, fmt.Sprintf(format, args...), remedy))
	case len(r.faults) == maxFaults:
		r.faults = append(r.faults, r.locator.fault(len(r.locator.data), "there are more faults than are listed", "mend these and check again"))
	}
}

// field describes how a named field of an object is read.
type field[T any] struct {
	name     string
	required bool
	read     func(r *reader, e *entry[T], name string, v *hujson.Value)
}

// entry is an object that was read, with the offsets of its fields for the faults of later checks.
type entry[T any] struct {
	value   T
	hash    uint64 // xxHash of the object's source text
	offset  int
	offsets []fieldOffset
}

// fieldOffset is the offset of the value of a field, or of one element if the value is a list.
type fieldOffset struct {
	name   string
	index  int
	offset int
}

// wholeField is the index in a fieldOffset that stands for the value of the field itself rather than a list element.
const wholeField = -1

func (e *entry[T]) addOffset(name string, index, offset int) {
	e.offsets = append(e.offsets, fieldOffset{name: name, index: index, offset: offset})
}

// has reports whether the field is present in the document.
func (e *entry[T]) has(name string) bool {
	for _, p := range e.offsets {
		if p.name == name {
			return true
		}
	}
	return false
}

// offsetOf returns the offset of the field's value or list element, or the offset of the object if the field is left out.
func (e *entry[T]) offsetOf(name string, index int) int {
	for _, p := range e.offsets {
		if p.name == name && p.index == index {
			return p.offset
		}
	}
	return e.offset
}

// readObject reads the object v, which has the given fields, into e and reports unknown, duplicate and missing
// fields as faults. It returns false if v is not an object.
func readObject[T any](r *reader, v *hujson.Value, what string, fields []field[T], e *entry[T]) bool {
	e.offset = r.pos(v)
	obj, ok := v.Value.(*hujson.Object)
	if !ok {
		r.fault(r.pos(v), "write an object in braces", "%s must be an object, not %s", what, typeOf(v))
		return false
	}
	e.offsets = make([]fieldOffset, 0, len(obj.Members))
	seen := make(map[string]int, len(obj.Members))
	for i := range obj.Members {
		readMember(r, &obj.Members[i], what, fields, seen, e)
	}
	for _, f := range fields {
		if _, ok := seen[f.name]; f.required && !ok {
			r.fault(e.offset, fmt.Sprintf("add %q", f.name), "%s lacks the field %q", what, f.name)
		}
	}
	return true
}

func readMember[T any](r *reader, m *hujson.ObjectMember, what string, fields []field[T], seen map[string]int, e *entry[T]) {
	key := stringOf(m.Name.Value.(hujson.Literal))
	if first, ok := seen[key]; ok {
		line, column := r.locator.position(first)
		r.fault(r.pos(&m.Name), "keep one of the two", "%s gives the field %q twice, first at %d:%d", what, key, line, column)
		return
	}
	seen[key] = r.pos(&m.Name)
	for _, f := range fields {
		if f.name != key {
			continue
		}
		e.addOffset(key, wholeField, r.pos(&m.Value))
		f.read(r, e, key, &m.Value)
		return
	}
	r.fault(r.pos(&m.Name), unknownFieldRemedy(key, fields), "%s has no field %q", what, key)
}

// readList reads an array of objects. fresh returns the default values of an object.
func readList[T any](r *reader, v *hujson.Value, what string, fields []field[T], fresh func() T) []*entry[T] {
	arr, ok := v.Value.(*hujson.Array)
	if !ok {
		r.fault(r.pos(v), "write an array in brackets", "the list of each %s must be an array, not %s", what, typeOf(v))
		return nil
	}
	entries := make([]*entry[T], 0, len(arr.Elements))
	block := make([]entry[T], len(arr.Elements))
	for i := range arr.Elements {
		e := &block[i]
		e.value = fresh()
		if readElement(r, &arr.Elements[i], what, fields, e) {
			entries = append(entries, e)
		}
	}
	return entries
}

func typeOf(v *hujson.Value) string {
	switch v.Value.Kind() {
	case '{':
		return "an object"
	case '[':
		return "an array"
	case '"':
		return "a string"
	case '0':
		return "a number"
	case 't', 'f':
		return "a boolean"
	}
	return "null"
}

// maxDistance is the maximum edit distance at which a field name is suggested for an unknown field.
const maxDistance = 2

func unknownFieldRemedy[T any](key string, fields []field[T]) string {
	names := make([]string, len(fields))
	best, bestDistance := "", maxDistance+1
	for i, f := range fields {
		names[i] = f.name
		if d := distance(strings.ToLower(key), f.name); d < bestDistance {
			best, bestDistance = f.name, d
		}
	}
	if best != "" {
		return fmt.Sprintf("did you mean %q?", best)
	}
	return "remove it; the fields are " + strings.Join(names, ", ")
}

// distance returns the Levenshtein distance of a and b.
func distance(a, b string) int {
	row := make([]int, len(b)+1)
	for j := range row {
		row[j] = j
	}
	for i := range len(a) {
		diagonal := row[0]
		row[0] = i + 1
		for j := range len(b) {
			cost := diagonal
			if a[i] != b[j] {
				cost++
			}
			diagonal = row[j+1]
			row[j+1] = min(cost, row[j]+1, row[j+1]+1)
		}
	}
	return row[len(b)]
}
