// Package fleet manages the pools that the current configuration document defines. It runs one dispatcher
// per pool, keeps track of the pool's upstreams, and exchanges load with the other hosts.
//
// A small or large fleet, in the comments of this package, is one with few or many hosts. The hosts of a
// small fleet exchange summaries, those of a large fleet digests that relays combine.
package fleet

import (
	"context"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"hickorypath/internal/core/clock"
	"hickorypath/internal/host/replication"
	"hickorypath/internal/operator/document"
	"hickorypath/internal/policy/pool"
	"hickorypath/internal/policy/route"
	"hickorypath/internal/upstream/dispatch"
	"hickorypath/internal/upstream/engine"
	"hickorypath/internal/upstream/httpclient"
	"hickorypath/internal/upstream/poll"
)

// reportExpiry is how long an upstream's report of its own load is valid.
const reportExpiry = 30 * time.Second

// peerExpiry is how long the last summary of a host is valid after the host has fallen silent.
const peerExpiry = 30 * time.Second

// aliveTimeout is the timeout of the call that distinguishes a crashed upstream from a broken connection.
const aliveTimeout = 500 * time.Millisecond

// Options holds the settings and dependencies of a Fleet.
type Options struct {
	Host       string
	Zone       string
	Seed       uint64
	Clock      clock.Clock
	Log        *zap.Logger
	Replicator *replication.Replicator
	// FetchLoad and FetchCacheEvents ask an engine for its load and for the changes to its prefix cache.
	FetchLoad        func(ctx context.Context, addr string) (route.Load, error)
	FetchCacheEvents func(ctx context.Context, addr string, after int) (engine.CacheEvents, error)
	// Dial opens a connection to an upstream. IsCutOff reports whether this host is cut off from the upstreams of a pool; it may be nil.
	Dial     httpclient.DialFunc
	IsCutOff func(pool string) bool
	// LiveHosts returns the live hosts, which share the polling of engines.
	LiveHosts func() []string
	// HostZones returns the live hosts with their zones. The slots of a large fleet are divided among these hosts.
	HostZones func() []route.Host
}

// Fleet is the set of pools on one host. It is safe for concurrent use.
type Fleet struct {
	options     Options
	assignments *poll.Assignments
	advisories  *advisories

	mu      sync.Mutex
	ctx     context.Context
	pools   map[string]*poolEntry
	targets map[string][]dispatch.Target // by pool
	slots   map[string]int               // slots per upstream, by pool
	classes []pool.Class

	lastDigest time.Time // when digests were last published; only Run uses it
}

// poolEntry is one pool with its dispatcher. A pool of plain services, which report no load, has no poller.
type poolEntry struct {
	*dispatch.Dispatcher
	poller *poll.Poller
	stop   context.CancelFunc

	mu          sync.Mutex
	unsentLoads map[string]route.Load // loads that this host polled and has not yet published
	peers       map[string]peerState
	failures    map[string]pollFailures // by upstream
	lastLoads   map[string]route.Load   // the last load report of each upstream

	directPolls map[string]directPoll // by upstream
}

// peerState is the number of requests that another host runs on each upstream.
type peerState struct {
	running    map[string]int // by upstream
	receivedAt time.Time
}

// New returns a Fleet without pools. Apply adds them.
func New(o Options) *Fleet {
	return &Fleet{
		options:     o,
		assignments: poll.NewAssignments(o.Host, o.LiveHosts, o.Clock.Now),
		advisories:  newAdvisories(o.Host),
		pools:       map[string]*poolEntry{},
		targets:     map[string][]dispatch.Target{},
		slots:       map[string]int{},
	}
}

// Run runs the pools and exchanges load with the other hosts until ctx ends.
func (f *Fleet) Run(ctx context.Context) {
	f.mu.Lock()
	f.ctx = ctx
	for _, e := range f.pools {
		e.run(ctx)
	}
	f.mu.Unlock()
	stop := f.options.Replicator.Watch(replication.TopicLoad, f.receiveSummary)
	defer stop()
	stopDrain := f.options.Replicator.Watch(drainTopic, f.receiveDrain)
	defer stopDrain()
	stopUp := f.options.Replicator.Watch(upTopic, f.receiveUp)
	defer stopUp()
	stopAdvisory := f.options.Replicator.Watch(advisoryTopic, f.receiveAdvisory)
	defer stopAdvisory()
	stopDeparture := f.options.Replicator.Watch(departureTopic, f.receiveDeparture)
	defer stopDeparture()
	stopPause := f.options.Replicator.Watch(pauseTopic, f.receivePause)
	defer stopPause()
	stopBrittle := f.options.Replicator.Watch(brittleTopic, f.receiveBrittle)
	defer stopBrittle()
	stopRejection := f.options.Replicator.Watch(rejectionTopic, f.receiveRejection)
	defer stopRejection()
	clock.Every(ctx, summaryInterval, f.publish)
}

// Apply replaces the pools with those of doc. A pool that is in both the old and the new document keeps its
// queue and its running requests.
func (f *Fleet) Apply(doc *document.Document) {
	classes := lo.Map(doc.Classes(), func(c *document.Class, _ int) pool.Class { return newClass(c) })
	f.mu.Lock()
	defer f.mu.Unlock()
	next := map[string]*poolEntry{}
	for _, p := range doc.Pools() {
		f.slots[p.Name()] = p.Slots()
		e, ok := f.pools[p.Name()]
		switch {
		case !ok:
			e = f.newPool(p, classes)
		case !slices.Equal(classes, f.classes):
			e.SetClasses(classes)
		}
		e.setTargets(f.currentTargets(p.Name()))
		next[p.Name()] = e
	}
	for name, e := range f.pools {
		if _, ok := next[name]; !ok {
			e.stopWhenIdle()
		}
	}
	f.pools, f.classes = next, classes
}

// newPool creates a pool and starts it if the Fleet is running. The caller must hold f.mu.
func (f *Fleet) newPool(p *document.Pool, classes []pool.Class) *poolEntry {
	core := pool.New(pool.Config{Host: f.options.Host, Zone: f.options.Zone, Classes: classes, Seed: f.options.Seed, Limiter: f.advisories.limiter(p.Name())})
	e := &poolEntry{
		Dispatcher:  dispatch.New(p.Name(), core, f.options.Clock),
		unsentLoads: map[string]route.Load{},
		peers:       map[string]peerState{},
		failures:    map[string]pollFailures{},
		lastLoads:   map[string]route.Load{},
		directPolls: map[string]directPoll{},
		stop:        func() {},
	}
	if p.Kind() == document.Engine {
		e.poller = f.newPoller(p.Name(), e)
	}
	if f.ctx != nil {
		e.run(f.ctx)
	}
	return e
}

func (f *Fleet) newPoller(name string, e *poolEntry) *poll.Poller {
	return poll.New(poll.Options{
		FetchLoad:        f.options.FetchLoad,
		FetchCacheEvents: f.options.FetchCacheEvents,
		OnLoad: func(id string, l route.Load) {
			e.recordPolledLoad(id, l)
			if e.recordRecovery(id, l.At) {
				f.refreshPool(name)
				f.publishUp(name, id, l.At)
			}
		},
		OnFailure: func(id string, _ error) {
			if f.options.IsCutOff != nil && f.options.IsCutOff(name) {
				return // it says nothing about the upstream
			}
			if e.recordFailures(id, 1, f.options.Clock.Now()) {
				f.refreshPool(name)
			}
		},
		OnCacheEvents: e.ApplyCacheEvents,
		IsAssigned: func(id string) bool {
			now := f.options.Clock.Now()
			return (f.assignments.IsAssigned(id) || e.isDirectlyPolled(id, now)) && !f.advisories.isPaused(now, id)
		},
	})
}

// run starts the dispatcher and the poller of the pool.
func (e *poolEntry) run(ctx context.Context) {
	ctx, e.stop = context.WithCancel(ctx)
	go e.Run(ctx)
	if e.poller != nil {
		go e.poller.Run(ctx)
	}
}

// drainInterval is how often a removed pool is checked for remaining requests.
const drainInterval = time.Second

// stopWhenIdle stops a pool that was removed from the document as soon as its last request has ended.
func (e *poolEntry) stopWhenIdle() {
	go func() {
		tick := time.NewTicker(drainInterval)
		defer tick.Stop()
		for !e.IsIdle() {
			<-tick.C
		}
		e.stop()
	}()
}

// recordPolledLoad records the load of an upstream that this host polled and keeps it for the next summary.
func (e *poolEntry) recordPolledLoad(id string, l route.Load) {
	e.UpdateLoad(id, l)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.unsentLoads[id] = l
	e.lastLoads[id] = l
}

// reportedRequests returns the number of running and waiting requests in an upstream's last load report, and
// whether that report is still valid.
func (e *poolEntry) reportedRequests(upstream string, now time.Time) (n int, recent bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	l, ok := e.lastLoads[upstream]
	if !ok || now.Sub(l.At) > reportExpiry {
		return 0, false
	}
	return l.Running + l.Waiting, true
}

// runningOnPeers returns the number of requests of other hosts that an upstream runs.
func (e *poolEntry) runningOnPeers(upstream string, now time.Time) int {
	e.mu.Lock()
	defer e.mu.Unlock()
	sum := 0
	for host, p := range e.peers {
		if now.Sub(p.receivedAt) > peerExpiry {
			delete(e.peers, host)
			continue
		}
		sum += p.running[upstream]
	}
	return sum
}

func (e *poolEntry) setTargets(targets []dispatch.Target) {
	e.SetTargets(targets)
	if e.poller == nil {
		return
	}
	e.poller.ReplaceTargets(lo.Map(targets, func(t dispatch.Target, _ int) poll.Target {
		return poll.Target{ID: t.ID(), Addr: t.Addr()}
	}))
}

func newClass(c *document.Class) pool.Class {
	return pool.Class{
		Name:             c.Name(),
		Tier:             c.Tier(),
		FirstTokenTarget: c.FirstToken(),
		TokenGapTarget:   c.TokenGap(),
		CompletionTarget: c.Total(),
		MaxWait:          c.MaxQueueTime(),
		GuaranteedShare:  c.GuaranteedShare(),
		Weight:           c.Weight(),
		AllowReclaimable: c.AllowsReclaimable(),
		DurableShare:     c.DurableShare(),
	}
}

// SetTargets replaces the upstreams of all pools.
func (f *Fleet) SetTargets(byPool map[string][]dispatch.Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.targets = byPool
	f.advisories.forget(f.options.Clock.Now(), byPool)
	for name, e := range f.pools {
		e.forgetFailures(byPool[name])
		e.setTargets(f.currentTargets(name))
	}
}

// currentTargets returns the upstreams of a pool with their slots from the document, marked as draining or
// down where they are. The caller must hold f.mu.
func (f *Fleet) currentTargets(name string) []dispatch.Target {
	return lo.Map(f.targets[name], func(t dispatch.Target, _ int) dispatch.Target {
		t = f.withDrainState(t).WithSlots(f.slots[name])
		if e, ok := f.pools[name]; ok && e.isDown(t.ID()) {
			return t.WithDown()
		}
		return t
	})
}

// Pool returns the dispatcher of a pool of the current document.
func (f *Fleet) Pool(name string) (*dispatch.Dispatcher, bool) {
	e, ok := f.findPool(name)
	if !ok {
		return nil, false
	}
	return e.Dispatcher, true
}

// Alive reports whether an upstream still answers: for an engine, whether it answers a load request; for a
// plain service, whether it accepts a new connection.
func (f *Fleet) Alive(ctx context.Context, name, addr string) bool {
	ctx, cancel := context.WithTimeout(ctx, aliveTimeout)
	defer cancel()
	if e, ok := f.findPool(name); ok && e.poller != nil {
		_, err := f.options.FetchLoad(ctx, addr)
		return err == nil
	}
	conn, err := f.options.Dial(ctx, "tcp", addr)
	if err != nil {
		return false
	}
	_ = conn.Close()
	return true
}

// TotalDemand returns the demand of all hosts for a pool.
func (f *Fleet) TotalDemand(name string) pool.Demand {
	e, ok := f.findPool(name)
	if !ok {
		return pool.Demand{}
	}
	return e.TotalDemand()
}

// Running returns the number of requests that an upstream runs: the number that all known hosts count, or
// the number that the upstream reports if that is higher. recent tells whether the upstream has reported
// within reportExpiry. The hosts of a large fleet do not know each other's requests, so there Running also
// makes this host poll a draining upstream.
func (f *Fleet) Running(name, upstream string) (n int, recent bool) {
	e, ok := f.findPool(name)
	if !ok {
		return 0, false
	}
	now := f.options.Clock.Now()
	reported, recent := e.reportedRequests(upstream, now)
	n = max(reported, e.Running(upstream)+e.runningOnPeers(upstream, now))
	if f.usesDigests() && f.IsDraining(upstream) && e.requestDirectPoll(upstream, now) && !recent {
		n = max(1, n) // other hosts' requests are unknown until the upstream reports
	}
	return n, recent
}

// Pools returns the dispatchers of all pools, sorted by name.
func (f *Fleet) Pools() []*dispatch.Dispatcher {
	list := lo.Map(f.allPools(), func(e *poolEntry, _ int) *dispatch.Dispatcher { return e.Dispatcher })
	slices.SortFunc(list, func(a, b *dispatch.Dispatcher) int { return strings.Compare(a.Name(), b.Name()) })
	return list
}

func (f *Fleet) findPool(name string) (*poolEntry, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	e, ok := f.pools[name]
	return e, ok
}

func (f *Fleet) allPools() []*poolEntry {
	f.mu.Lock()
	defer f.mu.Unlock()
	return lo.Values(f.pools)
}
