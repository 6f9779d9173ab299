package key

import (
	"crypto/sha256"
	"crypto/subtle"
	"slices"
	"strings"
	"sync"

	"hickorypath/internal/core/kind"
)

// Table holds the key records that a host has received. It is safe for concurrent use.
type Table struct {
	mu            sync.RWMutex
	records       map[numericID]packedRecord
	watches       map[numericID]*watch
	customerNames map[string]string // each customer name maps to the one copy that all its records share
}

// packedRecord is a record as stored in Table. Its only pointer is that of the shared customer name, which avoids cache
// misses.
type packedRecord struct {
	hash      Hash
	customer  string
	issued    int64
	withdrawn int64
	version   uint64
}

// watch holds the channel that signals the withdrawal of a key to the running calls that use it.
type watch struct {
	withdrawn chan struct{}
	watchers  int
}

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{
		records:       make(map[numericID]packedRecord),
		watches:       make(map[numericID]*watch),
		customerNames: make(map[string]string),
	}
}

// Lookup returns the customer and the id of the key with the given clear text. The error is of kind BadKey or
// Withdrawn. The hash of the key is compared in constant time, so the duration of Lookup does not reveal how much of
// a wrong secret is correct.
func (t *Table) Lookup(clear string) (customer, id string, err error) {
	id, ok := idOf(clear)
	n, valid := parseID(id)
	if !ok || !valid {
		return "", "", kind.New(kind.BadKey, "the key is not known")
	}
	var text [clearSize]byte
	copy(text[:], clear)
	sum := sha256.Sum256(text[:])
	t.mu.RLock()
	h, known := t.records[n]
	t.mu.RUnlock()
	if !known || subtle.ConstantTimeCompare(sum[:], h.hash[:]) != 1 {
		return "", "", kind.New(kind.BadKey, "the key is not known")
	}
	if h.withdrawn != 0 {
		return "", id, kind.New(kind.Withdrawn, "the key was withdrawn")
	}
	return h.customer, id, nil
}

// Records returns all records, sorted by id.
func (t *Table) Records() []Record {
	t.mu.RLock()
	defer t.mu.RUnlock()
	all := make([]Record, 0, len(t.records))
	for n, h := range t.records {
		all = append(all, h.record(n))
	}
	slices.SortFunc(all, func(a, b Record) int { return strings.Compare(a.id, b.id) })
	return all
}

// Put stores a record if its version is higher than that of the stored record of the same key, and reports whether
// it did. A withdrawal closes the channel that Watch returned for the key.
func (t *Table) Put(rec Record) bool {
	n, valid := parseID(rec.id)
	if !valid {
		return false
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.records[n].version >= rec.version {
		return false
	}
	rec.customer = t.intern(rec.customer)
	t.records[n] = pack(rec)
	if w := t.watches[n]; w != nil && !rec.withdrawn.IsZero() {
		close(w.withdrawn)
		delete(t.watches, n)
	}
	return true
}

func (t *Table) intern(name string) string {
	if shared, ok := t.customerNames[name]; ok {
		return shared
	}
	t.customerNames[name] = name
	return name
}

// Get returns the record with the given id and reports whether there is one.
func (t *Table) Get(id string) (Record, bool) {
	n, valid := parseID(id)
	t.mu.RLock()
	defer t.mu.RUnlock()
	h, known := t.records[n]
	if !valid || !known {
		return Record{}, false
	}
	return h.record(n), true
}

// Range calls fn for each record, in no particular order, until fn returns false. fn must not call Put.
func (t *Table) Range(fn func(Record) bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for n, h := range t.records {
		if !fn(h.record(n)) {
			return
		}
	}
}

// Len returns the number of records, including those of withdrawn keys.
func (t *Table) Len() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.records)
}

// Watch returns a channel that is closed when the key is withdrawn. The channel is already closed if the key was
// withdrawn before or is unknown. The caller must call stop when the call that uses the key has ended.
func (t *Table) Watch(id string) (gone <-chan struct{}, stop func()) {
	n, valid := parseID(id)
	t.mu.Lock()
	defer t.mu.Unlock()
	h, known := t.records[n]
	if !valid || !known || h.withdrawn != 0 {
		return closedChannel, func() {}
	}
	w := t.watches[n]
	if w == nil {
		w = &watch{withdrawn: make(chan struct{})}
		t.watches[n] = w
	}
	w.watchers++
	return w.withdrawn, sync.OnceFunc(func() { t.unwatch(n, w) })
}

func (t *Table) unwatch(n numericID, w *watch) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w.watchers--
	if w.watchers == 0 && t.watches[n] == w {
		delete(t.watches, n)
	}
}

// closedChannel is the channel that Watch returns for a withdrawn or unknown key.
var closedChannel = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()
