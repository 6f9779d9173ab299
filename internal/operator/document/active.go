package document

import "sync/atomic"

// Active holds the active document of a host. The revision never decreases. Active is safe for concurrent use.
type Active struct {
	current atomic.Pointer[version]
}

type version struct {
	doc      *Document
	revision uint64
}

// NewActive returns an Active that holds no document and revision 0.
func NewActive() *Active {
	l := &Active{}
	l.current.Store(&version{})
	return l
}

// Load returns the active document and its revision. The document is nil until a call to Apply succeeds.
func (l *Active) Load() (doc *Document, revision uint64) {
	v := l.current.Load()
	return v.doc, v.revision
}

// Apply makes doc the active document and reports whether it did. It does not if doc is nil or revision is not
// higher than the active revision.
func (l *Active) Apply(doc *Document, revision uint64) bool {
	next := &version{doc: doc, revision: revision}
	for {
		active := l.current.Load()
		if doc == nil || revision <= active.revision {
			return false
		}
		if l.current.CompareAndSwap(active, next) {
			return true
		}
	}
}
