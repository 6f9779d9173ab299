package usage

import (
	"cmp"
	"slices"
	"unique"
)

// Record is the usage of one request.
type Record struct {
	RequestID string // a second record with the same id is ignored
	Customer  string
	Class     string
	Route     string
	Model     string
	Prompt    int // prompt tokens
	Output    int // output tokens delivered
	Wasted    int // output tokens generated but not delivered; not billed
}

// Row is the usage of one customer, class, route and model. It is encoded as an array without field names,
// since rows are most of what is written to the store.
type Row struct {
	_        struct{} `cbor:",toarray"`
	Customer string   `json:"customer"`
	Class    string   `json:"class"`
	Route    string   `json:"route"`
	Model    string   `json:"model"`
	Requests int      `json:"requests"`
	Prompt   int      `json:"prompt"`
	Output   int      `json:"output"`
	Wasted   int      `json:"wasted"`
}

type rowKey struct{ customer, class, route, model string }

type counts struct{ requests, prompt, output, wasted int }

func (s counts) add(o counts) counts {
	return counts{s.requests + o.requests, s.prompt + o.prompt, s.output + o.output, s.wasted + o.wasted}
}

// interned returns the key with interned strings, since each decoded row has its own copies of them.
func (k rowKey) interned() rowKey {
	share := func(s string) string { return unique.Make(s).Value() }
	return rowKey{share(k.customer), share(k.class), share(k.route), share(k.model)}
}

// totals holds the sum of usage for each row key.
type totals map[rowKey]counts

func newTotals(rows []Row) totals {
	t := make(totals, len(rows))
	t.addRows(rows)
	return t
}

func (r Record) key() rowKey { return rowKey{r.Customer, r.Class, r.Route, r.Model} }

// unionSize returns the number of different row keys in both totals together.
func (t totals) unionSize(o totals) int {
	n := len(t)
	for k := range o {
		if _, ok := t[k]; !ok {
			n++
		}
	}
	return n
}

func (t totals) addRecord(r Record) {
	k := r.key()
	t[k] = t[k].add(counts{1, r.Prompt, r.Output, r.Wasted})
}

func (t totals) addRows(rows []Row) {
	for _, r := range rows {
		k := rowKey{r.Customer, r.Class, r.Route, r.Model}
		before, ok := t[k]
		if !ok {
			k = k.interned()
		}
		t[k] = before.add(counts{r.Requests, r.Prompt, r.Output, r.Wasted})
	}
}

func (t totals) addTotals(o totals) {
	for k, s := range o {
		t[k] = t[k].add(s)
	}
}

// rows returns the totals as rows in a fixed order.
func (t totals) rows() []Row {
	out := make([]Row, 0, len(t))
	for k, s := range t {
		out = append(out, Row{
			Customer: k.customer, Class: k.class, Route: k.route, Model: k.model,
			Requests: s.requests, Prompt: s.prompt, Output: s.output, Wasted: s.wasted,
		})
	}
	slices.SortFunc(out, func(a, b Row) int {
		return cmp.Or(
			cmp.Compare(a.Customer, b.Customer), cmp.Compare(a.Class, b.Class),
			cmp.Compare(a.Route, b.Route), cmp.Compare(a.Model, b.Model),
		)
	})
	return out
}
