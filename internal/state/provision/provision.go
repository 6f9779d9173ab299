// Package provision reads the list of upstreams from the platform that provisions them, and sends orders to start
// and stop upstreams to the platform.
package provision

import (
	"context"
	"time"
)

// The values of Upstream.State.
const (
	StateStarting = "starting"
	StateReady    = "ready"
	StateLeaving  = "leaving"
)

// Upstream is an entry of the platform's list of upstreams.
type Upstream struct {
	ID          string    `json:"id"`
	Pool        string    `json:"pool"`
	Zone        string    `json:"zone"`
	Addr        string    `json:"addr"`
	Reclaimable bool      `json:"reclaimable,omitempty"`
	State       string    `json:"state"`
	Deadline    time.Time `json:"deadline,omitzero"` // when the platform removes a leaving upstream
	ChecksFence bool      `json:"checks,omitempty"`  // whether the platform refuses orders whose fencing token is out of date
}

// Equal reports whether u and other are the same in all fields; deadlines are compared as instants.
func (u Upstream) Equal(other Upstream) bool {
	same := u.Deadline.Equal(other.Deadline)
	u.Deadline, other.Deadline = time.Time{}, time.Time{}
	return same && u == other
}

// The values of Order.Action.
const (
	ActionStart = "start"
	ActionStop  = "stop"
)

// Order asks the platform to start or stop one upstream.
type Order struct {
	Action      string `json:"action"`
	Pool        string `json:"pool"`
	Zone        string `json:"zone"`
	Reclaimable bool   `json:"reclaimable,omitempty"`
	Upstream    string `json:"upstream,omitempty"` // identifier of the upstream to stop; empty in an order to start
}

// OrderRequest is an order as it is sent to the platform. The platform acts once on each ID, so that an order may be
// sent again.
type OrderRequest struct {
	ID    string `json:"id"`
	Fence uint64 `json:"fence"` // fencing token of the sender's lease
	Order
}

// Backend is the set of calls through which an Orderer reaches the platform. Order calls check directly before the last
// write to the network, and does not send the request if check returns an error.
//
// Errors of Order carry a kind: Lapsed (not sent, because the lease is no longer valid), Fenced (the fencing token is
// out of date), Refused, Unavailable (the zone has no capacity, or the order was not sent), Rate (too many orders), Lost
// (no response, the order may have been accepted).
type Backend struct {
	List  func(ctx context.Context) ([]Upstream, error)
	Order func(ctx context.Context, c OrderRequest, check func() error) error
	// Find reports whether the order with an id was accepted.
	Find func(ctx context.Context, id string) (bool, error)
}
