package configsync

import "sync/atomic"

// Readiness records whether a host has loaded all keys and the document since it started. It is safe for concurrent
// use.
type Readiness struct {
	ready atomic.Bool
}

// NewReadiness returns a Readiness for a host that is not ready.
func NewReadiness() *Readiness { return &Readiness{} }

// Set marks the host as ready: the host has read all keys and the document from the store, or holds the same records
// as a host that is ready.
func (r *Readiness) Set() { r.ready.Store(true) }

// IsReady reports whether Set was called.
func (r *Readiness) IsReady() bool { return r.ready.Load() }
