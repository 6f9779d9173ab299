// Package instance is a stand-in for an upstream instance on the users' platform that states something about itself in its
// responses, and whose streams can be taken up again.
package instance

import (
	"cmp"
	"maps"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"hickorypath/internal/standin/gate"
	"hickorypath/internal/standin/limitcheck"
)

// Options configures a Server.
type Options struct {
	Version  string        // version of the software; each event of a stream names it
	Events   int           // number of events of a stream
	Interval time.Duration // time between two events
	Poison   *Poison       // crashes the instance; may be nil
	Room     *Room         // bounds the requests of the instance; may be nil
	BySender bool          // hosts are told apart by the addresses of their connections; otherwise by the beginnings of the request identifiers

	FailResumes bool // answers requests to continue a stream with 500
}

// StreamPrefix is the prefix of the paths whose responses are streams.
const StreamPrefix = "/talk/"

// Server is a running instance. It is safe for concurrent use.
type Server struct {
	options  Options
	listener *gate.Listener // nil for a Server of NewUnserved
	stop     func()         // breaks the connections
	limit    limitcheck.Limit
	advice   advice
	crashed  atomic.Bool
	silent   silence

	occupancy occupancy

	mu      sync.Mutex
	resumes int            // streams that were not asked for from their first event
	runs    map[string]int // by request
}

// New returns a running Server that names no limit.
func New(o Options) (*Server, error) { return NewAt("127.0.0.1:0", o) }

// NewAt returns a running Server at an address.
func NewAt(address string, o Options) (*Server, error) {
	l, err := gate.Listen(address)
	if err != nil {
		return nil, err
	}
	s := NewUnserved(o)
	server := &http.Server{Handler: s, ReadHeaderTimeout: time.Minute}
	s.listener, s.stop = l, func() { _ = server.Close() }
	go func() { _ = server.Serve(l) }() // returns when the server is closed
	return s, nil
}

// NewUnserved returns a Server that handles the requests of a listener of the test. SetStop has to be called before it gets any.
func NewUnserved(o Options) *Server { return &Server{options: o, runs: map[string]int{}} }

// SetStop sets the function that Close calls to break the connections.
func (s *Server) SetStop(stop func()) { s.stop = stop }

// Addr returns the address of the server.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// FillQueue fills the queue of new connections, so that further ones wait until EmptyQueue is called.
func (s *Server) FillQueue() error { return s.listener.Fill() }

// EmptyQueue accepts new connections again.
func (s *Server) EmptyQueue() error { return s.listener.Open() }

// Close closes the server and breaks its connections.
func (s *Server) Close() { s.stop() }

// Limit returns the limit that the instance names.
func (s *Server) Limit() *limitcheck.Limit { return &s.limit }

// Resumes returns how many streams the instance was asked to continue.
func (s *Server) Resumes() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.resumes
}

// Runs returns how often the instance has run each request.
func (s *Server) Runs() map[string]int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return maps.Clone(s.runs)
}

func (s *Server) recordRun(id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.runs[id]++
}

// ServeHTTP implements http.Handler.
func (s *Server) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	s.silent.wait(r.Context())
	if p := s.options.Poison; p != nil && p.isIn(r) {
		p.crash(s, r)
		panic(http.ErrAbortHandler)
	}
	w.Header()["Request-Id"] = []string{id}
	w.Header()["Response-Signature"] = []string{cmp.Or(s.options.Version, "s")}
	if values := s.limit.RecordCall(id); len(values) > 0 {
		w.Header()["Server-Limit"] = values
	}
	host, _, _ := strings.Cut(id, "-")
	if s.options.BySender {
		host, _, _ = net.SplitHostPort(r.RemoteAddr)
	}
	if s.advice.advise(w, host, id) {
		return
	}
	if s.options.Room != nil {
		if !s.enter(w, r) {
			return
		}
		defer s.leave()
	}
	s.recordRun(id)
	if strings.HasPrefix(r.URL.Path, StreamPrefix) {
		s.stream(w, r)
		return
	}
	if room := s.options.Room; room != nil {
		select {
		case <-r.Context().Done():
			panic(http.ErrAbortHandler)
		case <-time.After(room.work):
		}
	}
	s.silent.wait(r.Context())
	_, _ = w.Write([]byte("ok")) // the host may have closed the connection
}
