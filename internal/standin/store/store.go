// Package store is a stand-in of the platform's key-value service over HTTP.
package store

import (
	"encoding/json"
	"net/http"

	"hickorypath/internal/core/clock"
	"hickorypath/internal/core/kind"
	"hickorypath/internal/platform/store"
)

// Server serves a key-value service in memory, `POST /v1/OP`, with faults set by `POST /fault`.
type Server struct {
	memory *store.Memory
}

// Fault is the body of `POST /fault`: the faults that replace those in force, and faults that strike once.
type Fault struct {
	store.Faults
	Lapse   bool `json:"lapse"`   // end all leases now
	Compact bool `json:"compact"` // forget all events now
}

// New returns an empty Server.
func New(c clock.Clock) *Server { return &Server{memory: store.NewMemory(c)} }

// Memory returns the service itself, whose methods switch its faults.
func (s *Server) Memory() *store.Memory { return s.memory }

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/{op}", s.call)
	mux.HandleFunc("POST /fault", s.fault)
	return mux
}

func (s *Server) call(w http.ResponseWriter, r *http.Request) {
	var body store.Request
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		write(w, store.Reply{Kind: kind.Invalid, Text: err.Error()})
		return
	}
	answer := store.Serve(r.Context(), s.memory.Backend(), r.PathValue("op"), body)
	if r.Context().Err() == nil {
		write(w, answer)
	}
}

func (s *Server) fault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		write(w, store.Reply{Kind: kind.Invalid, Text: err.Error()})
		return
	}
	s.memory.Set(f.Faults)
	if f.Lapse {
		s.memory.Lapse()
	}
	if f.Compact {
		s.memory.Compact()
	}
	write(w, store.Reply{})
}

func write(w http.ResponseWriter, r store.Reply) {
	w.Header().Set("Content-Type", "application/json")
	if r.Kind != "" {
		w.WriteHeader(r.Kind.Answer().Status())
	}
	if err := json.NewEncoder(w).Encode(r); err != nil {
		return
	}
}
