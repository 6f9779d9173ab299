// Package meter counts the service level of a host's requests and adds up the counts of all hosts for
// the operators' report.
package meter

import (
	"context"
	"sync"
	"time"

	"github.com/samber/lo"
	"go.uber.org/zap"

	"hickorypath/internal/core/clock"
	"hickorypath/internal/host/spread"
	"hickorypath/internal/operator/document"
	"hickorypath/internal/policy/burn"
)

// Topic is the topic of the hosts' counts among the records that hosts share.
const Topic = "burn"

// Exchange of counts among hosts.
const (
	shareInterval = 10 * time.Second
	shareExpiry   = 1 * time.Minute
	shareLimit    = 64 // customers in one host's counts
)

// Options are the dependencies of a Meter.
type Options struct {
	Host   string
	Clock  clock.Clock
	Log    *zap.Logger
	Spread *spread.Spread
}

// Meter counts the requests of one host. It is safe for concurrent use.
type Meter struct {
	options Options
	mu      sync.Mutex
	classes []burn.Class
	book    *burn.Book
}

// New returns a Meter without classes.
func New(o Options) *Meter {
	return &Meter{options: o, book: burn.New(burn.Config{})}
}

// Run shares the counts with the other hosts until ctx ends.
func (m *Meter) Run(ctx context.Context) {
	tick := time.NewTicker(shareInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
			m.share()
		}
	}
}

// Apply takes the targets of the classes of doc.
func (m *Meter) Apply(doc *document.Document) {
	classes := lo.Map(doc.Classes(), func(c *document.Class, _ int) burn.Class {
		return burn.Class{Name: c.Name(), First: c.First(), Gap: c.Gap(), Whole: c.Whole()}
	})
	m.mu.Lock()
	defer m.mu.Unlock()
	m.classes = classes
	m.book.SetClasses(classes)
}

// Add counts one request that ended now.
func (m *Meter) Add(c burn.Call) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.book.Add(m.options.Clock.Now(), c)
}

// Spend counts the time for which upstreams of a pool were paid.
func (m *Meter) Spend(pool string, reclaimable bool, paid time.Duration) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.book.Spend(m.options.Clock.Now(), pool, reclaimable, paid)
}

// Report returns the sum over all hosts, with at most limit customers.
func (m *Meter) Report(_ context.Context, limit int) (burn.Report, error) {
	now := m.options.Clock.Now()
	m.mu.Lock()
	own := m.book.Snapshot(now, burn.DefaultLimit)
	sum := burn.New(burn.Config{Classes: m.classes})
	m.mu.Unlock()
	sum.Merge(now, own)
	m.options.Spread.Range(Topic, func(r spread.Record) {
		if r.Key() == m.options.Host {
			return
		}
		s, err := burn.DecodeSnapshot(r.Value())
		if err != nil {
			m.options.Log.Warn("counts of a peer cannot be read", zap.String("peer", r.Key()), zap.Error(err))
			return
		}
		sum.Merge(now, s)
	})
	return sum.Report(now, limit), nil
}

func (m *Meter) share() {
	now := m.options.Clock.Now()
	m.mu.Lock()
	data := m.book.Snapshot(now, shareLimit).Encode()
	m.mu.Unlock()
	m.options.Spread.Put(Topic, m.options.Host, uint64(now.UnixNano()), data, now.Add(shareExpiry))
}
