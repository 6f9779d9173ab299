package upstream

import (
	"context"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"hickorypath/internal/core/sockopt"
)

// dialTimeout bounds the opening of a connection. It leaves time for one retransmission, since a lost SYN is
// sent again after 1 s.
const dialTimeout = 1200 * time.Millisecond

// socketBuffer is the size of the kernel's buffers of a connection, which otherwise grow to megabytes while the host does not read because its
// client does not.
const socketBuffer = 64 << 10

// Dialer opens connections that detect an unresponsive peer.
type Dialer struct {
	dial func(ctx context.Context, address string) (net.Conn, error)
}

// NewDialer returns a Dialer with the timeout above.
func NewDialer() *Dialer {
	limitBuffers := sockopt.ControlBuffers(socketBuffer)
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: sockopt.KeepAlive(), Control: func(network, address string, raw syscall.RawConn) error {
		return errors.CombineErrors(sockopt.Control(network, address, raw), limitBuffers(network, address, raw))
	}}
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
