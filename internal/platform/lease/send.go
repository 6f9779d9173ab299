package lease

import (
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"hickorypath/internal/core/kind"
)

// Send sends a request on a connection of its own and checks the lease again directly before
// each write to the socket. Data that the other end does not acknowledge within timeout is
// dropped by the kernel, so that nothing arrives after the validity that was checked.
//
// The error has kind Lapsed when the request was not sent whole, Unavailable when it was not sent
// at all, and Lost when it may have arrived.
func Send(req *http.Request, timeout time.Duration, check func() error) (*http.Response, error) {
	ctx, cancel := context.WithTimeout(req.Context(), timeout)
	client := &http.Client{Transport: &http.Transport{
		DisableKeepAlives: true,
		DialContext: func(ctx context.Context, network, addr string) (net.Conn, error) {
			return dial(ctx, network, addr, timeout, check)
		},
	}}
	resp, err := client.Do(req.WithContext(ctx))
	if err != nil {
		cancel()
		return nil, sendError(err)
	}
	resp.Body = &body{ReadCloser: resp.Body, cancel: cancel}
	return resp, nil
}

func sendError(err error) error {
	var known *kind.Error
	if errors.As(err, &known) && known.Kind() == kind.Lapsed {
		return known
	}
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return kind.Wrap(err, kind.Unavailable, "not sent")
	}
	return kind.Wrap(err, kind.Lost, "sent without an answer")
}

func dial(ctx context.Context, network, addr string, timeout time.Duration, check func() error) (net.Conn, error) {
	d := net.Dialer{Control: func(_, _ string, raw syscall.RawConn) error {
		var set error
		err := raw.Control(func(fd uintptr) {
			set = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(timeout.Milliseconds()))
		})
		return errors.CombineErrors(err, set)
	}}
	c, err := d.DialContext(ctx, network, addr)
	if err != nil {
		return nil, err
	}
	return &conn{Conn: c, check: check}, nil
}

// conn checks the lease before each write.
type conn struct {
	net.Conn
	check func() error
}

// Write implements net.Conn.
func (c *conn) Write(p []byte) (int, error) {
	if err := c.check(); err != nil {
		return 0, err
	}
	return c.Conn.Write(p)
}

// body ends the context of a request when its answer is closed.
type body struct {
	io.ReadCloser
	cancel context.CancelFunc
}

// Close implements io.Closer.
func (b *body) Close() error {
	defer b.cancel()
	return b.ReadCloser.Close()
}
