package reply

import (
	"net"
	"net/http"
)

// Abort ends a response that has started and cannot be completed, in a way that the caller notices. It does not return:
// it panics with http.ErrAbortHandler.
//
// A response to an HTTP/1.0 caller ends with its connection, which is therefore reset.
func Abort(w http.ResponseWriter, r *http.Request) {
	if !r.ProtoAtLeast(1, 1) {
		if conn, _, err := http.NewResponseController(w).Hijack(); err == nil {
			reset(conn)
		}
	}
	panic(http.ErrAbortHandler)
}

// reset closes a connection with a TCP reset. A TLS connection is closed without its closing alert.
func reset(conn net.Conn) {
	if t, ok := conn.(interface{ NetConn() net.Conn }); ok {
		conn = t.NetConn()
	}
	if t, ok := conn.(*net.TCPConn); ok {
		_ = t.SetLinger(0) // Close still ends the connection
	}
	_ = conn.Close() // nothing more is sent
}
