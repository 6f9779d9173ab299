// Package leader performs the tasks that one host, the leader, does for the whole fleet: it reports usage and requests
// upstreams.
//
// The host that holds the fleet's lease is the leader. Every call carries the fencing token of the lease, and the lease
// is checked to be valid immediately before the call is written to the connection.
package leader

import (
	"context"
	"io"
	"net/http"
	"time"

	"hickorypath/internal/state/lease"
)

// LeaseHolder identifies the host that makes a call, by its name and the fencing token of its lease.
type LeaseHolder struct {
	Name         string
	FencingToken uint64
}

// UsageReport is the usage of the whole fleet in one window.
type UsageReport struct {
	Window int64
	Counts map[string]int // requests that upstreams started to run, by customer
}

// ScaleRequest asks the platform for a number of upstreams of a service in an availability zone.
type ScaleRequest struct {
	Service      string
	Zone         string
	DesiredCount int
	Spot         bool // DesiredCount is for spot upstreams, which cost less and may be reclaimed
}

// ControlAPI builds the requests of the platform's control API, and maps the status of a response to an error.
type ControlAPI struct {
	NewUsageRequest func(ctx context.Context, h LeaseHolder, r UsageReport) (*http.Request, error)
	NewScaleRequest func(ctx context.Context, h LeaseHolder, r ScaleRequest) (*http.Request, error)
	CheckStatus     func(status int) error
}

// callTimeout bounds one call. A call without a response in this time is abandoned and later repeated unchanged.
const callTimeout = 600 * time.Millisecond

// send makes one call of the control API with the token of the lease, after the store has confirmed the lease.
func send(ctx context.Context, token lease.Token, c ControlAPI, newRequest func(LeaseHolder) (*http.Request, error), name string) error {
	if err := token.Confirm(ctx); err != nil {
		return err
	}
	req, err := newRequest(LeaseHolder{Name: name, FencingToken: token.FencingToken()})
	if err != nil {
		return err
	}
	resp, err := lease.Send(req, callTimeout, func() error { return token.Valid(callTimeout) })
	if err != nil {
		return err
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, io.LimitReader(resp.Body, maxResponseBytes)) // only the status is needed
	return c.CheckStatus(resp.StatusCode)
}

// maxResponseBytes bounds the bytes that are read of a response.
const maxResponseBytes = 4 << 10
