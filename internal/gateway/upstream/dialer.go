package upstream

import (
	"context"
	"net"
	"syscall"
	"time"

	"hickorypath/internal/core/sockopt"
)

const (
	// dialTimeout bounds the opening of a connection. It leaves time for one retransmission, since a lost SYN is
	// sent again after 1 s.
	dialTimeout = 1200 * time.Millisecond
	// probeInterval and probeCount configure the TCP keep-alive probes, which detect an unresponsive peer while
	// nothing is sent.
	probeInterval = time.Second
	probeCount    = 2
	// ackTimeout is how long sent bytes may stay unacknowledged before the connection is closed.
	ackTimeout = 2500 * time.Millisecond
)

// Dialer opens connections that detect an unresponsive peer.
type Dialer struct {
	dial func(ctx context.Context, address string) (net.Conn, error)
}

// NewDialer returns a Dialer with the timeouts above.
func NewDialer() *Dialer {
	d := net.Dialer{
		Timeout:         dialTimeout,
		KeepAliveConfig: net.KeepAliveConfig{Enable: true, Idle: probeInterval, Interval: probeInterval, Count: probeCount},
		Control:         func(_, _ string, raw syscall.RawConn) error { return sockopt.SetUserTimeout(raw, ackTimeout) },
	}
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
