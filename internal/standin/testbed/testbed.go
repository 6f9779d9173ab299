// Package testbed runs a set of stand-ins on loopback: the platform's services, model engines and plain services.
package testbed

import (
	"cmp"
	"context"
	"fmt"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/samber/lo"

	"hickorypath/internal/core/clock"
	standinengine "hickorypath/internal/standin/engine"
	"hickorypath/internal/standin/httpjson"
	standinprovision "hickorypath/internal/standin/provision"
	standinroster "hickorypath/internal/standin/roster"
	standinservice "hickorypath/internal/standin/service"
	standinstore "hickorypath/internal/standin/store"
	standinusage "hickorypath/internal/standin/usage"
	"hickorypath/internal/state/provision"
)

// anyPort is a listen address for which the operating system chooses the port.
const anyPort = "127.0.0.1:0"

// headerTimeout bounds the time to read a request header.
const headerTimeout = 5 * time.Second

// Upstream is one running stand-in for an engine or a plain service.
type Upstream struct {
	ID     string                `json:"id"`
	Pool   string                `json:"pool"`
	Zone   string                `json:"zone"`
	Addr   string                `json:"addr"`
	Path   string                `json:"path"` // URL path on the testbed's address below which the upstream and its faults are reached
	Engine *standinengine.Engine `json:"-"`    // nil for a plain service
	server *http.Server
}

// Options configures a Testbed.
type Options struct {
	// Engine returns the options for the engines of a pool.
	Engine func(pool string) standinengine.Options
	// ChecksFences makes the platform refuse orders with an old fencing token.
	ChecksFences bool
}

// Testbed is a set of running stand-ins.
type Testbed struct {
	options   Options
	store     *standinstore.Server
	roster    *standinroster.Roster
	provision *standinprovision.Platform
	usage     *standinusage.Sink
	mux       *http.ServeMux

	mu      sync.Mutex
	started int                 // number of upstreams started so far, for their ids
	running map[string]Upstream // by id
}

// New returns a Testbed without upstreams.
func New(o Options) *Testbed {
	s := &Testbed{
		options: o,
		store:   standinstore.New(clock.NewSystem()),
		roster:  standinroster.New(time.Now),
		usage:   standinusage.New(),
		mux:     http.NewServeMux(),
		running: map[string]Upstream{},
	}
	s.provision = standinprovision.New(standinprovision.Options{Launch: s.launch, Halt: func(u provision.Upstream) { s.Stop(u.ID) }})
	s.provision.SetFaults(standinprovision.Faults{IgnoreFences: !o.ChecksFences})
	s.mux.Handle("/store/", http.StripPrefix("/store", s.store.Handler()))
	s.mux.Handle("/roster/", http.StripPrefix("/roster", s.roster.Handler()))
	s.mux.Handle("/provision/", http.StripPrefix("/provision", s.provision.Handler()))
	s.mux.Handle("/usage/", http.StripPrefix("/usage", s.usage.Handler()))
	s.mux.HandleFunc("/upstream/{id}/", s.forward)
	s.mux.HandleFunc("GET /{$}", httpjson.HandleGet(func() ([]Upstream, error) { return s.Upstreams(), nil }))
	return s
}

// Store returns the stand-in for the key-value service.
func (s *Testbed) Store() *standinstore.Server { return s.store }

// Roster returns the stand-in for the list of hosts.
func (s *Testbed) Roster() *standinroster.Roster { return s.roster }

// Provision returns the stand-in that lists, starts and stops upstreams.
func (s *Testbed) Provision() *standinprovision.Platform { return s.provision }

// Usage returns the stand-in that receives usage reports.
func (s *Testbed) Usage() *standinusage.Sink { return s.usage }

// AddEngine starts an engine and adds it to the platform's list of upstreams.
func (s *Testbed) AddEngine(pool, zone string, reclaimable bool) error {
	u, err := s.startEngine("", pool, zone)
	if err != nil {
		return err
	}
	s.provision.Add(provision.Upstream{
		ID: u.ID, Pool: pool, Zone: zone, Addr: u.Addr, Reclaimable: reclaimable,
		State: provision.StateReady, ChecksFence: s.options.ChecksFences,
	})
	return nil
}

// AddService starts a plain service at addr, or at any free port if addr is empty, and returns the service.
func (s *Testbed) AddService(pool, zone, addr string) (*standinservice.Service, error) {
	v := standinservice.New()
	_, err := s.start(Upstream{Pool: pool, Zone: zone, Addr: addr}, v.Handler())
	return v, err
}

// launch starts the engine that an order asks for and returns its address, or an empty address if the engine cannot
// listen.
func (s *Testbed) launch(u provision.Upstream) string {
	started, _ := s.startEngine(u.ID, u.Pool, u.Zone)
	return started.Addr
}

func (s *Testbed) startEngine(id, pool, zone string) (Upstream, error) {
	e := standinengine.New(s.options.Engine(pool))
	return s.start(Upstream{ID: id, Pool: pool, Zone: zone, Engine: e}, e.Handler())
}

// start runs a stand-in with the given handler. An upstream without an id gets a new one.
func (s *Testbed) start(u Upstream, handler http.Handler) (Upstream, error) {
	ln, err := net.Listen("tcp", cmp.Or(u.Addr, anyPort))
	if err != nil {
		return Upstream{}, fmt.Errorf("stand-in of pool %s: %w", u.Pool, err)
	}
	u.server = &http.Server{Handler: handler, ReadHeaderTimeout: headerTimeout}
	go func() { _ = u.server.Serve(ln) }()
	s.mu.Lock()
	defer s.mu.Unlock()
	s.started++
	if u.ID == "" {
		u.ID = fmt.Sprintf("%s-%02d", u.Pool, s.started)
	}
	u.Addr, u.Path = ln.Addr().String(), "/upstream/"+u.ID
	s.running[u.ID] = u
	return u, nil
}

// Stop stops an upstream at once and closes its connections.
func (s *Testbed) Stop(id string) {
	s.mu.Lock()
	u, ok := s.running[id]
	delete(s.running, id)
	s.mu.Unlock()
	if ok {
		_ = u.server.Close()
	}
}

// Upstreams returns the running upstreams, sorted by id.
func (s *Testbed) Upstreams() []Upstream {
	s.mu.Lock()
	defer s.mu.Unlock()
	list := lo.Values(s.running)
	slices.SortFunc(list, func(a, b Upstream) int { return strings.Compare(a.ID, b.ID) })
	return list
}

// Engines returns the running engines, sorted by id.
func (s *Testbed) Engines() []*standinengine.Engine {
	return lo.FilterMap(s.Upstreams(), func(u Upstream, _ int) (*standinengine.Engine, bool) { return u.Engine, u.Engine != nil })
}

// Close stops all upstreams at once.
func (s *Testbed) Close() {
	for _, u := range s.Upstreams() {
		s.Stop(u.ID)
	}
}

// Serve serves the platform's services on ln until ctx ends.
func (s *Testbed) Serve(ctx context.Context, ln net.Listener) error {
	server := &http.Server{Handler: s.mux, ReadHeaderTimeout: headerTimeout}
	context.AfterFunc(ctx, func() { _ = server.Close() })
	if err := server.Serve(ln); ctx.Err() == nil {
		return err
	}
	return nil
}

// forward serves a request below an upstream's path with the handler of that upstream, so that faults can be injected
// through the testbed's address.
func (s *Testbed) forward(w http.ResponseWriter, r *http.Request) {
	s.mu.Lock()
	u, ok := s.running[r.PathValue("id")]
	s.mu.Unlock()
	if !ok {
		http.NotFound(w, r)
		return
	}
	http.StripPrefix(u.Path, u.server.Handler).ServeHTTP(w, r)
}
