// Package meter counts which requests of a host meet their service-level targets, and sums the counts of all hosts
// for the operators' burn report.
package meter

import (
	"context"
	"strings"
	"sync"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"hickorypath/internal/core/clock"
	"hickorypath/internal/host/replication"
	"hickorypath/internal/operator/burnstore"
	"hickorypath/internal/operator/document"
	"hickorypath/internal/policy/burn"
	"hickorypath/internal/state/store"
)

// Topic is the replication topic of the hosts' burn counts.
const Topic = "burn"

// Settings for sharing counts between hosts. In a fleet of more than maxSharingHosts hosts, the counts of other hosts
// come only from the store and are some minutes old.
const (
	shareInterval   = 10 * time.Second
	shareExpiry     = 1 * time.Minute
	sharedCustomers = 64 // maximum number of customers in the counts that a host shares
	maxSharingHosts = 16 // maximum number of live hosts at which hosts share counts
)

// Options are the identity of the host and the dependencies of a Meter.
type Options struct {
	Host        string
	Incarnation string
	Clock       clock.Clock
	Log         *zap.Logger
	Replicator  *replication.Replicator
	Store       *store.Client
	LiveHosts   func() []string // names of the live hosts
}

// Meter counts the requests of one host. It is safe for concurrent use.
type Meter struct {
	options Options
	mu      sync.Mutex
	classes []burn.Class
	counts  *burn.Aggregator
	store   *burnstore.Store
}

// New returns a Meter without service-level targets; Apply sets them.
func New(o Options) *Meter {
	m := &Meter{options: o, counts: burn.New(burn.Config{})}
	m.store = burnstore.New(burnstore.Options{
		Store: o.Store, Host: o.Host, Incarnation: o.Incarnation, Log: o.Log, Snapshot: m.snapshot,
	})
	return m
}

// Run shares the counts with the other hosts and saves them in the store until ctx is done.
func (m *Meter) Run(ctx context.Context) {
	var saving sync.WaitGroup
	saving.Go(func() { m.store.Run(ctx) })
	defer saving.Wait()
	clock.Every(ctx, shareInterval, m.share)
}

// Apply sets the service-level targets to those of the classes in doc.
func (m *Meter) Apply(doc *document.Document) {
	classes := lo.Map(doc.Classes(), func(c *document.Class, _ int) burn.Class {
		return burn.Class{Name: c.Name(), FirstToken: c.FirstToken(), TokenGap: c.TokenGap(), Total: c.Total()}
	})
	m.mu.Lock()
	defer m.mu.Unlock()
	m.classes = classes
	m.counts.SetClasses(classes)
}

// Add counts a request that has just ended.
func (m *Meter) Add(c burn.Call) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.Add(m.options.Clock.Now(), c)
}

// AddUpstreamTime adds the time for which upstreams of a pool were paid.
func (m *Meter) AddUpstreamTime(pool string, reclaimable bool, paid time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.counts.AddUpstreamTime(m.options.Clock.Now(), pool, reclaimable, paid)
}

// Report returns the burn report over all hosts, with at most limit customers. While the store is unavailable, the
// report contains only the counts of this host and those that live hosts share.
func (m *Meter) Report(ctx context.Context, limit int) (burn.Report, error) {
	now := m.options.Clock.Now()
	sum := burn.New(burn.Config{Classes: m.targets()})
	sum.Merge(now, m.snapshot(now, burn.DefaultMaxPairs))
	live := m.mergeShared(now, sum)
	live[m.options.Host] = m.options.Incarnation
	if err := m.store.MergeInto(ctx, sum, live); err != nil {
		m.options.Log.Warn("failed to read saved burn counts; the report leaves them out", zap.Error(err))
	}
	return sum.Report(now, limit), nil
}

// mergeShared adds the counts that other hosts share to sum, and returns the incarnation of each of these hosts.
func (m *Meter) mergeShared(now time.Time, sum *burn.Aggregator) map[string]string {
	live := map[string]string{}
	m.options.Replicator.Range(Topic, func(r replication.Record) {
		host, incarnation, _ := strings.Cut(r.Key(), "/")
		if host == m.options.Host {
			return
		}
		s, err := burn.DecodeSnapshot(r.Value())
		if err != nil {
			m.options.Log.Warn("skipping burn counts of a peer that cannot be decoded", zap.String("peer", r.Key()), zap.Error(err))
			return
		}
		sum.Merge(now, s)
		live[host] = incarnation
	})
	return live
}

func (m *Meter) targets() []burn.Class {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.classes
}

func (m *Meter) snapshot(now time.Time, limit int) burn.Snapshot {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.counts.Snapshot(now, limit)
}

func (m *Meter) share() {
	if len(m.options.LiveHosts()) > maxSharingHosts {
		return
	}
	now := m.options.Clock.Now()
	data := m.snapshot(now, sharedCustomers).Encode()
	key := m.options.Host + "/" + m.options.Incarnation
	m.options.Replicator.Put(Topic, key, uint64(now.UnixNano()), data, now.Add(shareExpiry))
}
