// Package service is a stand-in for a plain service, some of whose calls must not be repeated. It records every call
// and counts how often each one was executed.
package service

import (
	"net/http"
	"strings"
	"sync/atomic"

	"hickorypath/internal/standin/httpjson"
	"hickorypath/internal/standin/upstream"
)

// Service is one stand-in service.
type Service struct {
	*upstream.Base
	open atomic.Int64 // number of calls that are being executed
}

// entry is the JSON response to a call.
type entry struct {
	Body   string `json:"body"`
	Entry  int    `json:"entry"`
	Method string `json:"method"`
	Path   string `json:"path"`
}

// New returns a Service.
func New() *Service {
	return &Service{Base: upstream.New(func() {}, upstream.Crash, upstream.Restore, upstream.Stall, upstream.Freeze, upstream.Silence,
		upstream.CrashOnMark, upstream.Reject, upstream.DropAnswer, upstream.Hang, upstream.WrongID, upstream.Fail)}
}

// Handler returns the service's HTTP API.
func (s *Service) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /fault", httpjson.HandleBody(s.ApplyFault))
	mux.HandleFunc("GET /load", s.WithConnectionFaults(httpjson.HandleGet(s.load)))
	mux.HandleFunc("/", s.WithConnectionFaults(s.serve))
	return mux
}

// Executed returns how often a call to path with the given body was executed.
func (s *Service) Executed(path, body string) int {
	n := 0
	for _, c := range s.Calls() {
		if c.Ran() && c.Path() == path && string(c.Body()) == body {
			n++
		}
	}
	return n
}

func (s *Service) load() (upstream.Load, error) {
	return upstream.Load{Running: int(s.open.Load())}, nil
}

// serve executes a call and answers it, unless a fault prevents the response.
func (s *Service) serve(w http.ResponseWriter, r *http.Request) {
	call := s.ReadCall(w, r)
	if call == nil {
		return
	}
	call.MarkStarted()
	s.open.Add(1)
	defer s.open.Add(-1)
	s.CrashIfMarked(call.Body())
	s.Sleep(r.Context(), 0)
	if s.ConsumeFault(upstream.DropAnswer) {
		panic(http.ErrAbortHandler)
	}
	if s.ConsumeFault(upstream.Hang) {
		upstream.HangUntilCanceled(r)
	}
	if s.ConsumeFault(upstream.WrongID) {
		w.Header().Set(upstream.HeaderID, "other-"+call.ID())
	}
	call.MarkFinished()
	if s.ConsumeFault(upstream.Fail) {
		http.Error(w, `{"error":{"kind":"unavailable","ran":"no"}}`, http.StatusServiceUnavailable)
		return
	}
	httpjson.WriteJSON(w, entry{Body: strings.TrimSpace(string(call.Body())), Entry: len(s.Calls()), Method: r.Method, Path: call.Path()})
}
