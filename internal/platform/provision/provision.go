// Package provision meets the platform's interface that lists upstreams and takes orders for them.
//
// Orders are given only under a lease. Each one has an intent in the store before it is sent, and an id
// that makes a repeat idempotent, so that the next holder can find out what became of it.
package provision

import (
	"context"
	"time"
)

// State is the state of an upstream as the platform lists it.
type State string

// The states of an upstream.
const (
	Starting State = "starting"
	Ready    State = "ready"
	Leaving  State = "leaving" // stops at its deadline
)

// Upstream is one line of the platform's list.
type Upstream struct {
	ID          string    `json:"id"`
	Pool        string    `json:"pool"`
	Zone        string    `json:"zone"`
	Addr        string    `json:"addr"` // IP number and port
	Reclaimable bool      `json:"reclaimable"`
	State       State     `json:"state"`
	Deadline    time.Time `json:"deadline,omitzero"` // of a leaving upstream
	Checks      bool      `json:"checks"`            // refuses orders with an old fencing number
}

// Listing is the list at one version; versions rise with each change.
type Listing struct {
	Version   uint64     `json:"version"`
	Upstreams []Upstream `json:"upstreams"`
}

// Action is what an order asks for.
type Action string

// The actions.
const (
	Start Action = "start"
	Stop  Action = "stop"
)

// Order asks the platform for a change of one pool.
type Order struct {
	ID          string `json:"id"`
	Fence       uint64 `json:"fence"`
	Action      Action `json:"action"`
	Pool        string `json:"pool"`
	Zone        string `json:"zone,omitempty"`
	Reclaimable bool   `json:"reclaimable,omitempty"`
	Upstream    string `json:"upstream,omitempty"`
	Model       string `json:"model,omitempty"`
	Version     string `json:"version,omitempty"`
}

// Backend is one way to reach the platform.
type Backend struct {
	// List waits until the list is newer than version or wait is over, and returns it.
	List func(ctx context.Context, version uint64, wait time.Duration) (Listing, error)
	// Order sends an order; check is called directly before each write and an error of it stops the
	// order. Errors: Lapsed and Unavailable (not sent), Lost (outcome unknown), Fenced, Refused.
	Order func(ctx context.Context, o Order, check func() error) error
	// Known reports whether the platform has taken an order with this id.
	Known func(ctx context.Context, id string) (bool, error)
}

// Times of the watch.
const (
	watchWait  = 10 * time.Second
	retryDelay = 500 * time.Millisecond
)

// Watch calls fn with the list and with each newer one until ctx ends. While the platform cannot be
// reached the last list stays in use.
func Watch(ctx context.Context, b Backend, fn func([]Upstream)) {
	var version uint64
	for ctx.Err() == nil {
		list, err := b.List(ctx, version, watchWait)
		if err != nil {
			pause(ctx, retryDelay)
			continue
		}
		if list.Version == version {
			continue
		}
		version = list.Version
		fn(list.Upstreams)
	}
}

func pause(ctx context.Context, d time.Duration) {
	timer := time.NewTimer(d)
	defer timer.Stop()
	select {
	case <-ctx.Done():
	case <-timer.C:
	}
}
