package upstream

import (
	"bufio"
	"context"
	"net"
	"strconv"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"

	"hickorypath/internal/core/tcpconn"
	"hickorypath/internal/gateway/h1"
)

const (
	readBufferSize = 4 << 10
	// maxHeadSize bounds the head of a response, in bytes.
	maxHeadSize = 32 << 10
	// defaultIdleTimeout is how long an idle connection is kept if the upstream states no timeout.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is subtracted from the timeout that the upstream states, since the upstream's timer started
	// earlier.
	idleMargin = 700 * time.Millisecond
	// minIdleTimeout is the shortest time that an idle connection is kept, whatever the upstream states.
	minIdleTimeout = 300 * time.Millisecond
	// recentUse is how long after its last use a connection may carry a request that must not run twice: the
	// upstream may close an older idle connection while the request is on its way.
	recentUse = 1500 * time.Millisecond
)

// Conn is a connection to an instance. It carries one request at a time.
type Conn struct {
	*tcpconn.Conn
	instance    *Instance
	reader      *bufio.Reader
	lastUsed    time.Time
	hasServed   bool // a response to an earlier request has come
	idleTimeout time.Duration
	active      activity
	closed      atomic.Bool
	unbind      func() bool // ends the binding to the context of the request
	endRequest  func()      // records that none is under way
	response    h1.Response
}

// Close closes the connection, and resets it if a request is under way; further calls do nothing.
func (c *Conn) Close() {
	if c.closed.Swap(true) {
		return
	}
	c.instance.mu.Lock()
	c.instance.openConns--
	c.instance.mu.Unlock()
	_ = c.Conn.Close() // no more data follows on the connection
}

// Acquire returns an idle connection or opens a new one. A request that must not run twice gets an idle
// connection only if the connection was used recently. A new one is awaited for as long as timeLeft. The connection is closed when ctx ends
// before its release.
func (i *Instance) Acquire(ctx context.Context, now time.Time, repeatable bool, timeLeft time.Duration) (*Conn, error) {
	for c := i.takeIdle(); c != nil; c = i.takeIdle() {
		age := now.Sub(c.lastUsed)
		if age < c.idleTimeout && (repeatable || age < recentUse) && c.hasNoInput() {
			c.bind(ctx)
			return c, nil
		}
		c.Close()
	}
	raw, err := i.dialWithin(ctx, timeLeft)
	if err != nil {
		return nil, err
	}
	c := i.newConn(raw)
	c.bind(ctx)
	return c, nil
}

// bind makes the connection that of a request, and closes it when ctx ends.
func (c *Conn) bind(ctx context.Context) {
	c.endRequest = c.Begin()
	c.unbind = context.AfterFunc(ctx, c.Close)
}

// newConn returns a connection that was opened to the instance.
func (i *Instance) newConn(raw net.Conn) *Conn {
	i.mu.Lock()
	i.openConns++
	i.mu.Unlock()
	c := &Conn{Conn: tcpconn.New(raw), instance: i, idleTimeout: defaultIdleTimeout}
	c.endRequest = c.Begin()
	c.reader = bufio.NewReaderSize(c, readBufferSize)
	return c
}

// Return gives back a connection on which nothing was sent since Acquire.
func (c *Conn) Return(now time.Time) {
	if !c.unbind() || c.closed.Load() {
		c.Close()
		return
	}
	c.park(now)
}

// Unbind keeps the connection open when the context of its request ends. It reports whether the connection is still open.
func (c *Conn) Unbind() bool { return c.unbind() && !c.closed.Load() }

func (i *Instance) takeIdle() *Conn {
	i.mu.Lock()
	defer i.mu.Unlock()
	n := len(i.idle)
	if n == 0 {
		return nil
	}
	c := i.idle[n-1]
	i.idle = i.idle[:n-1]
	return c
}

// Conns returns the number of open connections, busy ones included.
func (i *Instance) Conns() int {
	i.mu.Lock()
	defer i.mu.Unlock()
	return i.openConns
}

// hasNoInput reports whether nothing was received since the last response: neither surplus bytes nor the end of
// the connection.
func (c *Conn) hasNoInput() bool {
	if c.reader.Buffered() > 0 {
		return false
	}
	sys, ok := c.NetConn().(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := sys.SyscallConn()
	if err != nil {
		return false
	}
	quiet := false
	err = raw.Read(func(fd uintptr) bool {
		var b [1]byte
		_, _, errno := unix.Recvfrom(int(fd), b[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		quiet = errno == unix.EAGAIN
		return true
	})
	return err == nil && quiet
}

const (
	// watchedBytes is the size from which a message may not fit into the buffers of the two kernels, so that its sender waits until
	// the upstream reads it.
	watchedBytes = 16 << 10
	// earlyResponseGrace is how long the rest of a message may take after its response has begun.
	earlyResponseGrace = 100 * time.Millisecond
	// receivedWait bounds a read of bytes that have arrived already.
	receivedWait = 10 * time.Millisecond
)

// Send writes a whole message and returns how many of its bytes were handed to the kernel. It stops early if the upstream responds
// and does not read on. A large body is not copied.
func (c *Conn) Send(head, body []byte, until time.Time) (int, error) {
	if err := c.SetDeadline(until); err != nil {
		return 0, err
	}
	if len(head)+len(body) < watchedBytes {
		return c.Write(append(head, body...))
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		if _, err := c.reader.Peek(1); err == nil {
			_ = c.SetWriteDeadline(time.Now().Add(earlyResponseGrace)) // a closed connection ends the write as well
		}
	}()
	n, err := c.Write(head)
	if err == nil {
		var m int
		m, err = c.Write(body)
		n += m
	}
	_ = c.SetReadDeadline(time.Unix(1, 0)) // ends the Peek
	<-done
	return n, errors.CombineErrors(err, c.SetDeadline(until))
}

// HasResponse reports whether a response to a message that was not written whole has begun to arrive. The rest of it may arrive until
// the time until.
func (c *Conn) HasResponse(until time.Time) bool {
	_ = c.SetReadDeadline(time.Now().Add(receivedWait)) // the Peek fails if the connection is closed
	_, err := c.reader.Peek(1)
	return err == nil && c.SetReadDeadline(until) == nil
}

// Receive reads the head of the response to a request with the given method, and returns a reader for the body.
func (c *Conn) Receive(method []byte) (*h1.Response, *h1.Body, error) {
	if err := c.response.Read(c.reader, maxHeadSize, method); err != nil {
		return nil, nil, err
	}
	return &c.response, c.response.Body(c.reader), nil
}

// HasServed reports whether the connection has carried the response to an earlier request.
func (c *Conn) HasServed() bool { return c.hasServed }

// IsReused reports whether the connection was idle before.
func (c *Conn) IsReused() bool { return !c.lastUsed.IsZero() }

// Release returns the connection to the idle connections after a complete response, or closes it if it cannot
// carry another request.
func (c *Conn) Release(now time.Time) {
	c.endRequest()
	c.idleTimeout, c.hasServed = parseKeepAliveTimeout(&c.response), true
	if !c.unbind() || !c.response.IsPersistent() || c.reader.Buffered() > 0 || c.closed.Load() {
		c.Close()
		return
	}
	c.park(now)
}

// park adds the connection to the idle connections, or closes it if the instance leaves.
func (c *Conn) park(now time.Time) {
	c.endRequest()
	c.lastUsed = now
	i := c.instance
	i.mu.Lock()
	usable := i.removedAt.IsZero() && !i.entry.Draining && !i.isDeparting(now)
	if usable {
		i.idle = append(i.idle, c)
	}
	i.mu.Unlock()
	if !usable {
		c.Close()
	}
}

// parseKeepAliveTimeout returns how long an idle connection may be kept according to the Keep-Alive header field
// of a response.
func parseKeepAliveTimeout(r *h1.Response) time.Duration {
	value := string(r.Get("Keep-Alive"))
	const key = "timeout="
	for i := 0; i+len(key) <= len(value); i++ {
		if value[i:i+len(key)] != key {
			continue
		}
		digits := value[i+len(key):]
		end := 0
		for end < len(digits) && digits[end] >= '0' && digits[end] <= '9' {
			end++
		}
		s, err := strconv.Atoi(digits[:end])
		if err != nil {
			return minIdleTimeout
		}
		return max(time.Duration(s)*time.Second-idleMargin, minIdleTimeout)
	}
	return defaultIdleTimeout
}

// Sweep closes connections whose idle timeout has passed.
func (i *Instance) Sweep(now time.Time) {
	i.mu.Lock()
	var expired []*Conn
	kept := i.idle[:0]
	for _, c := range i.idle {
		if now.Sub(c.lastUsed) >= c.idleTimeout {
			expired = append(expired, c)
			continue
		}
		kept = append(kept, c)
	}
	i.idle = kept
	i.mu.Unlock()
	for _, c := range expired {
		c.Close()
	}
}
