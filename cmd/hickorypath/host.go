package main

import (
	"context"
	"errors"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/samber/do/v2"
	"github.com/samber/lo"
	"go.uber.org/zap"
	"golang.org/x/net/netutil"

	"hickorypath/internal/caller/exchange"
	"hickorypath/internal/caller/intake"
	"hickorypath/internal/caller/openai"
	"hickorypath/internal/caller/quota"
	"hickorypath/internal/caller/relay"
	"hickorypath/internal/caller/reply"
	callerservice "hickorypath/internal/caller/service"
	"hickorypath/internal/core/clock"
	"hickorypath/internal/core/kind"
	"hickorypath/internal/core/settings"
	"hickorypath/internal/core/sockopt"
	"hickorypath/internal/host/membership"
	"hickorypath/internal/host/node"
	"hickorypath/internal/host/replication"
	"hickorypath/internal/operator/configsync"
	"hickorypath/internal/operator/meter"
	"hickorypath/internal/policy/memory"
	"hickorypath/internal/policy/route"
	"hickorypath/internal/upstream/dispatch"
	"hickorypath/internal/upstream/fleet"
	"hickorypath/internal/upstream/httpclient"
)

// watchersPerZone is how many hosts of a zone watch the store on behalf of all hosts in the zone.
const watchersPerZone = 2

// headerTimeout limits the time to read the header of a request.
const headerTimeout = 10 * time.Second

// Bounds on the callers' and operators' connections.
const (
	callerIdleTimeout = 2 * time.Minute
	maxHeaderBytes    = 16 << 10
	maxAdminConns     = 128
	adminIdleTimeout  = 15 * time.Second
)

// host is one instance of the router with its listeners and components.
type host struct {
	settings *settings.Settings
	log      *zap.Logger
	memory   int64           // that the host may use, in bytes
	account  *memory.Account // for request bodies
	injector *do.RootScope
	caller   *http.Server
	relayed  *http.Server // for the requests of hosts that are cut off from upstreams
	admin    *http.Server
	callerLn net.Listener
	adminLn  net.Listener
	leaving  atomic.Bool
	loops    sync.WaitGroup
}

// newHost creates the components of a host and opens its listeners. The host serves when run is called. It opens its connections to
// upstreams with dial.
func newHost(s *settings.Settings, log *zap.Logger, dial httpclient.DialFunc) (*host, error) {
	h := &host{settings: s, log: log.With(zap.String("host", s.Host())), memory: hostMemory(s)}
	h.account = memory.New(h.memory / accountParts)
	h.injector = newInjector(s, h.log, dial)
	registerAccount(get[*metrics.Set](h.injector), h.account)
	if _, err := do.Invoke[*node.Node](h.injector); err != nil {
		return nil, kind.Wrap(err, kind.Settings, "cannot listen on the address %s for other hosts", s.Peer().Listen)
	}
	var err error
	if h.callerLn, err = listen(s.Caller()); err != nil {
		return nil, err
	}
	if h.adminLn, err = listen(s.Admin()); err != nil {
		return nil, err
	}
	h.relayed = &http.Server{Handler: h.relayedHandler(), ReadHeaderTimeout: headerTimeout, ErrorLog: zap.NewStdLog(h.log)}
	conns := intake.NewConns(maxServeConns(h.memory), get[*metrics.Set](h.injector).NewCounter("hickorypath_connections_evicted_total"))
	h.caller = &http.Server{
		Handler: h.callerHandler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: callerIdleTimeout, MaxHeaderBytes: maxHeaderBytes,
		ConnState: conns.Track, ConnContext: conns.Context, HTTP2: newHTTP2Config(), ErrorLog: zap.NewStdLog(h.log),
	}
	h.admin = &http.Server{
		Handler: h.adminHandler(), ReadHeaderTimeout: headerTimeout, IdleTimeout: adminIdleTimeout, MaxHeaderBytes: maxHeaderBytes, HTTP2: newHTTP2Config(), ErrorLog: zap.NewStdLog(h.log),
	}
	h.adminLn = netutil.LimitListener(h.adminLn, maxAdminConns)
	return h, nil
}

func listen(l settings.Listener) (net.Listener, error) {
	buffers := sockopt.ControlBuffers(serveSocketBuffer)
	conf := net.ListenConfig{KeepAliveConfig: sockopt.KeepAlive(), Control: func(network, address string, raw syscall.RawConn) error {
		return errors.Join(sockopt.Control(network, address, raw), buffers(network, address, raw)) // the first detects callers that are gone
	}}
	ln, err := conf.Listen(context.Background(), "tcp", l.Listen)
	if err != nil {
		return nil, kind.Wrap(err, kind.Settings, "cannot listen on the address %s", l.Listen)
	}
	return ln, nil
}

// callerHandler returns the HTTP handler of the callers' address.
func (h *host) callerHandler() http.Handler {
	runner := get[*exchange.Runner](h.injector)
	relays := get[*relay.Client](h.injector)
	chat := openai.New(runner, relays)
	services := callerservice.New(runner, relays)
	handler := http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		reply.ClearWriteDeadline(http.NewResponseController(w))
		switch {
		case isChat(r):
			chat.ServeHTTP(w, r)
		case r.URL.Path == "/healthz":
			h.serveHealth(w)
		default:
			services.ServeHTTP(w, r)
		}
	})
	maxBuffered := func(r *http.Request) int64 {
		if isChat(r) {
			return openai.MaxBody
		}
		return callerservice.MaxRelayedBody
	}
	return intake.Handler(handler, intake.Options{Account: h.account, MaxBuffered: maxBuffered, Refuse: reply.WriteError})
}

func isChat(r *http.Request) bool { return strings.HasPrefix(r.URL.Path, "/v1/") }

// maxRelayed is the number of requests that a host serves for hosts that are cut off at a time, so that its own callers keep their
// service.
const maxRelayed = 128

// relayedHandler returns the HTTP handler of requests that hosts send which are cut off from upstreams.
func (h *host) relayedHandler() http.Handler { return limitRelayed(h.callerHandler(), maxRelayed) }

// limitRelayed returns a handler that passes up to n requests of other hosts at a time on to next, and refuses the others.
func limitRelayed(next http.Handler, n int) http.Handler {
	slots := make(chan struct{}, n)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		r = reply.MarkRelayed(w, r)
		select {
		case slots <- struct{}{}:
			defer func() { <-slots }()
			next.ServeHTTP(w, r)
		default:
			reply.WriteError(w, kind.New(kind.Unavailable, "the host relays too many requests"))
		}
	})
}

// serveHealth answers the load balancer's health check: the host should get new connections only if it is ready.
func (h *host) serveHealth(w http.ResponseWriter) {
	if err := h.checkReady(); err != nil {
		reply.WriteError(w, err)
		return
	}
	w.WriteHeader(http.StatusNoContent)
}

func (h *host) checkReady() error {
	if h.leaving.Load() {
		return kind.New(kind.Draining, "the host is shutting down")
	}
	if !get[*configsync.Readiness](h.injector).IsReady() {
		return kind.New(kind.Unavailable, "the host does not have all keys and the document yet")
	}
	return nil
}

// run serves until ctx is canceled and then shuts down gracefully, without interrupting running requests.
func (h *host) run(ctx context.Context) error {
	loops, stop := context.WithCancel(context.Background())
	defer stop()
	h.start(loops)
	served := make(chan error, 2)
	go func() { served <- serve(h.caller, h.callerLn, h.settings.Caller()) }()
	go func() { served <- serve(h.admin, h.adminLn, h.settings.Admin()) }()
	h.log.Info("serving requests", zap.String("caller", h.callerLn.Addr().String()), zap.String("admin", h.adminLn.Addr().String()), zap.String("peer", get[*node.Node](h.injector).Addr()))
	select {
	case <-ctx.Done():
	case err := <-served:
		return err
	}
	err := h.shutdown()
	stop()
	h.loops.Wait()
	return err
}

func serve(s *http.Server, ln net.Listener, l settings.Listener) error {
	var err error
	if l.IsTLS() {
		err = s.ServeTLS(ln, l.Cert, l.Key)
	} else {
		err = s.Serve(ln)
	}
	if errors.Is(err, http.ErrServerClosed) {
		return nil
	}
	return err
}

// partSweepInterval is how often messages that have long crashed no upstream are forgotten.
const partSweepInterval = time.Minute

// start starts the background loops of the host. They stop when ctx is canceled.
func (h *host) start(ctx context.Context) {
	n := get[*node.Node](h.injector)
	f := get[*fleet.Fleet](h.injector)
	get[*httpclient.Reach](h.injector).SetAlone(func() bool { return len(otherHosts(n.Members(), h.settings.Host())) == 0 })
	setTargets(f, get[*httpclient.Reach](h.injector), targetsByPool(nil, h.settings.Services()))
	stop := n.Replicator().Watch(replication.TopicSuspect, newCrashHandler(get[*exchange.SuspectTracker](h.injector), get[*exchange.PartTracker](h.injector), get[clock.Clock](h.injector), f))
	context.AfterFunc(ctx, stop)
	context.AfterFunc(ctx, n.Replicator().Watch(replication.TopicUsage, h.importUsage))
	h.runLoop(func() { _ = n.Run(ctx) })
	h.runLoop(func() { get[*configsync.Syncer](h.injector).Run(ctx) })
	h.runLoop(func() { f.Run(ctx) })
	h.runLoop(func() { get[*httpclient.Reach](h.injector).Run(ctx) })
	go func() { _ = h.relayed.Serve(n.Streams()) }() // until the server is shut down
	h.startPlatformTasks(ctx)
	h.runLoop(func() { get[*quota.Quota](h.injector).Run(ctx) })
	h.runLoop(func() { get[*meter.Meter](h.injector).Run(ctx) })
	c, parts := get[clock.Clock](h.injector), get[*exchange.PartTracker](h.injector)
	h.runLoop(func() { clock.Every(ctx, partSweepInterval, func() { parts.Sweep(c.Now()) }) })
}

func (h *host) runLoop(run func()) {
	h.loops.Go(run)
}

// shutdown announces to the other hosts that this host leaves, accepts connections until the load balancer has noticed,
// and waits for every running request.
func (h *host) shutdown() error {
	h.log.Info("shutdown started")
	h.leaving.Store(true)
	ctx, cancel := context.WithTimeout(context.Background(), h.settings.ShutdownTimeout())
	defer cancel()
	get[*node.Node](h.injector).Leave(ctx)
	clock.Pause(ctx, h.settings.DrainNotice())
	err := h.caller.Shutdown(ctx)
	err = errors.Join(err, h.relayed.Shutdown(ctx))
	h.flushUsage(ctx)
	_ = h.admin.Shutdown(ctx)
	h.log.Info("shutdown finished", zap.Error(err))
	return err
}

// staticTargets returns the services that are listed in the settings, grouped by pool.
func staticTargets(services []settings.Service) map[string][]dispatch.Target {
	byPool := lo.GroupBy(services, func(s settings.Service) string { return s.Pool })
	return lo.MapValues(byPool, func(list []settings.Service, _ string) []dispatch.Target {
		return lo.Map(list, func(s settings.Service, _ int) dispatch.Target {
			return dispatch.NewTarget(s.Addr, s.Zone, s.Addr, false, false)
		})
	})
}

// setTargets replaces the upstreams of all pools.
func setTargets(f *fleet.Fleet, r *httpclient.Reach, byPool map[string][]dispatch.Target) {
	f.SetTargets(byPool)
	r.SetUpstreams(lo.MapValues(byPool, func(targets []dispatch.Target, _ string) []httpclient.Endpoint {
		return lo.FilterMap(targets, func(t dispatch.Target, _ int) (httpclient.Endpoint, bool) {
			return httpclient.Endpoint{Addr: t.Addr(), Zone: t.Zone()}, !t.Draining()
		})
	}))
}

// otherHosts returns the other hosts that are alive and do not leave.
func otherHosts(members []membership.Member, self string) []relay.Host {
	return lo.FilterMap(members, func(m membership.Member, _ int) (relay.Host, bool) {
		return relay.Host{ID: m.ID(), Zone: m.Zone()}, m.ID() != self && m.Alive() && m.State() == membership.Alive
	})
}

// liveHosts returns the IDs of the live hosts.
func liveHosts(members []membership.Member) []string {
	return lo.FilterMap(members, func(m membership.Member, _ int) (string, bool) { return m.ID(), m.Alive() })
}

// liveHostZones returns the live hosts with their availability zones, each with the same demand.
func liveHostZones(members []membership.Member) []route.Host {
	return lo.FilterMap(members, func(m membership.Member, _ int) (route.Host, bool) {
		return route.Host{ID: m.ID(), Zone: m.Zone(), Demand: 1}, m.Alive()
	})
}

// isWatcher reports whether the host self is one of the hosts of its zone that watch the store: the first
// watchersPerZone live hosts of the zone, sorted by ID.
func isWatcher(members []membership.Member, self, zone string) bool {
	names := lo.FilterMap(members, func(m membership.Member, _ int) (string, bool) {
		return m.ID(), m.Zone() == zone && m.Alive()
	})
	slices.Sort(names)
	at := slices.Index(names, self)
	return at >= 0 && at < watchersPerZone
}
