// Package autoscale runs a lease and a scaler for each pool of the document that is to be scaled. The scaler of a pool
// sends orders only on the host that holds the pool's lease.
package autoscale

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"hickorypath/internal/core/clock"
	"hickorypath/internal/operator/document"
	"hickorypath/internal/policy/pool"
	"hickorypath/internal/policy/scale"
	"hickorypath/internal/state/lease"
	"hickorypath/internal/state/provision"
	"hickorypath/internal/state/store"
	"hickorypath/internal/upstream/fleet"
	"hickorypath/internal/upstream/scaler"
)

// startupTime is the time from the order of an upstream until the upstream serves requests.
const startupTime = time.Minute

// leasePrefix is the prefix of the names of leases of pools.
const leasePrefix = "pool-"

// Options are the dependencies and settings of a Manager.
type Options struct {
	Holder        string // holder of the leases: host and incarnation
	Clock         clock.Clock
	Log           *zap.Logger
	Store         *store.Client
	Backend       provision.Backend
	OrderTimeout  time.Duration // time limit of one request to the platform
	LeaseTTL      time.Duration // time after which a lease that is not renewed ends
	Fleet         *fleet.Fleet
	Upstreams     func() []provision.Upstream // returns the platform's list of upstreams of all pools
	Zones         func() []string
	ZoneReachable func(zone string) bool // reports whether a host of the zone is alive as far as this host knows
	// IsCandidate reports whether this host is to try to get the lease of a name.
	IsCandidate func(lease string) bool
	// AddPaidTime adds to the time for which upstreams of a pool are paid.
	AddPaidTime func(pool string, reclaimable bool, paid time.Duration)
}

// Manager runs the leases and scalers of all pools. It is safe for concurrent use.
type Manager struct {
	options Options
	mu      sync.Mutex
	ctx     context.Context
	doc     *document.Document
	leases  map[string]*lease.Lease       // by pool
	cancels map[string]context.CancelFunc // by pool; stop the lease and the scaler
	loops   sync.WaitGroup
}

// New returns a Manager that runs no pools until Run and Apply are called.
func New(o Options) *Manager {
	return &Manager{options: o, leases: map[string]*lease.Lease{}, cancels: map[string]context.CancelFunc{}}
}

// Run runs the leases and scalers until ctx ends, and returns when all have stopped and the leases are released.
func (m *Manager) Run(ctx context.Context) {
	m.mu.Lock()
	m.ctx = ctx
	m.update()
	m.mu.Unlock()
	<-ctx.Done()
	m.loops.Wait()
}

// Apply starts and stops leases and scalers according to the pools of doc.
func (m *Manager) Apply(doc *document.Document) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.doc = doc
	m.update()
}

// Leases returns the leases of all running pools, sorted by the name of the pool.
func (m *Manager) Leases() []*lease.Lease {
	m.mu.Lock()
	defer m.mu.Unlock()
	names := lo.Keys(m.leases)
	slices.Sort(names)
	return lo.Map(names, func(n string, _ int) *lease.Lease { return m.leases[n] })
}

// update starts the lease and scaler of each pool that the document newly wants scaled, and stops those of the other
// pools; the caller holds the lock.
func (m *Manager) update() {
	if m.ctx == nil || m.doc == nil || m.ctx.Err() != nil {
		return
	}
	for name, stop := range m.cancels {
		if p, ok := m.doc.Pool(name); !ok || p.Max() == 0 {
			stop()
			delete(m.cancels, name)
			delete(m.leases, name)
		}
	}
	for _, p := range m.doc.Pools() {
		if _, ok := m.cancels[p.Name()]; !ok && p.Max() > 0 {
			m.start(p.Name())
		}
	}
}

// start starts the lease and the scaler of one pool; the caller holds the lock.
func (m *Manager) start(name string) {
	ctx, stop := context.WithCancel(m.ctx)
	l := m.newLease(name)
	s := m.newScaler(name, l)
	m.leases[name], m.cancels[name] = l, stop
	m.loops.Go(func() { l.Run(ctx) })
	m.loops.Go(func() { s.Run(ctx) })
}

func (m *Manager) newLease(name string) *lease.Lease {
	o := m.options
	return lease.New(o.Store, o.Clock, lease.Options{
		Name:        leasePrefix + name,
		Holder:      o.Holder,
		TTL:         o.LeaseTTL,
		IsCandidate: func() bool { return o.IsCandidate(leasePrefix + name) },
		Log:         o.Log,
	})
}

// newScaler returns the scaler of a pool, which sends its orders under the lease l.
func (m *Manager) newScaler(name string, l *lease.Lease) *scaler.Scaler {
	o := m.options
	orderer := provision.NewOrderer(o.Store, o.Clock, l, o.Backend, provision.OrdererOptions{Timeout: o.OrderTimeout, Log: o.Log})
	return scaler.New(scaler.Options{
		Pool:  name,
		Clock: o.Clock,
		Log:   o.Log,
		HoldsLease: func() bool {
			_, err := l.Token(o.OrderTimeout)
			return err == nil
		},
		Config:    func() (scale.Config, bool) { return m.config(name) },
		Demand:    func() pool.Demand { return o.Fleet.TotalDemand(name) },
		Upstreams: func() []scale.Upstream { return m.upstreams(name) },
		Order: func(ctx context.Context, so scale.Order) error {
			_, err := orderer.Order(ctx, newOrder(name, so))
			return err
		},
		Drain:       o.Fleet.Drain,
		AddPaidTime: func(reclaimable bool, paid time.Duration) { o.AddPaidTime(name, reclaimable, paid) },
	})
}

// config returns the bounds of a pool in the document in force; ok is false if the pool is not to be scaled.
func (m *Manager) config(name string) (scale.Config, bool) {
	m.mu.Lock()
	defer m.mu.Unlock()
	p, ok := m.doc.Pool(name)
	if !ok || p.Max() == 0 {
		return scale.Config{}, false
	}
	return scale.Config{
		Slots:       p.Slots(),
		Min:         p.Min(),
		Max:         p.Max(),
		Headroom:    p.Headroom(),
		Zones:       m.options.Zones(),
		StartupTime: startupTime,
	}, true
}

// upstreams returns the upstreams of a pool, each with the number of requests that it runs.
func (m *Manager) upstreams(name string) []scale.Upstream {
	own := lo.Filter(m.options.Upstreams(), func(u provision.Upstream, _ int) bool { return u.Pool == name })
	return lo.Map(own, func(u provision.Upstream, _ int) scale.Upstream {
		return scale.Upstream{
			ID:          u.ID,
			Zone:        u.Zone,
			Reclaimable: u.Reclaimable,
			State:       m.state(u),
			Running:     m.running(name, u),
		}
	})
}

// running returns the number of requests that an upstream must be assumed to run, from what this host knows.
func (m *Manager) running(name string, u provision.Upstream) int {
	n, heard := m.options.Fleet.Running(name, u.ID)
	return assumedRunning(n, heard || m.options.ZoneReachable(u.Zone))
}

// assumedRunning returns the number of requests that an upstream must be assumed to run. An upstream that has
// not reported its load lately, in a zone that cannot be reached, may still serve the hosts of that zone: it is assumed
// to run at least one request, so that it is not stopped.
func assumedRunning(counted int, known bool) int {
	if known {
		return counted
	}
	return max(1, counted)
}

// state returns the state of an upstream for the planner; an upstream that the hosts drain counts as draining before the
// platform lists it as leaving.
func (m *Manager) state(u provision.Upstream) scale.State {
	switch {
	case u.State == provision.StateLeaving || m.options.Fleet.IsDraining(u.ID):
		return scale.Draining
	case u.State == provision.StateStarting:
		return scale.Starting
	}
	return scale.Ready
}

func newOrder(pool string, o scale.Order) provision.Order {
	if o.Action == scale.Stop {
		return provision.Order{Action: provision.ActionStop, Pool: pool, Zone: o.Zone, Upstream: o.Upstream}
	}
	return provision.Order{Action: provision.ActionStart, Pool: pool, Zone: o.Zone, Reclaimable: o.Reclaimable}
}
