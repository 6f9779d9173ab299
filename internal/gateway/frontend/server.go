// Package frontend serves client connections: it reads complete requests, passes them to a handler, and detects
// clients that disconnect.
package frontend

import (
	"context"
	"net"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cockroachdb/errors"
	"go.uber.org/zap"
	"golang.org/x/time/rate"

	"hickorypath/internal/gateway/config"
	"hickorypath/internal/policy/memory"
)

// Handler answers one request. The context is canceled when the client disconnects or the server is closed.
type Handler func(ctx context.Context, r *Request, w *Writer)

// Server serves client connections.
type Server struct {
	handle Handler
	limits func() config.Limits
	now    func() time.Time
	log    *zap.Logger

	memory   *memory.Account
	refusals rate.Sometimes // bounds the log lines of refused messages

	mu       sync.Mutex
	conns    map[*conn]struct{}
	draining bool
	max      int
	refused  int // messages since the last log line about them
}

// New returns a Server that serves at most max connections at the same time. Its requests draw their memory on an account.
func New(handle Handler, limits func() config.Limits, max int, m *memory.Account, now func() time.Time, log *zap.Logger) *Server {
	return &Server{handle: handle, limits: limits, memory: m, now: now, log: log, conns: map[*conn]struct{}{}, max: max, refusals: rate.Sometimes{Interval: refusalLogInterval}}
}

// refusalLogInterval is the least time between two log lines of refused messages. A crowd of clients brings about thousands a second.
const refusalLogInterval = time.Second

// Serve accepts connections until the listener is closed.
func (s *Server) Serve(ctx context.Context, l net.Listener) error {
	for {
		raw, err := l.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			s.log.Warn("accept", zap.Error(err))
			time.Sleep(acceptRetryDelay)
			continue
		}
		c := newConn(s, raw)
		if !s.add(c) {
			s.recordRefusal(0, errTooManyConns)
			_ = raw.Close() // nothing was read from the connection
			continue
		}
		go c.serve(ctx)
	}
}

// acceptRetryDelay prevents a busy loop when the process runs out of file descriptors.
const acceptRetryDelay = 5 * time.Millisecond

var errTooManyConns = errors.New("the limit on connections is reached and a request is under way on each")

// recordRefusal logs that a message or connection was refused, and how many were since the last log line. Status is 0 if there was no response.
func (s *Server) recordRefusal(status int, err error) {
	s.mu.Lock()
	s.refused++
	s.mu.Unlock()
	s.refusals.Do(func() {
		s.mu.Lock()
		n := s.refused
		s.refused = 0
		s.mu.Unlock()
		s.log.Info("messages refused", zap.Int("count", n), zap.Int("status", status), zap.Error(err))
	})
}

// add adds a connection. At the limit it closes one for it on which no request is under way; add reports false if there is none.
func (s *Server) add(c *conn) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.conns) >= s.max && !s.closeLeastUsed() {
		return false
	}
	s.conns[c] = struct{}{}
	return true
}

// closeLeastUsed closes the connection, of those on which no request is under way, that has been idle or without progress for longest, of the client
// with most connections. It reports whether there was one. The caller holds s.mu.
func (s *Server) closeLeastUsed() bool {
	list := make([]memory.Conn[*conn], 0, len(s.conns))
	for c := range s.conns {
		t, ok := c.lastActive()
		list = append(list, memory.Conn[*conn]{Conn: c, Client: c.client, Since: t, Evictable: ok})
	}
	for _, c := range memory.LeastActive(list) {
		if c.closeUnanswered() {
			delete(s.conns, c)
			connsEvicted.Inc()
			return true
		}
	}
	return false
}

// connsEvicted counts the connections that were closed for new ones.
var connsEvicted = metrics.GetOrCreateCounter("hickorypath_connections_evicted_total")

func (s *Server) remove(c *conn) {
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.conns, c)
}

// Drain makes the server close each connection after its next response.
func (s *Server) Drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.draining = true
}

func (s *Server) isDraining() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.draining
}

// BusyConns returns the number of connections that carry a request.
func (s *Server) BusyConns() (n int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.conns {
		if c.isBusy() {
			n++
		}
	}
	return n
}

// Conns returns the number of open connections.
func (s *Server) Conns() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.conns)
}

// Sweep closes connections that were idle for longer than the current limit, or all idle connections if all is
// set.
func (s *Server) Sweep(now time.Time, all bool) {
	limit := s.limits().IdleTimeout + idleSlack
	s.mu.Lock()
	var expired []*conn
	for c := range s.conns {
		if since, idle := c.idleSince(); idle && (all || now.Sub(since) >= limit) {
			expired = append(expired, c)
		}
	}
	s.mu.Unlock()
	for _, c := range expired {
		c.closeIdle()
	}
}

// idleSlack keeps a connection open slightly longer than clients may leave it idle, so that a request in transit
// at the limit is still read.
const idleSlack = 500 * time.Millisecond
