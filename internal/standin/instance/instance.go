// Package instance is a stand-in for an upstream instance on the users' platform. It states a request limit in its responses,
// and checks what the hosts make of it.
package instance

import (
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"
)

// Call is a request that the instance received.
type Call struct {
	ID string // request id; the part before the first dash names the host that the caller sent the request to
	At time.Time
}

// Host returns the name of the host that sent the call.
func (c Call) Host() string {
	host, _, _ := strings.Cut(c.ID, "-")
	return host
}

// Server is a running instance. It is safe for concurrent use.
type Server struct {
	listener net.Listener
	server   *http.Server

	mu     sync.Mutex
	limits []namedLimit
	calls  []Call
	told   map[string]time.Time // by host, when it first got a response that named a limit
}

// New returns a running Server that names no limit.
func New() (*Server, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{listener: l, told: map[string]time.Time{}}
	s.server = &http.Server{Handler: http.HandlerFunc(s.handle), ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(l) }() // returns when the server is closed
	return s, nil
}

// Addr returns the address of the server.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close closes the server and its connections.
func (s *Server) Close() { _ = s.server.Close() }

// Calls returns the requests received so far.
func (s *Server) Calls() []Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Call(nil), s.calls...)
}

// HasCallFrom reports whether the instance has received a request from a host.
func (s *Server) HasCallFrom(host string) bool {
	return slices.ContainsFunc(s.Calls(), func(c Call) bool { return c.Host() == host })
}

func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	call := Call{ID: r.Header.Get("Request-Id"), At: time.Now()}
	s.mu.Lock()
	s.calls = append(s.calls, call)
	values := s.currentLimit().values
	s.mu.Unlock()
	w.Header()["Request-Id"] = []string{call.ID}
	w.Header()["Response-Signature"] = []string{"s"}
	if len(values) > 0 {
		w.Header()["Server-Limit"] = values
	}
	_, _ = w.Write([]byte("ok")) // the host may have closed the connection
	if len(values) > 0 {
		s.recordTold(call.Host())
	}
}

func (s *Server) recordTold(host string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.told[host]; !ok {
		s.told[host] = time.Now()
	}
}
