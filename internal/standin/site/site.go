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
	"strings"
	"sync"
	"time"

	"github.com/samber/lo"

	"hickorypath/internal/core/clock"
	"hickorypath/internal/platform/provision"
	standinengine "hickorypath/internal/standin/engine"
	standinprovision "hickorypath/internal/standin/provision"
	standinroster "hickorypath/internal/standin/roster"
	standinservice "hickorypath/internal/standin/service"
	standinstore "hickorypath/internal/standin/store"
	standinusage "hickorypath/internal/standin/usage"
)

// anyPort lets the system choose a port.
const anyPort = "127.0.0.1:0"

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

// Options are the properties of a Site.
type Options struct {
	// Engine returns the properties of the engines of a pool.
	Engine func(pool string) standinengine.Options
	// Checks tells whether the platform refuses orders with an old fencing number.
	Checks bool
}

// Site is the set of stand-ins.
type Site struct {
	options   Options
	store     *standinstore.Server
	roster    *standinroster.Roster
	provision *standinprovision.Platform
	usage     *standinusage.Sink
	mux       *http.ServeMux

	mu      sync.Mutex
	started int
	running map[string]*upstream
}

// upstream is one running stand-in with its server.
type upstream struct {
	Upstream
	server *http.Server
	engine *standinengine.Engine
}

// New returns a Site without upstreams.
func New(o Options) *Site {
	s := &Site{
		options: o,
		store:   standinstore.New(clock.NewSystem()),
		roster:  standinroster.New(time.Now),
		usage:   standinusage.New(),
		mux:     http.NewServeMux(),
		running: map[string]*upstream{},
	}
	s.provision = standinprovision.New(standinprovision.Options{Launch: s.launchListed, Halt: func(u provision.Upstream) { s.Halt(u.ID) }})
	s.provision.Set(standinprovision.Faults{Ignore: !o.Checks})
	s.mount("/store", s.store.Handler())
	s.mount("/roster", s.roster.Handler())
	s.mount("/provision", s.provision.Handler())
	s.mount("/usage", s.usage.Handler())
	s.mux.HandleFunc("/upstream/{id}/", s.forward)
	s.mux.HandleFunc("GET /{$}", s.index)
	return s
}

// Handler returns the platform's services, each under its own path, and the faults of all stand-ins.
func (s *Site) Handler() http.Handler { return s.mux }

// Store returns the key-value service.
func (s *Site) Store() *standinstore.Server { return s.store }

// Roster returns the list of hosts.
func (s *Site) Roster() *standinroster.Roster { return s.roster }

// Provision returns the list of upstreams.
func (s *Site) Provision() *standinprovision.Platform { return s.provision }

// Usage returns the interface for usage reports.
func (s *Site) Usage() *standinusage.Sink { return s.usage }

// AddEngine runs an engine and lists it with the platform.
func (s *Site) AddEngine(pool, zone string, reclaimable bool) error {
	u, err := s.startEngine("", pool, zone)
	if err != nil {
		return err
	}
	s.provision.Add(provision.Upstream{
		ID: u.ID, Pool: pool, Zone: zone, Addr: u.Addr, Reclaimable: reclaimable,
		State: provision.StateReady, Checks: s.options.Checks,
	})
	return nil
}

// StartService runs a plain service at addr and returns it.
func (s *Site) StartService(pool, zone, addr string) (*standinservice.Service, error) {
	v := standinservice.New()
	_, err := s.start("", pool, zone, addr, v.Handler(), nil)
	return v, err
}

// launchListed starts the engine of an order and returns its address, empty when it cannot listen.
func (s *Site) launchListed(listed provision.Upstream) string {
	u, err := s.startEngine(listed.ID, listed.Pool, listed.Zone)
	if err != nil {
		return ""
	}
	return u.Addr
}

func (s *Site) startEngine(id, pool, zone string) (Upstream, error) {
	e := standinengine.New(s.options.Engine(pool))
	return s.start(id, pool, zone, anyPort, e.Handler(), e)
}

// Halt ends an upstream at once.
func (s *Site) Halt(id string) {
	s.mu.Lock()
	u, ok := s.running[id]
	delete(s.running, id)
	s.mu.Unlock()
	if ok {
		_ = u.server.Close()
	}
}

// Upstreams returns the running upstreams in the order of their names.
func (s *Site) Upstreams() []Upstream {
	return lo.Map(s.sorted(), func(u *upstream, _ int) Upstream { return u.Upstream })
}

// Engines returns the running engines in the order of their names.
func (s *Site) Engines() []*standinengine.Engine {
	return lo.FilterMap(s.sorted(), func(u *upstream, _ int) (*standinengine.Engine, bool) { return u.engine, u.engine != nil })
}

// EnginesByID returns the running engines by their names.
func (s *Site) EnginesByID() map[string]*standinengine.Engine {
	engines := map[string]*standinengine.Engine{}
	for _, u := range s.sorted() {
		if u.engine != nil {
			engines[u.ID] = u.engine
		}
	}
	return engines
}

func (s *Site) sorted() []*upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := lo.Values(s.running)
	slices.SortFunc(list, func(a, b *upstream) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// Close ends all upstreams at once.
func (s *Site) Close() {
	for _, u := range s.sorted() {
		s.Halt(u.ID)
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

// start runs a stand-in under an id, or under one made here.
func (s *Site) start(id, pool, zone, addr string, handler http.Handler, e *standinengine.Engine) (Upstream, error) {
	ln, err := net.Listen("tcp", addr)
	if err != nil {
		return Upstream{}, fmt.Errorf("stand-in of pool %s: %w", pool, err)
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	go func() { _ = server.Serve(ln) }()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started++
	if id == "" {
		id = fmt.Sprintf("%s-%02d", pool, s.started)
	}
	u := Upstream{ID: id, Pool: pool, Zone: zone, Addr: ln.Addr().String(), Path: "/upstream/" + id}
	s.running[id] = &upstream{Upstream: u, server: server, engine: e}
	return u, nil
}

// forward passes a call under an upstream's path on to it, so that its faults can be switched there.
func (s *Site) forward(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	u, ok := s.running[r.PathValue("id")]
	s.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	http.StripPrefix(u.Path, u.server.Handler).ServeHTTP(w, r)
}

func (s *Site) mount(path string, h http.Handler) {
	s.mux.Handle(path+"/", http.StripPrefix(path, h))
}

func (s *Site) index(w http.ResponseWriter, _ *http.Request) {
	w.Header().Set("Content-Type", "application/json")
	_ = json.NewEncoder(w).Encode(s.Upstreams())
}
