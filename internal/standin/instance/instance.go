// Package instance is a stand-in for an upstream instance on the users' platform that states something about itself in its
// responses.
package instance

import (
	"net"
	"net/http"
	"time"

	"hickorypath/internal/standin/limitcheck"
)

// Server is a running instance. It is safe for concurrent use.
type Server struct {
	listener net.Listener
	server   *http.Server
	limit    limitcheck.Limit
}

// New returns a running Server that names no limit.
func New() (*Server, error) {
	l, err := net.Listen("tcp4", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	s := &Server{listener: l}
	s.server = &http.Server{Handler: http.HandlerFunc(s.handle), ReadHeaderTimeout: time.Minute}
	go func() { _ = s.server.Serve(l) }() // returns when the server is closed
	return s, nil
}

// Addr returns the address of the server.
func (s *Server) Addr() string { return s.listener.Addr().String() }

// Close closes the server and its connections.
func (s *Server) Close() { _ = s.server.Close() }

// Limit returns the limit that the instance names.
func (s *Server) Limit() *limitcheck.Limit { return &s.limit }

func (s *Server) handle(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Request-Id")
	w.Header()["Request-Id"] = []string{id}
	w.Header()["Response-Signature"] = []string{"s"}
	if values := s.limit.RecordCall(id); len(values) > 0 {
		w.Header()["Server-Limit"] = values
	}
	_, _ = w.Write([]byte("ok")) // the host may have closed the connection
}
