package tcpconn

import (
	"net"
	"sync/atomic"
)

// ClientConn is the client's end of a connection, which carries one request at a time. While a request is under way, Close resets the
// connection, and so does the end of the process: after an orderly close the kernel would go on sending what was written, also seconds
// later when a partition has healed. A ClientConn is safe for concurrent use.
type ClientConn struct {
	net.Conn
	request atomic.Pointer[request] // under way; nil for none
}

// request identifies a request, so that its end is not taken for that of a later one. It is not empty, as pointers to empty values may be equal.
type request struct{ _ byte }

// NewClient returns a ClientConn that uses c. Its first request counts as under way.
func NewClient(c net.Conn) *ClientConn {
	client := &ClientConn{Conn: c}
	client.request.Store(new(request))
	client.setLinger(0)
	return client
}

// Begin records that a request is under way from now on. The returned function ends it if no later one has begun. It is called when the
// response is complete, or nothing of the request was written.
func (c *ClientConn) Begin() (end func()) {
	r := new(request)
	c.request.Store(r)
	return func() { c.request.CompareAndSwap(r, nil) }
}

// Close implements net.Conn.
func (c *ClientConn) Close() error {
	if c.request.Load() == nil {
		c.setLinger(-1)
	}
	return c.Conn.Close()
}

// NetConn returns the connection that was passed to NewClient.
func (c *ClientConn) NetConn() net.Conn { return c.Conn }

// setLinger sets SO_LINGER as net.TCPConn.SetLinger does. It fails only if the connection is closed, and does nothing if c uses no TCP.
func (c *ClientConn) setLinger(seconds int) {
	for conn := c.Conn; ; {
		if t, ok := conn.(interface{ SetLinger(int) error }); ok {
			_ = t.SetLinger(seconds)
			return
		}
		inner, ok := conn.(interface{ NetConn() net.Conn })
		if !ok {
			return
		}
		conn = inner.NetConn()
	}
}
