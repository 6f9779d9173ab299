package intake

import (
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"

	"hickorypath/internal/policy/memory"
)

// Conns bounds the connections of a server. It is safe for concurrent use.
type Conns struct {
	max     int
	evicted *metrics.Counter

	mu   sync.Mutex
	open map[net.Conn]*conn
}

// conn is an open connection. A nil conn is one that is not tracked.
type conn struct {
	raw    net.Conn
	client string // address without the port

	mu         sync.Mutex
	active     bool                      // it has a request, according to the server
	since      time.Time                 // when the connection was opened, or became active or idle
	unfinished map[*memory.Hold]struct{} // of the requests that are being read, of which an HTTP/2 connection may have many
	underWay   int                       // requests that were read whole
	closed     bool                      // for a new connection
}

// NewConns returns Conns of at most max connections. Evicted counts those that were closed for new ones.
func NewConns(max int, evicted *metrics.Counter) *Conns {
	return &Conns{max: max, evicted: evicted, open: map[net.Conn]*conn{}}
}

// Track is the ConnState of the server.
func (c *Conns) Track(raw net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew:
		c.add(raw)
	case http.StateActive:
		c.find(raw).set(true)
	case http.StateIdle:
		c.find(raw).set(false)
	case http.StateHijacked, http.StateClosed:
		c.mu.Lock()
		defer c.mu.Unlock()
		delete(c.open, raw)
	}
}

func (c *Conns) find(raw net.Conn) *conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.open[raw]
}

// add adds a connection. At the limit it closes one for it on which no request is under way, and the new one if there is none.
func (c *Conns) add(raw net.Conn) {
	client, _, _ := net.SplitHostPort(raw.RemoteAddr().String())
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.open) >= c.max {
		victim := c.takeLeastActive()
		if victim == nil {
			_ = raw.Close() // nothing was read from it
			return
		}
		c.evicted.Inc()
		delete(c.open, victim.raw)
		_ = transport(victim.raw).Close() // ends its read; a request that was not read whole does not run
	}
	c.open[raw] = &conn{raw: raw, client: client, since: time.Now(), unfinished: map[*memory.Hold]struct{}{}}
}

// transport returns the connection below TLS. To close a TLS connection sends an alert, which waits for a client that does not read.
func transport(raw net.Conn) net.Conn {
	if t, ok := raw.(interface{ NetConn() net.Conn }); ok {
		return t.NetConn()
	}
	return raw
}

// takeLeastActive returns the connection without a request under way that has been idle or without progress for longest, of the client with most
// connections, and marks it as closed. The caller holds c.mu.
func (c *Conns) takeLeastActive() *conn {
	list := make([]memory.Conn[*conn], 0, len(c.open))
	for _, x := range c.open {
		t, ok := x.lastActive()
		list = append(list, memory.Conn[*conn]{Conn: x, Client: x.client, Since: t, Evictable: ok})
	}
	for _, x := range memory.LeastActive(list) {
		if x.take() {
			return x
		}
	}
	return nil
}

func (x *conn) set(active bool) {
	if x == nil {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.active, x.since = active, time.Now()
}

// beginRead records that a request with a body is being read.
func (x *conn) beginRead(h *memory.Hold) {
	if x == nil {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.unfinished[h] = struct{}{}
}

// begin records that a request was read whole. It returns false if the connection was closed for a new one; the request must not run then. The
// hold is that of the request's body, nil if it has none.
func (x *conn) begin(h *memory.Hold) bool {
	if x == nil {
		return true
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.closed {
		return false
	}
	delete(x.unfinished, h)
	x.underWay++
	return true
}

// end records the end of a request, which was read whole or not.
func (x *conn) end(h *memory.Hold) {
	if x == nil {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	if _, ok := x.unfinished[h]; ok {
		delete(x.unfinished, h)
		return
	}
	x.underWay--
}

// take marks the connection as closed unless a request is under way on it, and reports whether it did.
func (x *conn) take() bool {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.underWay > 0 || x.active && len(x.unfinished) == 0 {
		return false
	}
	x.closed = true
	return true
}

// lastActive returns when the connection became idle, or when one of the requests that are being read made progress last. ok is false while a
// request is under way.
func (x *conn) lastActive() (t time.Time, ok bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	t = x.since
	for h := range x.unfinished {
		if p := h.LastProgress(); p.After(t) {
			t = p
		}
	}
	return t, x.underWay == 0 && (!x.active || len(x.unfinished) > 0)
}
