package httpclient

import (
	"context"
	"errors"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"sync/atomic"
	"time"

	"hickorypath/internal/core/sockopt"
	"hickorypath/internal/core/tcpconn"
)

// DialFunc opens a connection; it has the signature of net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, addr string) (net.Conn, error)

// dialTimeout bounds the opening of a connection.
const dialTimeout = 2 * time.Second

// NewDialFunc returns a DialFunc that opens TCP connections with keep-alive probes and a time limit on unacknowledged data.
func NewDialFunc() DialFunc {
	d := net.Dialer{Timeout: dialTimeout, KeepAliveConfig: sockopt.KeepAlive(), Control: sockopt.Control}
	return d.DialContext
}

// CountingConn is a connection that counts the bytes written to it, and asks before the first byte of a request.
type CountingConn struct {
	*tcpconn.Conn
	written      atomic.Int64
	guard        atomic.Pointer[func() error] // called before the next write; nil for none
	requestStart atomic.Int64                 // bytes written before the current request; negative if requests are not tracked
	failed       atomic.Pointer[error]        // of the write that failed
	closed       chan struct{}
	close        sync.Once
}

// CountingDial returns a DialFunc that calls dial and returns connections of type *CountingConn.
func CountingDial(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, addr string) (net.Conn, error) {
		c, err := dial(ctx, network, addr)
		if err != nil {
			return nil, err
		}
		counting := &CountingConn{Conn: tcpconn.New(c), closed: make(chan struct{})}
		counting.requestStart.Store(-1)
		return counting, nil
	}
}

// Write counts the bytes before writing them, so that the count is never below the number of bytes that the other end
// may have read. If the other end has read a part of a request and reads no more, as after an early response, Write returns only when the
// connection is closed, since net/http does not read a response after a failed write. The read then shows how the connection ended, and
// the connection is not used again.
func (c *CountingConn) Write(b []byte) (int, error) {
	if guard := c.guard.Swap(nil); guard != nil {
		if err := (*guard)(); err != nil {
			return 0, err
		}
	}
	before, start := c.written.Load(), c.requestStart.Load()
	isPartSent := start >= 0 && before > start
	if err := c.failed.Load(); err != nil {
		if isPartSent {
			<-c.closed
		}
		return 0, *err
	}
	c.written.Add(int64(len(b)))
	n, err := c.Conn.Write(b)
	if err != nil {
		c.failed.Store(&err)
		if start >= 0 && (isPartSent || n > 0) {
			<-c.closed
		}
	}
	return n, err
}

// Close implements net.Conn.
func (c *CountingConn) Close() error {
	c.close.Do(func() { close(c.closed) })
	return c.Conn.Close()
}

// Written returns the number of bytes passed to Write so far.
func (c *CountingConn) Written() int64 { return c.written.Load() }

// SendTracker tells whether any byte of an HTTP request may have been sent to its upstream, so that a request that failed
// before can be sent again. It can also hold the request back when it is about to be sent.
type SendTracker struct {
	beforeSend    func() error
	refusal       atomic.Pointer[error]
	conn          atomic.Pointer[CountingConn]
	writtenBefore atomic.Int64
	assumeSent    atomic.Bool // no count is available: the connection is no *CountingConn, or bytes went out on an earlier one
	isOver        atomic.Bool // the deadline has passed, so nothing is sent any more
	isReused      atomic.Bool // the connection has carried an earlier request
}

// SetBeforeSend sets a function that is called when the request has its connection, directly before its first byte. If it returns an
// error, nothing is sent. It may be called more than once, by other goroutines.
func (t *SendTracker) SetBeforeSend(f func() error) { t.beforeSend = f }

// Refusal returns the error with which the function of SetBeforeSend held the request back, nil if it did not.
func (t *SendTracker) Refusal() error {
	if err := t.refusal.Load(); err != nil {
		return *err
	}
	return nil
}

// guard calls the function of SetBeforeSend, unless the request is over.
func (t *SendTracker) guard() (err error) {
	switch {
	case t.isOver.Load():
		return context.DeadlineExceeded
	case t.beforeSend == nil:
		return nil
	}
	if err = t.beforeSend(); err != nil {
		t.refusal.Store(&err)
	}
	return err
}

// WithTrace returns a context for the request, under which net/http reports the request's connection to t.
func (t *SendTracker) WithTrace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: t.gotConn})
}

func (t *SendTracker) gotConn(info httptrace.GotConnInfo) {
	t.isReused.Store(info.Reused)
	c, ok := asCountingConn(info.Conn)
	if !ok {
		t.assumeSent.Store(true)
		return
	}
	if t.Sent() {
		t.assumeSent.Store(true)
	}
	t.writtenBefore.Store(c.Written())
	c.requestStart.Store(c.Written())
	t.conn.Store(c)
	guard := t.guard
	c.guard.Store(&guard)
}

// Concerns reports whether a response is that of the request with an id. A response without an id is, except for a refusal on a connection
// that has carried an earlier request: an upstream may write an earlier refusal once more.
func (t *SendTracker) Concerns(res *http.Response, id string) bool {
	got := res.Header.Get(HeaderRequestID)
	if got == "" {
		return !t.isReused.Load() || res.Header.Get(HeaderRan) != RanNo
	}
	return got == id
}

// errCrossed is the error of a write to a connection that has carried the response of another request.
var errCrossed = errors.New("the connection carried the response of another request")

// CloseConn closes the connection of the request, which net/http keeps after a response without a body. Nothing more is sent on it.
func (t *SendTracker) CloseConn() {
	if c := t.conn.Load(); c != nil {
		c.abandon(errCrossed)
	}
}

// abandon closes a connection that net/http may have kept for another request, whose writes then fail with err before anything is sent.
func (c *CountingConn) abandon(err error) {
	c.failed.CompareAndSwap(nil, &err)
	_ = c.Close()
}

// asCountingConn returns the CountingConn that c is or, as a TLS connection, wraps.
func asCountingConn(c net.Conn) (*CountingConn, bool) {
	own, ok := c.(*CountingConn)
	if inner, isWrapper := c.(interface{ NetConn() net.Conn }); !ok && isWrapper {
		own, ok = inner.NetConn().(*CountingConn)
	}
	return own, ok
}

// Sent reports whether any byte of the request may have been sent.
func (t *SendTracker) Sent() bool {
	if t.assumeSent.Load() {
		return true
	}
	c := t.conn.Load()
	return c != nil && c.Written() > t.writtenBefore.Load()
}
