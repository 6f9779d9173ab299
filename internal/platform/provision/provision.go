// Package provision reads the platform's list of upstreams and gives it orders for upstreams.
package provision

import (
	"cmp"
	"context"
	"reflect"
	"time"

	"go.uber.org/zap"

	"hickorypath/internal/core/kind"
)

// The states of an Upstream.
const (
	StateStarting = "starting"
	StateReady    = "ready"
	StateLeaving  = "leaving"
)

// Upstream is one upstream as the platform lists it.
type Upstream struct {
	ID          string    `json:"id"`
	Pool        string    `json:"pool"`
	Zone        string    `json:"zone"`
	Addr        string    `json:"addr"`
	Reclaimable bool      `json:"reclaimable,omitempty"`
	State       string    `json:"state"`
	Deadline    time.Time `json:"deadline,omitzero"` // when a leaving upstream goes
	Checks      bool      `json:"checks,omitempty"`  // it refuses orders with an old fence
}

// The actions of an Order.
const (
	ActionStart = "start"
	ActionStop  = "stop"
)

// Order asks for one upstream more or less.
type Order struct {
	Action      string `json:"action"`
	Pool        string `json:"pool"`
	Zone        string `json:"zone"`
	Reclaimable bool   `json:"reclaimable,omitempty"`
	Upstream    string `json:"upstream,omitempty"` // to stop
}

// Command is an order as the platform takes it. The platform acts once on each id.
type Command struct {
	ID    string `json:"id"`
	Fence uint64 `json:"fence"`
	Order
}

// Backend is one way to reach the platform's interface. Order calls check directly before the last
// write and gives up on its error.
//
// Errors of Order carry a kind: Lapsed (not sent), Fenced, Refused, Unavailable (the zone has none, or
// not sent), Rate (too many orders), Lost (may have been accepted).
type Backend struct {
	List  func(ctx context.Context) ([]Upstream, error)
	Order func(ctx context.Context, c Command, check func() error) error
	// Find tells whether a command was accepted.
	Find func(ctx context.Context, id string) (bool, error)
}

// Options are the settings of a Client; zero durations get defaults.
type Options struct {
	Every time.Duration // between readings of the list
	Log   *zap.Logger
}

const defaultEvery = time.Second

// Client reads the list of upstreams.
type Client struct {
	backend Backend
	opts    Options
}

// New returns a Client.
func New(b Backend, o Options) *Client {
	o.Every = cmp.Or(o.Every, defaultEvery)
	if o.Log == nil {
		o.Log = zap.NewNop()
	}
	return &Client{backend: b, opts: o}
}

// List reads the list of upstreams.
func (c *Client) List(ctx context.Context) ([]Upstream, error) {
	ctx, cancel := context.WithTimeout(ctx, defaultTimeout)
	defer cancel()
	return c.backend.List(ctx)
}

// Watch calls fn with the list whenever it changed, until ctx ends. While the platform cannot be
// reached the last list stays in force.
func (c *Client) Watch(ctx context.Context, fn func([]Upstream)) error {
	tick := time.NewTicker(c.opts.Every)
	defer tick.Stop()
	var last []Upstream
	for first := true; ; first = false {
		list, err := c.List(ctx)
		if err != nil {
			c.opts.Log.Warn("list of upstreams not read", zap.Error(err))
		} else if first || !reflect.DeepEqual(list, last) {
			last = list
			fn(list)
		}
		select {
		case <-ctx.Done():
			return kind.Wrap(ctx.Err(), kind.Canceled, "watch of upstreams")
		case <-tick.C:
		}
	}
}
