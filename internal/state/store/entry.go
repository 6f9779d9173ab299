package store

// Entry is one key with its value. Revisions are numbered over the whole store: each write gets a higher one
// than all writes before.
type Entry struct {
	key      string
	value    []byte
	revision uint64
}

// NewEntry returns an Entry, for implementations of Backend.
func NewEntry(key string, value []byte, revision uint64) Entry {
	return Entry{key: key, value: value, revision: revision}
}

// Key returns the key.
func (e Entry) Key() string { return e.key }

// Value returns the value. Entries returned by a Client have their envelope removed.
func (e Entry) Value() []byte { return e.value }

// Revision returns the store-wide revision of the last write to the key.
func (e Entry) Revision() uint64 { return e.revision }

// Event is one change of a key.
type Event struct {
	entry   Entry
	deleted bool
}

// NewEvent returns an Event, for implementations of Backend.
func NewEvent(e Entry, deleted bool) Event { return Event{entry: e, deleted: deleted} }

// Entry returns the entry after the change; the entry of a deleted key has no value.
func (e Event) Entry() Entry { return e.entry }

// Key returns the changed key.
func (e Event) Key() string { return e.entry.key }

// Value returns the new value, or nil if the key was deleted.
func (e Event) Value() []byte { return e.entry.value }

// Revision returns the revision of the change.
func (e Event) Revision() uint64 { return e.entry.revision }

// Deleted reports whether the change removed the key.
func (e Event) Deleted() bool { return e.deleted }

// Mode is the kind of a Condition.
type Mode string

// The modes of a Condition.
const (
	ModeAny    Mode = "any"    // always holds
	ModeAbsent Mode = "absent" // the key does not exist
	ModeAt     Mode = "at"     // the key was last written at a given revision
)

// Condition is a precondition of a write or delete on the current revision of the key.
type Condition struct {
	mode     Mode
	revision uint64
}

// Any returns a condition that always holds.
func Any() Condition { return Condition{mode: ModeAny} }

// Absent returns the condition that the key does not exist.
func Absent() Condition { return Condition{mode: ModeAbsent} }

// At returns the condition that the key was last written at revision.
func At(revision uint64) Condition { return Condition{mode: ModeAt, revision: revision} }

// Mode returns the mode of c.
func (c Condition) Mode() Mode { return c.mode }

// Revision returns the expected revision of a condition of mode ModeAt.
func (c Condition) Revision() uint64 { return c.revision }

// Holds reports whether a key whose last write was at revision meets c; revision zero stands for an absent key.
func (c Condition) Holds(revision uint64) bool {
	switch c.mode {
	case ModeAbsent:
		return revision == 0
	case ModeAt:
		return revision == c.revision && revision != 0
	default:
		return true
	}
}
