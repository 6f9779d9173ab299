package store

import (
	"context"
	"time"
)

// Backend is the set of calls through which a Client reaches a key-value service. Each function makes one
// call, without retries.
//
// Errors carry a kind: Missing (no such key, or no such lease), Conflict (the condition does not hold),
// Store (the call was refused or not sent, so it had no effect), Unknown (the call was sent, its outcome is
// not known). Watch returns an error of kind Missing when the service no longer keeps the events after the revision.
type Backend struct {
	Get    func(ctx context.Context, key string) (Entry, error)
	Put    func(ctx context.Context, w Write) (revision uint64, err error)
	Delete func(ctx context.Context, key string, cond Condition) error
	List   func(ctx context.Context, prefix string) ([]Entry, uint64, error)
	// Watch waits for events after a revision until there are some or ctx ends. It returns the events and the
	// revision up to which they are complete.
	Watch  func(ctx context.Context, prefix string, after uint64) ([]Event, uint64, error)
	Grant  func(ctx context.Context, ttl time.Duration) (lease uint64, err error)
	Renew  func(ctx context.Context, lease uint64) error
	Revoke func(ctx context.Context, lease uint64) error
}

// Write is one conditional write.
type Write struct {
	Key   string
	Value []byte
	Cond  Condition
	Lease uint64 // lease whose end removes the key; zero for none
}
