// Package service stands in for a plain service some of whose calls may not be repeated: it records
// dues and forwarding actions, and counts how often each one was executed.
package service

import (
	"encoding/json"
	"io"
	"net/http"
	"slices"
	"strings"
	"sync"

	"hickorypath/internal/policy/route"
)

// Header names of the service protocol.
const (
	headerID  = "X-Request-Id"
	headerRan = "X-Ran"
)

// maxBody bounds the body of a call.
const maxBody = 16 << 20

// Call is a call that the service has read.
type Call struct {
	id     string
	method string
	path   string
	query  string
	header http.Header
	body   string
	ran    bool
}

// ID returns the attempt id of the call.
func (c Call) ID() string { return c.id }

// Method returns the HTTP method.
func (c Call) Method() string { return c.method }

// Path returns the path.
func (c Call) Path() string { return c.path }

// Query returns the raw query.
func (c Call) Query() string { return c.query }

// Header returns the header.
func (c Call) Header() http.Header { return c.header }

// Body returns the body.
func (c Call) Body() string { return c.body }

// Ran reports whether the call was executed.
func (c Call) Ran() bool { return c.ran }

// Service is one stand-in.
type Service struct {
	mu     sync.Mutex
	calls  []Call
	conns  map[string]bool
	down   bool
	reject int
	cut    int
	hang   int
	cross  int
	open   int
}

// New returns a Service.
func New() *Service {
	return &Service{conns: map[string]bool{}}
}

// Handler returns the service's HTTP interface.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /fault", s.fault)
	mux.HandleFunc("GET /load", s.load)
	mux.HandleFunc("/", s.serve)
	return mux
}

// Calls returns all calls that the service has read.
func (s *Service) Calls() []Call {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.calls)
}

// Executed returns how often a call to path with body was executed.
func (s *Service) Executed(path, body string) int {
	n := 0
	for _, c := range s.Calls() {
		if c.ran && c.path == path && c.body == body {
			n++
		}
	}
	return n
}

// Load returns the present load.
func (s *Service) Load() route.Load {
	s.mu.Lock()
	defer s.mu.Unlock()
	return route.Load{Running: s.open}
}

func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	if s.isDown() {
		panic(http.ErrAbortHandler)
	}
	if s.isSilent(r.RemoteAddr) {
		swallow(r)
	}
	body, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBody))
	if err != nil {
		panic(http.ErrAbortHandler)
	}
	call := Call{
		id: r.Header.Get(headerID), method: r.Method, path: r.URL.Path, query: r.URL.RawQuery,
		header: r.Header.Clone(), body: string(body),
	}
	w.Header().Set(headerID, call.id)
	if s.isRejecting(call) {
		w.Header().Set(headerRan, "no")
		http.Error(w, `{"error":"not taken"}`, http.StatusServiceUnavailable)
		return
	}
	s.execute(w, r, call)
}

// execute records the call as run, then answers it unless a fault prevents that.
func (s *Service) execute(w http.ResponseWriter, r *http.Request, call Call) {
	s.mu.Lock()
	call.ran = true
	s.calls = append(s.calls, call)
	count := len(s.calls)
	cut, hang, cross := take(&s.cut), take(&s.hang), take(&s.cross)
	s.open++
	s.mu.Unlock()
	defer s.leave()
	if cut {
		panic(http.ErrAbortHandler)
	}
	if hang {
		swallow(r)
	}
	if cross {
		w.Header().Set(headerID, "other-"+call.id)
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(map[string]any{
		"path": call.path, "method": call.method, "entry": count, "body": strings.TrimSpace(call.body),
	})
}

func (s *Service) leave() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open--
}

// swallow waits until the caller gives up and answers nothing.
func swallow(r *http.Request) {
	_, _ = io.Copy(io.Discard, r.Body)
	<-r.Context().Done()
	panic(http.ErrAbortHandler)
}

func (s *Service) load(w http.ResponseWriter, r *http.Request) {
	if s.isDown() {
		panic(http.ErrAbortHandler)
	}
	if s.isSilent(r.RemoteAddr) {
		swallow(r)
	}
	l := s.Load()
	_ = json.NewEncoder(w).Encode(map[string]any{"running": l.Running, "waiting": 0, "kv": 0, "age": 0})
}
