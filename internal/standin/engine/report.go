package engine

import (
	"encoding/json"
	"net/http"
	"slices"
	"strconv"
)

// report is the body of GET /load.
type report struct {
	Running int     `json:"running"`
	Waiting int     `json:"waiting"`
	KV      float64 `json:"kv"`
	Age     int     `json:"age"`              // milliseconds
	Offset  *int    `json:"offset,omitempty"` // tokens produced for the request that was asked for
}

// news is the body of GET /events.
type news struct {
	Next    int      `json:"next"`
	Gap     bool     `json:"gap"`
	Added   []uint64 `json:"added"`
	Removed []uint64 `json:"removed"`
}

func (e *Engine) load(w http.ResponseWriter, r *http.Request) {
	l := e.Load()
	out := report{Running: l.Running, Waiting: l.Waiting, KV: l.KV}
	if id := r.URL.Query().Get("id"); id != "" {
		out.Offset = e.progress(id)
	}
	reply(w, out)
}

// progress returns the offset that a request has reached, -1 for one that never arrived.
func (e *Engine) progress(id string) *int {
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, r := range e.seen {
		if r.id == id {
			at := r.offset + r.tokens
			return &at
		}
	}
	unknown := -1
	return &unknown
}

func (e *Engine) events(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.Atoi(r.URL.Query().Get("after"))
	e.mu.Lock()
	changes, next, gap := e.cache.since(after)
	out := news{Next: next, Gap: gap, Added: []uint64{}, Removed: []uint64{}}
	last := map[uint64]bool{}
	for _, c := range changes {
		last[c.block] = c.added
	}
	for block, added := range last {
		if added {
			out.Added = append(out.Added, block)
		} else {
			out.Removed = append(out.Removed, block)
		}
	}
	slices.Sort(out.Added)
	slices.Sort(out.Removed)
	e.mu.Unlock()
	reply(w, out)
}

func (e *Engine) stop(w http.ResponseWriter, r *http.Request) {
	id := r.URL.Query().Get("id")
	e.mu.Lock()
	defer e.mu.Unlock()
	if req := e.running[id]; req != nil {
		close(req.cancel)
		delete(e.running, id)
	}
	w.WriteHeader(http.StatusNoContent)
}

func reply(w http.ResponseWriter, body any) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(body)
}
