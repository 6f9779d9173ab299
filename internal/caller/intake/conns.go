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
	busy       bool         // a request is under way
	since      time.Time    // when the connection was opened or became idle
	unfinished *memory.Hold // of the request that is being read; nil if there is none
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
		victim := c.leastActive()
		if victim == nil {
			_ = raw.Close() // nothing was read from it
			return
		}
		c.evicted.Inc()
		delete(c.open, victim.raw)
		_ = victim.raw.Close() // ends its read; a request that was not read whole has not run
	}
	c.open[raw] = &conn{raw: raw, client: client, since: time.Now()}
}

// leastActive returns the connection without a request under way that has been idle or without progress for longest, of the client with most
// connections. The caller holds c.mu.
func (c *Conns) leastActive() *conn {
	list := make([]memory.Conn[*conn], 0, len(c.open))
	for _, x := range c.open {
		t, ok := x.lastActive()
		list = append(list, memory.Conn[*conn]{Conn: x, Client: x.client, Since: t, Evictable: ok})
	}
	for _, x := range memory.LeastActive(list) {
		return x
	}
	return nil
}

func (x *conn) set(busy bool) {
	if x == nil {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.busy, x.since = busy, time.Now()
}

func (x *conn) setUnfinished(h *memory.Hold) {
	if x == nil {
		return
	}
	x.mu.Lock()
	defer x.mu.Unlock()
	x.unfinished = h
}

func (x *conn) lastActive() (t time.Time, ok bool) {
	x.mu.Lock()
	defer x.mu.Unlock()
	if x.unfinished != nil {
		return x.unfinished.LastProgress(), true
	}
	return x.since, !x.busy
}
