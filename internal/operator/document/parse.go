package document

import (
	"regexp"
	"slices"
	"strconv"

	"github.com/tailscale/hujson"
)

// draft is a document whose objects have been read but not yet checked against each other.
type draft struct {
	customers []*entry[Customer]
	classes   []*entry[Class]
	pools     []*entry[Pool]
	routes    []*entry[Route]
}

var draftFields = []field[draft]{
	{name: "customers", required: true, read: func(r *reader, e *entry[draft], _ string, v *hujson.Value) {
		e.value.customers = readList(r, v, "customer", customerFields, newCustomer)
	}},
	{name: "classes", required: true, read: func(r *reader, e *entry[draft], _ string, v *hujson.Value) {
		e.value.classes = readList(r, v, "class", classFields, newClass)
	}},
	{name: "pools", required: true, read: func(r *reader, e *entry[draft], _ string, v *hujson.Value) {
		e.value.pools = readList(r, v, "pool", poolFields, newPool)
	}},
	{name: "routes", required: true, read: func(r *reader, e *entry[draft], _ string, v *hujson.Value) {
		e.value.routes = readList(r, v, "route", routeFields, newRoute)
	}},
}

// Parse parses and validates a document. Faults give file as the name of the document.
// The error, if any, is a *Faults that lists all faults.
func Parse(data []byte, file string) (*Document, error) { return ParseIncremental(nil, data, file) }

// ParseIncremental is like Parse but reuses the customers of a prior document whose source text is unchanged,
// which makes a small change to a large document cheap. The result is the same as that of Parse.
// prior may be nil.
func ParseIncremental(prior *Document, data []byte, file string) (*Document, error) {
	r := &reader{locator: newLocator(file, data), prior: prior}
	outline, spans := outlineOf(data)
	r.spans = spans
	root, err := hujson.Parse(outline)
	if err != nil {
		r.addSyntaxFault(0, data, err)
		return nil, &Faults{list: r.faults}
	}
	e := &entry[draft]{}
	if readObject(r, &root, "the document", draftFields, e) {
		check(r, &e.value)
	}
	if len(r.faults) > 0 {
		sortFaults(r.faults)
		return nil, &Faults{list: r.faults}
	}
	doc := newDocument(data, &e.value)
	doc.customerCache = newCustomerCache(e.value.customers, doc.customers, spans)
	return doc, nil
}

func newDocument(data []byte, d *draft) *Document {
	doc := &Document{
		source:    slices.Clone(data),
		digest:    DigestOf(data),
		customers: values(d.customers),
		classes:   values(d.classes),
		pools:     values(d.pools),
		routes:    values(d.routes),
	}
	for _, r := range doc.routes {
		r.allowedCustomers = make(map[string]struct{}, len(r.customers))
		for _, c := range r.customers {
			r.allowedCustomers[c] = struct{}{}
		}
	}
	doc.buildIndex()
	return doc
}

// values copies the values out of their entries, so that the field offsets can be garbage-collected.
func values[T any](entries []*entry[T]) []*T {
	block := make([]T, len(entries))
	list := make([]*T, len(entries))
	for i, e := range entries {
		block[i] = e.value
		list[i] = &block[i]
	}
	return list
}

// syntaxErrorPattern extracts the line, the column and the message from the text of a syntax error of hujson.
var syntaxErrorPattern = regexp.MustCompile(`line (\d+), column (\d+): (.*)$`)

// addSyntaxFault reports a syntax error that the JSON library found in text, which starts at offset start of the
// document.
func (r *reader) addSyntaxFault(start int, text []byte, err error) {
	const remedy = "correct the JSON here; other faults of the same object are found once it reads"
	m := syntaxErrorPattern.FindStringSubmatch(err.Error())
	if m == nil {
		r.fault(start, remedy, "%s", err)
		return
	}
	line, _ := strconv.Atoi(m[1])
	column, _ := strconv.Atoi(m[2])
	starts := newLocator("", text).starts
	offset := starts[min(max(line, 1), len(starts))-1] + column - 1
	r.fault(start+offset, remedy, "not JSON with comments: %s", m[3])
}
