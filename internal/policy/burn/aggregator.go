// Package burn counts how fast classes and customers use up the misses that their objectives allow.
//
// The burn of a window is the share of calls that missed a target, divided by the share that the
// objective allows: at 1 the allowance lasts exactly as long as planned, at 20 every call of a class
// with an objective of 95% misses. The package is pure; the time is passed in. Its memory is bounded,
// and counts lie in cells that start at fixed times, so that those of several hosts can be added.
package burn

import (
	"time"
)

// Objective is the share of calls that must meet their targets.
const Objective = 0.95

// DefaultMaxPairs bounds the pairs of customer and class that a Book tells apart.
const DefaultMaxPairs = 40_000

// OtherCustomers stands for the customers beyond the limit of a Book.
const OtherCustomers = "(other)"

// Class holds the targets of a class; zero means none.
type Class struct {
	Name       string
	FirstToken time.Duration
	TokenGap   time.Duration
	Total      time.Duration
}

// Call is a finished, failed or refused call. Gap is the 95th percentile of the time between tokens.
type Call struct {
	Customer     string
	Class        string
	Pool         string
	FirstToken   time.Duration
	TokenGap     time.Duration
	Total        time.Duration
	OutputTokens int  // tokens delivered
	WastedTokens int  // tokens computed and not delivered
	Missed       bool // refused or failed, whatever its times
}

// Config are the settings of a Book.
type Config struct {
	Classes  []Class
	MaxPairs int // pairs of customer and class; 0 means DefaultLimit
}

// Aggregator holds the counts of one host, or the sum over several. It is not safe for concurrent use.
type Aggregator struct {
	classes map[string]Class
	limit   int
	pairs   int
	rows    map[rowKey]*series

	forgotten int64 // the slot of the last search for empty rows
}

// scope tells what a row counts.
type scope uint8

const (
	scopeClass scope = iota
	scopePair
	scopePool
)

// rowKey names a row: a class, a customer and its class, or a pool.
type rowKey struct {
	scope scope
	name  string
	class string
}

// New returns an empty Book.
func New(c Config) *Aggregator {
	b := &Aggregator{limit: c.MaxPairs, rows: make(map[rowKey]*series)}
	if b.limit <= 0 {
		b.limit = DefaultMaxPairs
	}
	b.SetClasses(c.Classes)
	return b
}

// SetClasses replaces the targets; what was counted stays.
func (b *Aggregator) SetClasses(classes []Class) {
	b.classes = make(map[string]Class, len(classes))
	for _, c := range classes {
		b.classes[c.Name] = c
	}
}

// Add counts a call that ended at now and tells whether it met the targets of its class.
func (b *Aggregator) Add(now time.Time, c Call) (met bool) {
	met = b.classes[c.Class].meets(c)
	n := cell{Calls: 1, Output: uint64(max(c.OutputTokens, 0)), Wasted: uint64(max(c.WastedTokens, 0))}
	if met {
		n.Met = 1
		n.Good = n.Output
	}
	b.row(now, rowKey{scope: scopeClass, name: c.Class}).add(now, n)
	b.row(now, rowKey{scope: scopePair, name: c.Customer, class: c.Class}).add(now, n)
	if c.Pool != "" {
		b.row(now, rowKey{scope: scopePool, name: c.Pool}).add(now, n)
	}
	return met
}

// AddUpstreamTime counts the time for which upstreams of a pool were paid. One host counts for each pool.
func (b *Aggregator) AddUpstreamTime(now time.Time, pool string, reclaimable bool, paid time.Duration) {
	n := cell{Durable: paid.Seconds()}
	if reclaimable {
		n = cell{Cheap: paid.Seconds()}
	}
	b.row(now, rowKey{scope: scopePool, name: pool}).add(now, n)
}

// meets tells whether a call met all targets of the class.
func (c Class) meets(call Call) bool {
	return !call.Missed && within(call.FirstToken, c.FirstToken) && within(call.TokenGap, c.TokenGap) && within(call.Total, c.Total)
}

func within(d, target time.Duration) bool { return target == 0 || d <= target }

// row returns the series of k, that of Other when the pairs are at their limit.
func (b *Aggregator) row(now time.Time, k rowKey) *series {
	if s, ok := b.rows[k]; ok {
		return s
	}
	if k.scope == scopePair && b.pairs >= b.limit {
		b.forget(now)
	}
	if k.scope == scopePair && b.pairs >= b.limit {
		k.name = OtherCustomers
		if s, ok := b.rows[k]; ok {
			return s
		}
	}
	s := newSeries(k.scope)
	b.rows[k] = s
	if k.scope == scopePair && k.name != OtherCustomers {
		b.pairs++
	}
	return s
}

// forget removes the rows whose cells have all left the longest window. It looks at most once in the
// width of a narrow cell, so that a full book does not scan its rows for each call.
func (b *Aggregator) forget(now time.Time) {
	mark := slotAt(now, layout[0].width)
	if b.forgotten == mark {
		return
	}
	b.forgotten = mark
	for k, s := range b.rows {
		if !s.isEmpty(now) {
			continue
		}
		delete(b.rows, k)
		if k.scope == scopePair && k.name != OtherCustomers {
			b.pairs--
		}
	}
}
