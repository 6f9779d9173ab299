package lease

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"hickorypath/internal/core/sockopt"
	"hickorypath/internal/core/tcpconn"
)

// Send sends a request on a connection of its own and checks the lease directly before each write to the
// socket. The connection is reset when the request ends, by its timeout or with the process, so that nothing
// arrives after the end of the validity that was checked. While the process is stopped it cannot reset the connection;
// the kernel drops data then that the other end does not acknowledge within timeout.
//
// The error has kind LeaseNotHeld if the check refused a write, so that the request was not sent completely,
// Unavailable if nothing was sent, and Lost if the request may have arrived.
func Send(req *http.Request, timeout time.Duration, check func() error) (*http.Response, error) {
	ctx, cancel := context.WithTimeout(req.Context(), timeout)
	g := &writeGuard{check: check}
	client := &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			c, err := dial(ctx, network, addr, timeout)
			if err != nil {
				return nil, err
			}
			return &guardedConn{Conn: tcpconn.NewClient(c), guard: g}, nil
		},
	}}
	resp, err := client.Do(req.WithContext(ctx))
	if err != nil {
		cancel()
		return nil, g.close(err)
	}
	resp.Body = &cancelingBody{ReadCloser: resp.Body, cancel: cancel}
	return resp, nil
}

// dial opens a connection that drops data which stays unacknowledged for timeout.
func dial(ctx context.Context, network, addr string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error { return sockopt.SetUserTimeout(raw, timeout) }}
	return d.DialContext(ctx, network, addr)
}

// guardedConn is a connection that writes through a writeGuard.
type guardedConn struct {
	net.Conn
	guard *writeGuard
}

// Write implements net.Conn.
func (c *guardedConn) Write(p []byte) (int, error) {
	return c.guard.write(c.Conn, p)
}

// cancelingBody is a response body that cancels the context of its request when it is closed.
type cancelingBody struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *cancelingBody) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}
