// Package roster is a small stand-in for the platform's lagging list of hosts.
package roster

import (
	"encoding/json"
	"net/http"
	"sort"
	"sync"
	"time"

	"hickorypath/internal/platform/roster"
)

// Fault is the body of POST /fault.
type Fault struct {
	Lag  string `json:"lag,omitempty"` // delay before a change shows, as a Go duration
	Down bool   `json:"down"`          // answer every list with status 503
}

type change struct {
	at   time.Time
	id   string
	host *roster.Host
}

// Roster keeps the list and its faults in memory.
type Roster struct {
	mu      sync.Mutex
	now     func() time.Time
	lag     time.Duration
	down    bool
	hosts   map[string]roster.Host
	pending []change
}

// New returns an empty list that reads time from now.
func New(now func() time.Time) *Roster {
	return &Roster{now: now, hosts: map[string]roster.Host{}}
}

// Put adds or replaces a host after the lag.
func (r *Roster) Put(h roster.Host) { r.change(h.ID(), &h) }

// Remove takes a host off the list after the lag.
func (r *Roster) Remove(id string) { r.change(id, nil) }

// SetLag sets the delay before later changes show.
func (r *Roster) SetLag(d time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.lag = d
}

// SetDown makes the list fail or answer again.
func (r *Roster) SetDown(down bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.down = down
}

// Hosts returns the list as it shows now.
func (r *Roster) Hosts() []roster.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.apply()
	all := make([]roster.Host, 0, len(r.hosts))
	for _, h := range r.hosts {
		all = append(all, h)
	}
	sort.Slice(all, func(i, j int) bool { return all[i].ID() < all[j].ID() })
	return all
}

// Handler serves the list, changes to it and the fault switch.
func (r *Roster) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/hosts", r.serveList)
	mux.HandleFunc("PUT /v1/hosts/{id}", r.servePut)
	mux.HandleFunc("DELETE /v1/hosts/{id}", func(w http.ResponseWriter, req *http.Request) {
		r.Remove(req.PathValue("id"))
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("POST /fault", r.serveFault)
	return mux
}

func (r *Roster) change(id string, h *roster.Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending = append(r.pending, change{at: r.now().Add(r.lag), id: id, host: h})
}

func (r *Roster) apply() {
	now := r.now()
	rest := r.pending[:0]
	for _, c := range r.pending {
		if c.at.After(now) {
			rest = append(rest, c)
			continue
		}
		if c.host == nil {
			delete(r.hosts, c.id)
			continue
		}
		r.hosts[c.id] = *c.host
	}
	r.pending = rest
}

func (r *Roster) serveList(w http.ResponseWriter, _ *http.Request) {
	r.mu.Lock()
	down := r.down
	r.mu.Unlock()
	if down {
		http.Error(w, "unavailable", http.StatusServiceUnavailable)
		return
	}
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(roster.List{Hosts: r.Hosts()})
}

func (r *Roster) servePut(w http.ResponseWriter, req *http.Request) {
	var h roster.Host
	if err := json.NewDecoder(req.Body).Decode(&h); err != nil || h.ID() != req.PathValue("id") {
		http.Error(w, "host cannot be read", http.StatusBadRequest)
		return
	}
	r.Put(h)
	w.WriteHeader(http.StatusNoContent)
}

func (r *Roster) serveFault(w http.ResponseWriter, req *http.Request) {
	var f Fault
	if err := json.NewDecoder(req.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	if f.Lag != "" {
		d, err := time.ParseDuration(f.Lag)
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		r.SetLag(d)
	}
	r.SetDown(f.Down)
	w.WriteHeader(http.StatusNoContent)
}
