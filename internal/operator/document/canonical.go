package document

import (
	"bytes"
	"encoding/json"
	"slices"
	"strings"
	"time"

	"github.com/samber/lo"
)

// JSON structs of the canonical form, which has one object per line. Fields marked omitempty are left out when zero.
type (
	limitForm struct {
		Rate   float64 `json:"rate,omitempty"`
		Tokens int     `json:"tokens,omitempty"`
		Open   int     `json:"open,omitempty"`
	}
	customerForm struct {
		Name   string     `json:"name"`
		Weight float64    `json:"weight"`
		Limit  *limitForm `json:"limit,omitempty"`
	}
	classForm struct {
		Name   string     `json:"name"`
		Tier   int        `json:"tier"`
		First  string     `json:"first,omitempty"`
		Gap    string     `json:"gap,omitempty"`
		Whole  string     `json:"whole,omitempty"`
		Wait   string     `json:"wait,omitempty"`
		Share  float64    `json:"share,omitempty"`
		Weight float64    `json:"weight"`
		Cheap  bool       `json:"cheap,omitempty"`
		Solid  float64    `json:"solid,omitempty"`
		Limit  *limitForm `json:"limit,omitempty"`
	}
	poolForm struct {
		Name     string  `json:"name"`
		Kind     string  `json:"kind"`
		Model    string  `json:"model,omitempty"`
		Version  string  `json:"version,omitempty"`
		Slots    int     `json:"slots"`
		Min      int     `json:"min,omitempty"`
		Max      int     `json:"max,omitempty"`
		Headroom float64 `json:"headroom,omitempty"`
	}
	routeForm struct {
		Name      string   `json:"name"`
		Model     string   `json:"model,omitempty"`
		Path      string   `json:"path,omitempty"`
		Methods   []string `json:"methods,omitempty"`
		Pool      string   `json:"pool"`
		Class     string   `json:"class"`
		Classes   []string `json:"classes,omitempty"`
		Customers []string `json:"customers,omitempty"`
		Open      bool     `json:"open,omitempty"`
		Repeat    bool     `json:"repeat"`
		Body      int      `json:"body"`
		Timeout   string   `json:"timeout"`
		Expiry    string   `json:"expiry"`
	}
)

// section is one top-level list of the canonical form, with the name and the JSON of each object.
type section struct {
	name  string
	names []string
	lines []string
}

// Canonical returns the document as standard JSON with defaults written out, lists sorted by name and one object
// per line. Two documents with the same canonical form are equivalent. Routes keep their order, because the order
// of the routes for one model or path decides which of them is chosen.
func (d *Document) Canonical() []byte {
	var b bytes.Buffer
	b.WriteString("{\n")
	for i, s := range d.sections() {
		if i > 0 {
			b.WriteString(",\n")
		}
		b.WriteString(`"` + s.name + "\":[\n" + strings.Join(s.lines, ",\n") + "\n]")
	}
	b.WriteString("\n}\n")
	return b.Bytes()
}

func (d *Document) sections() []section {
	customers := slices.SortedFunc(slices.Values(d.customers), func(a, b *Customer) int { return strings.Compare(a.name, b.name) })
	classes := slices.SortedFunc(slices.Values(d.classes), func(a, b *Class) int { return strings.Compare(a.name, b.name) })
	pools := slices.SortedFunc(slices.Values(d.pools), func(a, b *Pool) int { return strings.Compare(a.name, b.name) })
	return []section{
		newSection("customers", customers, (*Customer).Name, customerFormOf),
		newSection("classes", classes, (*Class).Name, classFormOf),
		newSection("pools", pools, (*Pool).Name, poolFormOf),
		newSection("routes", d.routes, (*Route).Name, routeFormOf),
	}
}

func newSection[T any, F any](name string, items []*T, nameOf func(*T) string, form func(*T) F) section {
	return section{
		name:  name,
		names: lo.Map(items, func(t *T, _ int) string { return nameOf(t) }),
		lines: lo.Map(items, func(t *T, _ int) string { return encode(form(t)) }),
	}
}

func encode(v any) string {
	b, err := json.Marshal(v)
	if err != nil {
		panic("document: canonical form: " + err.Error()) // the structs hold only strings, finite numbers and booleans
	}
	return string(b)
}

func limitFormOf(l Limit) *limitForm {
	if l == (Limit{}) {
		return nil
	}
	return &limitForm{Rate: l.rate, Tokens: l.tokensPerMinute, Open: l.maxInFlight}
}

func customerFormOf(c *Customer) customerForm {
	return customerForm{Name: c.name, Weight: c.weight, Limit: limitFormOf(c.limit)}
}

func classFormOf(c *Class) classForm {
	return classForm{
		Name: c.name, Tier: c.tier,
		First: optionalDuration(c.firstToken), Gap: optionalDuration(c.tokenGap), Whole: optionalDuration(c.total), Wait: optionalDuration(c.maxQueueTime),
		Share: c.guaranteedShare, Weight: c.weight, Cheap: c.allowsReclaimable, Solid: c.durableShare, Limit: limitFormOf(c.limit),
	}
}

func poolFormOf(p *Pool) poolForm {
	return poolForm{
		Name: p.name, Kind: p.kind, Model: p.model, Version: p.version,
		Slots: p.slots, Min: p.min, Max: p.max, Headroom: p.headroom,
	}
}

func routeFormOf(r *Route) routeForm {
	return routeForm{
		Name: r.name, Model: r.model, Path: r.path, Methods: r.methods, Pool: r.pool,
		Class: r.class, Classes: r.classes, Customers: r.customers, Open: r.allowsAnonymous, Repeat: r.repeatable,
		Body: r.maxBodyBytes, Timeout: optionalDuration(r.timeout), Expiry: optionalDuration(r.claimExpiry),
	}
}

func optionalDuration(d time.Duration) string {
	if d == 0 {
		return ""
	}
	return formatDuration(d)
}
