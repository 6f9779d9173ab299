// Package store is a stand-in for the platform's key-value service over HTTP.
package store

import (
	"encoding/json"
	"net/http"
	"sync"
	"time"

	"hickorypath/internal/core/clock"
	"hickorypath/internal/core/kind"
	"hickorypath/internal/core/settings"
	"hickorypath/internal/standin/httpjson"
	"hickorypath/internal/state/store"
)

// Server serves an in-memory key-value service at `POST /v1/OP`. Faults are set by `POST /fault`.
type Server struct {
	memory *store.Memory

	mu     sync.Mutex
	copied store.Snapshot // from which Restore brings the service back
}

// FaultRequest is the JSON body of `POST /fault`. Faults and Slow replace the faults in effect; the other fields apply once,
// immediately.
type FaultRequest struct {
	store.Faults
	Slow         settings.Duration `json:"slow"`    // delay of each call
	ExpireLeases bool              `json:"lapse"`   // end all leases
	Compact      bool              `json:"compact"` // discard all watch events
	Restore      bool              `json:"restore"` // come back from the last copy, in a new era
	Copy         bool              `json:"copy"`    // make the copy for a later Restore
}

// New returns a Server without keys.
func New(c clock.Clock) *Server {
	m := store.NewMemory(c)
	return &Server{memory: m, copied: m.Snapshot()}
}

// Memory returns the in-memory service, whose methods set its faults.
func (s *Server) Memory() *store.Memory { return s.memory }

// Handler returns the HTTP API.
func (s *Server) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("POST /v1/{op}", s.call)
	mux.HandleFunc("POST /fault", httpjson.HandleBody(httpjson.NeverFails(s.applyFault)))
	return mux
}

func (s *Server) call(w http.ResponseWriter, r *http.Request) {
	var body store.Request
	if err := json.NewDecoder(r.Body).Decode(&body); err != nil {
		httpjson.WriteError(w, kind.Wrap(err, kind.Invalid, "body cannot be read"))
		return
	}
	answer := store.Serve(r.Context(), s.memory.Backend(), r.PathValue("op"), body)
	if r.Context().Err() != nil {
		return
	}
	w.Header().Set("Content-Type", "application/json")
	if answer.Kind != "" {
		w.WriteHeader(answer.Kind.Response().Status())
	}
	httpjson.WriteJSON(w, answer)
}

func (s *Server) applyFault(f FaultRequest) {
	f.Latency = time.Duration(f.Slow)
	s.memory.SetFaults(f.Faults)
	if f.ExpireLeases {
		s.memory.ExpireLeases()
	}
	if f.Compact {
		s.memory.Compact()
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if f.Restore {
		s.memory.Restore(s.copied)
	}
	if f.Copy {
		s.copied = s.memory.Snapshot()
	}
}
