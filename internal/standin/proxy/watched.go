package proxy

import "net"

// WatchedConn is a connection that closes Closed when it has been closed. It can be closed once.
type WatchedConn struct {
	net.Conn
	Closed chan struct{}
}

// Close implements net.Conn.
func (c *WatchedConn) Close() error {
	defer close(c.Closed)
	return c.Conn.Close()
}

// NetConn returns the connection that c uses.
func (c *WatchedConn) NetConn() net.Conn { return c.Conn }
