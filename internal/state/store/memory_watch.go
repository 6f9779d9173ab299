package store

import (
	"context"
	"sort"
	"strings"
	"time"

	"hickorypath/internal/core/kind"
)

func (m *Memory) listWithRevision(ctx context.Context, prefix string) ([]Entry, uint64, error) {
	var rev uint64
	list, err := callWithFaults(ctx, m, false, func() ([]Entry, error) {
		rev = m.revision
		return m.list(prefix), nil
	})
	return list, rev, err
}

// watch waits until there are events, the context ends, or the service goes down (Faults.Down).
func (m *Memory) watch(ctx context.Context, prefix string, after uint64) ([]Event, uint64, error) {
	if err := m.applyFaults(ctx); err != nil {
		return nil, 0, err
	}
	for {
		events, rev, wait, err := m.eventsAfter(ctx, prefix, after)
		if err != nil || len(events) > 0 {
			return events, rev, err
		}
		if !wait.wait(ctx) {
			return nil, rev, nil
		}
	}
}

// watchWait is what a watch waits for: a change, or the time at which the next lease expires.
type watchWait struct {
	changed     <-chan struct{}
	untilExpiry time.Duration
}

func (m *Memory) eventsAfter(ctx context.Context, prefix string, after uint64) ([]Event, uint64, watchWait, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.endExpiredLeases()
	if m.faults.Down {
		return nil, 0, watchWait{}, kind.New(kind.Store, "the store is down")
	}
	RecordEra(ctx, m.era)
	if after > m.revision {
		return nil, 0, watchWait{}, kind.New(kind.Missing, "there is no revision %d", after)
	}
	if after < m.compactedTo {
		return nil, 0, watchWait{}, kind.New(kind.Missing, "events up to %d are gone", m.compactedTo)
	}
	from := sort.Search(len(m.events), func(i int) bool { return m.events[i].Revision() > after })
	var out []Event
	for _, e := range m.events[from:] {
		if strings.HasPrefix(e.Key(), prefix) {
			out = append(out, e)
		}
	}
	return out, m.revision, watchWait{changed: m.changed, untilExpiry: m.untilNextExpiry()}, nil
}

// untilNextExpiry returns the time until the next lease expires, or zero if there is no lease.
func (m *Memory) untilNextExpiry() time.Duration {
	var next time.Duration
	now := m.clock.Boot()
	for _, g := range m.leases {
		if left := g.expiresAt - now; next == 0 || left < next {
			next = max(left, time.Millisecond)
		}
	}
	return next
}

// wait blocks until something that w waits for happens; it reports false if the context ends first.
func (w watchWait) wait(ctx context.Context) bool {
	var ends <-chan time.Time
	if w.untilExpiry > 0 {
		t := time.NewTimer(w.untilExpiry)
		defer t.Stop()
		ends = t.C
	}
	select {
	case <-w.changed:
		return true
	case <-ends:
		return true
	case <-ctx.Done():
		return false
	}
}
