package upstream

import (
	"context"
	"net"
	"time"

	"hickorypath/internal/core/sockopt"
)

// dialTimeout bounds the opening of a connection. It leaves time for one retransmission, since a lost SYN is
// sent again after 1 s.
const dialTimeout = 1200 * time.Millisecond

// Dialer opens connections that detect an unresponsive peer.
type Dialer struct {
	dial func(ctx context.Context, address string) (net.Conn, error)
}

// NewDialer returns a Dialer with the timeout above.
func NewDialer() *Dialer {
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: sockopt.KeepAlive(), Control: sockopt.Control}
	return NewDialerFunc(func(ctx context.Context, address string) (net.Conn, error) {
		return d.DialContext(ctx, "tcp4", address)
	})
}

// NewDialerFunc returns a Dialer that opens connections with dial.
func NewDialerFunc(dial func(ctx context.Context, address string) (net.Conn, error)) *Dialer {
	return &Dialer{dial: dial}
}

// Dial opens a connection to an address of an IP and a port.
func (d *Dialer) Dial(ctx context.Context, address string) (net.Conn, error) {
	return d.dial(ctx, address)
}
