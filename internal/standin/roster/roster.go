// Package roster is a stand-in for the platform's list of hosts, which shows changes after a lag.
package roster

import (
	"cmp"
	"maps"
	"net/http"
	"slices"
	"sync"
	"time"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/core/settings"
	"hickorypath/internal/standin/httpjson"
	"hickorypath/internal/state/roster"
)

// Faults configures the faults of a Roster.
type Faults struct {
	Lag  settings.Duration `json:"lag"`  // before a change shows, such as "30s" // delay until a change becomes visible
	Down bool              `json:"down"` // the list cannot be read
}

// change adds or replaces a host, or removes it if host is nil.
type change struct {
	at   time.Time // when the change becomes visible
	id   string
	host *roster.Host
}

// Roster holds the list of hosts in memory.
type Roster struct {
	mu      sync.Mutex
	now     func() time.Time
	faults  Faults
	changes []change
}

// New returns an empty Roster that reads the current time from now.
func New(now func() time.Time) *Roster { return &Roster{now: now} }

// SetFaults replaces the faults in effect. A new lag applies to later changes only.
func (r *Roster) SetFaults(f Faults) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.faults = f
}

// Put adds or replaces a host; the change becomes visible after the lag.
func (r *Roster) Put(h roster.Host) { r.change(h.ID(), &h) }

// Remove removes a host from the list; the change becomes visible after the lag.
func (r *Roster) Remove(id string) { r.change(id, nil) }

func (r *Roster) change(id string, h *roster.Host) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.changes = append(r.changes, change{at: r.now().Add(time.Duration(r.faults.Lag)), id: id, host: h})
}

// Hosts returns the hosts that are visible now, sorted by id.
func (r *Roster) Hosts() []roster.Host {
	r.mu.Lock()
	defer r.mu.Unlock()
	hosts := map[string]roster.Host{}
	for _, c := range r.changes {
		if c.at.After(r.now()) {
			continue
		}
		if c.host == nil {
			delete(hosts, c.id)
		} else {
			hosts[c.id] = *c.host
		}
	}
	return slices.SortedFunc(maps.Values(hosts), func(a, b roster.Host) int { return cmp.Compare(a.ID(), b.ID()) })
}

// Handler returns the HTTP API: `GET /v1/hosts`, `PUT /v1/hosts/ID`, `DELETE /v1/hosts/ID`, `POST /fault`.
func (r *Roster) Handler() http.Handler {
	mux := http.NewServeMux()
	mux.HandleFunc("GET /v1/hosts", httpjson.HandleGet(r.list))
	mux.HandleFunc("PUT /v1/hosts/{id}", httpjson.HandleBody(httpjson.NeverFails(r.Put)))
	mux.HandleFunc("DELETE /v1/hosts/{id}", func(w http.ResponseWriter, req *http.Request) {
		r.Remove(req.PathValue("id"))
		w.WriteHeader(http.StatusNoContent)
	})
	mux.HandleFunc("POST /fault", httpjson.HandleBody(httpjson.NeverFails(r.SetFaults)))
	return mux
}

func (r *Roster) list() (roster.HostsResponse, error) {
	r.mu.Lock()
	down := r.faults.Down
	r.mu.Unlock()
	if down {
		return roster.HostsResponse{}, kind.New(kind.Store, "the list is down")
	}
	return roster.HostsResponse{Hosts: r.Hosts()}, nil
}
