package main

import (
	"context"
	"net"
	"net/http"
	"os"
	"runtime/debug"
	"sync/atomic"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/alecthomas/kingpin/v2"
	"go.uber.org/zap"
	"go.uber.org/zap/zapcore"

	"hickorypath/internal/core/clock"
	"hickorypath/internal/core/kind"
	"hickorypath/internal/core/logwriter"
	"hickorypath/internal/core/tcpconn"
	"hickorypath/internal/gateway/config"
	"hickorypath/internal/gateway/exchange"
	"hickorypath/internal/gateway/frontend"
	"hickorypath/internal/gateway/peer"
	"hickorypath/internal/gateway/relay"
	"hickorypath/internal/gateway/release"
	"hickorypath/internal/gateway/settings"
	"hickorypath/internal/gateway/storewatch"
	"hickorypath/internal/gateway/truetime"
	"hickorypath/internal/gateway/upstream"
	"hickorypath/internal/gateway/usage"
	"hickorypath/internal/policy/budget"
	"hickorypath/internal/policy/memory"
	"hickorypath/internal/state/lease"
	"hickorypath/internal/state/store"
	"hickorypath/platform"
)

// addGateway adds the command that runs one host with the settings, store and control API of package platform.
func addGateway(app *kingpin.Application) {
	cmd := app.Command("gateway", "Run one host on the platform whose settings file "+platform.SettingsVariable+" names, until SIGTERM.")
	cmd.Action(newAction(new(bool), runGateway))
}

// gateway is one host that runs with package platform.
type gateway struct {
	settings         settings.Settings
	clock            clock.Clock
	machine          machine
	log              *zap.Logger
	live             *config.Live
	table            *upstream.Table
	store            *store.Client
	watcher          *storewatch.Watcher
	exchange         *exchange.Exchanger
	server           *frontend.Server
	relays           *frontend.Server // for hosts that are cut off
	memory           *memory.Account
	helpers          *relay.Helpers
	peers            *peer.Table
	origins          *peer.Origins
	transport        *peer.Transport
	configs          *peer.Fetcher
	entries          *peer.Fetcher
	versions         *release.Tracker
	release          *release.Finder
	fleetTime        *truetime.Clock
	usage            *usage.Counter
	lease            *lease.Lease
	leaseHeld        atomic.Bool // the store shows a holder of the leader lease, this host or another
	startTime        time.Time
	startBoot        time.Duration
	synced           atomic.Bool   // the host has heard of the other hosts' configuration, or waited for them, since it started
	unregistered     chan struct{} // signals that the store may not hold the address of this host any more
	listed           chan struct{} // signals that all keys of the store were read
	hostsListed      atomic.Bool   // all keys of the store were read, those of the other hosts among them
	isRegistered     atomic.Bool   // the store shows the address of this host
	storeDown        atomic.Bool   // the store has failed and not recovered yet
	lastStoreFailure atomic.Int64  // boot time of the store's last failure, in nanoseconds
	draining         chan struct{}
	drainStart       atomic.Int64 // boot time at which the shutdown began, in nanoseconds; 0 before the shutdown
}

func runGateway(ctx context.Context) error {
	sink := logwriter.New(os.Stdout)
	log := zap.New(zapcore.NewCore(zapcore.NewJSONEncoder(logEncoderConfig()), sink, zapcore.InfoLevel))
	defer func() { _ = sink.Sync() }()
	s, err := platform.LoadSettings()
	if err != nil {
		return err
	}
	debug.SetMemoryLimit(s.Resources.MemoryBytes / memoryParts * heapParts)
	g, err := newGateway(s, clock.NewSystem(), newMachine(s.IP), log)
	if err != nil {
		return err
	}
	return g.run(ctx)
}

const (
	// heapParts of memoryParts is the share of the host's memory that the Go heap may use. The rest is for bytes in the
	// kernel's receive buffers, which count against the host's memory limit as well.
	memoryParts = 10
	heapParts   = 6
	// storeMaxBackoff limits the delay between retries of store calls, so that a host reconnects soon after an outage.
	storeMaxBackoff     = 250 * time.Millisecond
	storeAttemptTimeout = 900 * time.Millisecond
	// storeResyncTime is the time that a host needs to learn what it has missed, after a watch that the store did not answer.
	storeResyncTime = time.Second
	// minStoreWatchTimeout bounds the price of watches that nothing happens in, as each is a call.
	minStoreWatchTimeout = 1500 * time.Millisecond
	// storeWatchJitter makes the watches of the hosts end at different times. A watch can miss changes when the store compacts its
	// history or forgets the watches that wait. With different ends, some host notices first and tells the others.
	storeWatchJitter     = 500 * time.Millisecond
	storeWatchBatchDelay = 250 * time.Millisecond
	// storeIdleConns and storeIdleTimeout are large enough to reuse the connections of a watch, a lease renewal and a write.
	storeIdleConns    = 4
	storeIdleTimeout  = 30 * time.Second
	idleSweepInterval = 500 * time.Millisecond
)

func newGateway(s settings.Settings, clk clock.Clock, m machine, log *zap.Logger) (*gateway, error) {
	log = log.With(zap.String("host", s.Host))
	g := &gateway{
		settings: s, clock: clk, machine: m, log: log, startTime: clk.Now(), startBoot: clk.Boot(), fleetTime: truetime.New(clk), live: config.NewLive(),
		draining: make(chan struct{}), unregistered: make(chan struct{}, 1), listed: make(chan struct{}, 1),
	}
	g.peers = peer.NewTable(s.Host, s.Zone, g.peerAddress(), s.Resources.LinkMbps, g.startTime.UnixNano())
	g.origins = peer.NewOrigins()
	g.usage = usage.New(s.Bounds.UsageWindow, g.fleetTime.Now)
	g.table = upstream.NewTable(s.Zone, m.upstreams, log)
	g.store = g.newStore()
	g.watcher = g.newStoreWatcher()
	g.versions = release.NewTracker(clk.Now)
	g.release = g.newVersionFinder()
	g.memory = memory.New(s.Resources.MemoryBytes / accountParts)
	registerAccount(metrics.GetDefaultSet(), g.memory)
	g.helpers = g.newHelpers()
	g.exchange = g.newExchanger()
	g.relays = g.newRelayServer()
	g.server = frontend.New(g.exchange.Handle, g.limits, g.maxCallerConns(), g.memory, clk.Now, log)
	g.lease = lease.New(g.store, clk, lease.Options{
		Name: leaderLease, Holder: s.Host, TTL: s.LeaseTTL(), SettleDelay: leaderSettleDelay, Log: log, IsCandidate: g.isCandidate,
	})
	g.configs, g.entries = g.newConfigFetcher(), g.newEntriesFetcher()
	var err error
	g.transport, err = peer.New(peer.Options{
		Address: g.peerAddress(), Table: g.peers, Origins: g.origins, LocalMessage: g.localMessage, OnMessage: g.handlePeerMessage, Entries: g.upstreamEntries, PackedConfig: g.packedConfig, IsMixed: g.versions.IsMixed,
		Log: log, Now: clk.Now, Dial: m.dial, ListenPacket: m.listenPacket,
	})
	return g, err
}

// newStore returns the client of the key-value service.
func (g *gateway) newStore() *store.Client {
	calls := &http.Client{Transport: tcpconn.NewTransport(&http.Transport{
		DialContext:         func(ctx context.Context, _, addr string) (net.Conn, error) { return g.machine.dial(ctx, addr) },
		MaxIdleConnsPerHost: storeIdleConns, IdleConnTimeout: storeIdleTimeout, DisableCompression: true,
	})}
	return store.New(platform.NewStore(g.settings.Store.Address, calls), store.Options{
		Clock: g.clock, Log: g.log, AttemptTimeout: storeAttemptTimeout, WatchTimeout: g.storeWatchTimeout(), WatchJitter: storeWatchJitter, WatchBatchDelay: storeWatchBatchDelay,
		MaxBackoff: storeMaxBackoff, OnError: g.handleStoreError, OnRestore: g.handleStoreRestore,
	})
}

// storeWatchTimeout returns the time limit of a watch call. The store can forget a watch that waits, or that arrives during an outage, and leave its
// connection open, so the limit alone shows it; what was missed must be known by the time by which the host must follow the store again.
func (g *gateway) storeWatchTimeout() time.Duration {
	return max(g.settings.Bounds.ContactTime-storeResyncTime, minStoreWatchTimeout)
}

// newStoreWatcher returns the watcher that applies the store's changes to this host.
func (g *gateway) newStoreWatcher() *storewatch.Watcher {
	return storewatch.New(storewatch.Options{
		Store: g.store, Live: g.live, Table: g.table, ConfigKey: platform.ConfigKey, EntryPrefix: platform.EntryPrefix,
		DecodeConfig: g.machine.decodeConfig, DecodeEntry: platform.DecodeEntry,
		OnOtherKey: g.handleStoreEvent, OnSync: g.handleStoreSync, OnChange: func() { g.transport.SendSoon(true) },
		ShouldWatch: func() bool { return g.peers.ShouldWatchStore(g.clock.Now()) },
		Log:         g.log, Now: g.clock.Now,
	})
}

// newExchanger returns the handler that forwards callers' requests to upstreams.
func (g *gateway) newExchanger() *exchange.Exchanger {
	b := g.settings.Bounds
	return exchange.New(exchange.Options{
		Zone: g.settings.Zone, Regions: g.settings.Regions, Codec: platform.Codec(), Live: g.live, ConfigOrigin: g.configOrigin, Table: g.table,
		Budget:           g.retryBudget(),
		RetryHosts:       g.retryHosts,
		Elapsed:          g.clock.Boot,
		AddressReuseTime: b.AddressReuseTime,
		DrainTime:        b.DrainTime,
		ColdOvershoot:    b.ColdOvershoot, ColdSlack: b.ColdSlack,
		HostCount:  g.peers.MaxHosts,
		Fleet:      g.peers.Fleet,
		FleetTime:  g.fleetTime.Now,
		PeerLoads:  g.peers.Loads,
		TellOrigin: func(request string, o upstream.Origin) { g.transport.TellOrigin(request, o) },
		FindOrigin: func(ctx context.Context, request string) (upstream.Origin, bool) {
			if o, ok := g.transport.FindOrigin(ctx, request); ok || !g.release.ReadOrigins(ctx) {
				return o, ok
			}
			return g.origins.GetByRequest(request)
		},
		OnlyVersion: g.release.OnlyVersion,
		NotifyPeers: func() { g.transport.SendSoon(false) },
		OnStarted:   func(customer, _ string) { g.usage.Add(customer) },
		DrainingFor: g.drainTime, GracePeriod: b.GracePeriod,
		Memory: g.memory,
		Host:   g.settings.Host, Helpers: g.helpers, MaxRelayed: g.maxRelayed(),
		Log: g.log, Now: g.clock.Now,
	})
}

// retryBudget returns the limit on retries. A process that replaces another one does not know what that one has spent.
func (g *gateway) retryBudget() budget.Config {
	b := g.settings.Bounds
	c := budget.Config{Ratio: b.RetryRatio, Minimum: b.MinRetries, Window: b.RetryWindow}
	if !g.settings.FirstStart {
		c.KnownFrom = g.startBoot + b.RetryWindow
	}
	return c
}

// fleetKnownTime is the time after the start of a host from which it knows the other hosts, also if it could not read the store.
const fleetKnownTime = time.Minute

// retryHosts returns the number of hosts that share the retry budgets, 0 while this host cannot know: it has not read the hosts from the store, and may
// have started cut off from some.
func (g *gateway) retryHosts() int {
	if !g.hostsListed.Load() && g.clock.Boot()-g.startBoot < fleetKnownTime {
		return 0
	}
	return g.peers.MaxHosts()
}

// limits returns the limits of the configuration in force, or the platform's defaults before the first configuration.
func (g *gateway) limits() config.Limits {
	if c := g.live.Load(); c != nil {
		return c.Limits()
	}
	return platform.DefaultLimits()
}

// run serves requests until ctx is canceled, and then drains the host.
func (g *gateway) run(ctx context.Context) error {
	callers, err := g.listenCallers()
	if err != nil {
		return err
	}
	probes, err := net.Listen("tcp4", g.settings.ReadyAddress)
	if err != nil {
		return kind.Wrap(err, kind.Settings, "cannot listen on the address for readiness checks")
	}
	g.log.Info("start", zap.String("version", readBuildInfo().Version), zap.String("callers", g.settings.CallerAddress),
		zap.Int64("memory", g.settings.Resources.MemoryBytes), zap.Float64("share", g.settings.Resources.CPUShare))
	work, stop := context.WithCancel(context.WithoutCancel(ctx))
	defer stop()
	if err := g.startSync(work); err != nil {
		return err
	}
	go clock.Every(work, idleSweepInterval, g.checkStoreRecovery)
	go g.exchange.Run(work)
	duties, endDuties := context.WithCancel(work)
	defer endDuties()
	go g.runLeaderTasks(duties)
	go clock.Every(work, leaderInterval, func() { g.versions.See(release.TableVersions(g.table)) })
	go clock.Every(work, leaderInterval, g.announceLeader)
	go g.sweepIdle(work)
	go g.serveProbes(probes)
	go g.serveMetrics()
	served := make(chan struct{})
	go func() {
		defer close(served)
		_ = g.server.Serve(work, callers) // returns when the listener is closed
	}()
	go g.watchSettings(work)
	<-ctx.Done()
	endDuties() // another host can become the leader while this one finishes its requests
	g.drain(callers, served)
	return nil
}

// startSync starts what keeps the configuration and the upstream entries of this host up to date until ctx ends.
func (g *gateway) startSync(ctx context.Context) error {
	fetches, err := g.machine.listen(g.fetchAddress())
	if err != nil {
		return kind.Wrap(err, kind.Settings, "cannot listen on the address for other hosts")
	}
	relays, err := g.machine.listen(g.relayAddress())
	if err != nil {
		return kind.Wrap(err, kind.Settings, "cannot listen on the address for relayed requests")
	}
	go g.servePeerFetches(ctx, fetches)
	go g.serveRelays(ctx, relays)
	go clock.Every(ctx, upstream.ReturnInterval, g.table.TryOutOfReach)
	go g.watcher.Run(ctx)
	go g.transport.Run(ctx)
	go g.configs.Run(ctx)
	go g.entries.Run(ctx)
	go g.registerAddress(ctx)
	return nil
}

// sweepIdle periodically closes connections that were idle for too long and removes expired state.
func (g *gateway) sweepIdle(ctx context.Context) {
	clock.Every(ctx, idleSweepInterval, func() {
		now := g.clock.Now()
		g.server.Sweep(now, false)
		g.relays.Sweep(now, false)
		g.helpers.Sweep(now)
		g.table.Sweep(now)
		g.exchange.Sweep()
		g.origins.Sweep(now)
		g.expireEvacuations(now)
		g.peers.Sweep(now, g.usage.Window(g.fleetTime.Now()))
		for _, i := range g.table.All() {
			i.Sweep(now)
		}
	})
}
