package frontend

import (
	"bufio"
	"context"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"strconv"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"go.uber.org/zap"

	"hickorypath/internal/core/sockopt"
	"hickorypath/internal/gateway/config"
	"hickorypath/internal/gateway/h1"
	"hickorypath/internal/policy/memory"
)

const (
	readBufferSize = 4 << 10
	// lingerTimeout is how long unread bytes of a rejected message are discarded before the connection is closed.
	// Closing a connection with unread bytes resets it, and the client could lose the response.
	lingerTimeout = 500 * time.Millisecond
)

// Request is a complete request of a client.
type Request struct {
	h1.Request
	body    []byte
	arrived time.Time
	memory  *memory.Hold
}

// Body returns the complete body.
func (r *Request) Body() []byte { return r.body }

// ArrivedAt returns when the server started to read the request.
func (r *Request) ArrivedAt() time.Time { return r.arrived }

// conn is one client connection.
type conn struct {
	server *Server
	raw    net.Conn
	client string // address without the port
	reader *bufio.Reader

	mu       sync.Mutex
	busy     bool      // a request is being read or answered
	idleFrom time.Time // when the connection became idle or was answered for the last time
	answered bool      // no request follows the last response
	closed   bool

	unfinished  *memory.Hold // of the request that is being read; nil if there is none
	interrupted bool         // reads of the request were interrupted to give up its memory
}

func newConn(s *Server, raw net.Conn) *conn {
	if t, ok := raw.(*net.TCPConn); ok {
		if err := detectDeadClient(t); err != nil {
			s.log.Warn("dead client detection not set; an unreachable client is detected late", zap.Error(err))
		}
	}
	client, _, _ := net.SplitHostPort(raw.RemoteAddr().String())
	return &conn{server: s, raw: raw, client: client, reader: bufio.NewReaderSize(raw, readBufferSize), idleFrom: s.now()}
}

// detectDeadClient sets TCP options so that the kernel detects a client that vanished without closing the
// connection.
func detectDeadClient(t *net.TCPConn) error {
	raw, err := t.SyscallConn()
	if err != nil {
		return err
	}
	return errors.CombineErrors(t.SetKeepAliveConfig(sockopt.KeepAlive()), sockopt.SetUserTimeout(raw, sockopt.UserTimeout))
}

func (c *conn) isBusy() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.busy
}

func (c *conn) idleSince() (time.Time, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.idleFrom, !c.busy
}

// setBusy marks the connection as busy or idle. It returns false if the connection was closed in the meantime.
func (c *conn) setBusy(busy bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.busy = busy
	if !busy {
		c.idleFrom = c.server.now()
	}
	return true
}

// lastActive returns when the connection became idle or was answered for the last time, or when the request that is being read made progress last. ok
// is false while a request is under way.
func (c *conn) lastActive() (t time.Time, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	switch {
	case c.closed:
		return time.Time{}, false
	case c.unfinished != nil:
		return c.unfinished.LastProgress(), true
	}
	return c.idleFrom, !c.busy || c.answered
}

// closeUnanswered closes the connection unless a request was read whole, and reports whether it did.
func (c *conn) closeUnanswered() bool {
	c.mu.Lock()
	if c.unfinished == nil {
		c.mu.Unlock()
		return c.closeIdle()
	}
	defer c.mu.Unlock()
	if c.closed {
		return false
	}
	c.closed = true
	_ = c.raw.Close() // ends the read of a request that has not run
	return true
}

// setUnfinished sets the hold of the request that is being read, nil at its end. It returns false if the connection was closed in the
// meantime.
func (c *conn) setUnfinished(h *memory.Hold) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.unfinished = h
	return !c.closed
}

// closeIdle closes the connection unless a request has started that is not answered, and reports whether it did.
func (c *conn) closeIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.busy && !c.answered || c.closed || !c.hasNoInput() {
		return false
	}
	c.closed = true
	_ = c.raw.Close() // neither a response nor a request is in transit
	return true
}

// hasNoInput reports whether the socket holds no unread bytes of a request. Closing the connection with unread
// bytes would reset it although the client has already sent a request.
func (c *conn) hasNoInput() bool {
	sys, ok := c.raw.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return true
	}
	empty := true
	_ = raw.Control(func(fd uintptr) {
		var b [1]byte
		n, _, err := syscall.Recvfrom(int(fd), b[:], syscall.MSG_PEEK|syscall.MSG_DONTWAIT)
		empty = err != nil || n == 0
	})
	return empty
}

// serve reads and answers requests until the connection ends.
func (c *conn) serve(ctx context.Context) {
	defer c.server.remove(c)
	defer c.raw.Close()
	for {
		if _, err := c.reader.Peek(1); err != nil {
			return
		}
		if !c.setBusy(true) {
			return
		}
		r, w, err := c.readRequest()
		if err != nil {
			c.reject(err)
			return
		}
		if !c.respond(ctx, r, w) {
			return
		}
	}
}

// readRequest reads the next request with its body. Its memory is held until the request is released.
func (c *conn) readRequest() (_ *Request, _ *Writer, err error) {
	limits, now := c.server.limits(), c.server.now()
	r := &Request{arrived: now}
	r.memory = c.server.memory.Open(now, memory.Unfinished, c.client, c.interruptRead)
	c.setUnfinished(r.memory)
	defer func() {
		if !c.setUnfinished(nil) {
			err = net.ErrClosed
		}
		if err == nil {
			err = r.memory.Complete()
		}
		if err != nil {
			err = errors.CombineErrors(r.memory.Err(), err) // the eviction has interrupted the read
			r.memory.Close()
		}
	}()
	c.setReadDeadline(now.Add(limits.HeadTimeout))
	if err := r.Read(c.reader, limits.MaxHeadBytes, c.budget(r)); err != nil {
		return nil, nil, err
	}
	if r.ExpectsContinue() {
		_ = c.raw.SetWriteDeadline(c.server.now().Add(writeTimeout)) // that of an earlier response may have passed
		if _, err := c.raw.Write([]byte("HTTP/1.1 100 Continue\r\n\r\n")); err != nil {
			return nil, nil, err
		}
	}
	c.setReadDeadline(c.server.now().Add(bodyTimeout(limits)))
	if r.body, err = r.ReadBody(c.reader, limits.MaxBodyBytes); err != nil {
		return nil, nil, err
	}
	c.setReadDeadline(time.Time{})
	return r, newWriter(c.raw, r.IsPersistent(), r.AcceptsChunks(), r.Method(), c.server), nil
}

// budget returns what bounds the memory of a request while it is read.
func (c *conn) budget(r *Request) h1.Budget {
	received := 0
	return h1.Budget{
		Grow: func(size int) error { return r.memory.Grow(c.server.now(), int64(size)) },
		Received: func(n int) {
			if received += n; received >= memory.ProgressBytes {
				received = 0
				r.memory.Progress(c.server.now())
			}
		},
	}
}

// interruptRead ends a read of the connection, and all later ones up to the response.
func (c *conn) interruptRead() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.interrupted = true; !c.answered {
		_ = c.raw.SetReadDeadline(pastDeadline) // the connection may be closed already
	}
}

// setReadDeadline sets the deadline of reads, unless they were interrupted.
func (c *conn) setReadDeadline(t time.Time) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.interrupted {
		_ = c.raw.SetReadDeadline(t)
	}
}

// bodyTimeout returns how long the transfer of a body may take. The limits state no timeout for the body; a
// client that leaves a connection idle for longer than IdleTimeout is considered gone.
func bodyTimeout(l config.Limits) time.Duration { return max(l.IdleTimeout, l.HeadTimeout) }

// respond runs the handler and watches the connection in the meantime: if the client closes the connection, the
// handler's context is canceled. respond reports whether the connection can carry another request.
func (c *conn) respond(ctx context.Context, r *Request, w *Writer) bool {
	ctx, cancel := context.WithCancelCause(ctx)
	defer cancel(nil)
	done := make(chan struct{})
	go func() {
		defer close(done)
		c.server.handle(ctx, r, w)
		if !w.finish() || !c.setBusy(false) {
			_ = c.raw.SetReadDeadline(pastDeadline) // ends the Peek below
		}
	}()
	_, err := c.reader.Peek(1)
	if err != nil && !w.isFinished() {
		cancel(ErrClientClosed)
	}
	<-done
	r.memory.Close()
	if w.isPersistent() {
		return err == nil
	}
	if w.isComplete() {
		c.linger()
	}
	return false
}

// ErrClientClosed is the cause of the cancellation of a handler's context when the client closed the connection.
var ErrClientClosed = errors.New("the client closed the connection")

// pastDeadline is a deadline in the past.
var pastDeadline = time.Unix(1, 0)

// linger shuts down the sending side and drains input, so that the client can read the complete response. The connection may be closed for a new one
// meanwhile.
func (c *conn) linger() {
	c.mu.Lock()
	c.answered, c.idleFrom = true, c.server.now()
	c.mu.Unlock()
	t, ok := c.raw.(*net.TCPConn)
	if !ok || t.CloseWrite() != nil {
		return
	}
	_ = t.SetReadDeadline(c.server.now().Add(lingerTimeout))
	_, _ = io.Copy(io.Discard, c.reader) // until the client closes or the timeout passes
}

// reject responds to a message that cannot be read, if the error allows a response.
func (c *conn) reject(err error) {
	status := 0
	var fields [][2]string
	var timeout net.Error
	switch {
	case errors.IsAny(err, memory.ErrFull, memory.ErrEvicted):
		status = http.StatusServiceUnavailable // a request that was not read whole has not run
		fields = [][2]string{{"Retry-After", strconv.FormatFloat(drawRetryAfter().Seconds(), 'f', 2, 64)}}
	case errors.Is(err, h1.ErrHeadTooLarge):
		status = http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, h1.ErrBodyTooLarge):
		status = http.StatusRequestEntityTooLarge
	case errors.Is(err, h1.ErrMalformed):
		status = http.StatusBadRequest
	case errors.As(err, &timeout) && timeout.Timeout():
		status = http.StatusRequestTimeout
	default:
		return
	}
	c.server.recordRefusal(status, err)
	w := newWriter(c.raw, false, false, nil, c.server)
	w.WriteError(status, fields, err.Error())
	c.linger()
}

// minRetryAfter and maxRetryAfter bound the delay after which a client should come back whose request found no memory.
const (
	minRetryAfter = 250 * time.Millisecond
	maxRetryAfter = time.Second
)

// drawRetryAfter draws a delay at random, so that the clients of a crowd do not come back together.
func drawRetryAfter() time.Duration { return minRetryAfter + rand.N(maxRetryAfter-minRetryAfter) }
