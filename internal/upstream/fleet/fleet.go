// Package fleet holds the dispatchers of all pools of the document in force, with their upstreams.
package fleet

import (
	"context"
	"sync"
	"time"

	"github.com/fxamacker/cbor/v2"
	"github.com/samber/lo"
	"go.uber.org/zap"

	"hickorypath/internal/core/clock"
	"hickorypath/internal/host/spread"
	"hickorypath/internal/operator/document"
	"hickorypath/internal/policy/pool"
	"hickorypath/internal/upstream/dispatch"
)

// Times of the exchange of summaries among hosts.
const (
	summaryInterval = 200 * time.Millisecond
	summaryExpiry   = 2 * time.Second
)

// Options are the dependencies of a Fleet.
type Options struct {
	Host   string
	Zone   string
	Seed   uint64
	Clock  clock.Clock
	Log    *zap.Logger
	Spread *spread.Spread
}

// Fleet is the set of dispatchers of one host. It is safe for concurrent use.
type Fleet struct {
	options Options

	mu      sync.Mutex
	ctx     context.Context
	pools   map[string]*dispatch.Dispatcher
	targets map[string][]dispatch.Target // by pool
	slots   map[string]int               // of one upstream, by pool
}

// summary is what travels between hosts for one pool.
type summary struct {
	Pool string       `cbor:"p"`
	Host string       `cbor:"h"`
	Body pool.Summary `cbor:"s"`
}

// New returns a Fleet without pools.
func New(o Options) *Fleet {
	return &Fleet{
		options: o,
		pools:   map[string]*dispatch.Dispatcher{},
		targets: map[string][]dispatch.Target{},
		slots:   map[string]int{},
	}
}

// Run drives the pools and exchanges summaries until ctx ends.
func (f *Fleet) Run(ctx context.Context) {
	f.mu.Lock()
	f.ctx = ctx
	for _, d := range f.pools {
		go d.Run(ctx)
	}
	f.mu.Unlock()
	stop := f.options.Spread.Watch(spread.Load, f.take)
	defer stop()
	tick := time.NewTicker(summaryInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			f.publish()
		}
	}
}

// Apply makes the pools those of doc. A pool that stays keeps its queue and running requests.
func (f *Fleet) Apply(doc *document.Document) {
	classes := lo.Map(doc.Classes(), func(c *document.Class, _ int) pool.Class { return newClass(c) })
	f.mu.Lock()
	defer f.mu.Unlock()
	next := map[string]*dispatch.Dispatcher{}
	for _, p := range doc.Pools() {
		f.slots[p.Name()] = p.Slots()
		d := f.dispatcher(p.Name(), classes)
		d.SetTargets(f.sized(p.Name()))
		next[p.Name()] = d
	}
	f.pools = next
}

// dispatcher returns the dispatcher of a pool with its classes; the caller holds the lock.
func (f *Fleet) dispatcher(name string, classes []pool.Class) *dispatch.Dispatcher {
	if d, ok := f.pools[name]; ok {
		d.SetClasses(classes)
		return d
	}
	build := func(classes []pool.Class) *pool.Pool {
		return pool.New(pool.Config{Host: f.options.Host, Zone: f.options.Zone, Classes: classes, Seed: f.options.Seed})
	}
	d := dispatch.New(name, classes, build, f.options.Clock)
	if f.ctx != nil {
		go d.Run(f.ctx)
	}
	return d
}

func newClass(c *document.Class) pool.Class {
	return pool.Class{
		Name:   c.Name(),
		Tier:   c.Tier(),
		First:  c.First(),
		Gap:    c.Gap(),
		Whole:  c.Whole(),
		Wait:   c.Wait(),
		Share:  c.Share(),
		Weight: c.Weight(),
		Cheap:  c.Cheap(),
		Solid:  c.Solid(),
	}
}

// SetTargets replaces the upstreams of all pools.
func (f *Fleet) SetTargets(byPool map[string][]dispatch.Target) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.targets = byPool
	for name, d := range f.pools {
		d.SetTargets(f.sized(name))
	}
}

// sized returns the upstreams of a pool with the slots that the document gives them; the caller holds
// the lock.
func (f *Fleet) sized(name string) []dispatch.Target {
	return lo.Map(f.targets[name], func(t dispatch.Target, _ int) dispatch.Target {
		return t.WithSlots(f.slots[name])
	})
}

// Pool returns the dispatcher of a pool of the document in force.
func (f *Fleet) Pool(name string) (*dispatch.Dispatcher, bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	d, ok := f.pools[name]
	return d, ok
}

// Pools returns all dispatchers.
func (f *Fleet) Pools() []*dispatch.Dispatcher {
	f.mu.Lock()
	defer f.mu.Unlock()
	return lo.Values(f.pools)
}

// publish tells the other hosts what waits and runs here.
func (f *Fleet) publish() {
	now := f.options.Clock.Now()
	for _, d := range f.Pools() {
		data, err := cbor.Marshal(summary{Pool: d.Name(), Host: f.options.Host, Body: d.Summary()})
		if err != nil {
			f.options.Log.Error("summary cannot be encoded", zap.Error(err))
			continue
		}
		f.options.Spread.Put(spread.Load, d.Name()+"/"+f.options.Host, uint64(now.UnixNano()), data, now.Add(summaryExpiry))
	}
}

func (f *Fleet) take(r spread.Record) {
	var s summary
	if err := cbor.Unmarshal(r.Value(), &s); err != nil {
		f.options.Log.Warn("summary of a peer cannot be read", zap.Error(err))
		return
	}
	if s.Host == f.options.Host {
		return
	}
	if d, ok := f.Pool(s.Pool); ok {
		d.Peer(s.Host, s.Body)
	}
}
