package key

import (
	"crypto/sha256"
	"crypto/subtle"
	"sync"

	"hickorypath/internal/core/kind"
)

// Table holds the keys that a host knows. It is safe for concurrent use.
type Table struct {
	mu      sync.RWMutex
	records map[string]*held
	watches map[string]*watch
}

// held is the part of a record that look-ups need, without the times' 48 bytes.
type held struct {
	hash      Hash
	customer  string
	issued    int64
	withdrawn int64
	version   uint64
}

// watch is the channel that tells running calls of one key that it was withdrawn.
type watch struct {
	gone  chan struct{}
	users int
}

// NewTable returns an empty Table.
func NewTable() *Table {
	return &Table{records: make(map[string]*held), watches: make(map[string]*watch)}
}

// Lookup returns the customer and the id of a clear key. The error is of kind BadKey or Withdrawn.
// The time that it takes does not depend on how much of a wrong secret is right.
func (t *Table) Lookup(clear string) (customer, id string, err error) {
	id, ok := idOf(clear)
	if !ok {
		return "", "", kind.New(kind.BadKey, "the key is not known")
	}
	sum := sha256.Sum256([]byte(clear))
	t.mu.RLock()
	h := t.records[id]
	t.mu.RUnlock()
	if h == nil || subtle.ConstantTimeCompare(sum[:], h.hash[:]) != 1 {
		return "", "", kind.New(kind.BadKey, "the key is not known")
	}
	if h.withdrawn != 0 {
		return "", id, kind.New(kind.Withdrawn, "the key was withdrawn")
	}
	return h.customer, id, nil
}

// Put takes a record in when its version is higher than that of the one held, and reports whether it did.
func (t *Table) Put(rec Record) bool {
	t.mu.Lock()
	defer t.mu.Unlock()
	if old := t.records[rec.id]; old != nil && old.version >= rec.version {
		return false
	}
	t.records[rec.id] = newHeld(rec)
	if w := t.watches[rec.id]; w != nil && !rec.withdrawn.IsZero() {
		close(w.gone)
		delete(t.watches, rec.id)
	}
	return true
}

// Get returns the record of that id.
func (t *Table) Get(id string) (Record, bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	h := t.records[id]
	if h == nil {
		return Record{}, false
	}
	return h.record(id), true
}

// Range calls fn for each record, in no order, until fn returns false. fn must not call Put.
func (t *Table) Range(fn func(Record) bool) {
	t.mu.RLock()
	defer t.mu.RUnlock()
	for id, h := range t.records {
		if !fn(h.record(id)) {
			return
		}
	}
}

// Len returns the number of keys.
func (t *Table) Len() int {
	t.mu.RLock()
	defer t.mu.RUnlock()
	return len(t.records)
}

// Watch returns a channel that closes when the key is withdrawn, at once when it was already or is not
// known. The caller calls stop when its call has ended.
func (t *Table) Watch(id string) (gone <-chan struct{}, stop func()) {
	t.mu.Lock()
	defer t.mu.Unlock()
	h := t.records[id]
	if h == nil || h.withdrawn != 0 {
		return closed, func() {}
	}
	w := t.watches[id]
	if w == nil {
		w = &watch{gone: make(chan struct{})}
		t.watches[id] = w
	}
	w.users++
	return w.gone, sync.OnceFunc(func() { t.unwatch(id, w) })
}

func (t *Table) unwatch(id string, w *watch) {
	t.mu.Lock()
	defer t.mu.Unlock()
	w.users--
	if w.users == 0 && t.watches[id] == w {
		delete(t.watches, id)
	}
}

// closed is the channel of a key that is not in force.
var closed = func() chan struct{} {
	c := make(chan struct{})
	close(c)
	return c
}()
