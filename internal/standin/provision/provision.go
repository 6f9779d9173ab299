// Package provision stands in for the platform's interface that lists upstreams and takes orders.
package provision

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"hickorypath/internal/core/kind"
	"hickorypath/internal/platform/provision"
)

// Options are the seams of a Server.
type Options struct {
	Now func() time.Time
	// Launch starts an upstream and returns its name and address.
	Launch func(o provision.Order) (id, addr string, err error)
	// Halt ends an upstream at once.
	Halt func(id string)
	// Checks tells whether orders with an old fencing number are refused.
	Checks bool
}

// Faults are the faults in force, set by `POST /fault`.
type Faults struct {
	Refuse []string `json:"refuse"` // zones that refuse to start upstreams
	Lose   int      `json:"lose"`   // answers lost after the order took effect
	Drop   int      `json:"drop"`   // orders lost before they took effect
	Busy   int      `json:"busy"`   // orders refused by rate limit
	Down   bool     `json:"down"`
}

// Server is the stand-in.
type Server struct {
	options Options
	mux     *http.ServeMux

	mu      sync.Mutex
	version uint64
	changed chan struct{}
	list    map[string]provision.Upstream
	orders  map[string]provision.Order // taken, by id
	taken   []provision.Order          // in order of arrival
	fences  map[string]uint64          // highest fence by pool
	faults  Faults
}

// New returns a Server without upstreams.
func New(o Options) *Server {
	s := &Server{
		options: o, mux: http.NewServeMux(), version: 1, changed: make(chan struct{}),
		list: map[string]provision.Upstream{}, orders: map[string]provision.Order{}, fences: map[string]uint64{},
	}
	s.mux.HandleFunc("GET /upstreams", s.serveList)
	s.mux.HandleFunc("POST /orders", s.serveOrder)
	s.mux.HandleFunc("GET /orders/{id}", s.serveKnown)
	s.mux.HandleFunc("POST /fault", s.serveFault)
	s.mux.HandleFunc("POST /reclaim", s.serveReclaim)
	return s
}

// Handler returns the HTTP interface.
func (s *Server) Handler() http.Handler { return s.mux }

// Backend returns the interface without a network, for tests in virtual time.
func (s *Server) Backend() provision.Backend {
	return provision.Backend{
		List: func(context.Context, uint64, time.Duration) (provision.Listing, error) {
			l, _, down := s.listing()
			if down {
				return l, kind.New(kind.Unavailable, "down")
			}
			return l, nil
		},
		Order: func(_ context.Context, o provision.Order, check func() error) error {
			if err := check(); err != nil {
				return err
			}
			status, text, cut := s.take(o)
			switch {
			case cut:
				return kind.New(kind.Lost, "answer lost")
			case status == http.StatusOK:
				return nil
			case status == http.StatusPreconditionFailed:
				return kind.New(kind.Fenced, "%s", text)
			}
			return kind.New(kind.Refused, "%s", text)
		},
		Known: func(_ context.Context, id string) (bool, error) {
			s.mu.Lock()
			defer s.mu.Unlock()
			_, ok := s.orders[id]
			return ok, nil
		},
	}
}

// Add lists an upstream that runs already.
func (s *Server) Add(u provision.Upstream) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.list[u.ID] = u
	s.bump()
}

// Set replaces the faults in force.
func (s *Server) Set(f Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = f
}

// Taken returns the orders that took effect, in the order of their arrival.
func (s *Server) Taken() []provision.Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.taken)
}

// Reclaim takes back the reclaimable upstreams of a zone after notice, and returns how many.
func (s *Server) Reclaim(zone string, notice time.Duration) int {
	s.mu.Lock()
	defer s.mu.Unlock()
	n := 0
	for id, u := range s.list {
		if u.Zone != zone || !u.Reclaimable || u.State == provision.Leaving {
			continue
		}
		u.State = provision.Leaving
		u.Deadline = s.options.Now().Add(notice)
		s.list[id] = u
		n++
		time.AfterFunc(notice, func() { s.remove(id) })
	}
	s.bump()
	return n
}

func (s *Server) remove(id string) {
	s.options.Halt(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	delete(s.list, id)
	s.bump()
}

// bump wakes those who wait for a newer list; the caller holds the lock.
func (s *Server) bump() {
	s.version++
	close(s.changed)
	s.changed = make(chan struct{})
}

func (s *Server) listing() (provision.Listing, <-chan struct{}, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	l := provision.Listing{Version: s.version, Upstreams: []provision.Upstream{}}
	for _, u := range s.list {
		l.Upstreams = append(l.Upstreams, u)
	}
	slices.SortFunc(l.Upstreams, func(a, b provision.Upstream) int { return compare(a.ID, b.ID) })
	return l, s.changed, s.faults.Down
}

func compare(a, b string) int {
	if len(a) != len(b) {
		return len(a) - len(b)
	}
	return slices.Compare([]byte(a), []byte(b))
}

func (s *Server) serveList(w http.ResponseWriter, r *http.Request) {
	after, _ := strconv.ParseUint(r.URL.Query().Get("after"), 10, 64)
	wait, _ := time.ParseDuration(r.URL.Query().Get("wait"))
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for over := false; ; {
		l, changed, down := s.listing()
		if down {
			http.Error(w, "down", http.StatusInternalServerError)
			return
		}
		if l.Version > after || over {
			_ = json.NewEncoder(w).Encode(l)
			return
		}
		select {
		case <-changed:
		case <-timer.C:
			over = true
		case <-r.Context().Done():
			return
		}
	}
}

func (s *Server) serveOrder(w http.ResponseWriter, r *http.Request) {
	var o provision.Order
	if err := json.NewDecoder(r.Body).Decode(&o); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	status, text, cut := s.take(o)
	if cut {
		panic(http.ErrAbortHandler)
	}
	w.WriteHeader(status)
	fmt.Fprintln(w, text)
}

// take carries out an order; cut tells that its answer is lost.
func (s *Server) take(o provision.Order) (status int, text string, cut bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if _, ok := s.orders[o.ID]; ok {
		return http.StatusOK, "taken before", false
	}
	if status, text, cut := s.fault(o); status != 0 || cut {
		return status, text, cut
	}
	if s.options.Checks && o.Fence < s.fences[o.Pool] {
		return http.StatusPreconditionFailed, "old fencing number", false
	}
	s.fences[o.Pool] = max(s.fences[o.Pool], o.Fence)
	if err := s.carry(o); err != nil {
		return http.StatusServiceUnavailable, err.Error(), false
	}
	s.orders[o.ID] = o
	s.taken = append(s.taken, o)
	s.bump()
	if s.faults.Lose > 0 {
		s.faults.Lose--
		return 0, "", true
	}
	return http.StatusOK, "taken", false
}

// fault returns the answer that a fault in force gives instead; the caller holds the lock.
func (s *Server) fault(o provision.Order) (status int, text string, cut bool) {
	switch {
	case s.faults.Down:
		return http.StatusInternalServerError, "down", false
	case s.faults.Drop > 0:
		s.faults.Drop--
		return 0, "", true
	case s.faults.Busy > 0:
		s.faults.Busy--
		return http.StatusTooManyRequests, "too many orders", false
	case o.Action == provision.Start && slices.Contains(s.faults.Refuse, o.Zone):
		return http.StatusServiceUnavailable, "no room in zone " + o.Zone, false
	}
	return 0, "", false
}

// carry starts or stops the upstream of an order; the caller holds the lock.
func (s *Server) carry(o provision.Order) error {
	if o.Action == provision.Stop {
		delete(s.list, o.Upstream)
		go s.options.Halt(o.Upstream)
		return nil
	}
	id, addr, err := s.options.Launch(o)
	if err != nil {
		return err
	}
	s.list[id] = provision.Upstream{
		ID: id, Pool: o.Pool, Zone: o.Zone, Addr: addr, Reclaimable: o.Reclaimable,
		State: provision.Ready, Checks: s.options.Checks,
	}
	return nil
}

func (s *Server) serveKnown(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	defer s.mu.Unlock()
	o, ok := s.orders[r.PathValue("id")]
	switch {
	case s.faults.Down:
		http.Error(w, "down", http.StatusInternalServerError)
	case !ok:
		http.Error(w, "no such order", http.StatusNotFound)
	default:
		_ = json.NewEncoder(w).Encode(o)
	}
}

func (s *Server) serveFault(w http.ResponseWriter, r *http.Request) {
	var f Faults
	if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	s.Set(f)
	w.WriteHeader(http.StatusNoContent)
}

// reclaim is the body of `POST /reclaim`.
type reclaim struct {
	Zone   string `json:"zone"`
	Notice string `json:"notice"` // as a Go duration
}

func (s *Server) serveReclaim(w http.ResponseWriter, r *http.Request) {
	var c reclaim
	if err := json.NewDecoder(r.Body).Decode(&c); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	notice, err := time.ParseDuration(c.Notice)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	fmt.Fprintln(w, s.Reclaim(c.Zone, notice))
}
