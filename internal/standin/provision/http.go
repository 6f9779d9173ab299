package provision

import (
	"encoding/json"
	"net/http"
	"time"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/platform/provision"
)

// Fault is the body of `POST /fault`: the faults that replace those in force, and a zone to reclaim.
type Fault struct {
	Faults
	Reclaim string        `json:"reclaim"` // zone
	Notice  time.Duration `json:"notice"`
}

// Handler returns the HTTP interface: `GET /upstreams`, `POST /orders`, `GET /orders/ID`, `POST /fault`.
func (p *Platform) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /upstreams", p.serveList)
	mux.HandleFunc("POST /orders", p.serveOrder)
	mux.HandleFunc("GET /orders/{id}", p.serveFind)
	mux.HandleFunc("POST /fault", p.serveFault)
	return mux
}

func (p *Platform) serveList(w http.ResponseWriter, _ *http.Request) {
	p.mu.Lock()
	down := p.faults.Down
	p.mu.Unlock()
	if down {
		http.Error(w, "down", http.StatusServiceUnavailable)
		return
	}
	write(w, p.Upstreams())
}

func (p *Platform) serveOrder(w http.ResponseWriter, r *http.Request) {
	var c provision.Command
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.mu.Lock()
	slow := p.faults.Slow
	p.mu.Unlock()
	time.Sleep(slow)
	err := p.Accept(c)
	switch kind.Of(err) {
	case "":
		write(w, struct{}{})
	case kind.Lost:
		panic(http.ErrAbortHandler)
	case kind.Fenced:
		http.Error(w, err.Error(), http.StatusPreconditionFailed)
	case kind.Rate:
		w.Header().Set("Retry-After", "1")
		http.Error(w, err.Error(), http.StatusTooManyRequests)
	case kind.Unavailable:
		http.Error(w, err.Error(), http.StatusConflict)
	default:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	}
}

func (p *Platform) serveFind(w http.ResponseWriter, r *http.Request) {
	known, err := p.Find(r.PathValue("id"))
	switch {
	case err != nil:
		http.Error(w, err.Error(), http.StatusServiceUnavailable)
	case !known:
		http.NotFound(w, r)
	default:
		write(w, struct{}{})
	}
}

func (p *Platform) serveFault(w http.ResponseWriter, r *http.Request) {
	var f Fault
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	p.Set(f.Faults)
	if f.Reclaim != "" {
		p.Reclaim(f.Reclaim, f.Notice)
	}
	write(w, struct{}{})
}

func write(w http.ResponseWriter, v any) {
	w.Header().Set("Content-Type", "application/json")
	if err := json.NewEncoder(w).Encode(v); err != nil {
		return
	}
}
