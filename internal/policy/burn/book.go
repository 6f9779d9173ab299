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

// DefaultLimit bounds the pairs of customer and class that a Book tells apart.
const DefaultLimit = 40_000

// Other stands for the customers beyond the limit of a Book.
const Other = "(other)"

// Class holds the targets of a class; zero means none.
type Class struct {
	Name  string
	First time.Duration
	Gap   time.Duration
	Whole time.Duration
}

// Call is a finished, failed or refused call. Gap is the 95th percentile of the time between tokens.
type Call struct {
	Customer string
	Class    string
	Pool     string
	First    time.Duration
	Gap      time.Duration
	Whole    time.Duration
	Output   int  // tokens delivered
	Wasted   int  // tokens computed and not delivered
	Missed   bool // refused or failed, whatever its times
}

// Config are the settings of a Book.
type Config struct {
	Classes []Class
	Limit   int // pairs of customer and class; 0 means DefaultLimit
}

// Book holds the counts of one host, or the sum over several. It is not safe for concurrent use.
type Book struct {
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
func New(c Config) *Book {
	b := &Book{limit: c.Limit, rows: make(map[rowKey]*series)}
	if b.limit <= 0 {
		b.limit = DefaultLimit
	}
	b.SetClasses(c.Classes)
	return b
}

// SetClasses replaces the targets; what was counted stays.
func (b *Book) SetClasses(classes []Class) {
	b.classes = make(map[string]Class, len(classes))
	for _, c := range classes {
		b.classes[c.Name] = c
	}
}

// Add counts a call that ended at now and tells whether it met the targets of its class.
func (b *Book) Add(now time.Time, c Call) (met bool) {
	met = b.classes[c.Class].meets(c)
	n := cell{Calls: 1, Output: uint64(max(c.Output, 0)), Wasted: uint64(max(c.Wasted, 0))}
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

// Spend counts the time for which upstreams of a pool were paid. One host counts for each pool.
func (b *Book) Spend(now time.Time, pool string, reclaimable bool, paid time.Duration) {
	n := cell{Durable: paid.Seconds()}
	if reclaimable {
		n = cell{Cheap: paid.Seconds()}
	}
	b.row(now, rowKey{scope: scopePool, name: pool}).add(now, n)
}

// meets tells whether a call met all targets of the class.
func (c Class) meets(call Call) bool {
	return !call.Missed && within(call.First, c.First) && within(call.Gap, c.Gap) && within(call.Whole, c.Whole)
}

func within(d, target time.Duration) bool { return target == 0 || d <= target }

// row returns the series of k, that of Other when the pairs are at their limit.
func (b *Book) row(now time.Time, k rowKey) *series {
	if s, ok := b.rows[k]; ok {
		return s
	}
	if k.scope == scopePair && b.pairs >= b.limit {
		b.forget(now)
	}
	if k.scope == scopePair && b.pairs >= b.limit {
		k.name = Other
		if s, ok := b.rows[k]; ok {
			return s
		}
	}
	s := newSeries(k.scope)
	b.rows[k] = s
	if k.scope == scopePair && k.name != Other {
		b.pairs++
	}
	return s
}

// forget removes the rows whose cells have all left the longest window. It looks at most once in the
// width of a narrow cell, so that a full book does not scan its rows for each call.
func (b *Book) forget(now time.Time) {
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
		if k.scope == scopePair && k.name != Other {
			b.pairs--
		}
	}
}
