package main

import (
	"context"
	"net"
	"strconv"
	"strings"
	"time"

	"go.uber.org/zap"

	"hickorypath/internal/core/clock"
	"hickorypath/internal/gateway/leader"
	"hickorypath/internal/gateway/peer"
	"hickorypath/internal/gateway/release"
	"hickorypath/internal/policy/sizing"
	"hickorypath/internal/state/lease"
	"hickorypath/internal/state/store"
	"hickorypath/platform"
)

const (
	// hostKeyPrefix is the prefix of the store keys under which hosts register their peer addresses. The rest of a key is the
	// zone, a slash and the host's name; hosts of an earlier version leave the zone and the slash out.
	hostKeyPrefix = "hosts/"
	// leaderLease is the name of the lease whose holder reports usage and orders upstreams for all hosts.
	leaderLease = "duty"
	// leaderSettleDelay is how long a new holder waits after the previous holder's lease has expired.
	leaderSettleDelay = 500 * time.Millisecond
	// leaderInterval is the interval between two steps of the leader's tasks.
	leaderInterval = 250 * time.Millisecond
	// reportableWindows is how many usage windows before the current one can still be reported.
	reportableWindows = 3
)

// peerAddress returns the address at which this host receives the peers' datagrams.
func (g *gateway) peerAddress() string {
	return net.JoinHostPort(g.settings.IP, strconv.Itoa(g.settings.InternalPorts[0]))
}

// fetchAddress returns the address at which peers fetch the configuration and the upstream entries from this host.
func (g *gateway) fetchAddress() string {
	return net.JoinHostPort(g.settings.IP, strconv.Itoa(g.settings.InternalPorts[0]+1))
}

// localMessage returns the message with this host's state for its peers.
func (g *gateway) localMessage() peer.Message {
	m := peer.Message{
		Host: g.settings.Host, Zone: g.settings.Zone, Link: g.settings.Resources.LinkMbps, StartTime: g.startTime.UnixNano(), Time: g.fleetTime.Now().UnixMilli(),
		FetchAddress: g.fetchAddress(), Counts: g.usage.RecentCounts(), Loads: g.exchange.Loads(), Demand: g.exchange.Demand(),
		CachedPrefixes: g.exchange.CacheUpdates(), Poison: g.exchange.PoisonEvidence(), Advisories: g.table.Advisories(g.clock.Now()),
	}
	m.Departures, m.Zones = g.table.Departures(g.clock.Now()), g.table.Evacuated().Statements()
	m.Brittle, m.Rejections = g.exchange.BrittleServices(), g.table.Rejections(g.clock.Now())
	m.Pauses, m.EarlierPauses = g.table.Pauses(g.clock.Now()), g.peers.EarlierPauses(g.clock.Now())
	m.WatchesStore, m.EntryRevision, m.StoreFailing = g.watcher.IsWatching(), g.watcher.Revision(), g.table.IsStoreFailing(g.clock.Now())
	m.EndedCounts = g.peers.EndedCounts(g.clock.Now(), g.usage.Window(g.fleetTime.Now())-reportableWindows)
	m.FixedCounts = g.peers.RecentFixedCounts(g.usage.Window(g.fleetTime.Now()) - reportableWindows)
	_, m.Version = g.watcher.PackedConfig()
	m.Synced = g.isSynced()
	m.RelayPort, m.CutFrom, m.Relaying = uint16(g.relayPort()), g.table.CutServices(), g.exchange.Relaying() //nolint:gosec // it is a port
	select {
	case <-g.draining:
		m.Leaving = true
	default:
	}
	return m
}

// handlePeerMessage applies the message of another host. It triggers a fetch when that host has newer data, and corrects
// this host's time.
func (g *gateway) handlePeerMessage(now time.Time, m peer.Message) {
	g.exchange.ApplyCacheUpdates(now, m.CachedPrefixes)
	g.exchange.MergePoisonEvidence(now, m.Host, m.Poison)
	g.exchange.ApplyAdvisories(now, m.Host, m.Advisories)
	g.exchange.ApplyDepartures(now, m.Host, m.Departures)
	g.mergeEvacuations(m)
	g.table.MergeBrittle(now, m.Brittle)
	g.table.MergeRejections(now, m.Rejections)
	for _, p := range m.EarlierPauses {
		if p.Host == g.settings.Host {
			g.table.MergePauses(now, p.Pauses)
		}
	}
	if m.Version > g.configVersion() {
		g.watcher.RecordNewerConfig()
		g.configs.Wake()
	}
	if m.EntryRevision > g.watcher.Revision() {
		g.entries.Wake()
	}
	if by := g.fleetTime.Observe(m.Host, time.UnixMilli(m.Time)); by != 0 {
		g.log.Warn("time corrected to that of the other hosts", zap.Duration("by", by))
	}
}

// upstreamEntries returns the upstream entries and their revision, for peers that fetch them.
func (g *gateway) upstreamEntries() peer.Entries {
	list, revision := g.watcher.Entries()
	e := peer.Entries{Revision: revision, List: list, StoreFailing: g.table.IsStoreFailing(g.clock.Now())}
	g.versions.See(release.TableVersions(g.table))
	if v, complete := g.versions.Versions(); complete {
		e.Versions = v
	}
	return e
}

// packedConfig returns the compressed configuration, for peers that fetch it; nil before the first one.
func (g *gateway) packedConfig() []byte {
	packed, _ := g.watcher.PackedConfig()
	return packed
}

// fetchTimeout bounds a transfer to another host.
const fetchTimeout = time.Minute

// fetchListener accepts connections with a small send buffer.
type fetchListener struct{ net.Listener }

// Accept implements net.Listener.
func (l fetchListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if tcp, ok := c.(*net.TCPConn); ok {
		_ = tcp.SetWriteBuffer(peer.SendBuffer) // transfers are counted only less exactly without
	}
	return c, err
}

// servePeerFetches serves what other hosts fetch from this host until ctx ends.
func (g *gateway) servePeerFetches(ctx context.Context, l net.Listener) {
	server := newInternalServer(g.transport.Handler(), fetchTimeout)
	defer context.AfterFunc(ctx, func() { _ = server.Close() })()
	if err := server.Serve(g.limitInternal(fetchListener{l})); err != nil && ctx.Err() == nil {
		g.log.Error("server for fetches of other hosts stopped", zap.Error(err))
	}
}

// handleStoreEvent applies changes of the store's keys that hold host addresses and the leader lease.
func (g *gateway) handleStoreEvent(e store.Event) {
	switch key := e.Key(); {
	case key == g.hostKey():
		if g.isRegistered.Store(!e.Deleted() && string(e.Value()) == g.peerAddress()); e.Deleted() {
			g.registerSoon()
		}
	case strings.HasPrefix(key, platform.EvacuationPrefix):
		g.recordEvacuation(e)
	case strings.HasPrefix(key, hostKeyPrefix) && !e.Deleted():
		if addr := string(e.Value()); addr != g.peerAddress() {
			zone, _, _ := strings.Cut(strings.TrimPrefix(key, hostKeyPrefix), "/")
			g.peers.AddAddress(g.clock.Now(), addr, zone)
		}
	case key == release.RecordKey && !e.Deleted():
		if err := g.versions.SeeValue(e.Value()); err != nil {
			g.log.Warn("record of versions ignored", zap.Error(err))
		}
		g.log.Info("versions in the store", zap.ByteString("versions", e.Value()))
	case key == lease.KeyPrefix+leaderLease:
		g.leaseHeld.Store(!e.Deleted())
		g.log.Info("duty", zap.Bool("held", !e.Deleted()), zap.String("holder", string(e.Value())), zap.Uint64("revision", e.Revision()))
	}
}

// handleStoreSync records, after all keys have been read, which of the keys that matter here do not exist: the address of this host,
// the leader lease and evacuations.
func (g *gateway) handleStoreSync(revision uint64, exists func(key string) bool) {
	g.syncEvacuations(revision, exists)
	g.hostsListed.Store(true)
	if !exists(g.hostKey()) {
		g.isRegistered.Store(false)
	}
	select {
	case g.listed <- struct{}{}:
	default: // registerAddress has not started yet, or does not wait
	}
	if !exists(lease.KeyPrefix + leaderLease) {
		g.leaseHeld.Store(false)
	}
}

// isCandidate reports whether this host should try to acquire the leader lease: the host has a configuration, watches
// the store, and knows of no holder.
func (g *gateway) isCandidate() bool {
	return !g.leaseHeld.Load() && g.live.Load() != nil && g.watcher.IsWatching()
}

// runLeaderTasks reports usage and scales upstreams while this host holds the leader lease. When ctx is canceled, the
// lease is released.
func (g *gateway) runLeaderTasks(ctx context.Context) {
	go g.lease.Run(ctx)
	control := platform.ControlAPI(g.settings.Control.Address)
	reporter := leader.NewUsageReporter(leader.UsageReporterOptions{
		Host: g.settings.Host, Lease: g.lease, Store: g.store.For(store.UseReport), Control: control, Window: g.usage.Window,
		FixedCounts: g.peers.FixedCounts, FixCounts: g.fixCounts, IsKnown: g.knowsUsage,
		WindowEnd: g.usage.WindowEnd, Counts: g.fleetCounts, HasAllCounts: func(t time.Time) bool { return g.peers.HasAllCounts(g.clock.Now(), t) }, ReportDelay: g.settings.Bounds.UsageReportDelay, Now: g.fleetTime.Now, Log: g.log,
	})
	scaler := leader.NewScaler(leader.ScalerOptions{
		Host: g.settings.Host, Lease: g.lease, Control: control, Live: g.live, Table: g.table, Zones: g.settings.Zones,
		Demand: g.fleetDemand, DemandCoverage: func() float64 { return g.peers.DemandCoverage(g.clock.Now()) }, ReadRate: g.exchange.ReadRate, Now: g.clock.Now, Log: g.log,
	})
	isLeader := func() bool { _, err := g.lease.Token(0); return err == nil }
	versions := release.NewRecorder(release.RecorderOptions{
		Store: g.store.For(store.UseRelease), Tracker: g.versions, FirstStart: g.settings.FirstStart, IsLeader: isLeader, Log: g.log,
	})
	go clock.Every(ctx, leaderInterval, func() { versions.Step(ctx) })
	origins := release.NewJournal(release.JournalOptions{
		Store: g.store.For(store.UseRelease), Host: g.settings.Host, Tracker: g.versions, IsLeader: isLeader, Recent: g.origins.Since, Now: g.clock.Now, Log: g.log,
	})
	go clock.Every(ctx, leaderInterval, func() { origins.Step(ctx) })
	if g.settings.Control.ReportsUsage {
		go clock.Every(ctx, leaderInterval, func() { reporter.Step(ctx) })
	}
	if g.settings.Control.ScalesUpstreams {
		go clock.Every(ctx, leaderInterval, func() { scaler.Step(ctx) })
	}
}

// announceLeader tells the other hosts that this host is the leader, so that they send their usage counts and their
// demand to this host.
func (g *gateway) announceLeader() {
	if token, err := g.lease.Token(0); err == nil && g.peers.Leader().FencingToken < token.FencingToken() {
		g.peers.SetLeader(peer.Leader{Address: g.peerAddress(), FencingToken: token.FencingToken()})
		g.transport.SendSoon(true)
	}
}

// fixCounts tells the other hosts the usage counts of a window that is about to be reported.
func (g *gateway) fixCounts(window int64, counts map[string]int) {
	if _, known := g.peers.FixedCounts(window); !known {
		g.peers.FixCounts(window, counts)
		g.transport.SendSoon(true)
	}
}

// knowsUsage reports whether this host, or one of which it has heard, counted requests in a usage window.
func (g *gateway) knowsUsage(window int64) bool {
	end := g.usage.WindowEnd(window)
	started := g.fleetTime.Now().Add(g.startBoot - g.clock.Boot()) // in the time that the hosts agree on
	return started.Before(end) || g.peers.HasCounts(window, end)
}

// fleetCounts returns the usage counts of all hosts in a window, by customer.
func (g *gateway) fleetCounts(window int64) map[string]int {
	sum := g.peers.Counts(window)
	for customer, n := range g.usage.Counts(window) {
		sum[customer] += n
	}
	return sum
}

// fleetDemand returns the demand for a service at all hosts.
func (g *gateway) fleetDemand(service string) sizing.Demand {
	return g.peers.Demand(g.clock.Now(), service).Add(g.exchange.Demand()[service])
}

// configOrigin returns where the configuration in force came from, and how long ago the store last showed this host all changes.
func (g *gateway) configOrigin() (source string, age time.Duration) {
	return g.watcher.ConfigSource(), g.clock.Boot() - g.store.LastWatchTime()
}

// newestConfig returns the newest version of the configuration that this host or another one that is alive has in force.
func (g *gateway) newestConfig() int64 {
	newest := g.configVersion()
	for _, m := range g.peers.LiveMessages(g.clock.Now()) {
		newest = max(newest, m.Version)
	}
	return newest
}

// configVersion returns the version of the configuration in force, or 0 before the first configuration.
func (g *gateway) configVersion() int64 {
	if c := g.live.Load(); c != nil {
		return c.Version()
	}
	return 0
}
