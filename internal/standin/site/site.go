// Package site runs a set of stand-ins on loopback: the platform's services, engines and a plain service.
package site

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strconv"
	"sync"
	"time"

	"hickorypath/internal/core/clock"
	standinengine "hickorypath/internal/standin/engine"
	standinroster "hickorypath/internal/standin/roster"
	standinservice "hickorypath/internal/standin/service"
	standinstore "hickorypath/internal/standin/store"
)

// headerTimeout bounds the arrival of a request header.
const headerTimeout = 5 * time.Second

// Upstream is one running stand-in of an engine or a plain service.
type Upstream struct {
	ID   string `json:"id"`
	Pool string `json:"pool"`
	Zone string `json:"zone"`
	Addr string `json:"addr"`
	// Path is where the upstream's own faults are switched on the site's address.
	Path string `json:"path"`
}

// Site is the set of stand-ins.
type Site struct {
	store  *standinstore.Server
	roster *standinroster.Roster
	mux    *http.ServeMux

	mu      sync.Mutex
	servers []*http.Server
	list    []Upstream
}

// New returns a Site without upstreams.
func New() *Site {
	s := &Site{
		store:  standinstore.New(clock.NewSystem()),
		roster: standinroster.New(time.Now),
		mux:    http.NewServeMux(),
	}
	s.mount("/store", s.store.Handler())
	s.mount("/roster", s.roster.Handler())
	s.mux.HandleFunc("GET /{$}", s.index)
	return s
}

// Handler returns the platform's services, each under its own path, and the faults of all stand-ins.
func (s *Site) Handler() http.Handler { return s.mux }

// Store returns the key-value service.
func (s *Site) Store() *standinstore.Server { return s.store }

// Roster returns the list of hosts.
func (s *Site) Roster() *standinroster.Roster { return s.roster }

// StartEngine runs an engine at addr and returns it.
func (s *Site) StartEngine(pool, zone, addr string, o standinengine.Options) (*standinengine.Engine, error) {
	e := standinengine.New(o)
	return e, s.start(pool, zone, addr, e.Handler())
}

// StartService runs a plain service at addr and returns it.
func (s *Site) StartService(pool, zone, addr string) (*standinservice.Service, error) {
	v := standinservice.New()
	return v, s.start(pool, zone, addr, v.Handler())
}

// Upstreams returns the running upstreams in the order of their start.
func (s *Site) Upstreams() []Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	return slices.Clone(s.list)
}

// Close ends all upstreams at once.
func (s *Site) Close() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, server := range s.servers {
		_ = server.Close()
	}
}

// Serve serves the platform at addr until ctx ends.
func (s *Site) Serve(ctx context.Context, ln net.Listener) error {
	server := &http.Server{Handler: s.mux, ReadHeaderTimeout: headerTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	err := server.Serve(ln)
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

func (s *Site) start(pool, zone, addr string, handler http.Handler) error {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return fmt.Errorf("stand-in of pool %s: %w", pool, err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(ln) }()
	s.mu.Lock()
	defer s.mu.Unlock()
	id := pool + "-" + strconv.Itoa(len(s.list)+1)
	path := "/upstream/" + id
	s.servers = append(s.servers, server)
	s.list = append(s.list, Upstream{ID: id, Pool: pool, Zone: zone, Addr: ln.Addr().String(), Path: path})
	s.mount(path, handler)
	return nil
}

func (s *Site) mount(path string, h http.Handler) {
	s.mux.Handle(path+"/", http.StripPrefix(path, h))
}

func (s *Site) index(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Upstreams())
}
